package directory

import (
	"context"

	"millethinge/control"
	"millethinge/internal/mailbox"
)

// inboxLimit has no effect: messages are added whether or not the inbox is full, since
// changes must not be dropped and sources post only a few a second.
const inboxLimit = 1024

// List is the actor that merges the changes of several sources into one list. Only it calls
// the sink, and never with a full change: a full change from one source thus removes no node
// that another source has listed.
type List struct {
	sink   Sink
	inbox  *mailbox.Box[message]
	listed map[control.ServerID]sourcedMember
}

// message is a change from a source, or a function to run.
type message struct {
	source string
	change Change
	run    func() // if set, it is run and change is ignored
}

// sourcedMember is a listed node and the source that described it last.
type sourcedMember struct {
	source string
	member Member
}

// NewList returns a List that passes its changes on to sink.
func NewList(sink Sink) *List {
	return &List{sink: sink, inbox: mailbox.New[message](inboxLimit), listed: make(map[control.ServerID]sourcedMember)}
}

// SinkFor returns the Sink to which the named source posts its changes.
func (l *List) SinkFor(name string) Sink {
	return func(c Change) { l.inbox.Force(message{source: name, change: c}) }
}

// AfterPending runs do on the goroutine of Run once the sink has received all changes posted
// so far.
func (l *List) AfterPending(do func()) { l.inbox.Force(message{run: do}) }

// ProcessPending processes what has been posted so far. It must not be called once Run has
// been called.
func (l *List) ProcessPending() {
	for _, msg := range l.inbox.Take(nil) {
		l.apply(msg)
	}
}

// Run processes messages until ctx ends.
func (l *List) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.inbox.Ready():
			l.ProcessPending()
		}
	}
}

// apply processes one message. From a full change it derives the removals of those nodes of
// the same source that the change lacks.
func (l *List) apply(msg message) {
	if msg.run != nil {
		msg.run()
		return
	}
	out := Change{Members: msg.change.Members}
	if msg.change.Full {
		present := make(map[control.ServerID]bool)
		for _, m := range msg.change.Members {
			present[m.Server] = true
		}
		for server, o := range l.listed {
			if o.source == msg.source && !present[server] {
				o.member.State = control.Gone
				out.Members = append(out.Members, o.member)
			}
		}
	}
	for _, m := range out.Members {
		if m.State == control.Gone {
			delete(l.listed, m.Server)
		} else {
			l.listed[m.Server] = sourcedMember{msg.source, m}
		}
	}
	if len(out.Members) > 0 {
		l.sink(out)
	}
}
