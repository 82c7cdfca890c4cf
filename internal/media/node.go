package media

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/mailbox"
	"millethinge/internal/rtsp"
)

// CSeq values, as PROTOCOL gives them.
const (
	seqSetUp    = 1
	seqTearDown = 2
	seqTest     = 3
	seqOther    = 4
)

const (
	tickTime    = 100 * time.Millisecond
	probeTime   = 300 * time.Millisecond // a report that is later says little
	silentTime  = 2 * time.Second        // after which a node with sessions is looked at again
	lostTime    = 3 * time.Second        // after which, with failed looks, it is lost
	retryTime   = time.Second            // between looks at a lost node
	quickTries  = 3                      // connections in a row that time out and are followed by the next at once
	keepLost    = time.Minute            // how long its sessions' releases wait
	keepRelease = 10 * time.Second       // how long a release waits for a connection
	mostConns   = 12                     // to one node; more than open between two closes as idle
	keptConns   = 2                      // that are kept though nothing is open on them
	spareTime   = 2 * time.Second        // after which others are retired
	usablePart  = 9                      // tenths of a node's idle time, after which a connection may be closing there
	suspectTime = 200 * time.Millisecond // without a word since a set-up, after which others take another connection
	keepEarly   = 5 * time.Second        // how long an end is known that came before its session did
	keepGiven   = 10 * time.Second       // how long a set-up that was given up is known, for a late answer
)

// errNoRoom reports that no connection may be opened: the program holds as many
// as it may.
var errNoRoom = errors.New("media: no descriptors left")

// node is the actor of one media node.
type node struct {
	pool   *Pool
	member directory.Member // as the list last said; the pool's, under its lock
	server control.ServerID
	id     string
	up     time.Time
	state  atomic.Int32 // control.State, as the list last said
	box    *box

	conns    []*conn
	dialling bool
	attempts map[control.SessionID]*attempt
	doubted  []*attempt                  // set-ups on a connection that broke, till it is known whether the node did
	given    map[control.SessionID]given // set-ups that were given up
	standing map[control.SessionID]*stand
	early    map[control.SessionID]early
	owed     map[control.SessionID]owed // releases without a connection to go on
	probes   map[uint64]test
	asked    int       // probes that wait for a connection
	held     bool      // set-ups wait for the list to be asked again
	breaks   int       // connections that may have taken an end of a session along
	covered  int       // how many of these the newest connection was begun after
	worded   int       // how many lay behind at a first word after one
	silent   bool      // the newest was begun after one, and no word has come since
	heardAt  time.Time // when the node last showed a sign of life
	wordAt   time.Time // when it last said anything; zero: never
	retryAt  time.Time // when a lost node is looked at again
	refused  bool      // the last connection was refused: no process is there
	tries    int       // connections that failed since the last that came up
	buf      []byte
}

// attempt is a set-up: queued while conn is nil, else out.
type attempt struct {
	broker.Attempt
	conn *conn
	sent time.Time // when its SETUP was written
}

// stand is a session that plays.
type stand struct {
	conn *conn     // of its set-up; nil: closed
	lone time.Time // since when it has none; the zero time: it has one
	at   time.Time // when its set-up was written, by whose process it is told from a later one's
}

// given is a set-up that was given up, known until a time for a late answer.
type given struct {
	conn  *conn
	sent  time.Time
	until time.Time
}

// test is a probe that is out.
type test struct {
	conn  *conn
	sent  time.Time
	until time.Time // when it is given up
	own   bool      // it asks for the connection's sake: the broker hears nothing of it
}

// early is an end of a session that isn't known here.
type early struct {
	cause int
	until time.Time
}

type owed struct {
	cause int
	until time.Time
}

func newNode(p *Pool, m directory.Member) *node {
	return &node{
		pool: p, member: m, server: m.Server, id: m.ID, up: m.Up,
		box:      mailbox.New[any](boxLimit),
		attempts: make(map[control.SessionID]*attempt),
		given:    make(map[control.SessionID]given),
		standing: make(map[control.SessionID]*stand),
		early:    make(map[control.SessionID]early),
		owed:     make(map[control.SessionID]owed),
		probes:   make(map[uint64]test),
		heardAt:  time.Now(),
	}
}

