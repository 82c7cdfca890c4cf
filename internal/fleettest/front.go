package fleettest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Times of the platform's load balancer, which the viewers follow.
const (
	readyPollInterval  = 100 * time.Millisecond // between two readiness requests to a manager
	rerouteDelay       = 200 * time.Millisecond // after a manager stops being ready, during which new connections still go to it
	unreachableTimeout = 2 * time.Second        // without an answer, after which a manager counts as not ready
	connIdleTime       = 500 * time.Millisecond // without open set-ups and sessions, after which a connection counts as idle: 0.2 s and a margin for a busy machine
	recentRequestAge   = 2 * time.Second        // up to which a request counts as recent
)

// pollReadiness polls each manager whether it takes viewers, so that new connections avoid those
// that do not. It records the answers and what connections the viewers hold.
func (vs *Viewers) pollReadiness(done <-chan struct{}) {
	for m, addr := range vs.ManagerAddrs {
		vs.goroutines.Go(func() {
			lastAnswer := time.Now()
			tick := time.NewTicker(readyPollInterval)
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-vs.stop:
					return
				case <-tick.C:
				}
				answered, ready := pingReady(addr)
				now := time.Now()
				if answered {
					lastAnswer = now
				}
				vs.mu.Lock()
				switch _, notReady := vs.notReadySince[m]; {
				case ready:
					delete(vs.notReadySince, m)
				case !notReady && (answered || now.Sub(lastAnswer) > unreachableTimeout):
					vs.notReadySince[m] = now
				}
				e := Event{Kind: FrontSampled, Manager: m, Ready: ready}
				for _, v := range vs.conns[m] {
					if v.closed {
						continue
					}
					if len(v.openSetUps) == 0 && v.established == 0 && now.Sub(v.lastUsedAt) > connIdleTime {
						e.IdleConns++
					}
					if vs.hasRecentRequest(v, now) {
						e.RecentConns++
					}
				}
				vs.mu.Unlock()
				vs.Record.Add(e)
			}
		})
	}
}

// hasRecentRequest reports whether a connection carries a recent request. A request that was
// refused does not count, nor does an unanswered one that is younger than readyPollInterval, which
// may still be refused. vs.mu must be held.
func (vs *Viewers) hasRecentRequest(v *viewerConn, now time.Time) bool {
	for id := range v.openSetUps {
		if age := now.Sub(vs.requests[id].sentAt); age > readyPollInterval && age < recentRequestAge {
			return true
		}
	}
	return now.Sub(v.lastTakenAt) < recentRequestAge
}

// pingReady asks once, on a connection of its own, whether a manager is ready.
func pingReady(addr string) (answered, ready bool) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false, false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, `{"type":"ping","id":"%016x","fields":{},"cause":0}`+"\n", 0xf407)
	line, err := bufio.NewReader(c).ReadBytes('\n')
	var m Message
	if err != nil || json.Unmarshal(line, &m) != nil || m.Type != "pong" {
		return false, false
	}
	return true, m.Cause == 1
}

// acceptsConns reports whether new connections go to a manager. vs.mu must be held.
func (vs *Viewers) acceptsConns(manager string) bool {
	since, notReady := vs.notReadySince[manager]
	return !notReady || time.Since(since) < rerouteDelay
}

// pickAccepting returns a manager for a set-up that cannot go to the given one: one of its hall,
// else of any hall, else the given one if none accepts viewers. vs.mu must be held.
func (vs *Viewers) pickAccepting(hall, manager string) string {
	for _, h := range []string{hall, ""} {
		for range 20 {
			if m := vs.pickManager(h); vs.acceptsConns(m) {
				return m
			}
		}
	}
	return manager
}

// ReportEstablished sends a manager set-ups with the extra `at` for its established sessions, as
// the platform does once the process that held them has ended. id returns a node's id on the list.
func (vs *Viewers) ReportEstablished(manager string, id func(node string) string) error {
	v, err := vs.dial(manager)
	if v == nil || err != nil {
		return err
	}
	vs.mu.Lock()
	var all []byte
	for s, r := range vs.requests {
		if r.manager != manager || !r.served || r.over {
			continue
		}
		line, _ := json.Marshal(map[string]any{"type": "setup", "id": s, "fields": map[string]string{
			"class": r.class, "left": strconv.FormatInt(vs.Load.TimeLeft.Milliseconds(), 10), "key": r.key,
			"extras": fmt.Sprintf("home:0;copies:%d;top:3;viewer:%s;at:%s", vs.TitleCopies, s, id(r.node))}, "sdp": "c=" + s + "\r\n"})
		all = append(append(all, line...), '\n')
		v.addEstablished(r)
	}
	vs.mu.Unlock()
	_, err = v.Write(all)
	return err
}

// nodeOfDescription returns the node that made a session description.
func nodeOfDescription(sdp string) string {
	node, _, _ := strings.Cut(sdp, ";")
	return node
}
