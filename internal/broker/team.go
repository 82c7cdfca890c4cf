package broker

import (
	"time"

	"millethinge/control"
)

// capRetryAfter is how long a viewer should stay away whom a cap refuses for now.
const capRetryAfter = time.Second

// Team is one team's contract and budget.
type Team struct {
	Name               string
	Classes            []bool        // by class: whether the team may use it
	SessionsPerS       float64       // sessions a second over all managers; 0: no quota
	MaxSessions        int           // most sessions set up or playing here; 0: no cap
	MaxBilledSetUps    int           // billed set-ups in a period; 0: no cap
	MaxFurtherAttempts int           // further attempts in a period; 0: no cap
	BudgetPeriod       time.Duration // of the budget
}

// teamLedger is what a team has used.
type teamLedger struct {
	Team
	sessions        int
	periodStart     time.Time // when the period began
	billedSetUps    int
	furtherAttempts int
}

func newLedgers(teams []Team, firstTeam int) []teamLedger {
	ledgers := make([]teamLedger, firstTeam, firstTeam+len(teams)) // the platform's own tenants have no caps
	for _, t := range teams {
		ledgers = append(ledgers, teamLedger{Team: t})
	}
	return ledgers
}

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

// admit holds a request against its team's hard caps before any attempt. Where
// a cap binds it tells how long to stay away.
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

// takeFurtherAttempt takes a further attempt from the team's budget.
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

// releaseTeamSession gives a session's place back.
func (b *Broker) releaseTeamSession(s *session) {
	if s.countedInTeam {
		b.ledgers[s.Team].sessions--
	}
}