// run is the actor's loop.
func (n *node) run() error {
	var batch []any
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	defer func() {
		for _, c := range n.conns {
			n.close(c)
		}
	}()
	for {
		select {
		case <-n.pool.ctx.Done():
			return nil
		case <-tick.C:
			if now := time.Now(); !n.pool.beat(now) && n.held {
				n.handle(goOn{}) // the list could not be asked
			}
			n.look(time.Now())
			if n.idle() && n.pool.remove(n) {
				return nil
			}
		case <-n.box.Ready():
		}
		batch = n.box.Take(batch)
		for _, m := range batch {
			n.handle(m)
		}
	}
}

func (n *node) idle() bool {
	return n.listed() == control.Gone && len(n.attempts)+len(n.doubted)+len(n.standing)+len(n.owed) == 0 && !n.dialling
}

// addr is where the list says that it is: at once, as its state binds. One that is gone
// may have none.
func (n *node) addr() string {
	n.pool.mu.RLock()
	defer n.pool.mu.RUnlock()
	return n.member.Addr
}

func (n *node) listed() control.ServerState { return control.ServerState(n.state.Load()) }

func (n *node) handle(m any) {
	switch m := m.(type) {
	case setUp:
		a := &attempt{Attempt: m.Attempt}
		n.attempts[a.ID] = a
		n.send(a)
	case giveUp:
		n.giveUp(m)
	case stands:
		n.stands(m)
	case release:
		n.release(m)
	case setRung:
		n.setRung(m)
	case probe:
		n.probe()
	case listChange:
		n.listChanged(m)
	case goOn:
		n.held = false
		n.sendWaiting()
	case dialled:
		n.dialled(m)
	case closed:
		n.closed(m)
	case heard:
		n.heard(m)
	}
}

func (n *node) report(r broker.Report) {
	r.Server, r.Down = n.server, n.refused
	n.pool.cfg.Report(r)
}

func (n *node) end(a *attempt, status control.Status) {
	n.drop(a)
	n.report(broker.Report{Kind: broker.Ended, ID: a.ID, Number: a.Number, Status: status})
}

// broken ends a set-up that went down with its connection. confined: the node
// was heard of or reached since, so the fault was the connection's alone.
func (n *node) broken(a *attempt, confined bool) {
	n.report(broker.Report{Kind: broker.Ended, ID: a.ID, Number: a.Number, Status: control.ConnectionReset, Confined: confined})
}

func (n *node) drop(a *attempt) {
	delete(n.attempts, a.ID)
	if a.conn != nil {
		a.conn.open--
	}
}

// Connections.

// usable returns a connection for a new set-up. One that has long been idle
// may be closing at the node: what is written there may or may not have run.
// One that has carried something goes before one that was opened for a look:
// the first use of each is a handshake's work to the node.
func (n *node) usable() (best *conn) {
	now := time.Now()
	for i := len(n.conns) - 1; i >= 0; i-- {
		c := n.conns[i]
		if n.fresh(c) && c.open < n.pool.cfg.StreamsPerConn && (!c.suspect(now) || len(n.conns) >= mostConns) &&
			(best == nil || c.used && !best.used) {
			best = c
		}
	}
	return best
}

func (n *node) fresh(c *conn) bool {
	return !c.dead && (c.open > 0 || time.Since(c.touched) < n.pool.cfg.ConnIdle*usablePart/10)
}

// live returns any connection that can carry a message on a session.
func (n *node) live(first *conn) *conn {
	if first != nil && n.fresh(first) {
		return first
	}
	for i := len(n.conns) - 1; i >= 0; i-- {
		if n.fresh(n.conns[i]) {
			return n.conns[i]
		}
	}
	return nil
}

