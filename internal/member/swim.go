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

// Intervals and time-outs of Swim. A member that does not answer is suspected after
// probeInterval by the member that probes it next. It is declared lost 4 to 8 probe intervals
// later in a fleet of up to ten members, 10 to 20 intervals later in one of three hundred.
const (
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = 250 * time.Millisecond
	joinInterval   = time.Second            // between attempts to reach a member that is not present
	joinTimeout    = time.Second            // for the connection and the answer
	rejoinDelay    = 4 * time.Second        // until a member that was refused as a duplicate tries again
	tickInterval   = 100 * time.Millisecond // shorter than any gap that package pause takes for a process pause
	leaveTimeout   = 400 * time.Millisecond // for each of the two messages of a leave
	gossipInterval = 200 * time.Millisecond
)

// Swim is a Fleet that runs the SWIM protocol. It is safe for concurrent use.
type Swim struct {
	config         Config
	traffic        Traffic
	notifications  *mailbox.Box[notification]
	leaveRequested chan struct{}
	leaveOnce      sync.Once

	mu             sync.Mutex // locked while memberlist holds its own locks, so memberlist must not be called with mu held
	tracker        *Tracker
	boundTransport *transport // bound by NewSwim, for the first start of memberlist; then nil
	leaving        bool
}

// notification is one call of Config.OnEvents.
type notification struct {
	view   View
	events []Event
}

// NewSwim binds the sockets of a member. It returns a *ListenError if that fails.
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

// Addr returns the address that it listens on, by TCP and UDP.
func (s *Swim) Addr() string { return s.config.ListenAddress }

// Traffic returns its traffic counters.
func (s *Swim) Traffic() *Traffic { return &s.traffic }

// View returns the current view.
func (s *Swim) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.View()
}

// Leave makes this member announce to the others that it leaves.
func (s *Swim) Leave() { s.leaveOnce.Do(func() { close(s.leaveRequested) }) }

// Run takes part in the protocol until ctx ends. It does not announce a leave: Leave must be
// called before. It returns an error if the protocol can't be started for the first time.
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
		// A member of this name that started earlier is present. Stay out of the fleet, and try
		// again later.
		for wait := time.After(rejoinDelay); wait != nil; {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				s.update(func(t *Tracker, now time.Time) []Event { return t.Tick(now) })
			case <-wait:
				wait = nil
			}
		}
	}
}

// deliverEvents calls OnEvents with the queued notifications in order.
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

// update applies a report to the tracker. It may be called while memberlist holds its locks.
func (s *Swim) update(record func(*Tracker, time.Time) []Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if events := record(s.tracker, time.Now()); len(events) > 0 && s.config.OnEvents != nil {
		// Guard: a full mailbox loses the notification, never the change of the view.
		s.notifications.Put(notification{s.tracker.View(), events})
	}
}

// participate takes part in the fleet until ctx ends or this member is refused as a duplicate.
func (s *Swim) participate(ctx context.Context, tick <-chan time.Time) error {
	participation, endParticipation := context.WithCancel(ctx)
	defer endParticipation()
	list, err := s.createList(participation)
	if err != nil {
		return err
	}
	defer func() {
		list.Shutdown()
		s.update(func(t *Tracker, now time.Time) (events []Event) {
			if ctx.Err() == nil {
				for _, n := range s.config.ConfiguredMembers {
					events = append(events, t.RecordGone(n.Name, now)...)
				}
			}
			return events
		})
	}()
	// Joining and leaving wait for the network, so each has a goroutine of its own.
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
			s.update(func(t *Tracker, now time.Time) []Event { return t.Tick(now) })
			if s.View().RefusedAsDuplicate {
				return nil
			}
		}
	}
}

// createList starts memberlist.
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
	c.DeadNodeReclaimTime = 1 // 1 ns, at once: Tracker decides which address a name belongs to
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

// joinMissing contacts the members that are not present, one at a time, since memberlist
// forgets lost members.
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
			return // a leaving member joins nobody
		case <-time.After(joinInterval*3/4 + rand.N(joinInterval/2)):
		}
	}
}

