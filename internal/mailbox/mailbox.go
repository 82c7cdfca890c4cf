// Package mailbox holds the queue that stands before each actor. Putting
// never waits, so two actors that write to each other can't stop each other.
package mailbox

import "sync"

// Box is a bounded queue for one reader.
type Box[T any] struct {
	mu    sync.Mutex
	queue []T
	limit int
	ready chan struct{}
}

// New returns a Box that takes up to limit messages by Put.
func New[T any](limit int) *Box[T] {
	return &Box[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Put adds a message, or tells that the box is full.
func (b *Box[T]) Put(v T) bool {
	b.mu.Lock()
	ok := len(b.queue) < b.limit
	if ok {
		b.queue = append(b.queue, v)
	}
	b.mu.Unlock()
	b.signal()
	return ok
}

// Force adds a message beyond the limit. It is for messages whose number
// something else bounds, such as one end for each set-up that Put let in.
func (b *Box[T]) Force(v T) {
	b.mu.Lock()
	b.queue = append(b.queue, v)
	b.mu.Unlock()
	b.signal()
}

func (b *Box[T]) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// Ready receives when messages may have come.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// Take returns all messages and keeps old, emptied, for the next ones.
func (b *Box[T]) Take(old []T) []T {
	clear(old)
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.queue
	b.queue = old[:0]
	return taken
}

// Empty tells whether nothing waits.
func (b *Box[T]) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) == 0
}
