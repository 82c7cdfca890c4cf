package agreement

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

// message is a message between managers. One field is set.
type message struct {
	Raft         *raftMessage      `cbor:"1,keyasint,omitempty"`
	Renewal      *renewal          `cbor:"2,keyasint,omitempty"`
	Grant        *grant            `cbor:"3,keyasint,omitempty"`
	Submission   *submission       `cbor:"4,keyasint,omitempty"`
	Result       *submissionResult `cbor:"5,keyasint,omitempty"`
	Join         *Replica          `cbor:"6,keyasint,omitempty"`
	Notification *notification     `cbor:"7,keyasint,omitempty"`
}

// raftMessage carries a message of raft.
type raftMessage struct {
	From uint64 `cbor:"1,keyasint"`
	To   uint64 `cbor:"2,keyasint"`
	Body []byte `cbor:"3,keyasint"`
}

// renewal requests a lease. It has the versions that the holder knows of, which bind it.
type renewal struct {
	HolderID uint64 `cbor:"1,keyasint"` // differs after each start of the holder
	Seq      uint64 `cbor:"2,keyasint"`
	InForce  uint64 `cbor:"3,keyasint,omitempty"`
	Pending  uint64 `cbor:"4,keyasint,omitempty"`
}

// grant answers a renewal with a lease on the version in force, and the pending version.
type grant struct {
	HolderID         uint64   `cbor:"1,keyasint"`
	Seq              uint64   `cbor:"2,keyasint"`
	InForce          uint64   `cbor:"3,keyasint,omitempty"`
	Pending          uint64   `cbor:"4,keyasint,omitempty"`
	EncodedDocuments [][]byte `cbor:"5,keyasint,omitempty"` // those of the two that the holder does not have
}

// submission submits a new version to the leader.
type submission struct {
	EncodedDocument []byte `cbor:"1,keyasint"`
}

// submissionResult answers a submission.
type submissionResult struct {
	Version     uint64  `cbor:"1,keyasint"`
	Hash        uint64  `cbor:"2,keyasint"`
	Outcome     outcome `cbor:"3,keyasint"`
	LastVersion uint64  `cbor:"4,keyasint,omitempty"`
	Reason      string  `cbor:"5,keyasint,omitempty"`
}

// outcome is the outcome of a submission.
type outcome int

const (
	outcomeAccepted outcome = iota
	outcomeInvalid
	outcomeConflict
	outcomeGap
	outcomeBusy // not sent: the manager submits again
)

// notification tells that there is a new version to ask for or, if Leader is set, who the
// leader is.
type notification struct {
	Leader string `cbor:"1,keyasint,omitempty"`
}

var errCorrupt = errors.New("message checksum mismatch")

// marshalMessage encodes a message behind a checksum of it: TCP's own checksum misses one error
// in 65,536.
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
