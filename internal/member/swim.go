package member

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"millethinge/internal/mailbox"
)

// Times of Swim. One that doesn't answer is suspected after probeEvery by whoever asks
// it next, and lost 4 to 8 times that later for up to ten members, 10 to 20 times for
// three hundred.
const (
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 250 * time.Millisecond
	joinEvery    = time.Second            // one of those that are not in view is asked so often
	joinTimeout  = time.Second            // for its connection and its answer
	refusedFor   = 4 * time.Second        // until a younger twin asks again
	tickEvery    = 100 * time.Millisecond // less than what stall takes for a stand
	leaveFor     = 400 * time.Millisecond // for each of the two words of a leave
	gossipEvery  = 200 * time.Millisecond
)

// Swim is a Fleet that asks. It is safe for use by many goroutines.
type Swim struct {
	config Config
	count  Traffic
	told   *mailbox.Box[happened]
	leave  chan struct{}
	once   sync.Once

	mu        sync.Mutex // taken inside memberlist's own locks; nothing of it is called with mu held
	book      *Tracker
	transport *transport // bound, and not yet used
	leaves    bool
}

type happened struct {
	view   View
	events []Event
}

// NewSwim binds the sockets of a member. The error is a *ListenError where that fails.
func NewSwim(c Config) (*Swim, error) {
	if len(c.ConfiguredMembers) == 0 {
		return nil, errNoMembers
	}
	if c.LogLine == nil {
		c.LogLine = func(string) {}
	}
	s := &Swim{config: c, told: mailbox.New[happened](1 << 16), leave: make(chan struct{})}
	t, err := s.bind()
	if err != nil {
		return nil, err
	}
	s.transport = t
	_, port, err := net.SplitHostPort(s.config.ListenAddress)
	if err != nil || port == "0" {
		host, _, _ := net.SplitHostPort(c.ListenAddress)
		s.config.ListenAddress = net.JoinHostPort(host, strconv.Itoa(t.port))
	}
	if c.Self.Address == "" {
		s.config.Self.Address = s.config.ListenAddress
	}
	if c.Self.StartedUnixNano == 0 {
		s.config.Self.StartedUnixNano = time.Now().UnixNano()
	}
	s.book = NewTracker(s.config.Self, c.ConfiguredMembers, time.Now())
	return s, nil
}

// Addr is where it listens, TCP and UDP.
func (s *Swim) Addr() string { return s.config.ListenAddress }

// Traffic is what it has sent and got.
func (s *Swim) Traffic() *Traffic { return &s.count }

// View returns the present view.
func (s *Swim) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.View()
}

// Leave tells the others that this member leaves.
func (s *Swim) Leave() { s.once.Do(func() { close(s.leave) }) }

// Run asks and answers until ctx ends, without a word of leave; for that, Leave comes
// first. A carrier that fails at its start is an error.
func (s *Swim) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.tell(ctx)
	}()
	defer func() { <-done }()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for first := true; ; first = false {
		err := s.life(ctx, tick.C)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && first {
			return err
		}
		if err != nil {
			s.config.LogLine(err.Error())
		}
		// Refused: its elder has the name. Out of all views it asks again, later.
		for wait := time.After(refusedFor); wait != nil; {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				s.note(func(b *Tracker, now time.Time) []Event { return b.Tick(now) })
			case <-wait:
				wait = nil
			}
		}
	}
}

// tell hands on what happened, in order.
func (s *Swim) tell(ctx context.Context) {
	var taken []happened
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.told.Ready():
		}
		taken = s.told.Take(taken)
		for _, h := range taken {
			s.config.OnEvents(h.view, h.events)
		}
	}
}

// note has the book take a report. It may be called inside memberlist's locks.
func (s *Swim) note(f func(*Tracker, time.Time) []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if events := f(s.book, time.Now()); len(events) > 0 && s.config.OnEvents != nil {
		// Guard: a full mailbox loses the word, never the view.
		s.told.Put(happened{s.book.View(), events})
	}
}

// life is one stay in the fleet, until ctx ends or an elder of the name is met.
func (s *Swim) life(ctx context.Context, tick <-chan time.Time) error {
	here, end := context.WithCancel(ctx)
	defer end()
	list, err := s.create(here)
	if err != nil {
		return err
	}
	defer func() {
		list.Shutdown()
		s.note(func(b *Tracker, now time.Time) (all []Event) {
			if ctx.Err() == nil {
				for _, n := range s.config.ConfiguredMembers {
					all = append(all, b.RecordGone(n.Name, now)...)
				}
			}
			return all
		})
	}()
	// What waits for a network has a goroutine of its own: one to ask, one to leave.
	var group sync.WaitGroup
	defer group.Wait()
	defer end()
	group.Go(func() { s.join(here, list) })
	group.Go(func() { s.goodbye(here, list) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			s.note(func(b *Tracker, now time.Time) []Event { return b.Tick(now) })
			if s.View().RefusedAsDuplicate {
				return nil
			}
		}
	}
}

