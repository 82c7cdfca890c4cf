package broker

import "testing"

// BenchmarkCounts measures what counting adds to a request with one attempt and its answer.
func BenchmarkCounts(b *testing.B) {
	c := NewCounters(2)
	b.ReportAllocs()
	for b.Loop() {
		c.CountAttempt()
		c.CountAnswer(1, ReplyServed)
	}
}
