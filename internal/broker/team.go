package broker

import (
	"time"

	"millethinge/control"
)

// capRetryAfter is the RetryAfter of a request that a team's cap on classes or sessions
// refuses.
const capRetryAfter = time.Second

// Team is the contract and the budget of one team.
type Team struct {
	Name               string
	Classes            []bool        // by class, whether the team may use it; empty: it may use all
	SessionsPerS       float64       // quota of sessions a second over all managers; 0: no quota
	MaxSessions        int           // cap on sessions that are set up or play at this manager; 0: no cap
	MaxBilledSetUps    int           // cap on billed set-ups in a budget period; 0: no cap
	MaxFurtherAttempts int           // cap on attempts after a session's first in a budget period; 0: no cap
	BudgetPeriod       time.Duration // length of a budget period
}

// teamLedger counts a team's use of its contract and budget at this manager.
type teamLedger struct {
	Team
	sessions        int // being set up or playing
	periodStart     time.Time
	billedSetUps    int // since periodStart
	furtherAttempts int // since periodStart
}

func newLedgers(teams []Team, firstTeam int) []teamLedger {
	ledgers := make([]teamLedger, firstTeam, firstTeam+len(teams)) // the platform's tenants have no caps
	for _, t := range teams {
		ledgers = append(ledgers, teamLedger{Team: t})
	}
	return ledgers
}

// ledger returns the ledger of the session's team, after starting a new budget period if the
// last one is over. It returns nil if the session has no team.
func (b *Broker) ledger(now time.Time, s *session) *teamLedger {
	if s.Team < 0 || s.Team >= len(b.ledgers) {
		return nil
	}
	l := &b.ledgers[s.Team]
	if l.BudgetPeriod > 0 && now.Sub(l.periodStart) >= l.BudgetPeriod {
		l.periodStart, l.billedSetUps, l.furtherAttempts = now, 0, 0
	}
	return l
}

// admit checks a request against its team's caps before the first attempt, and counts it.
// If a cap refuses the request, admit returns the time after which to retry, and false.
func (b *Broker) admit(now time.Time, s *session) (time.Duration, bool) {
	l := b.ledger(now, s)
	if l == nil {
		return 0, true
	}
	billed := b.settings.Classes[s.Class].RepeatEffect != control.Idempotent
	switch {
	case len(l.Classes) > 0 && !l.Classes[s.Class]:
		return capRetryAfter, false
	case l.MaxSessions > 0 && l.sessions >= l.MaxSessions:
		return capRetryAfter, false
	case billed && l.MaxBilledSetUps > 0 && l.billedSetUps >= l.MaxBilledSetUps:
		return l.periodStart.Add(l.BudgetPeriod).Sub(now), false
	}
	l.sessions++
	s.countedInTeam = true
	if billed {
		l.billedSetUps++
	}
	return 0, true
}

// takeFurtherAttempt takes an attempt after the session's first from the team's budget. It
// reports whether the attempt may be made.
func (b *Broker) takeFurtherAttempt(now time.Time, s *session) bool {
	l := b.ledger(now, s)
	if l == nil || s.attemptNumber <= 1 || l.MaxFurtherAttempts == 0 {
		return true
	}
	if l.furtherAttempts >= l.MaxFurtherAttempts {
		return false
	}
	l.furtherAttempts++
	return true
}

// releaseTeamSession stops counting a session against its team's MaxSessions.
func (b *Broker) releaseTeamSession(s *session) {
	if s.countedInTeam {
		b.ledgers[s.Team].sessions--
	}
}
