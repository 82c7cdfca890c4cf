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
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	joinInterval   = time.Second            // one of those that are not in view is asked so often
	joinTimeout    = time.Second            // for its connection and its answer
	rejoinDelay    = 4 * time.Second        // until a younger twin asks again
	tickInterval   = 100 * time.Millisecond // less than what stall takes for a stand
	leaveTimeout   = 400 * time.Millisecond // for each of the two words of a leave
	gossipInterval = 200 * time.Millisecond
)

// Swim is a Fleet that asks. It is safe for use by many goroutines.
type Swim struct {
	config         Config
	traffic        Traffic
	notifications  *mailbox.Box[notification]
	leaveRequested chan struct{}
	leaveOnce      sync.Once

	mu             sync.Mutex // taken inside memberlist's own locks; nothing of it is called with mu held
	tracker        *Tracker
	boundTransport *transport // bound, and not yet used
	leaving        bool
}

type notification struct {
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
	s := &Swim{config: c, notifications: mailbox.New[notification](1 << 16), leaveRequested: make(chan struct{})}
	t, err := s.bindTransport()
	if err != nil {
		return nil, err
	}
	s.boundTransport = t
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
	s.tracker = NewTracker(s.config.Self, c.ConfiguredMembers, time.Now())
	return s, nil
}

// Addr is where it listens, TCP and UDP.
func (s *Swim) Addr() string { return s.config.ListenAddress }

// Traffic is what it has sent and got.
func (s *Swim) Traffic() *Traffic { return &s.traffic }

// View returns the present view.
func (s *Swim) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.View()
}

// Leave tells the others that this member leaves.
func (s *Swim) Leave() { s.leaveOnce.Do(func() { close(s.leaveRequested) }) }

// Run asks and answers until ctx ends, without a word of leave; for that, Leave comes
// first. A carrier that fails at its start is an error.
func (s *Swim) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.deliverEvents(ctx)
	}()
	defer func() { <-done }()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for first := true; ; first = false {
		err := s.participate(ctx, tick.C)
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
		for wait := time.After(rejoinDelay); wait != nil; {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				s.update(func(b *Tracker, now time.Time) []Event { return b.Tick(now) })
			case <-wait:
				wait = nil
			}
		}
	}
}

// deliverEvents hands on what happened, in order.
func (s *Swim) deliverEvents(ctx context.Context) {
	var batch []notification
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.notifications.Ready():
		}
		batch = s.notifications.Take(batch)
		for _, n := range batch {
			s.config.OnEvents(n.view, n.events)
		}
	}
}

// update has the book take a report. It may be called inside memberlist's locks.
func (s *Swim) update(record func(*Tracker, time.Time) []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if events := record(s.tracker, time.Now()); len(events) > 0 && s.config.OnEvents != nil {
		// Guard: a full mailbox loses the word, never the view.
		s.notifications.Put(notification{s.tracker.View(), events})
	}
}

// participate is one stay in the fleet, until ctx ends or an elder of the name is met.
func (s *Swim) participate(ctx context.Context, tick <-chan time.Time) error {
	participation, endParticipation := context.WithCancel(ctx)
	defer endParticipation()
	list, err := s.createList(participation)
	if err != nil {
		return err
	}
	defer func() {
		list.Shutdown()
		s.update(func(b *Tracker, now time.Time) (events []Event) {
			if ctx.Err() == nil {
				for _, n := range s.config.ConfiguredMembers {
					events = append(events, b.RecordGone(n.Name, now)...)
				}
			}
			return events
		})
	}()
	// What waits for a network has a goroutine of its own: one to ask, one to leave.
	var group sync.WaitGroup
	defer group.Wait()
	defer endParticipation()
	group.Go(func() { s.joinMissing(participation, list) })
	group.Go(func() { s.leaveOnRequest(participation, list) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			s.update(func(b *Tracker, now time.Time) []Event { return b.Tick(now) })
			if s.View().RefusedAsDuplicate {
				return nil
			}
		}
	}
}

