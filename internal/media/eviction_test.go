package media

import (
	"slices"
	"testing"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
)

// Guards against connections that no rule closes: one that its node should have closed when it
// was idle must not be held for good, with or without established sessions.
func TestForgottenConnectionIsClosed(t *testing.T) {
	const idleTimeout = 15 * time.Second
	for name, e := range map[string]struct {
		sessions  bool
		idle      time.Duration
		heardFrom bool // a message has come on another connection since it should have been closed
		openSetUp bool
		closed    bool
	}{
		"not idle for long":             {idle: idleTimeout},
		"no sessions, node heard":       {idle: idleTimeout + 2*idleCloseMargin, heardFrom: true, closed: true},
		"sessions, node heard":          {sessions: true, idle: idleTimeout + 2*idleCloseMargin, heardFrom: true, closed: true},
		"sessions, node may be stalled": {sessions: true, idle: idleTimeout + 2*idleCloseMargin},
		"sessions, node long silent":    {sessions: true, idle: 2*idleTimeout + 2*idleCloseMargin, closed: true},
		"no sessions, node long silent": {idle: 2*idleTimeout + 2*idleCloseMargin, closed: true},
		"with a set-up":                 {sessions: true, idle: 3 * idleTimeout, heardFrom: true, openSetUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			n, _, _, _ := newTestNode(t)
			n.pool.cfg.ConnIdleTimeout = idleTimeout
			n.dialling = true // the test dials nothing
			now := time.Now()
			c := &conn{Conn: stubConn{}, lastUsedAt: now.Add(-e.idle)}
			n.conns = []*conn{c, newStubConn()}
			if e.sessions {
				n.established[1] = &establishedSession{conn: c, setUpSentAt: c.lastUsedAt}
			}
			if e.heardFrom {
				n.lastMessageAt = now
			}
			if e.openSetUp {
				c.openSetUps = 1
			}
			n.maintain(now)
			n.maintain(now.Add(2 * connSuspectTimeout))
			if c.closed != e.closed {
				t.Errorf("closed: %v, want %v", c.closed, e.closed)
			}
			if lossCounted := n.lossCount > 0; lossCounted != (e.closed && e.sessions) {
				t.Errorf("an end that may be lost with it is asked for: %v", lossCounted)
			}
			if n.conns[1].closed {
				t.Error("a connection in use is closed")
			}
		})
	}
}

// The connection that matters least must be closed first, and last those with open set-ups and
// those on which a stalled node may still send an end that it sends nowhere else.
func TestEvictionRanks(t *testing.T) {
	now := time.Now()
	openedLongAgo := now.Add(-time.Minute)
	heard := func(idle time.Duration) *conn {
		return &conn{Conn: stubConn{}, openedAt: openedLongAgo, lastUsedAt: now.Add(-idle), lastReceivedAt: now.Add(-idle)}
	}
	unheard := func(age time.Duration) *conn {
		return &conn{Conn: stubConn{}, openedAt: now.Add(-age), lastUsedAt: now.Add(-age)}
	}
	busy := heard(time.Second)
	busy.openSetUps = 1
	leaving := heard(time.Second)
	leaving.openSetUps, leaving.unusable = 1, true
	unusable := heard(time.Second)
	unusable.unusable = true
	for name, e := range map[string]struct {
		conns    []*conn
		sessions int
		want     []evictionRank // of each connection; 0: none
	}{
		"without sessions":         {conns: []*conn{heard(time.Second), unusable, busy, leaving}, want: []evictionRank{evictIdle, evictUseless, evictBusy, 0}},
		"with another connection":  {conns: []*conn{heard(time.Second), heard(2 * time.Second)}, sessions: 1, want: []evictionRank{evictSpare, evictSpare}},
		"the only connection":      {conns: []*conn{heard(time.Second), unusable}, sessions: 1, want: []evictionRank{evictLast, evictUseless}},
		"a node that may stall":    {conns: []*conn{unheard(4 * time.Second), unheard(2 * time.Second)}, sessions: 1, want: []evictionRank{evictUnheard, evictRecheck}},
		"that, without sessions":   {conns: []*conn{unheard(4 * time.Second)}, want: []evictionRank{evictIdle}},
		"opened after a message":   {conns: []*conn{heard(10 * time.Second), unheard(2 * time.Second)}, sessions: 1, want: []evictionRank{evictSpare, evictUnheard}},
		"a message after it opens": {conns: []*conn{heard(time.Second), unheard(2 * time.Second)}, sessions: 1, want: []evictionRank{evictSpare, evictSpare}},
	} {
		n, _, _, _ := newTestNode(t)
		n.conns = e.conns
		for id := range e.sessions {
			n.established[control.SessionID(id+1)] = &establishedSession{}
		}
		for _, c := range e.conns {
			if c.lastReceivedAt.After(n.lastMessageAt) {
				n.lastMessageAt = c.lastReceivedAt
			}
		}
		var got []evictionRank
		for _, c := range e.conns {
			got = append(got, n.evictionRank(c, now))
		}
		if !slices.Equal(got, e.want) {
			t.Errorf("%s: ranks %v, want %v", name, got, e.want)
		}
	}
}