// connect begins to open a connection, if none is being opened.
func (n *node) connect() {
	if n.dialling {
		return
	}
	n.dialling = true
	if n.pool.conns.Add(1) > n.pool.cfg.most() {
		n.pool.conns.Add(-1)
		n.box.Force(dialled{err: errNoRoom})
		return
	}
	addr, timeout, breaks := n.addr(), n.pool.cfg.ConnectTimeout, n.breaks
	n.pool.group.Go(func() error {
		nc, err := (&net.Dialer{Timeout: timeout}).DialContext(n.pool.ctx, "tcp", addr)
		if err != nil {
			n.pool.conns.Add(-1)
			n.box.Force(dialled{err: err})
			return nil
		}
		c := &conn{Conn: nc, touched: time.Now()}
		// The actor may have ended by now, and would not close it.
		defer context.AfterFunc(n.pool.ctx, func() { nc.Close() })()
		n.box.Force(dialled{conn: c, addr: addr, breaks: breaks})
		// Reading waits for nothing: the actor has been told of c before.
		err = c.read(n.pool.cfg.Fields, func(m message) bool { return n.box.Put(heard{c, m}) })
		c.Close()
		n.pool.conns.Add(-1)
		n.box.Force(closed{c, err})
		return nil
	})
}

func (n *node) dialled(m dialled) {
	n.dialling = false
	if m.err != nil {
		n.dialFailed(m.err)
		return
	}
	if m.addr != n.addr() {
		// Guard: the list names another address by now, and this one may be another node's.
		n.close(m.conn)
		n.connect()
		return
	}
	n.heardAt, n.tries, n.retryAt, n.refused = time.Now(), 0, time.Time{}, false
	n.conns = append(n.conns, m.conn)
	if n.covered < m.breaks {
		n.covered, n.silent = m.breaks, m.breaks > n.worded
	}
	n.trim()
	n.judge(true)
	n.sendWaiting()
	for id, o := range n.owed {
		if n.tearDown(m.conn, id, o.cause) {
			delete(n.owed, id)
		}
	}
	// Guard: where the set-ups that waited fill the connection at once, a probe goes
	// on waiting. Counted down while they are counted up again, this never ended.
	asked := n.asked
	n.asked = 0
	for range asked {
		n.probe()
	}
}

// sendWaiting sends the set-ups that waited.
func (n *node) sendWaiting() {
	for _, a := range n.attempts {
		if a.conn == nil {
			n.send(a)
		}
	}
}

// judge ends the set-ups whose connection broke, by whether the node can be
// reached since.
func (n *node) judge(reached bool) {
	for _, a := range n.doubted {
		n.broken(a, reached)
	}
	n.doubted = nil
}

// mayRetire tells whether connections may be given back at all.
//
// Guard: not while a session stands. A node resets what is half closed, within 0.2 ms,
// and the end of a session whose own connection is gone goes down with it if the node has
// just said it there. That is one retired connection in tens of thousands; a soak had six
// thousand. What is left idle the node closes itself, after what it said.
func (n *node) mayRetire() bool { return len(n.standing) == 0 }

// trim retires the oldest connection that no set-up needs.
func (n *node) trim() {
	if !n.mayRetire() {
		return
	}
	live := 0
	for _, c := range n.conns {
		if !c.dead {
			live++
		}
	}
	for _, c := range n.conns {
		if live > mostConns && !c.dead && c.open == 0 {
			c.retire(n.pool.cfg.ConnIdle)
			return
		}
	}
}

