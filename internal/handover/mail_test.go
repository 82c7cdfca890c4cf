package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"millethinge/control"
	"millethinge/internal/broker"
)

// openMail registers a process that started at startS, in Unix seconds, and opens its mail.
func openMail(t *testing.T, parent string, startS int64) (*Process, *Mail) {
	t.Helper()
	p := register(t, parent, startS)
	m, err := p.OpenMail()
	if err != nil {
		t.Fatal(err)
	}
	return p, m
}

// received returns the ids of the sessions in the messages that a process gets.
func received(t *testing.T, m *Mail) (ids []control.SessionID) {
	t.Helper()
	messages, err := m.Receive()
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range messages {
		ids = append(ids, r.Message.ID)
	}
	return ids
}

// Messages must arrive once and in order, however often they are written and read, also those of
// a process that has ended. Those that were read must not be kept.
func TestMailArrivesOnceInOrder(t *testing.T) {
	parent := t.TempDir()
	older, olderMail := openMail(t, parent, 1)
	younger, youngerMail := openMail(t, parent, 2)
	to, back := broker.PeerID(younger.startNS), broker.PeerID(older.startNS)
	flush := func(m *Mail) {
		if err := m.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(m *Mail, want ...control.SessionID) {
		t.Helper()
		if got := received(t, m); !slices.Equal(got, want) {
			t.Fatalf("received %v, want %v", got, want)
		}
	}
	setUp := &broker.PlayerSetUp{Key: "7f", Description: []byte("v=0\r\n"), GraceNS: 3e9}
	olderMail.Send(to, broker.PeerMessage{Kind: broker.PeerClaim, ID: 1, Claim: 9, SetUp: setUp})
	olderMail.Send(to, broker.PeerMessage{Kind: broker.PeerLost, ID: 2})
	expect(youngerMail)
	flush(olderMail)
	expect(youngerMail, 1, 2)
	expect(youngerMail)
	flush(youngerMail) // confirms both
	expect(olderMail)
	if kept := len(olderMail.outboxes[to].content.Messages); kept != 0 || olderMail.outboxes[to].bytes != 0 {
		t.Errorf("%d messages of %d bytes are kept after they were read", kept, olderMail.outboxes[to].bytes)
	}
	youngerMail.Send(back, broker.PeerMessage{Kind: broker.PeerOwned, ID: 3})
	olderMail.Send(to, broker.PeerMessage{Kind: broker.PeerEnd, ID: 4, Cause: 31})
	flush(olderMail)
	older.Unregister()
	flush(youngerMail)
	expect(youngerMail, 4)
	expect(olderMail, 3)
	youngerMail.Forget(back)
	if remaining, _ := filepath.Glob(filepath.Join(older.folder.path, mailFileName+"*")); len(remaining) > 0 {
		t.Errorf("files of a process that has ended: %v", remaining)
	}
	if others, err := younger.FindOthers(); err != nil || len(others.Claimable) != 0 {
		t.Errorf("a process that has ended is asked: %+v, %v", others, err)
	}
}

// A process that does not exchange messages, such as one of an earlier version, must not be
// asked. A message must be read as it was sent.
func TestMailReachesOnlyProcessesThatReadIt(t *testing.T) {
	parent := t.TempDir()
	older := register(t, parent, 1)
	younger, mail := openMail(t, parent, 2)
	if others, err := younger.FindOthers(); err != nil || others.Alive != 1 || len(others.Claimable) != 0 {
		t.Errorf("%+v, %v", others, err)
	}
	others, err := older.FindOthers()
	if err != nil || !slices.Equal(others.Claimable, []int64{younger.startNS}) {
		t.Errorf("%+v, %v", others, err)
	}
	olderMail, err := older.OpenMail()
	if err != nil {
		t.Fatal(err)
	}
	want := broker.PeerMessage{Kind: broker.PeerReply, ID: 5, Claim: 6, Cause: 7, Reply: &broker.StoredReply{Kind: broker.ReplyServed, Description: []byte("x")},
		Session: &broker.PlayerSession{ID: 5, State: broker.PlayerEstablished, Server: 8, Rung: 2, SetUp: broker.PlayerSetUp{Class: 1, Team: -1}}}
	mail.Send(broker.PeerID(older.startNS), want)
	if err := mail.Flush(); err != nil {
		t.Fatal(err)
	}
	messages, err := olderMail.Receive()
	if err != nil || len(messages) != 1 || messages[0].From != broker.PeerID(younger.startNS) || !reflect.DeepEqual(messages[0].Message, want) {
		t.Errorf("%+v, %v", messages, err)
	}
}

// A file that is cut off at any length must be told and not used, and what the same process
// writes next must be read whole.
func TestCutMailIsRejected(t *testing.T) {
	parent := t.TempDir()
	older, olderMail := openMail(t, parent, 1)
	younger, youngerMail := openMail(t, parent, 2)
	to := broker.PeerID(younger.startNS)
	olderMail.Send(to, broker.PeerMessage{Kind: broker.PeerLost, ID: 1})
	if err := olderMail.Flush(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(older.folder.path, fmt.Sprintf("%s-%d-%d", mailFileName, older.startNS, younger.startNS))
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		os.Remove(path) // so that the file counts as changed
		if err := os.WriteFile(path, data[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		clear(younger.folder.lastRead)
		var badFile *BadFileError
		if messages, err := youngerMail.Receive(); len(messages) > 0 || !errors.As(err, &badFile) {
			t.Fatalf("cut off after %d bytes: %+v, %v", i, messages, err)
		}
	}
	olderMail.Send(to, broker.PeerMessage{Kind: broker.PeerLost, ID: 2})
	if err := olderMail.Flush(); err != nil {
		t.Fatal(err)
	}
	if got := received(t, youngerMail); !slices.Equal(got, []control.SessionID{1, 2}) {
		t.Errorf("received %v", got)
	}
}

// What is handed over about players must be read as it was stored, once, by its successor only.
func TestPlayersFile(t *testing.T) {
	parent := t.TempDir()
	predecessor, successor, other := register(t, parent, 1), register(t, parent, 2), register(t, parent, 3)
	want := broker.PlayerHandover{Final: true, Sessions: []broker.PlayerSession{{ID: 1, State: broker.PlayerOver, Reply: broker.StoredReply{Kind: broker.ReplyFailed, Cause: 38}}}}
	if err := predecessor.StorePlayers(want, successor.startNS); err != nil {
		t.Fatal(err)
	}
	if _, _, changed, err := other.LoadPlayers(); changed || err != nil {
		t.Errorf("read by a process that is not the successor: %v", err)
	}
	from, got, changed, err := successor.LoadPlayers()
	if err != nil || !changed || from != broker.PeerID(predecessor.startNS) || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %+v, %v, %v", from, got, changed, err)
	}
	if _, _, changed, _ := successor.LoadPlayers(); changed {
		t.Error("read twice")
	}
	successor.folder.RemoveHandovers()
	if remaining, _ := filepath.Glob(filepath.Join(predecessor.folder.path, playersFileName+"*")); len(remaining) > 0 {
		t.Errorf("not removed: %v", remaining)
	}
}

// largestHandover returns the most sessions that a broker hands over, each with the longest
// numbers.
func largestHandover() broker.PlayerHandover {
	const sessions = broker.MaxPlayerHandoverBytes / broker.PlayerSessionBytes
	setUp := broker.PlayerSetUp{RequestedClass: 1 << 10, RequestedTeam: -1 << 10, Class: 1 << 10, Team: -1 << 10, Title: 1 << 63, Home: 1 << 20, Copies: 1 << 20,
		MaxRung: 0.1, GraceNS: 1 << 40, ReceivedAtNS: 1 << 62}
	h := broker.PlayerHandover{Final: true}
	for i := range uint64(sessions) {
		h.Sessions = append(h.Sessions, broker.PlayerSession{ID: control.SessionID(1<<63 + i), SetUp: setUp, State: broker.PlayerEstablished, Server: 1 << 63, Rung: 9, EstablishedAtNS: 1 << 62,
			Reply: broker.StoredReply{Kind: broker.ReplyServed, Cause: 102, RetryAfterNS: 1 << 40}})
	}
	return h
}

// The most that a broker hands over must fit into a file.
func TestLargestPlayerHandoverIsRead(t *testing.T) {
	parent := t.TempDir()
	predecessor, successor := register(t, parent, 1), register(t, parent, 2)
	want := largestHandover()
	if err := predecessor.StorePlayers(want, successor.startNS); err != nil {
		t.Fatal(err)
	}
	if _, got, changed, err := successor.LoadPlayers(); err != nil || !changed || len(got.Sessions) != len(want.Sessions) {
		t.Errorf("%d of %d sessions read, %v", len(got.Sessions), len(want.Sessions), err)
	}
}

func BenchmarkPlayerHandover(b *testing.B) {
	f, err := Open(b.TempDir(), "n1", "127.0.0.1:5060")
	if err != nil {
		b.Fatal(err)
	}
	p := &Process{folder: f, startNS: 1}
	successor := &Process{folder: f, startNS: 2}
	h := largestHandover()
	h.Sessions = h.Sessions[:10000]
	for b.Loop() {
		if err := p.StorePlayers(h, 2); err != nil {
			b.Fatal(err)
		}
		if _, _, changed, err := successor.LoadPlayers(); err != nil || !changed {
			b.Fatal(changed, err)
		}
	}
	info, err := os.Stat(filepath.Join(f.path, playersFileName+"-1-2"))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size()), "bytes")
}
