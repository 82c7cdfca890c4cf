package directory

import (
	"context"

	"millethinge/control"
	"millethinge/internal/mailbox"
)

// inboxLimit is not a limit that matters: sources tell of changes a few times a
// second, and what they tell must not be dropped.
const inboxLimit = 1024

// List is the list's actor. Its sources post what they hear; it alone tells the
// sink, in changes only, so that a whole list of one source removes nothing that
// another named.
type List struct {
	sink   Sink
	inbox  *mailbox.Box[message]
	listed map[control.ServerID]sourcedMember
}

type message struct {
	source string
	change Change
	run    func() // instead, where it is set
}

type sourcedMember struct {
	source string
	member Member
}

// NewList returns a List that tells sink.
func NewList(sink Sink) *List {
	return &List{sink: sink, inbox: mailbox.New[message](inboxLimit), listed: make(map[control.ServerID]sourcedMember)}
}

// SinkFor returns where a source of that name posts its changes.
func (l *List) SinkFor(name string) Sink {
	return func(c Change) { l.inbox.Force(message{source: name, change: c}) }
}

// AfterPending runs do once all that has been posted so far is told.
func (l *List) AfterPending(do func()) { l.inbox.Force(message{run: do}) }

// ProcessPending tells what has been posted so far. It is for the start, before Run.
func (l *List) ProcessPending() {
	for _, msg := range l.inbox.Take(nil) {
		l.apply(msg)
	}
}

// Run is the actor's loop.
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