// dialFailed ends what waited for the connection: nothing of it ran. Guard: the
// program's own want of descriptors is not held against the node.
func (n *node) dialFailed(err error) {
	own := errors.Is(err, errNoRoom)
	n.refused = errors.Is(err, syscall.ECONNREFUSED)
	status := control.ConnectFailed
	if own {
		status = control.NotSent
	}
	for _, a := range n.attempts {
		if a.conn == nil {
			n.end(a, status)
		}
	}
	for ; n.asked > 0; n.asked-- {
		n.report(broker.Report{Kind: broker.Probed, Status: status})
	}
	n.judge(own)
	if own {
		return
	}
	// Guard: it may have been open at the node, which then has said ends on it.
	if !n.refused {
		n.mayMiss(nil)
	}
	// Guard: the caller is owed an end within a second of when the node said it, and what
	// was said may have gone down with a connection. So one that never came up is followed
	// by the next at once; what fails in no time, or goes on failing, is not.
	var late net.Error
	again := errors.As(err, &late) && late.Timeout() && n.tries < quickTries
	n.tries++
	if n.missing() && !again {
		n.retryAt = time.Now().Add(retryTime)
	}
	why := fmt.Sprint("no connection: ", err)
	switch {
	case n.refused && len(n.conns) == 0:
		n.lost(why, time.Now())
		clear(n.owed)
	case time.Since(n.heardAt) > lostTime:
		n.retryAt = time.Now().Add(retryTime)
		// The node may hold its sessions still: it is told when it can be.
		until := time.Now().Add(keepLost)
		for id := range n.standing {
			n.owed[id] = owed{broker.CauseCut, until}
		}
		n.cut(why, time.Now())
		n.closeAll(time.Now())
	}
	if again && n.missing() {
		n.connect()
	}
}

// lost ends what stood at a process that is gone, by when the next one came. What is open
// ends with its connection, behind what was said on it.
func (n *node) lost(why string, next time.Time) {
	n.cut(why, next)
	n.closeAll(next)
}

// closeAll closes what has carried nothing since a time.
func (n *node) closeAll(since time.Time) {
	for _, c := range n.conns {
		if c.touched.Before(since) {
			n.close(c)
		}
	}
}

// cut ends the sessions that stood before a time. Their node says nothing, and
// their viewers must hear of it within seconds.
func (n *node) cut(why string, before time.Time) {
	if len(n.standing) > 0 {
		alone := time.Duration(0) // for how long the first of them has had no connection
		for _, s := range n.standing {
			if !s.lone.IsZero() {
				alone = max(alone, time.Since(s.lone))
			}
		}
		n.pool.cfg.Log.Info("node lost", zap.String("node", n.id), zap.String("why", why),
			zap.Int("sessions", len(n.standing)), zap.Duration("alone", alone))
	}
	for id, s := range n.standing {
		if s.at.Before(before) {
			delete(n.standing, id)
			n.report(broker.Report{Kind: broker.Ended, ID: id, Status: control.ConnectionReset, Cause: broker.CauseCut})
		}
	}
}

// close gives a connection up; its reader tells when it is gone. What the node
// had sent and nobody has read goes with it.
func (n *node) close(c *conn) {
	n.broke(c)
	c.dead = true
	c.Close()
}

// unwritable takes a connection on which a write failed.
//
// Guard: what the node has closed it closed behind its last words, such as a 453 or a 200.
// They are read to the end. Only where it reads nothing the close has to tell it.
func (n *node) unwritable(c *conn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.close(c)
		return
	}
	n.broke(c)
	c.dead, c.closeAt = true, time.Now().Add(suspectTime)
}

// broke counts a connection that ends otherwise than by the node's own close, if
// it may take along what the node said last.
//
// Guard: a node sends the end of a session on the connection of its set-up, or on
// any where that is gone, and once more on the next connection that opens. One
// that is lost with its connection is said again only if another is opened, also
// where others are open and busy. An end on another connection that lives is safe.
func (n *node) broke(c *conn) {
	if c.broke {
		return
	}
	c.broke = true
	n.mayMiss(c)
}

// mayMiss counts a break of c, or with none of any that has closed, if a session stands
// whose end may have gone with it.
func (n *node) mayMiss(c *conn) {
	if n.carriesEnds(c) {
		n.breaks++
	}
}

// carriesEnds tells whether the node may say the end of a session on c, or with none on
// any connection: it is the session's own, or the session has none left.
func (n *node) carriesEnds(c *conn) bool {
	for _, s := range n.standing {
		if s.conn == nil || s.conn == c || s.conn.dead {
			return true
		}
	}
	return false
}

// missing tells whether the end of a session may have been lost, and no
// connection has been opened since.
func (n *node) missing() bool { return n.covered < n.breaks && len(n.standing) > 0 }

