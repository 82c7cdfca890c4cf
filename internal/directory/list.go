package directory

import (
	"context"

	"millethinge/control"
	"millethinge/internal/mailbox"
)

// listBox is not a limit that matters: sources tell of changes a few times a
// second, and what they tell must not be dropped.
const listBox = 1024

// List is the list's actor. Its sources post what they hear; it alone tells the
// sink, in changes only, so that a whole list of one source removes nothing that
// another named.
type List struct {
	sink  Sink
	box   *mailbox.Box[news]
	owner map[control.ServerID]owned
}

type news struct {
	source string
	change Change
	then   func() // instead, where it is set
}

type owned struct {
	source string
	member Member
}

// NewList returns a List that tells sink.
func NewList(sink Sink) *List {
	return &List{sink: sink, box: mailbox.New[news](listBox), owner: make(map[control.ServerID]owned)}
}

// SinkFor returns where a source of that name posts its changes.
func (l *List) SinkFor(name string) Sink {
	return func(c Change) { l.box.Force(news{source: name, change: c}) }
}

// AfterPending runs do once all that has been posted so far is told.
func (l *List) AfterPending(do func()) { l.box.Force(news{then: do}) }

// ProcessPending tells what has been posted so far. It is for the start, before Run.
func (l *List) ProcessPending() {
	for _, n := range l.box.Take(nil) {
		l.apply(n)
	}
}

// Run is the actor's loop.
func (l *List) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.box.Ready():
			l.ProcessPending()
		}
	}
}

func (l *List) apply(n news) {
	if n.then != nil {
		n.then()
		return
	}
	out := Change{Members: n.change.Members}
	if n.change.Full {
		named := make(map[control.ServerID]bool)
		for _, m := range n.change.Members {
			named[m.Server] = true
		}
		for s, o := range l.owner {
			if o.source == n.source && !named[s] {
				o.member.State = control.Gone
				out.Members = append(out.Members, o.member)
			}
		}
	}
	for _, m := range out.Members {
		if m.State == control.Gone {
			delete(l.owner, m.Server)
		} else {
			l.owner[m.Server] = owned{n.source, m}
		}
	}
	if len(out.Members) > 0 {
		l.sink(out)
	}
}