// A set-up must not close a connection that still serves. For ends the slots go round, each
// node's turn being shorter the more wait, and a connection on which a stalled node may send is
// kept longest.
func TestChooseEvictions(t *testing.T) {
	now := time.Now()
	offer := func(rank evictionRank, idle time.Duration) evictionOffer {
		return evictionOffer{rank: rank, idleSince: now.Add(-idle)}
	}
	offers := []evictionOffer{
		offer(evictBusy, 0), offer(evictUnheard, 2*time.Second), offer(evictLast, time.Second), offer(evictLast, 2*time.Second),
		offer(evictSpare, time.Second), offer(evictSpare, time.Millisecond), offer(evictUseless, time.Second),
	}
	for name, e := range map[string]struct {
		demand scarcity
		count  int
		want   []evictionRank
	}{
		"set-ups":             {scarcity{purpose: dialForSetUps, connLimit: 10, waiting: 10}, 9, []evictionRank{evictUseless}},
		"one":                 {scarcity{purpose: dialForEnds, connLimit: 10, waiting: 1}, 1, []evictionRank{evictUseless}},
		"none needed":         {scarcity{purpose: dialForEnds, connLimit: 10, waiting: 1}, -1, nil},
		"few wait":            {scarcity{purpose: dialForEnds, connLimit: 100, waiting: 1}, 9, []evictionRank{evictUseless, evictSpare, evictLast}},
		"many wait":           {scarcity{purpose: dialForEnds, connLimit: 10, waiting: 10}, 9, []evictionRank{evictUseless, evictSpare, evictLast, evictLast}},
		"long wait":           {scarcity{purpose: dialForEnds, connLimit: 100, waiting: 1, waited: busyEvictionWait}, 9, []evictionRank{evictUseless, evictSpare, evictLast, evictBusy}},
		"many wait, no probe": {scarcity{purpose: dialForEnds, connLimit: 10, waiting: 10, probesDisabled: true}, 9, []evictionRank{evictUseless, evictSpare, evictLast, evictLast, evictUnheard}},
	} {
		var got []evictionRank
		for _, o := range chooseEvictions(now, slices.Clone(offers), e.demand, e.count) {
			got = append(got, o.rank)
		}
		if !slices.Equal(got, e.want) {
			t.Errorf("%s: %v, want %v", name, got, e.want)
		}
	}
}

// A connection with open set-ups that is evicted must answer them, get no others, and be closed
// once they have ended.
func TestBusyConnectionIsEvictedOnceIdle(t *testing.T) {
	n, _, _, reports := newTestNode(t)
	c := newStubConn()
	n.conns = []*conn{c}
	n.handle(newSetUp(1))
	n.evict(c, time.Now())
	n.dialling = true // the test dials nothing
	n.handle(newSetUp(2))
	if n.maintain(time.Now()); c.closed || n.attempts[2].conn != nil {
		t.Fatalf("closed under a set-up: %v; gets another set-up: %v", c.closed, n.attempts[2].conn != nil)
	}
	n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 200}})
	if n.maintain(time.Now()); !c.closed {
		t.Error("not closed after its last set-up")
	}
	if len(*reports) != 1 || (*reports)[0].Kind != broker.ReportStarted {
		t.Errorf("reports: %+v", *reports)
	}
}

// An eviction that a node can't carry out, since it has been removed meanwhile, must not count as
// pending: others would wait for it for good.
func TestEvictionAtRemovedNode(t *testing.T) {
	n, _, _, _ := newTestNode(t)
	p := n.pool
	p.cfg.MaxConns = 1
	p.slots.used = 1
	n.offer.Store(&evictionOffer{n, evictUseless, time.Now().Add(-time.Minute)})
	p.nodes[n.server+1] = n // listed under an id at which no message reaches it
	p.awaitSlot(n, dialForEnds)
	p.makeRoom(time.Now(), dialForEnds, 0)
	if p.slots.evictionsPending != 0 {
		t.Errorf("%d evictions count as pending", p.slots.evictionsPending)
	}
}
