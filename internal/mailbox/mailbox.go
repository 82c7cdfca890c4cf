// Package mailbox implements the message queue of an actor. Adding a message never blocks,
// so two actors that send to each other can't deadlock.
package mailbox

import "sync"

// Box is a bounded queue with one reader. Its methods are safe for concurrent use.
type Box[T any] struct {
	mu    sync.Mutex
	queue []T
	limit int
	ready chan struct{}
}

// New returns a Box to which Put adds messages as long as it holds fewer than limit.
func New[T any](limit int) *Box[T] {
	return &Box[T]{limit: limit, ready: make(chan struct{}, 1)}
}

// Put adds a message unless the box is full. It reports whether the message was added.
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

// Force adds a message whether or not the box is full. It is for messages whose number is
// bounded otherwise, such as one end for each set-up that Put has added.
func (b *Box[T]) Force(v T) {
	b.mu.Lock()
	b.queue = append(b.queue, v)
	b.mu.Unlock()
	b.signal()
}

// signal makes Ready receive, if it does not already.
func (b *Box[T]) signal() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// Ready returns a channel that receives when messages may have been added.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// Take removes and returns all messages. It clears old and reuses its storage for the
// messages added next.
func (b *Box[T]) Take(old []T) []T {
	clear(old)
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.queue
	b.queue = old[:0]
	return taken
}

// Empty reports whether the box holds no messages.
func (b *Box[T]) Empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue) == 0
}
