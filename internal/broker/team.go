package broker

import (
	"time"

	"millethinge/control"
)

// capWait is how long a viewer should stay away whom a cap refuses for now.
const capWait = time.Second

// Team is one team's contract and budget.
type Team struct {
	Name     string
	Classes  []bool        // by class: whether the team may use it
	Rate     float64       // sessions a second over all managers; 0: no quota
	Standing int           // most sessions set up or playing here; 0: no cap
	SetUps   int           // billed set-ups in a period; 0: no cap
	Extra    int           // further attempts in a period; 0: no cap
	Period   time.Duration // of the budget
}

// ledger is what a team has used.
type ledger struct {
	Team
	standing int
	since    time.Time // when the period began
	setUps   int
	extra    int
}

func newLedgers(teams []Team, first int) []ledger {
	ledgers := make([]ledger, first, first+len(teams)) // the platform's own tenants have no caps
	for _, t := range teams {
		ledgers = append(ledgers, ledger{Team: t})
	}
	return ledgers
}

func (b *Broker) ledger(now time.Time, s *session) *ledger {
	if s.Team < 0 || s.Team >= len(b.ledgers) {
		return nil
	}
	l := &b.ledgers[s.Team]
	if l.Period > 0 && now.Sub(l.since) >= l.Period {
		l.since, l.setUps, l.extra = now, 0, 0
	}
	return l
}

// admit holds a request against its team's hard caps before any attempt. Where
// a cap binds it tells how long to stay away.
func (b *Broker) admit(now time.Time, s *session) (time.Duration, bool) {
	l := b.ledger(now, s)
	if l == nil {
		return 0, true
	}
	billed := b.set.Classes[s.Class].RepeatEffect != control.Idempotent
	switch {
	case len(l.Classes) > 0 && !l.Classes[s.Class]:
		return capWait, false
	case l.Standing > 0 && l.standing >= l.Standing:
		return capWait, false
	case billed && l.SetUps > 0 && l.setUps >= l.SetUps:
		return l.since.Add(l.Period).Sub(now), false
	}
	l.standing++
	s.billed = true
	if billed {
		l.setUps++
	}
	return 0, true
}

// spend takes a further attempt from the team's budget.
func (b *Broker) spend(now time.Time, s *session) bool {
	l := b.ledger(now, s)
	if l == nil || s.attempt <= 1 || l.Extra == 0 {
		return true
	}
	if l.extra >= l.Extra {
		return false
	}
	l.extra++
	return true
}

// settle gives a session's place back.
func (b *Broker) settle(s *session) {
	if s.billed {
		b.ledgers[s.Team].standing--
	}
}
