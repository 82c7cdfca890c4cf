package pause

import (
	"testing"
	"time"
)

func TestDetector(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var d Detector
	if d.Heartbeat(at(0)) != 0 || d.Stale(at(0)) {
		t.Fatal("the first heartbeat is reported as a pause")
	}
	for ms := 100; ms <= 1000; ms += 100 {
		if d.Heartbeat(at(ms)) != 0 || d.Stale(at(ms)) {
			t.Fatal("a running program is reported as paused or stale")
		}
	}
	if d.Heartbeat(at(1800)) != 0 {
		t.Error("a gap of 800 ms is reported as a pause")
	}
	if got := d.Heartbeat(at(7800)); got != 6*time.Second || !d.Stale(at(7800)) {
		t.Errorf("a pause of 6 s is reported as %v, or not as stale", got)
	}
	if d.Heartbeat(at(7801)) != 0 || d.Heartbeat(at(7700)) != 0 {
		t.Error("a pause is reported twice")
	}
	if d.Refreshed(at(7799)); !d.Stale(at(7810)) {
		t.Error("no longer stale after the answer to a request from before the end of the pause")
	}
	if d.Refreshed(at(7802)); d.Stale(at(7811)) {
		t.Error("still stale after the answer to a request from after the pause")
	}
	if d.Heartbeat(at(9000)) == 0 || !d.Stale(at(9900)) || d.Stale(at(10001)) {
		t.Error("a second pause is not reported, not stale for 900 ms, or stale for more than a second")
	}
	d.Threshold = ThresholdForGrace(400 * time.Millisecond)
	d.Reset(at(40_000))
	if d.Heartbeat(at(40_200)) != 0 || d.Heartbeat(at(40_401)) == 0 {
		t.Error("with a grace of 400 ms, a gap of 200 ms is reported as a pause, or one of 201 ms is not")
	}
	if got := ThresholdForGrace(time.Second); got != defaultThreshold {
		t.Errorf("threshold for a grace of 1 s is %v", got)
	}
	d.Reset(at(50_000))
	if d.Heartbeat(at(50_100)) != 0 || d.Stale(at(50_100)) {
		t.Error("the gap before Reset is reported as a pause")
	}
}
