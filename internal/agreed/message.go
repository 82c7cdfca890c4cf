package agreed

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

var cborDecMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// A message has one of its parts set.
type message struct {
	Raft         *raftMessage      `cbor:"1,keyasint,omitempty"`
	Renewal      *renewal          `cbor:"2,keyasint,omitempty"`
	Grant        *grant            `cbor:"3,keyasint,omitempty"`
	Submission   *submission       `cbor:"4,keyasint,omitempty"`
	Result       *submissionResult `cbor:"5,keyasint,omitempty"`
	Join         *Replica          `cbor:"6,keyasint,omitempty"`
	Notification *notification     `cbor:"7,keyasint,omitempty"`
}

// raftMessage is a message of the log's engine.
type raftMessage struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// renewal asks for a lease, and tells what the holder knows: it keeps to all of that.
type renewal struct {
	HolderID uint64 `cbor:"1,keyasint"` // the holder's number, another one after each start
	Seq      uint64 `cbor:"2,keyasint"`
	InForce  uint64 `cbor:"3,keyasint,omitempty"`
	Pending  uint64 `cbor:"4,keyasint,omitempty"`
}

// grant is the answer: a lease on what is in force, and what is to come.
type grant struct {
	HolderID         uint64   `cbor:"1,keyasint"`
	Seq              uint64   `cbor:"2,keyasint"`
	InForce          uint64   `cbor:"3,keyasint,omitempty"`
	Pending          uint64   `cbor:"4,keyasint,omitempty"`
	EncodedDocuments [][]byte `cbor:"5,keyasint,omitempty"` // those that the holder lacks
}

type submission struct {
	EncodedDocument []byte `cbor:"1,keyasint"`
}

// submissionResult is what became of a submission.
type submissionResult struct {
	Version     uint64  `cbor:"1,keyasint"`
	Hash        uint64  `cbor:"2,keyasint"`
	Outcome     outcome `cbor:"3,keyasint"`
	LastVersion uint64  `cbor:"4,keyasint,omitempty"`
	Reason      string  `cbor:"5,keyasint,omitempty"`
}

type outcome int

const (
	outcomeAccepted outcome = iota
	outcomeInvalid
	outcomeConflict
	outcomeGap
	outcomeBusy // not sent: the manager asks again
)

// notification says that there is news, or, with Lead, who leads.
type notification struct {
	Leader string `cbor:"1,keyasint,omitempty"`
}

var errCorrupt = errors.New("a spoilt message")

// marshalMessage is a message in bytes, after a sum of them: TCP's own lets one in 65,536 pass.
func marshalMessage(m *message) []byte {
	body := encode(m)
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(body)), xxhash.Sum64(body)), body...)
}

func unmarshalMessage(b []byte) (*message, error) {
	if len(b) < 8 || binary.BigEndian.Uint64(b) != xxhash.Sum64(b[8:]) {
		return nil, errCorrupt
	}
	m := new(message)
	return m, cborDecMode.Unmarshal(b[8:], m)
}