func (s *Swim) createList(ctx context.Context) (*memberlist.Memberlist, error) {
	s.mu.Lock()
	t := s.boundTransport
	s.boundTransport = nil
	s.mu.Unlock()
	if t == nil {
		var err error
		if t, err = s.bindTransport(); err != nil {
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
	c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout = probeInterval, probeTimeout, joinTimeout
	c.SuspicionMaxTimeoutMult, c.GossipInterval = 2, gossipInterval
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

// joinMissing asks those that are not in view, one at a time: memberlist forgets the lost.
func (s *Swim) joinMissing(ctx context.Context, list *memberlist.Memberlist) {
	for {
		if address := s.joinTarget(); address != "" {
			if _, err := list.Join([]string{address}); err != nil {
				s.config.LogLine(err.Error())
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-s.leaveRequested:
			return // who leaves asks nobody
		case <-time.After(joinInterval*3/4 + rand.N(joinInterval/2)):
		}
	}
}

// joinTarget is the address of one that is not in view, or an empty one.
func (s *Swim) joinTarget() string {
	v := s.View()
	var candidates []string
	allPresent := true
	for _, m := range v.Members {
		if m.Name == v.Self || m.Status.Present() && !v.Stale {
			continue
		}
		allPresent = allPresent && m.Status.Present()
		if address := cmp.Or(s.config.AddressOverrides[m.Name][0], m.Address); address != "" && m.Status != StatusLeaving {
			candidates = append(candidates, m.Name+"/"+address)
		}
	}
	if !allPresent {
		for _, address := range s.config.JoinAddresses {
			if address != s.config.Self.Address && address != s.config.ListenAddress {
				candidates = append(candidates, address)
			}
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.N(len(candidates))]
}

// leaveOnRequest says that this member leaves, once that is asked for: by what it tells of
// itself, so that its end is told from a loss, and then by the end.
func (s *Swim) leaveOnRequest(ctx context.Context, list *memberlist.Memberlist) {
	select {
	case <-ctx.Done():
		return
	case <-s.leaveRequested:
	}
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.update(func(b *Tracker, now time.Time) []Event { return b.RecordOwnLeave(now) })
	if err := list.UpdateNode(leaveTimeout); err != nil {
		s.config.LogLine(err.Error())
	}
	// The end must not overtake the word: gossip has a few rounds.
	select {
	case <-ctx.Done():
	case <-time.After(3 * gossipInterval):
	}
	if err := list.Leave(leaveTimeout); err != nil {
		s.config.LogLine(err.Error())
	}
}

// logger reads what memberlist remarks. That a member is suspected it tells nowhere
// else; TestSwim notices if the wording changes.
func (s *Swim) logger() *log.Logger { return log.New(logWriter{s}, "", 0) }

type logWriter struct{ swim *Swim }

func (l logWriter) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if rest, ok := strings.CutPrefix(line, "[INFO] memberlist: Suspect "); ok {
		if name, ok := strings.CutSuffix(rest, " has failed, no acks received"); ok {
			l.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordSuspicion(name, now) })
		}
	}
	l.swim.config.LogLine(line)
	return len(b), nil
}

// delegate is what memberlist tells a Swim. It is called inside memberlist's locks.
type delegate struct{ swim *Swim }

var errNotAdmitted = errors.New("the file doesn't name it, or an elder has its name")

func (d *delegate) NodeMeta(int) []byte {
	d.swim.mu.Lock()
	defer d.swim.mu.Unlock()
	m := d.swim.config.Self
	m.Leaving = d.swim.leaving
	return m.encode()
}

func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	m := metaFromNode(n)
	d.swim.mu.Lock()
	admitted := d.swim.tracker.Admits(m)
	d.swim.mu.Unlock()
	if m.StartedUnixNano == 0 { // of another program, or of another form of this one
		d.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordUnknown(m, now) })
		return errNotAdmitted
	}
	if isSelf := m.Name == d.swim.config.Self.Name; isSelf || !admitted {
		d.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordAlive(m, now) })
		if isSelf {
			return nil
		}
		return errNotAdmitted
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	m := metaFromNode(n)
	d.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordAlive(m, now) })
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordGone(n.Name, now) })
}

func (d *delegate) NotifyConflict(one, other *memberlist.Node) {
	a, b := metaFromNode(one), metaFromNode(other)
	d.swim.update(func(book *Tracker, now time.Time) []Event { return book.RecordDuplicate(a, b, now) })
}

func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.swim.update(func(b *Tracker, now time.Time) []Event { return b.RecordAck(n.Name, now) })
}

func (d *delegate) AckPayload() []byte              { return nil }
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

// metaVersion is the first field of an encoded Meta. A member of another form is kept out.
const metaVersion = "1"

// encode writes what the others are told beside the name, under 512 bytes.
func (m Meta) encode() []byte {
	return []byte(strings.Join([]string{metaVersion, m.Site, m.Address, strconv.FormatInt(m.StartedUnixNano, 36), strconv.FormatBool(m.Leaving)}, "\n"))
}

// metaFromNode reads what a member tells of itself. Started is 0 if that can't be read.
func metaFromNode(n *memberlist.Node) Meta {
	m := Meta{Name: n.Name, Address: net.JoinHostPort(n.Addr.String(), strconv.Itoa(int(n.Port)))}
	fields := strings.Split(string(n.Meta), "\n")
	if len(fields) != 5 || fields[0] != metaVersion {
		return m
	}
	m.Site, m.Leaving = fields[1], fields[4] == "true"
	m.StartedUnixNano, _ = strconv.ParseInt(fields[3], 36, 64)
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
