package server

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Operators' files. rulesA and rulesB give a session without a class the same class by
// different rules, and differ in teams. Each request must be routed by one of them throughout.
const (
	ruleTeams = "team a {\n rate 0\n}\nteam b {\n rate 0\n}\n"
	rulesA    = ruleTeams + `rules {
	route unnamed when class == none set class = feed, team = a, key = "a"
	route named when class in [clip, feed] set team = a, key = "a"
}`
	rulesB = ruleTeams + `rules {
	define who if class == clip then b else team("b")
	route unnamed when class == none and copies > 0 set class = feed, team = who, key = text(who)
	otherwise set team = who, key = text(who)
}`
	faultyRules      = ruleTeams + "rules {\n route x when class == feed set class = clip\n}"
	rulesWithNewTeam = ruleTeams + "team c {\n rate 1\n}\nrules {\n otherwise set team = c\n}"
)

// TestRulesReloadedUnderLoad reloads rules over and over, some of them faulty, while the
// mixed sessions run, a third of which name no class. Answers and the nodes' counts must be
// the same on both transports, and the same as without reloads.
func TestRulesReloadedUnderLoad(t *testing.T) {
	unnamed := func(n int) string {
		if n%3 == 1 {
			return strings.Replace(setUpLine(n), `"class":"feed",`, "", 1)
		}
		return setUpLine(n)
	}
	swap := func(mgr *manager, done <-chan struct{}) {
		for i := 0; ; i++ {
			select {
			case <-done:
				if i < 10 {
					t.Errorf("only %d reloads", i)
				}
				return
			case mgr.signals <- syscall.SIGHUP:
				mgr.reload <- "operator " + []string{rulesB, faultyRules, rulesA, rulesWithNewTeam}[i%4]
			}
			time.Sleep(time.Millisecond)
		}
	}
	lines := runSessions(t, false, rulesA, unnamed, swap)
	compareOutcomes(t, lines, runSessions(t, true, rulesA, unnamed, swap))
	compareOutcomes(t, lines, runSessions(t, false, "", setUpLine, nil))
}

// TestRulesOnBothFronts checks how rules route set-ups on both fronts, that a repeated
// set-up joins its session although the rules have changed meanwhile, and that faulty rules
// are not put into effect.
func TestRulesOnBothFronts(t *testing.T) {
	mgr := startBurstManager(t, `team quick {
	classes clip
}
rules {
	route tills when class == none and extra("till") ?? "" == "7" set class = clip, team = quick
	route barred when front == "websocket" and has(field("bar")) and class != none set team = quick
}
viewers {
	reasons on
}`)
	setUp := func(id int, fields string) string {
		return fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{%s"left":"20000","key":"1","extras":"home:0;copies:1;top:1;till:7"},"sdp":"d"}`, id, fields)
	}
	receive := func(conn messageConn, want string) {
		t.Helper()
		if answer, err := conn.receive(); err != nil || !strings.Contains(string(answer), want) {
			t.Errorf("%q, %v, want %q", answer, err, want)
		}
	}
	for _, player := range []bool{false, true} {
		conn, id := connect(t, mgr, player), 1
		if player {
			id = 1000
		}
		send := func(id int, fields string) {
			if err := conn.send(setUp(id, fields)); err != nil {
				t.Fatal(err)
			}
		}
		send(id, "")
		receive(conn, `"answer"`)
		send(id+1, `"class":"fed",`)
		receive(conn, "unknown class")
		send(id+2, `"class":"clip",`)
		receive(conn, `"answer"`)
		if !player {
			send(id+3, `"bar":"1","class":"clip",`)
			receive(conn, `"answer"`)
		}
	}
	// By the new rules the repeated set-up would have another team. It still joins its session.
	conn := connect(t, mgr, true)
	if err := conn.send(setUp(2000, "")); err != nil {
		t.Fatal(err)
	}
	receive(conn, `"answer"`)
	reload(mgr, "operator rules {\n route all when class == none set class = feed\n}")
	secondConn := connect(t, mgr, true)
	if err := secondConn.send(setUp(2000, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, `"answer"`)
	reload(mgr, "operator rules {\n otherwise set class = clip\n}") // faulty, since a feed would become a clip: the earlier rules stay
	if err := secondConn.send(setUp(2001, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, `"answer"`)
	reload(mgr, "operator ") // a file without rules
	if err := secondConn.send(setUp(2002, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, "no rule gives it one")
}

// reload has the manager reload its configuration from text, and waits until it has done so.
func reload(mgr *manager, text string) {
	mgr.signals <- syscall.SIGHUP
	mgr.reload <- text
	mgr.signals <- syscall.SIGHUP // the second reload begins after the first has ended
	mgr.reload <- text
}