// closed ends what was open on a connection. A byte of each SETUP has left, so
// each may have run.
func (n *node) closed(m closed) {
	if m.err != io.EOF {
		n.broke(m.conn)
	}
	m.conn.dead = true
	for i, c := range n.conns {
		if c == m.conn {
			n.conns = append(n.conns[:i], n.conns[i+1:]...)
			break
		}
	}
	// What a node spoilt, it sent. Else a new connection tells whether the node is
	// there still: a dying process resets its connections too.
	spoke := errors.Is(m.err, errSpoilt) || errors.Is(m.err, rtsp.ErrSyntax) || errors.Is(m.err, os.ErrDeadlineExceeded)
	for _, a := range n.attempts {
		if a.conn != m.conn {
			continue
		}
		n.drop(a)
		n.giveAway(a)
		if spoke || n.listed() == control.Gone {
			n.broken(a, spoke)
		} else {
			n.doubted = append(n.doubted, a)
			n.connect()
		}
	}
	orphans := 0
	for _, s := range n.standing {
		if s.conn == m.conn {
			s.conn, s.lone = nil, time.Now()
			orphans++
		}
	}
	if m.err != io.EOF && !errors.Is(m.err, net.ErrClosed) || orphans > 0 {
		n.pool.cfg.Log.Info("connection broke", zap.String("node", n.id), zap.Error(m.err),
			zap.Int("standing", orphans), zap.Int("conns", len(n.conns)), zap.Bool("live", n.live(nil) != nil))
	}
	if len(n.standing) > 0 && (len(n.conns) == 0 || n.missing()) {
		n.connect() // releases come on the next connection that opens
	}
}

// giveAway notes a set-up that nobody waits for any more.
func (n *node) giveAway(a *attempt) {
	n.given[a.ID] = given{a.conn, a.sent, time.Now().Add(keepGiven)}
}

// look gives up late probes and looks after silent nodes.
func (n *node) look(now time.Time) {
	for id, p := range n.probes {
		if now.After(p.until) {
			delete(n.probes, id)
			if p.own {
				if p.conn.tested && !p.conn.dead {
					p.conn.mute(now, n.pool.cfg.ConnIdle)
				}
				continue
			}
			n.report(broker.Report{Kind: broker.Probed, Status: control.TimedOut})
		}
	}
	for id, o := range n.owed {
		if now.After(o.until) {
			delete(n.owed, id)
		}
	}
	for id, e := range n.early {
		// Guard: the process that hands the session over may live on for long.
		if n.pool.cfg.shared() && len(n.early) <= boxLimit {
			n.early[id] = early{e.cause, now.Add(keepEarly)}
		} else if now.After(e.until) {
			delete(n.early, id)
		}
	}
	for id, g := range n.given {
		if now.After(g.until) {
			delete(n.given, id)
		}
	}
	spare := -keptConns
	for _, c := range n.conns {
		if !c.dead && n.mayRetire() {
			spare++
		}
	}
	for _, used := range []bool{false, true} { // what was opened for a look first, then the oldest
		for _, c := range n.conns {
			switch {
			case !c.closeAt.IsZero() && now.After(c.closeAt):
				n.close(c)
			case !c.muteAt.IsZero() && c.open == 0 && c.closeAt.Sub(now) > suspectTime && n.wordAt.After(c.muteAt) && n.carriesEnds(c):
				// Guard: what a node says on a mute connection is lost for as long as
				// the node takes it for open. No set-up waits on this one any more. But
				// while the node stands still it is not closed: the node may take it for
				// newly opened when it goes on, and say there what it says only once more.
				// What it then has to say first on this one has time to come.
				c.closeAt = now.Add(suspectTime)
			case c.open == 0 && !c.dead && !c.tested && c.suspect(now) && n.carriesEnds(c):
				// Guard: a set-up on it was cancelled before any word came. Nothing waits
				// on it that could time out, so nothing else tells.
				if !n.pool.cfg.NoProbes {
					c.tested = n.test(c, true, silentTime)
				} else if now.Sub(c.asked) > silentTime {
					c.mute(now, n.pool.cfg.ConnIdle)
				}
			case spare > 0 && c.used == used && !c.dead && c.open == 0 && now.Sub(c.touched) > spareTime:
				spare--
				c.retire(n.pool.cfg.ConnIdle)
			}
		}
	}
	// A machine that is cut off keeps its connections open and silent: only a
	// new one tells. It also brings releases that found no connection.
	quiet := now.Sub(n.heardAt) > silentTime
	if now.After(n.retryAt) && (len(n.owed) > 0 || n.missing() || len(n.standing) > 0 && (quiet || len(n.conns) == 0)) {
		n.connect()
	}
}

