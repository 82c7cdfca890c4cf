package broker

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Other processes of this manager run beside this one in an upgrade, and the kernel may give a
// player's new socket to any of them. A process that is asked for a session it does not know
// claims it from the others first (claim.go). The process that holds the session goes on with
// it, and sends its replies to the claimant, which is a Client like any other
// (remoteClient).

// PeerID identifies another process of this manager: its start, as Unix time in ns.
type PeerID int64

// Peers sends messages to other processes of this manager.
type Peers interface {
	// Send queues a message. It does not block. Messages to one process arrive in order.
	Send(to PeerID, m PeerMessage)
}

// PeerMessageKind is the kind of a PeerMessage.
type PeerMessageKind uint8

// Kinds of a PeerMessage. They are stored in files: the numbers must not change.
const (
	PeerClaim   PeerMessageKind = iota + 1 // a player asks for a session here: SetUp
	PeerOwned                              // answers a claim: the sender holds the session; replies follow
	PeerUnknown                            // answers a claim: the sender does not hold the session
	PeerReply                              // a reply for the player: Reply, and Session if it is ReplyServed
	PeerLost                               // the player's connection is lost
	PeerEnd                                // the player cancels the set-up or ends the session: Cause
)

// PeerMessage is a message between two processes of a manager about one session. It is stored in
// a file: the numbers and types of the fields must not change.
type PeerMessage struct {
	Kind    PeerMessageKind   `cbor:"1,keyasint"`
	ID      control.SessionID `cbor:"2,keyasint"`
	Claim   uint64            `cbor:"3,keyasint"` // number of the claim that it belongs to; the claimant assigns it
	SetUp   *PlayerSetUp      `cbor:"4,keyasint,omitempty"`
	Reply   *StoredReply      `cbor:"5,keyasint,omitempty"`
	Session *PlayerSession    `cbor:"6,keyasint,omitempty"`
	Cause   int               `cbor:"7,keyasint,omitempty"`
}

// PlayerSetUp is a player's set-up as it was read. It is stored in a file: the numbers and types
// of the fields must not change.
type PlayerSetUp struct {
	RequestedClass int     `cbor:"1,keyasint"`
	RequestedTeam  int     `cbor:"2,keyasint"`
	Class          int     `cbor:"3,keyasint"`
	Team           int     `cbor:"4,keyasint"`
	Key            string  `cbor:"5,keyasint"`
	Title          uint64  `cbor:"6,keyasint"`
	Home           int     `cbor:"7,keyasint"`
	Copies         int     `cbor:"8,keyasint"`
	MaxRung        float64 `cbor:"9,keyasint"`
	Description    []byte  `cbor:"10,keyasint"`
	GraceNS        int64   `cbor:"11,keyasint"`
	ReceivedAtNS   int64   `cbor:"12,keyasint"` // Unix time in ns
}

// StoredReply is a Reply as it is stored in a file: the numbers and types of the fields must not
// change.
type StoredReply struct {
	Kind         ReplyKind `cbor:"1,keyasint"`
	Cause        int       `cbor:"2,keyasint"`
	RetryAfterNS int64     `cbor:"3,keyasint"`
	Reason       string    `cbor:"4,keyasint"`
	Description  []byte    `cbor:"5,keyasint"`
}

func newPlayerSetUp(r *Request) *PlayerSetUp {
	return &PlayerSetUp{r.Requested.Class, r.Requested.Team, r.Class, r.Team, r.Key, r.Title, r.Home, r.Copies, r.MaxRung,
		r.Description, int64(r.Grace), r.ReceivedAt.UnixNano()}
}

// request returns the set-up as a Request of client.
func (p *PlayerSetUp) request(id control.SessionID, client Client) Request {
	r := Request{ID: id, Class: p.Class, Team: p.Team, Key: p.Key, Title: p.Title, Home: p.Home, Copies: p.Copies, MaxRung: p.MaxRung,
		Description: p.Description, Grace: time.Duration(p.GraceNS), ReceivedAt: time.Unix(0, p.ReceivedAtNS), Client: client}
	r.Requested.Class, r.Requested.Team = p.RequestedClass, p.RequestedTeam
	return r
}

func newStoredReply(r Reply) *StoredReply {
	return &StoredReply{r.Kind, r.Cause, int64(r.RetryAfter), r.Reason, r.Description}
}

// reply returns the reply to the session id.
func (s *StoredReply) reply(id control.SessionID) Reply {
	return Reply{Kind: s.Kind, ID: id, Cause: s.Cause, RetryAfter: time.Duration(s.RetryAfterNS), Reason: s.Reason, Description: s.Description}
}

