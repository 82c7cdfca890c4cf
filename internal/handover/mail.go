package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"millethinge/internal/broker"
)

// maxOutboxBytes bounds the messages, by estimate, that wait for a process that does not read
// them. Those beyond it are dropped: their claims end at their deadlines.
const maxOutboxBytes = 4 << 20

// peerMessageBytes is the estimated size of a message without its descriptions.
const peerMessageBytes = 300

// Mail exchanges messages with the other processes of the manager. For each of them there is a
// file with the messages that it has not confirmed yet, so that those of a process that has
// ended are still read. Queue may be called by several goroutines at once, the other methods by
// one.
type Mail struct {
	process *Process

	mu       sync.Mutex
	outboxes map[broker.PeerID]*outbox
}

// outbox holds what is sent to one process.
type outbox struct {
	content mailFile
	bytes   int  // estimated size of the messages
	changed bool // since it was last written
}

// mailFile is the content of a file from one process to another. Its messages are numbered in
// their order. It is stored in a file: the numbers and types of the fields must not change.
type mailFile struct {
	First     uint64               `cbor:"1,keyasint"` // number of the first message
	Messages  []broker.PeerMessage `cbor:"2,keyasint"`
	Confirmed uint64               `cbor:"3,keyasint"` // number of the last message that was read from the other process
}

// ReceivedMessage is a message that another process has sent.
type ReceivedMessage struct {
	From    broker.PeerID
	Message broker.PeerMessage
}

// OpenMail returns the exchange of messages, and shows the other processes that this one
// takes part in it.
func (p *Process) OpenMail() (*Mail, error) {
	if _, err := p.markFile.WriteAt([]byte{claimsMark}, 1); err != nil {
		return nil, &FolderError{Path: p.folder.path, Err: err}
	}
	return &Mail{process: p, outboxes: make(map[broker.PeerID]*outbox)}, nil
}

// Send implements broker.Peers. The message is written by the next Flush.
func (m *Mail) Send(to broker.PeerID, message broker.PeerMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	box := m.outbox(to)
	if box.bytes > maxOutboxBytes {
		return
	}
	box.content.Messages = append(box.content.Messages, message)
	box.bytes += messageBytes(&message)
	box.changed = true
}

// outbox returns the outbox for a process. The caller holds m.mu.
func (m *Mail) outbox(to broker.PeerID) *outbox {
	box := m.outboxes[to]
	if box == nil {
		box = &outbox{content: mailFile{First: 1}}
		m.outboxes[to] = box
	}
	return box
}

// messageBytes estimates the size of a stored message.
func messageBytes(m *broker.PeerMessage) int {
	size := peerMessageBytes
	if m.SetUp != nil {
		size += len(m.SetUp.Description)
	}
	if m.Reply != nil {
		size += len(m.Reply.Description)
	}
	if m.Session != nil {
		size += peerMessageBytes + len(m.Session.SetUp.Description) + len(m.Session.Reply.Description)
	}
	return size
}

// Flush writes what was queued since the last call, and confirms what was received.
func (m *Mail) Flush() error {
	m.mu.Lock()
	changed := make(map[broker.PeerID]mailFile)
	for to, box := range m.outboxes {
		if box.changed {
			changed[to] = box.content
			box.changed = false
		}
	}
	m.mu.Unlock()
	for to, content := range changed {
		if err := writeFile(m.process.folder, fmt.Sprintf("%s-%d-%d", mailFileName, m.process.startNS, to), content); err != nil {
			m.markChanged(to)
			return err
		}
	}
	return nil
}

// markChanged has the next Flush write to a process again.
func (m *Mail) markChanged(to broker.PeerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outbox(to).changed = true
}

// Receive returns the messages that other processes have sent since the last call, those of each
// in order. An unusable file does not keep the others from being read.
func (m *Mail) Receive() (messages []ReceivedMessage, err error) {
	entries, err := os.ReadDir(m.process.folder.path)
	if err != nil {
		return nil, &FolderError{Path: m.process.folder.path, Err: err}
	}
	for _, entry := range entries {
		from, ok := senderOf(entry.Name(), mailFileName, m.process.startNS)
		if !ok {
			continue
		}
		content, changed, readErr := readFile[mailFile](m.process.folder, entry.Name())
		if readErr != nil {
			err = readErr
		}
		if changed {
			messages = append(messages, m.take(from, content)...)
		}
	}
	return messages, err
}

// take returns the new messages in the file of a process, and forgets those to it that it has
// confirmed.
func (m *Mail) take(from broker.PeerID, content mailFile) (messages []ReceivedMessage) {
	m.mu.Lock()
	defer m.mu.Unlock()
	box := m.outbox(from)
	for i, message := range content.Messages {
		if number := content.First + uint64(i); number > box.content.Confirmed {
			box.content.Confirmed, box.changed = number, true
			messages = append(messages, ReceivedMessage{from, message})
		}
	}
	for len(box.content.Messages) > 0 && box.content.First <= content.Confirmed {
		box.bytes -= messageBytes(&box.content.Messages[0])
		box.content.Messages = box.content.Messages[1:]
		box.content.First++
	}
	return messages
}

// Forget removes what is kept for a process that has ended, and its files.
func (m *Mail) Forget(peer broker.PeerID) {
	m.mu.Lock()
	delete(m.outboxes, peer)
	m.mu.Unlock()
	for _, name := range []string{
		fmt.Sprintf("%s-%d-%d", mailFileName, m.process.startNS, peer),
		fmt.Sprintf("%s-%d-%d", mailFileName, peer, m.process.startNS),
	} {
		os.Remove(filepath.Join(m.process.folder.path, name))
	}
}

// senderOf returns the process that has written a file of the given kind for the process that
// started at startNS, and reports whether it is such a file.
func senderOf(name, kind string, startNS int64) (from broker.PeerID, ok bool) {
	rest, ok := strings.CutPrefix(name, kind+"-")
	if !ok {
		return 0, false
	}
	sender, ok := strings.CutSuffix(rest, fmt.Sprintf("-%d", startNS))
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseInt(sender, 10, 64)
	return broker.PeerID(number), err == nil
}

// StorePlayers hands players' sessions over to the process that started at successor.
func (p *Process) StorePlayers(h broker.PlayerHandover, successor int64) error {
	return writeFile(p.folder, fmt.Sprintf("%s-%d-%d", playersFileName, p.startNS, successor), h)
}

// LoadPlayers returns what a predecessor hands over about players to this process. changed is
// false if there is nothing that was not read before.
func (p *Process) LoadPlayers() (from broker.PeerID, h broker.PlayerHandover, changed bool, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return 0, h, false, nil // FindOthers returns this error
	}
	for _, entry := range entries {
		sender, ok := senderOf(entry.Name(), playersFileName, p.startNS)
		if !ok {
			continue
		}
		content, changed, readErr := readFile[broker.PlayerHandover](p.folder, entry.Name())
		if changed {
			return sender, content, true, nil
		}
		if readErr != nil {
			err = readErr
		}
	}
	return 0, h, false, err
}