func (n *node) listChanged(m listChange) {
	switch {
	case n.listed() == control.Gone:
		n.lost("off the list", time.Now())
		n.judge(false)
		clear(n.owed)
	case m.member.Up.After(n.up):
		n.up = m.member.Up
		n.lost("restarted", n.up)
	}
	n.sendWaiting() // or ends them, where the node takes nothing new
}

// Attempts and sessions.

// send writes a SETUP, or has it wait for a connection.
func (n *node) send(a *attempt) {
	for {
		// Guard: the list binds up to the first byte. Nothing that was queued or
		// waited for a connection goes to a node that drains or is gone.
		now := time.Now()
		// Nor does anything begin for a client that has gone meanwhile.
		if n.listed() != control.Ready || now.After(a.Deadline) || a.Client.Gone(a.ID) {
			n.end(a, control.NotSent)
			return
		}
		if n.pool.beat(now) {
			n.held = true
			return
		}
		c := n.usable()
		if c == nil {
			n.connect()
			return
		}
		left := max(time.Until(a.Deadline), time.Millisecond)
		id := sessionName(a.ID)
		b := rtsp.AppendRequest(n.buf[:0], "SETUP", "rtsp://media/"+a.Key)
		b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(seqSetUp))
		b = rtsp.AppendHeader(b, "Session", id)
		b = rtsp.AppendHeader(b, "Call-Kind", n.pool.cfg.Classes[a.Class])
		b = rtsp.AppendHeader(b, "Answer-Within", strconv.FormatInt(left.Milliseconds(), 10))
		b = rtsp.AppendHeader(b, "X-Quality", strconv.Itoa(a.Rung))
		b = rtsp.Finish(b, a.Description)
		n.buf = b
		sent, err := c.write(b)
		if err == nil {
			a.conn, a.sent = c, c.touched
			c.open++
			if n.pool.cfg.Tried != nil {
				n.pool.cfg.Tried()
			}
			if c.asked.IsZero() {
				c.asked = a.sent
			}
			return
		}
		n.unwritable(c, err)
		if sent > 0 { // a part has left: it may have run
			n.drop(a)
			n.broken(a, false)
			return
		}
	}
}

// giveUp ends an attempt. It is out until its TEARDOWN is written, or until its
// connection, whose end gives it up too, is closed.
func (n *node) giveUp(m giveUp) {
	for i, a := range n.doubted {
		if a.ID == m.id && a.Number == m.number {
			n.doubted = slices.Delete(n.doubted, i, i+1)
			n.broken(a, false)
			return
		}
	}
	a := n.attempts[m.id]
	if a == nil || a.Number != m.number {
		return // its end or answer is on its way to the broker
	}
	status := control.Cancelled
	switch {
	case m.timedOut && a.conn == nil:
		status = control.ConnectFailed // not a byte has left
	case m.timedOut:
		status = control.TimedOut
	}
	c := a.conn
	if c != nil {
		n.giveAway(a)
		n.tearDown(c, a.ID, 0)
	}
	n.end(a, status)
	if status == control.TimedOut && !c.asked.IsZero() && !a.sent.Before(c.asked) && !c.dead {
		// Guard: nothing later has come since this set-up left, nor may anything more.
		// The others on it keep their chance; no new one is put there.
		c.mute(time.Now(), n.pool.cfg.ConnIdle)
	}
}

