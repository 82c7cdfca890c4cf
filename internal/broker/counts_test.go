package broker

import "testing"

// BenchmarkCounts is what counting adds to a request: its answer and one attempt.
func BenchmarkCounts(b *testing.B) {
	c := NewCounters(2)
	b.ReportAllocs()
	for b.Loop() {
		c.CountAttempt()
		c.CountAnswer(1, ReplyServed)
	}
}
