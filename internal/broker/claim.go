package broker

import (
	"bytes"
	"maps"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// claimTimeout bounds the wait for other processes to say whether they hold a session that may
// be set up again without harm, or that no player can come back to. A player's session that must not
// be set up twice waits until its deadline.
const claimTimeout = time.Second

// claim is a set-up that this process has read while others were alive: a player's, or one that must
// not run twice. Until it is
// known that none of them holds the session, nothing is set up for it here.
//
// Guard: the player may have asked another process before. If each process went by what it
// knows itself, the session would be set up twice.
type claim struct {
	Request
	client   Client          // nil: the connection is lost
	number   uint64          // increases with each claim, so that replies to earlier ones can be told apart
	awaited  map[PeerID]bool // processes that have not answered yet
	owner    PeerID          // the process that holds the session; 0: none is known
	session  *PlayerSession  // the session as it was when it was established; nil: it was not
	answered bool            // the player has its answer
	unclear  bool            // a process has ended without an answer, so it may have set the session up
}

// mustClaim reports whether other processes have to be asked about a request.
func (b *Broker) mustClaim(r *Request) bool {
	switch {
	case b.peers == nil || r.PlayingOn != 0:
		return false
	case r.Grace <= 0 && (b.repeatable(r.Class) || b.refusesNew()):
		// Guard: others do not answer a process that has left its sessions to them.
		return false
	}
	return len(b.claimablePeers()) > 0
}

// claimablePeers returns the processes that may hold sessions and answer claims.
func (b *Broker) claimablePeers() (peers []PeerID) {
	for _, peer := range b.peersAlive {
		if !b.peersLeaving[peer] {
			peers = append(peers, peer)
		}
	}
	return peers
}

// startClaim asks the other processes for the session of a request.
func (b *Broker) startClaim(r Request) {
	c := &claim{Request: r, client: r.Client}
	b.claims[r.ID] = c
	b.openClaim(c)
	if r.Grace <= 0 || b.repeatable(r.Class) {
		b.timers.add(b.clock.now().Add(claimTimeout), timerClaim, r.ID, 0)
	}
	b.sendClaim(c, b.claimablePeers())
}

// openClaim marks a claim as open until it is answered, or its deadline comes.
func (b *Broker) openClaim(c *claim) {
	b.openSetUps[c.ID] = true
	b.timers.add(c.deadline(), timerDeadline, c.ID, 0)
}

// deadline returns when the player must have its answer.
func (c *claim) deadline() time.Time { return c.ReceivedAt.Add(c.TimeLeft - overdueMargin) }

// sendClaim asks processes for the session of a claim.
func (b *Broker) sendClaim(c *claim, peers []PeerID) {
	b.claimCount++
	c.owner, c.number, c.awaited = 0, b.claimCount, make(map[PeerID]bool, len(peers))
	for _, peer := range peers {
		c.awaited[peer] = true
		b.peers.Send(peer, PeerMessage{Kind: PeerClaim, ID: c.ID, Claim: c.number, SetUp: newPlayerSetUp(&c.Request)})
	}
}

// rejoinClaim assigns a claim to the connection on which its player has come back once more.
func (b *Broker) rejoinClaim(c *claim, r Request) {
	if r.Grace <= 0 && c.client == r.Client {
		b.failClaim(c) // the ID stands for two requests, but can have only one answer
		return
	}
	if !c.sameSetUp(r) {
		b.counters.CountAnswer(r.Class, ReplyFailed)
		r.Client.Deliver(Reply{Kind: ReplyFailed, ID: r.ID, Cause: CauseFailed})
		return
	}
	if c.client != r.Client {
		c.closeAtClient()
	}
	// The processes are asked again, since the player may have asked another one meanwhile. A
	// owner repeats its answer.
	c.client, c.Request, c.answered = r.Client, r, false
	b.openClaim(c)
	b.sendClaim(c, b.claimablePeers())
	b.resolveClaim(c)
}

// closeAtClient lets the connection on which the player was know that the claim is not its
// concern any more.
func (c *claim) closeAtClient() {
	switch {
	case c.client == nil:
	case c.answered:
		c.client.Deliver(Reply{Kind: ReplyClosed, ID: c.ID})
	default:
		c.client.Deliver(Reply{Kind: ReplyAbandoned, ID: c.ID})
	}
}

// sameSetUp reports whether r is the same set-up as that of the claim.
func (c *claim) sameSetUp(r Request) bool {
	return r.Grace > 0 && c.Requested == r.Requested && c.Key == r.Key && c.Home == r.Home &&
		c.Copies == r.Copies && c.MaxRung == r.MaxRung && bytes.Equal(c.Description, r.Description)
}

// handleClaimAnswer handles what another process says about a claim or its session.
func (b *Broker) handleClaimAnswer(m peerMessage) {
	c := b.claims[m.ID]
	if c == nil && m.Kind == PeerOwned {
		b.leaveToOwner(m)
	}
	if c == nil || c.number != m.Claim {
		return // the player has gone or come back again since
	}
	if m.Kind == PeerUnknown {
		delete(c.awaited, m.from)
		b.resolveClaim(c)
		return
	}
	c.owner, c.awaited = m.from, nil
	if c.client == nil { // lost while the claim was open: the owner's grace begins
		b.sendToOwner(c, PeerMessage{Kind: PeerLost})
		b.removeClaim(c)
		return
	}
	if m.Kind == PeerReply && m.Reply != nil {
		b.deliverClaimed(c, m.Reply.reply(c.ID), m.Session)
	}
}

// leaveToOwner answers a process that says too late that it holds a session: the claim is settled.
//
// Guard: the owner takes this process for the player's, and would keep a session that nobody watches
// until this process ends. Its grace begins; where the player has come back to it since, nothing
// changes.
func (b *Broker) leaveToOwner(m peerMessage) {
	b.peers.Send(m.from, PeerMessage{Kind: PeerLost, ID: m.ID, Claim: m.Claim})
}

// deliverClaimed passes a reply of the owner on to the player.
func (b *Broker) deliverClaimed(c *claim, r Reply, session *PlayerSession) {
	switch {
	case r.Kind == ReplyAbandoned || r.Kind == ReplyClosed: // the player is at another process now
		c.client.Deliver(r)
		b.removeClaim(c)
	case r.Kind == ReplyServed:
		c.session = session
		b.answerClaim(c, r)
	case c.answered:
		c.client.Deliver(r)
		b.finishClaim(c, r)
	default:
		if c.Grace <= 0 {
			b.counters.CountAnswer(c.Class, r.Kind)
		}
		repeatReply(c.client, r)
		b.finishClaim(c, r)
	}
}

// answerClaim gives the player the answer that its session is established.
func (b *Broker) answerClaim(c *claim, r Reply) {
	if c.answered {
		return
	}
	c.answered = true
	delete(b.openSetUps, c.ID)
	if c.client != nil {
		c.client.Deliver(r)
	}
}

// failClaim answers a claim's player with ReplyFailed.
func (b *Broker) failClaim(c *claim) {
	r := Reply{Kind: ReplyFailed, ID: c.ID, Cause: CauseFailed}
	if c.client != nil {
		b.counters.CountAnswer(c.Class, r.Kind)
		c.client.Deliver(r)
	}
	b.finishClaim(c, r)
}

// finishClaim removes a claim and keeps its final reply for a player that comes back.
func (b *Broker) finishClaim(c *claim, r Reply) {
	b.removeClaim(c)
	b.keepReply(c.ID, r)
}

// removeClaim removes a claim.
func (b *Broker) removeClaim(c *claim) {
	delete(b.claims, c.ID)
	delete(b.openSetUps, c.ID)
}

// resolveClaim handles a request whose claim no process is left to answer: nobody else holds
// its session.
func (b *Broker) resolveClaim(c *claim) {
	if len(c.awaited) > 0 || c.owner != 0 {
		return
	}
	b.log.Debug("claim resolved", zap.Uint64("session", uint64(c.ID)), zap.Bool("unclear", c.unclear))
	if c.session != nil {
		b.takeOwnerlessSession(c)
		return
	}
	if c.unclear && !b.repeatable(c.Class) {
		// Guard: the process that has ended may have set the session up.
		b.failClaim(c)
		return
	}
	b.removeClaim(c)
	if c.client != nil {
		r := c.Request
		r.Client = c.client
		b.admitRequest(r)
	}
}

// yieldClaim drops a claim of this process if the player has asked another one since.
func (b *Broker) yieldClaim(id control.SessionID, otherReceivedAt time.Time) {
	c := b.claims[id]
	if c == nil || c.owner != 0 || otherReceivedAt.Before(c.ReceivedAt) {
		return
	}
	if c.Grace <= 0 {
		b.failClaim(c) // each request of a viewer gets an answer
		return
	}
	c.closeAtClient()
	b.removeClaim(c)
}

// loseClaimClient handles the loss of the connection on which a claim's player is. While it is
// open who holds the session, the claim stays.
func (b *Broker) loseClaimClient(c *claim) {
	c.client = nil
	if c.owner != 0 {
		b.sendToOwner(c, PeerMessage{Kind: PeerLost})
		b.removeClaim(c)
	}
}

// forwardViewerEnd passes the end of a session that is not known here on to the process that
// holds it. It is remembered, in case the session is handed over before that process reads it.
func (b *Broker) forwardViewerEnd(e ViewerEnd) {
	if c := b.claims[e.ID]; c != nil {
		b.endClaim(c, e)
		return
	}
	peers := b.claimablePeers()
	if b.peers == nil || len(peers) == 0 || len(b.endedElsewhere) >= maxEndedReplies {
		return
	}
	b.endedElsewhere[e.ID] = true
	b.timers.add(b.clock.now().Add(endedReplyRetention), timerForgetReply, e.ID, 0)
	for _, peer := range peers {
		b.peers.Send(peer, PeerMessage{Kind: PeerEnd, ID: e.ID, Cause: e.Cause})
	}
}

// endClaim handles the cancellation or the release of a claim's session by its player.
func (b *Broker) endClaim(c *claim, e ViewerEnd) {
	if c.client != e.Client || c.answered {
		c.closeAtClient()
	}
	b.sendToOwner(c, PeerMessage{Kind: PeerEnd, Cause: e.Cause})
	reply := Reply{Kind: ReplyFailed, ID: c.ID, Cause: CauseFailed}
	if c.answered {
		reply = Reply{Kind: ReplyEnded, ID: c.ID, Cause: e.Cause}
	}
	b.finishClaim(c, reply)
}

// expireClaim answers a claim whose deadline has come, and has the owner end the session.
func (b *Broker) expireClaim(c *claim) {
	if c.answered || b.clock.now().Before(c.deadline()) {
		return
	}
	b.log.Warn("claim answered at the deadline", zap.Uint64("session", uint64(c.ID)), zap.Int("awaited", len(c.awaited)))
	if c.Grace > 0 { // otherwise another viewer may watch the session that stands under the ID
		b.sendToOwner(c, PeerMessage{Kind: PeerEnd, Cause: CauseEnded})
	}
	b.failClaim(c)
}

// giveUpAwaiting handles the request of a claim that other processes leave unanswered.
func (b *Broker) giveUpAwaiting(c *claim) {
	if c.owner == 0 && c.session == nil {
		clear(c.awaited)
		b.resolveClaim(c)
	}
}

// sendToOwner sends m to the process that holds the session of a claim, or if none is known
// to all that may.
func (b *Broker) sendToOwner(c *claim, m PeerMessage) {
	m.ID, m.Claim = c.ID, c.number
	if c.owner != 0 {
		b.peers.Send(c.owner, m)
		return
	}
	for peer := range c.awaited {
		b.peers.Send(peer, m)
	}
}

// releaseClaimsOn continues the claims that waited for a process that has ended or handed over.
// What it handed over has been adopted.
func (b *Broker) releaseClaimsOn(peer PeerID) {
	for _, c := range maps.Clone(b.claims) {
		switch {
		case c.owner == peer:
			b.loseOwner(c)
		case c.awaited[peer]:
			delete(c.awaited, peer)
			c.unclear = c.unclear || !b.peersLeaving[peer]
			b.resolveClaim(c)
		}
	}
}

// loseOwner continues a claim whose owner has ended. The owner may have handed the session
// over to any other process, so these are asked.
func (b *Broker) loseOwner(c *claim) {
	c.unclear = true
	b.sendClaim(c, b.claimablePeers())
	b.resolveClaim(c)
}

// takeOwnerlessSession takes over the session of a claim that no other process holds any more.
func (b *Broker) takeOwnerlessSession(c *claim) {
	if b.adoptPlayer(*c.session) {
		return
	}
	r := Reply{Kind: ReplyEnded, ID: c.ID, Cause: CauseInterrupted}
	if c.client != nil && c.answered {
		c.client.Deliver(r)
	} else if c.client != nil {
		repeatReply(c.client, r)
	}
	b.finishClaim(c, r)
}