func (s *Swim) create(ctx context.Context) (*memberlist.Memberlist, error) {
	s.mu.Lock()
	t := s.transport
	s.transport = nil
	s.mu.Unlock()
	if t == nil {
		var err error
		if t, err = s.bind(); err != nil {
			return nil, err
		}
	}
	t.ctx = ctx
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = s.config.Self.Name, t
	host, port, err := net.SplitHostPort(s.config.Self.Address)
	if err == nil {
		c.AdvertiseAddr = host
		c.AdvertisePort, err = strconv.Atoi(port)
	}
	if err != nil {
		t.Shutdown()
		return nil, &ListenError{s.config.Self.Address, err}
	}
	c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout = probeEvery, probeTimeout, joinTimeout
	c.SuspicionMaxTimeoutMult, c.GossipInterval = 2, gossipEvery
	c.DeadNodeReclaimTime = 1 // at once: whose address it is, Book decides
	c.EnableCompression = false
	d := &delegate{s}
	c.Delegate, c.Events, c.Alive, c.Conflict, c.Ping = d, d, d, d, d
	c.Logger = s.logger()
	if len(s.config.EncryptionKeys) > 0 {
		if c.Keyring, err = memberlist.NewKeyring(s.config.EncryptionKeys, s.config.EncryptionKeys[0]); err != nil {
			t.Shutdown()
			return nil, fmt.Errorf("fleet: key: %w", err)
		}
	}
	list, err := memberlist.Create(c)
	if err != nil {
		t.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return list, nil
}

// join asks those that are not in view, one at a time: memberlist forgets the lost.
func (s *Swim) join(ctx context.Context, list *memberlist.Memberlist) {
	for {
		if at := s.missing(); at != "" {
			if _, err := list.Join([]string{at}); err != nil {
				s.config.LogLine(err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.leave:
			return // who leaves asks nobody
		case <-time.After(joinEvery*3/4 + rand.N(joinEvery/2)):
		}
	}
}

// missing is the address of one that is not in view, or an empty one.
func (s *Swim) missing() string {
	v := s.View()
	var at []string
	whole := true
	for _, m := range v.Members {
		if m.Name == v.Self || m.Status.Present() && !v.Stale {
			continue
		}
		whole = whole && m.Status.Present()
		if a := cmp.Or(s.config.AddressOverrides[m.Name][0], m.Address); a != "" && m.Status != StatusLeaving {
			at = append(at, m.Name+"/"+a)
		}
	}
	if !whole {
		for _, a := range s.config.JoinAddresses {
			if a != s.config.Self.Address && a != s.config.ListenAddress {
				at = append(at, a)
			}
		}
	}
	if len(at) == 0 {
		return ""
	}
	return at[rand.N(len(at))]
}

// goodbye says that this member leaves, once that is asked for: by what it tells of
// itself, so that its end is told from a loss, and then by the end.
func (s *Swim) goodbye(ctx context.Context, list *memberlist.Memberlist) {
	select {
	case <-ctx.Done():
		return
	case <-s.leave:
	}
	s.mu.Lock()
	s.leaves = true
	s.mu.Unlock()
	s.note(func(b *Tracker, now time.Time) []Event { return b.RecordOwnLeave(now) })
	if err := list.UpdateNode(leaveFor); err != nil {
		s.config.LogLine(err.Error())
	}
	// The end must not overtake the word: gossip has a few rounds.
	select {
	case <-ctx.Done():
	case <-time.After(3 * gossipEvery):
	}
	if err := list.Leave(leaveFor); err != nil {
		s.config.LogLine(err.Error())
	}
}

// logger reads what memberlist remarks. That a member is suspected it tells nowhere
// else; TestSwim notices if the wording changes.
func (s *Swim) logger() *log.Logger { return log.New(lines{s}, "", 0) }

type lines struct{ s *Swim }

func (l lines) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if rest, ok := strings.CutPrefix(line, "[INFO] memberlist: Suspect "); ok {
		if name, ok := strings.CutSuffix(rest, " has failed, no acks received"); ok {
			l.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordSuspicion(name, now) })
		}
	}
	l.s.config.LogLine(line)
	return len(b), nil
}

// delegate is what memberlist tells a Swim. It is called inside memberlist's locks.
type delegate struct{ s *Swim }

var errKeptOut = errors.New("the file doesn't name it, or an elder has its name")

func (d *delegate) NodeMeta(int) []byte {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	m := d.s.config.Self
	m.Leaving = d.s.leaves
	return m.encode()
}

func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	m := metaOf(n)
	d.s.mu.Lock()
	admitted := d.s.book.Admits(m)
	d.s.mu.Unlock()
	if m.StartedUnixNano == 0 { // of another program, or of another form of this one
		d.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordUnknown(m, now) })
		return errKeptOut
	}
	if own := m.Name == d.s.config.Self.Name; own || !admitted {
		d.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordAlive(m, now) })
		if own {
			return nil
		}
		return errKeptOut
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	m := metaOf(n)
	d.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordAlive(m, now) })
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordGone(n.Name, now) })
}

func (d *delegate) NotifyConflict(one, other *memberlist.Node) {
	a, b := metaOf(one), metaOf(other)
	d.s.note(func(book *Tracker, now time.Time) []Event { return book.RecordDuplicate(a, b, now) })
}

func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.s.note(func(b *Tracker, now time.Time) []Event { return b.RecordAck(n.Name, now) })
}

func (d *delegate) AckPayload() []byte              { return nil }
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

// form is the first field of an encoded Meta. A member of another form is kept out.
const form = "1"

// encode writes what the others are told beside the name, under 512 bytes.
func (m Meta) encode() []byte {
	return []byte(strings.Join([]string{form, m.Site, m.Address, strconv.FormatInt(m.StartedUnixNano, 36), strconv.FormatBool(m.Leaving)}, "\n"))
}

// metaOf reads what a member tells of itself. Started is 0 if that can't be read.
func metaOf(n *memberlist.Node) Meta {
	m := Meta{Name: n.Name, Address: net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}
	f := strings.Split(string(n.Meta), "\n")
	if len(f) != 5 || f[0] != form {
		return m
	}
	m.Site, m.Leaving = f[1], f[4] == "true"
	m.StartedUnixNano, _ = strconv.ParseInt(f[3], 36, 64)
	return m
}

// PresentNames of a View's members that are counted upon, itself among them.
func (v View) PresentNames() (names []string) {
	for _, m := range v.Members {
		if m.Status.Present() || m.Name == v.Self {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