// tearDown writes a TEARDOWN on c, or closes c, which says as much.
func (n *node) tearDown(c *conn, id control.SessionID, cause int) bool {
	name := sessionName(id)
	b := rtsp.AppendRequest(n.buf[:0], "TEARDOWN", "rtsp://media/"+name)
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(seqTearDown))
	b = rtsp.AppendHeader(b, "Session", name)
	if cause > 0 {
		b = rtsp.AppendHeader(b, "Reason", "cause="+strconv.Itoa(cause))
	}
	return n.write(c, rtsp.Finish(b, nil))
}

func (n *node) write(c *conn, b []byte) bool {
	n.buf = b
	if _, err := c.write(b); err != nil {
		n.unwritable(c, err)
		return false
	}
	return true
}

// release ends a session that stands, on any connection or the next that opens.
func (n *node) release(m release) {
	s := n.standing[m.id]
	if s == nil {
		return // the node has ended it
	}
	delete(n.standing, m.id)
	for c := n.live(s.conn); c != nil; c = n.live(nil) {
		if n.tearDown(c, m.id, m.cause) {
			return
		}
	}
	if n.listed() != control.Gone {
		n.owed[m.id] = owed{m.cause, time.Now().Add(keepRelease)}
		n.connect()
	}
}

func (n *node) setRung(m setRung) {
	var first *conn
	if a := n.attempts[m.id]; a != nil {
		if a.Rung = m.rung; a.conn == nil {
			return // its SETUP will say so
		}
		first = a.conn
	} else if s := n.standing[m.id]; s != nil {
		first = s.conn
	} else {
		return
	}
	c := n.live(first)
	if c == nil {
		n.connect()
		return
	}
	name := sessionName(m.id)
	b := rtsp.AppendRequest(n.buf[:0], "SET_PARAMETER", "rtsp://media/"+name)
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(seqOther))
	b = rtsp.AppendHeader(b, "Session", name)
	b = rtsp.AppendHeader(b, "X-Quality", strconv.Itoa(m.rung))
	n.write(c, rtsp.Finish(b, nil))
}

func (n *node) probe() {
	c := n.usable()
	if c == nil {
		n.asked++
		n.connect()
		return
	}
	if !n.test(c, false, probeTime) {
		n.report(broker.Report{Kind: broker.Probed, Status: control.ConnectionReset})
	}
}

// test writes a probe on c, or closes c.
func (n *node) test(c *conn, own bool, within time.Duration) bool {
	id := rand.Uint64()
	b := rtsp.AppendRequest(n.buf[:0], "OPTIONS", "rtsp://media/load")
	b = rtsp.AppendHeader(b, "CSeq", strconv.Itoa(seqTest))
	b = rtsp.AppendHeader(b, "Session", sessionName(control.SessionID(id)))
	if !n.write(c, rtsp.Finish(b, nil)) {
		return false
	}
	n.probes[id] = test{c, c.touched, c.touched.Add(within), own}
	return true
}

// heard takes one message of the node.
func (n *node) heard(m heard) {
	now := time.Now()
	n.heardAt, n.wordAt, m.conn.touched = now, now, now
	n.settle(m)
	m.conn.heardAt = now
	if n.silent {
		// Guard: a connection opens also to a node that stands still. When it goes on it
		// may say ends first on those that closed meanwhile, and know of the new one by
		// then: only one that opens after its first word tells.
		n.silent = false
		n.mayMiss(nil)
		n.worded = n.breaks
	}
	switch m.kind {
	case answered:
		n.answered(m)
	case tested:
		p, ok := n.probes[uint64(m.id)]
		delete(n.probes, uint64(m.id))
		if ok && !p.own {
			status := control.OK
			if m.status != 200 {
				status = control.Errored
			}
			n.report(broker.Report{Kind: broker.Probed, Status: status, Load: m.load})
		}
	case ended:
		n.released(m)
	case noted:
		n.report(broker.Report{Kind: broker.Noted, ID: m.id, Note: m.note, Value: m.value})
	}
	if n.dialling { // what waits may have a place by now
		n.sendWaiting()
	}
}

