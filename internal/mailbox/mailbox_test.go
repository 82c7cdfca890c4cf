package mailbox

import (
	"slices"
	"testing"
)

func TestPutForceTake(t *testing.T) {
	b := New[int](2)
	if !b.Put(1) || !b.Put(2) || b.Put(3) {
		t.Error("the limit does not bind")
	}
	b.Force(4)
	<-b.Ready()
	if got := b.Take(nil); !slices.Equal(got, []int{1, 2, 4}) || !b.Empty() {
		t.Errorf("took %v", got)
	}
}

// Two actors that flood each other's full boxes both go on: putting never waits.
func TestNoDeadlock(t *testing.T) {
	a, b := New[int](1), New[int](1)
	done := make(chan bool)
	actor := func(in, out *Box[int]) {
		for range 1000 {
			out.Put(1)
			out.Force(2)
			in.Take(nil)
		}
		done <- true
	}
	go actor(a, b)
	go actor(b, a)
	<-done
	<-done
}
