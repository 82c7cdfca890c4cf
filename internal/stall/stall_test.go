package stall

import (
	"testing"
	"time"
)

func TestWatch(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var w Watch
	if w.Beat(at(0)) != 0 || w.Held(at(0)) {
		t.Fatal("the first beat is no stand")
	}
	for ms := 100; ms <= 1000; ms += 100 {
		if w.Beat(at(ms)) != 0 || w.Held(at(ms)) {
			t.Fatal("a program that runs is held back")
		}
	}
	if w.Beat(at(1800)) != 0 {
		t.Error("800 ms are told as a stand")
	}
	if got := w.Beat(at(7800)); got != 6*time.Second || !w.Held(at(7800)) {
		t.Errorf("a stand of 6 s told as %v", got)
	}
	if w.Beat(at(7801)) != 0 || w.Beat(at(7700)) != 0 {
		t.Error("told twice")
	}
	if w.Fresh(at(7799)); !w.Held(at(7810)) {
		t.Error("let go by an answer from before the end of the stand")
	}
	if w.Fresh(at(7802)); w.Held(at(7811)) {
		t.Error("held back after a fresh answer")
	}
	if w.Beat(at(9000)) == 0 || !w.Held(at(9900)) || w.Held(at(10001)) {
		t.Error("held back for other than at most a second")
	}
	w.After = Within(400 * time.Millisecond)
	w.Start(at(40_000))
	if w.Beat(at(40_200)) != 0 || w.Beat(at(40_401)) == 0 {
		t.Error("200 ms are told as a stand, or 201 are not, where 400 are allowed")
	}
	if got := Within(time.Second); got != usualAfter {
		t.Errorf("%v for a grace of a second", got)
	}
	w.Start(at(50_000))
	if w.Beat(at(50_100)) != 0 || w.Held(at(50_100)) {
		t.Error("a start is taken for a stand")
	}
}