// remoteClient is the Client of a player whose socket another process has.
type remoteClient struct {
	broker *Broker
	peer   PeerID
	id     control.SessionID
	claim  uint64
}

// Deliver implements Client. Only the broker's goroutine calls it.
func (c remoteClient) Deliver(r Reply) bool {
	m := PeerMessage{Kind: PeerReply, ID: c.id, Claim: c.claim, Reply: newStoredReply(r)}
	if s := c.broker.sessions[c.id]; s != nil && r.Kind == ReplyServed {
		session := c.broker.playerSession(s)
		m.Session = &session
	}
	c.broker.peers.Send(c.peer, m)
	return true
}

// Gone implements Client. That the player's connection is lost is told by a PeerLost.
func (remoteClient) Gone(control.SessionID) bool { return false }

// Messages to the actor about other processes.
type (
	peerMessage struct {
		from PeerID
		PeerMessage
	}
	peersUpdate struct{ alive []PeerID }
)

// HandlePeerMessage queues a message that another process has sent.
func (b *Broker) HandlePeerMessage(from PeerID, m PeerMessage) { b.inbox.Force(peerMessage{from, m}) }

// UpdatePeers queues the list of the other processes that take part in claims. What a process
// that is no longer among them has sent or handed over must be queued before.
func (b *Broker) UpdatePeers(alive []PeerID) { b.inbox.Force(peersUpdate{alive}) }

func (b *Broker) handlePeerMessage(m peerMessage) {
	client := remoteClient{b, m.from, m.ID, m.Claim}
	switch m.Kind {
	case PeerClaim:
		// Once this process has handed over, the successor knows what was held here. Once the
		// other one has, its sockets are closing.
		if m.SetUp != nil && !b.leftToSuccessor && !b.peersLeaving[m.from] {
			b.handleClaim(client, m.SetUp)
		}
	case PeerLost:
		if s := b.sessions[m.ID]; s != nil && s.client == Client(client) {
			b.loseClient(s)
		}
	case PeerEnd:
		if b.sessions[m.ID] == nil {
			return // it is over, or another process has it
		}
		b.handleViewerEnd(ViewerEnd{ID: m.ID, Cause: m.Cause, Client: client})
	case PeerOwned, PeerUnknown, PeerReply:
		b.handleClaimAnswer(m)
	}
}

// handleClaim answers another process that has read a set-up: it gets the session if it is held
// here, or the kept reply to it.
func (b *Broker) handleClaim(client remoteClient, setUp *PlayerSetUp) {
	r := setUp.request(client.id, client)
	s := b.sessions[client.id]
	previous, kept := b.endedReplies[client.id]
	held := s != nil || kept
	if !held {
		b.log.Debug("unknown session claimed by another process", zap.Uint64("session", uint64(client.id)), zap.Int64("process", int64(client.peer)))
		b.yieldClaim(client.id, r.ReceivedAt)
		b.peers.Send(client.peer, PeerMessage{Kind: PeerUnknown, ID: client.id, Claim: client.claim})
		return
	}
	b.log.Info("session claimed by another process", zap.Uint64("session", uint64(client.id)), zap.Int64("process", int64(client.peer)),
		zap.Bool("in flight", s != nil && s.inFlight))
	b.peers.Send(client.peer, PeerMessage{Kind: PeerOwned, ID: client.id, Claim: client.claim})
	switch {
	case r.Grace <= 0:
		// Guard: a viewer has asked for it before, and can't come back to it. It may have run.
		client.Deliver(Reply{Kind: ReplyFailed, ID: client.id, Cause: CauseFailed})
	case s == nil:
		repeatReply(client, previous)
	case s.client != nil && r.ReceivedAt.Before(s.requestedAt):
		// Guard: a claim may come late. The player has asked on its present connection since.
		client.Deliver(Reply{Kind: ReplyAbandoned, ID: client.id})
	default:
		b.rejoin(s, r)
	}
}

// handlePeersUpdate takes notice of processes that have started or ended.
func (b *Broker) handlePeersUpdate(alive []PeerID) {
	for _, peer := range b.peersAlive {
		if !slices.Contains(alive, peer) {
			b.handlePeerGone(peer)
		}
	}
	b.peersAlive = alive
}

// handlePeerGone takes over what a process that has ended has left, and ends what it leaves open.
func (b *Broker) handlePeerGone(peer PeerID) {
	if last := b.playersOf[peer]; last != nil {
		b.adoptPlayers(peer, last)
	}
	delete(b.playersOf, peer)
	for _, s := range b.sessions {
		if client, ok := s.client.(remoteClient); ok && client.peer == peer {
			b.loseClient(s)
		}
	}
	b.releaseClaimsOn(peer)
	delete(b.peersLeaving, peer)
}
