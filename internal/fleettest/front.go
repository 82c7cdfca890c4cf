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

// Times of the platform's front.
const (
	readyPollInterval  = 100 * time.Millisecond // whether a manager is ready
	rerouteDelay       = 200 * time.Millisecond // to send new connections after a no
	unreachableTimeout = 2 * time.Second        // without a word a manager counts as dead
	connIdleTime       = 500 * time.Millisecond // a connection with nothing open counts as idle: 0.2 s, and what a busy machine adds
	recentRequestAge   = 2 * time.Second        // a request counts as of late
)

// pollReadiness asks each manager whether it takes viewers, and has new connections go
// elsewhere while one does not. It records what it hears and what viewers hold.
func (c *Viewers) pollReadiness(done <-chan struct{}) {
	for m, addr := range c.ManagerAddrs {
		c.goroutines.Go(func() {
			word := time.Now()
			tick := time.NewTicker(readyPollInterval)
			defer tick.Stop()
			for {
				select {
				case <-done:
					return
				case <-c.stop:
					return
				case <-tick.C:
				}
				heard, ready := pingReady(addr)
				now := time.Now()
				if heard {
					word = now
				}
				c.mu.Lock()
				switch _, refuses := c.notReadySince[m]; {
				case ready:
					delete(c.notReadySince, m)
				case !refuses && (heard || now.Sub(word) > unreachableTimeout):
					c.notReadySince[m] = now
				}
				e := Event{Kind: Fronted, Manager: m, Ready: ready}
				for _, v := range c.conns[m] {
					if v.closed {
						continue
					}
					if len(v.openSetUps) == 0 && v.established == 0 && now.Sub(v.lastUsedAt) > connIdleTime {
						e.Idle++
					}
					if c.hasRecentRequest(v, now) {
						e.Fresh++
					}
				}
				c.mu.Unlock()
				c.Record.Add(e)
			}
		})
	}
}

// hasRecentRequest tells, with the lock held, whether a connection holds a request of late. One
// that was refused counts as none, and one that is just on its way may be.
func (c *Viewers) hasRecentRequest(v *viewerConn, now time.Time) bool {
	for id := range v.openSetUps {
		if age := now.Sub(c.requests[id].sentAt); age > readyPollInterval && age < recentRequestAge {
			return true
		}
	}
	return now.Sub(v.lastTakenAt) < recentRequestAge
}

// pingReady asks once, on a connection of its own.
func pingReady(addr string) (heard, ready bool) {
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

// acceptsConns tells, with the lock held, whether new connections go to a manager.
func (c *Viewers) acceptsConns(manager string) bool {
	since, refuses := c.notReadySince[manager]
	return !refuses || time.Since(since) < rerouteDelay
}

// pickAccepting is, with the lock held, a manager for what can't go to one: of its hall or
// of any, and that one where none takes viewers.
func (c *Viewers) pickAccepting(hall, manager string) string {
	for _, h := range []string{hall, ""} {
		for range 20 {
			if m := c.pickManager(h); c.acceptsConns(m) {
				return m
			}
		}
	}
	return manager
}

// ReportEstablished tells a manager by set-ups with `at` what stands of its sessions, as is done
// once the process that had them is gone. id is a node's on the list.
func (c *Viewers) ReportEstablished(manager string, id func(node string) string) error {
	v, err := c.dial(manager)
	if v == nil || err != nil {
		return err
	}
	c.mu.Lock()
	var all []byte
	for s, a := range c.requests {
		if a.manager != manager || !a.served || a.over {
			continue
		}
		line, _ := json.Marshal(map[string]any{"type": "setup", "id": s, "fields": map[string]string{
			"class": a.class, "left": strconv.FormatInt(c.Load.TimeLeft.Milliseconds(), 10), "key": a.key,
			"extras": fmt.Sprintf("home:0;copies:%d;top:3;viewer:%s;at:%s", c.TitleCopies, s, id(a.node))}, "sdp": "c=" + s + "\r\n"})
		all = append(append(all, line...), '\n')
		v.addEstablished(a)
	}
	c.mu.Unlock()
	_, err = v.Write(all)
	return err
}

// nodeOfDescription is the node that made a description.
func nodeOfDescription(sdp string) string {
	node, _, _ := strings.Cut(sdp, ";")
	return node
}