// joinTarget returns the address of a random member that is not present, or an empty string.
// While the view is stale, every other member is a candidate.
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

// leaveOnRequest waits for a call of Leave. It then announces the leave in the member's
// metadata, so that the others can tell a leave from a loss, and leaves memberlist.
func (s *Swim) leaveOnRequest(ctx context.Context, list *memberlist.Memberlist) {
	select {
	case <-ctx.Done():
		return
	case <-s.leaveRequested:
	}
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.update(func(t *Tracker, now time.Time) []Event { return t.RecordOwnLeave(now) })
	if err := list.UpdateNode(leaveTimeout); err != nil {
		s.config.LogLine(err.Error())
	}
	// The leave must not overtake the announcement: wait for a few rounds of gossip.
	select {
	case <-ctx.Done():
	case <-time.After(3 * gossipInterval):
	}
	if err := list.Leave(leaveTimeout); err != nil {
		s.config.LogLine(err.Error())
	}
}

// logger returns a logger that reads memberlist's log lines. memberlist reports suspicions
// nowhere else; TestSwim fails if the wording changes.
func (s *Swim) logger() *log.Logger { return log.New(logWriter{s}, "", 0) }

// logWriter parses the log lines of memberlist and passes them on to Config.LogLine.
type logWriter struct{ swim *Swim }

func (l logWriter) Write(b []byte) (int, error) {
	line := string(bytes.TrimSpace(b))
	if rest, ok := strings.CutPrefix(line, "[INFO] memberlist: Suspect "); ok {
		if name, ok := strings.CutSuffix(rest, " has failed, no acks received"); ok {
			l.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordSuspicion(name, now) })
		}
	}
	l.swim.config.LogLine(line)
	return len(b), nil
}

// delegate implements memberlist's delegates. memberlist calls it with its locks held.
type delegate struct{ swim *Swim }

var errNotAdmitted = errors.New("not configured, or a member with its name started earlier")

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
	if m.StartedUnixNano == 0 { // of another program, or of another metaVersion
		d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordUnknown(m, now) })
		return errNotAdmitted
	}
	if isSelf := m.Name == d.swim.config.Self.Name; isSelf || !admitted {
		d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordAlive(m, now) })
		if isSelf {
			return nil
		}
		return errNotAdmitted
	}
	return nil
}

func (d *delegate) NotifyJoin(n *memberlist.Node) {
	m := metaFromNode(n)
	d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordAlive(m, now) })
}

func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

func (d *delegate) NotifyLeave(n *memberlist.Node) {
	d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordGone(n.Name, now) })
}

func (d *delegate) NotifyConflict(one, other *memberlist.Node) {
	a, b := metaFromNode(one), metaFromNode(other)
	d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordDuplicate(a, b, now) })
}

func (d *delegate) NotifyPingComplete(n *memberlist.Node, _ time.Duration, _ []byte) {
	d.swim.update(func(t *Tracker, now time.Time) []Event { return t.RecordAck(n.Name, now) })
}

func (d *delegate) AckPayload() []byte              { return nil }
func (d *delegate) NotifyMsg([]byte)                {}
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}

// metaVersion is the first field of an encoded Meta. Members of another version are not
// admitted.
const metaVersion = "1"

// encode returns the metadata that the member announces beside its name. memberlist allows
// 512 bytes.
func (m Meta) encode() []byte {
	return []byte(strings.Join([]string{metaVersion, m.Site, m.Address, strconv.FormatInt(m.StartedUnixNano, 36), strconv.FormatBool(m.Leaving)}, "\n"))
}

// metaFromNode decodes a member's metadata. StartedUnixNano is 0 if it can't be decoded.
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

// PresentNames returns the sorted names of the present members, including the member whose
// view it is.
func (v View) PresentNames() (names []string) {
	for _, m := range v.Members {
		if m.Status.Present() || m.Name == v.Self {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