// settle clears the suspicion of set-ups that a word is known to be later than.
//
// Guard: a word may have been under way when a SETUP was written, such as the 200 to an
// earlier message. Taken for a sign of life, a connection that has fallen mute gets the
// next set-ups, and keeps the ends that the node says on it. What answers a message is
// later than that; a second word is taken for later than what was written before the
// first came.
func (n *node) settle(m heard) {
	c := m.conn
	if c.asked.IsZero() {
		return
	}
	last := c.heardAt.Add(-1) // what was written in the same instant may be later
	if sent := n.answers(m); sent.After(last) {
		last = sent
	}
	if last.Before(c.asked) {
		return
	}
	c.asked, c.tested = time.Time{}, false
	for _, a := range n.attempts {
		if a.conn == c && a.sent.After(last) && (c.asked.IsZero() || a.sent.Before(c.asked)) {
			c.asked = a.sent
		}
	}
	c.speak()
}

// answers returns when that was written which a word answers, on its connection; zero: it
// is not known.
func (n *node) answers(m heard) time.Time {
	if m.status == 0 {
		return time.Time{}
	}
	if a := n.attempts[m.id]; a != nil && a.conn == m.conn {
		return a.sent
	}
	if g := n.given[m.id]; g.conn == m.conn {
		return g.sent
	}
	if p := n.probes[uint64(m.id)]; p.conn == m.conn {
		return p.sent
	}
	return time.Time{}
}

// answered takes a final answer to a SETUP.
func (n *node) answered(m heard) {
	a := n.attempts[m.id]
	if a == nil || a.conn == nil {
		if _, given := n.given[m.id]; given && m.status == 200 {
			// Guard: a late 200 to a set-up that was given up is torn down. A second
			// copy of an answer, or one to an id never asked for, does nothing.
			n.standing[m.id] = &stand{conn: m.conn}
			n.release(release{m.id, 0})
		}
		return
	}
	n.drop(a)
	if there := n.listed() != control.Gone; m.status == 200 && (!there || a.sent.Before(n.up)) {
		// Guard: it lay behind the word that its process is gone. Nobody would say the
		// session's end where another process answers by now.
		n.broken(a, there)
		return
	}
	if m.status == 200 {
		n.standing[m.id] = &stand{conn: m.conn, at: a.sent}
		n.report(broker.Report{Kind: broker.Started, ID: m.id, Number: a.Number, Load: m.load, Description: m.description})
		return
	}
	status := control.Errored
	switch m.status {
	case 453:
		status = control.Full
	case 454:
		status = control.NotSent
	case 504:
		status = control.ConnectionReset
	}
	n.report(broker.Report{Kind: broker.Ended, ID: m.id, Number: a.Number, Status: status, Load: m.load})
}

// released takes a node's TEARDOWN of a session or of a set-up.
func (n *node) released(m heard) {
	if a := n.attempts[m.id]; a != nil {
		n.drop(a)
		n.broken(a, true)
		return
	}
	if n.standing[m.id] == nil {
		n.early[m.id] = early{m.cause, time.Now().Add(keepEarly)}
		return
	}
	n.over(m.id, m.cause, m.load)
}

// stands takes a session that played before this program started.
//
// Guard: the node says what ended meanwhile on the first connection that opens, which may
// be a set-up's, before the viewer names the session here. And a connection that is being
// opened may have been open there before the end was said on one that closed since.
func (n *node) stands(m stands) {
	if e, ok := n.early[m.id]; ok {
		n.over(m.id, e.cause, nil)
		return
	}
	n.standing[m.id] = &stand{at: time.Now()}
	if n.dialling {
		n.mayMiss(nil)
	}
	n.connect() // notes on it need a connection
}

// over ends a session that stood.
func (n *node) over(id control.SessionID, cause int, load []float64) {
	delete(n.standing, id)
	status := control.ConnectionReset
	switch cause {
	case broker.CauseEnded:
		status = control.OK
	case broker.CauseCancelled:
		status = control.Cancelled
	}
	n.report(broker.Report{Kind: broker.Ended, ID: id, Status: status, Cause: cause, Load: load})
}

func sessionName(id control.SessionID) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[uint64(id)>>(60-4*i)&15]
	}
	return string(b[:])
}
