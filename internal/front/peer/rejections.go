package peer

import "sync/atomic"

// Rejection is why a connection or a message of a client was rejected.
type Rejection uint8

// Kinds of a Rejection.
const (
	RejectedMalformed      Rejection = iota // a message that is not valid
	RejectedTooManyFields                   // a message with more fields than any has
	RejectedTooManyHeaders                  // a handshake or an operator's call with more header lines than any has
	RejectedTooLong                         // a message over the size limit
	RejectedIncomplete                      // no complete message came in time
	RejectedEvicted                         // closed for another connection, at the limit
	RejectedNoRoom                          // not accepted, since no connection could be closed for it
	rejectionKinds
)

// String returns the name under which operators see it.
func (r Rejection) String() string {
	return [...]string{"malformed", "too_many_fields", "too_many_headers", "too_long", "incomplete", "evicted", "no_room"}[r]
}

// Rejections counts rejections since the start. A nil Rejections counts nothing.
type Rejections struct{ counts [rejectionKinds]atomic.Int64 }

// Count counts one rejection.
func (r *Rejections) Count(kind Rejection) {
	if r != nil {
		r.counts[kind].Add(1)
	}
}

// Counts returns the counts by name.
func (r *Rejections) Counts() map[string]int64 {
	counts := make(map[string]int64, rejectionKinds)
	for kind := range rejectionKinds {
		counts[kind.String()] = r.counts[kind].Load()
	}
	return counts
}
