package directory

import "time"

const (
	dialOverdue       = time.Second            // a connection that takes longer to open is overdue
	minResponseMargin = 500 * time.Millisecond // beyond the wait asked for, after which a response is overdue
	maxResponseMargin = 2 * time.Second        // the same, where the coordinator is known to be slow
	minPollPatience   = 8 * time.Second        // for an overdue response, from the request on
	maxPollPatience   = 64 * time.Second
)

// pollTiming decides when a response of the coordinator is overdue, so that another poll is made
// beside it, and how long an overdue one is still awaited. It reads no clock.
type pollTiming struct {
	margin   time.Duration // beyond the wait asked for
	patience patience
}

func newPollTiming() pollTiming {
	return pollTiming{margin: minResponseMargin, patience: patience{shortest: minPollPatience, longest: maxPollPatience}}
}

// overdueAfter returns the time from a poll that may be held for maxWait until its response is
// overdue.
func (t *pollTiming) overdueAfter(maxWait time.Duration) time.Duration { return maxWait + t.margin }

// giveUpAfter returns the time from a poll that may be held for maxWait until its response is not
// awaited any more.
func (t *pollTiming) giveUpAfter(maxWait time.Duration) time.Duration {
	return maxWait + max(t.patience.bound(), t.margin)
}

// heard records a response that came this long after its poll. The next response of a coordinator
// that is slow may be later by minResponseMargin without being overdue.
func (t *pollTiming) heard(took, maxWait time.Duration) {
	t.margin = min(max(took-maxWait+minResponseMargin, minResponseMargin), maxResponseMargin)
	t.patience.heard(took)
}

// gaveUp records a response that was awaited in vain.
func (t *pollTiming) gaveUp() { t.patience.ranOut() }
