package stall

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var d Detector
	if d.Heartbeat(at(0)) != 0 || d.Stale(at(0)) {
		t.Fatal("the first beat is no stand")
	}
	for ms := 100; ms <= 1000; ms += 100 {
		if d.Heartbeat(at(ms)) != 0 || d.Stale(at(ms)) {
			t.Fatal("a program that runs is held back")
		}
	}
	if d.Heartbeat(at(1800)) != 0 {
		t.Error("800 ms are told as a stand")
	}
	if got := d.Heartbeat(at(7800)); got != 6*time.Second || !d.Stale(at(7800)) {
		t.Errorf("a stand of 6 s told as %v", got)
	}
	if d.Heartbeat(at(7801)) != 0 || d.Heartbeat(at(7700)) != 0 {
		t.Error("told twice")
	}
	if d.Refreshed(at(7799)); !d.Stale(at(7810)) {
		t.Error("let go by an answer from before the end of the stand")
	}
	if d.Refreshed(at(7802)); d.Stale(at(7811)) {
		t.Error("held back after a fresh answer")
	}
	if d.Heartbeat(at(9000)) == 0 || !d.Stale(at(9900)) || d.Stale(at(10001)) {
		t.Error("held back for other than at most a second")
	}
	d.Threshold = ThresholdForGrace(400 * time.Millisecond)
	d.Reset(at(40_000))
	if d.Heartbeat(at(40_200)) != 0 || d.Heartbeat(at(40_401)) == 0 {
		t.Error("200 ms are told as a stand, or 201 are not, where 400 are allowed")
	}
	if got := ThresholdForGrace(time.Second); got != defaultThreshold {
		t.Errorf("%v for a grace of a second", got)
	}
	d.Reset(at(50_000))
	if d.Heartbeat(at(50_100)) != 0 || d.Stale(at(50_100)) {
		t.Error("a start is taken for a stand")
	}
}
