package server

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Two sets of rules that give a session without a class the same one, each by its
// own rule, and whose teams differ. Either holds for a whole request.
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

// TestRulesReloadedUnderLoad has the rules swapped over and over, faulty ones among
// them, while the mixed sessions run, a third of which name no class. Answers and
// bills are the same on both transports, and as if nothing had been swapped.
func TestRulesReloadedUnderLoad(t *testing.T) {
	unnamed := func(n int) string {
		if n%3 == 1 {
			return strings.Replace(setUpLine(n), `"class":"feed",`, "", 1)
		}
		return setUpLine(n)
	}
	swap := func(prog *manager, done <-chan struct{}) {
		for i := 0; ; i++ {
			select {
			case <-done:
				if i < 10 {
					t.Errorf("%d swaps only", i)
				}
				return
			case prog.signals <- syscall.SIGHUP:
				prog.reload <- "operator " + []string{rulesB, faultyRules, rulesA, rulesWithNewTeam}[i%4]
			}
			time.Sleep(time.Millisecond)
		}
	}
	lines := runSessions(t, false, rulesA, unnamed, swap)
	compareOutcomes(t, lines, runSessions(t, true, rulesA, unnamed, swap))
	compareOutcomes(t, lines, runSessions(t, false, "", setUpLine, nil))
}

// TestRulesOnBothFronts shows on both fronts what rules do to a set-up, that a repeated
// one is joined though the rules were swapped, and that faulty rules change
// nothing.
func TestRulesOnBothFronts(t *testing.T) {
	prog := startBurstManager(t, `team quick {
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
		conn, id := connect(t, prog, player), 1
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
	// With other rules the same set-up would have another team. It is still the same.
	conn := connect(t, prog, true)
	if err := conn.send(setUp(2000, "")); err != nil {
		t.Fatal(err)
	}
	receive(conn, `"answer"`)
	reload(prog, "operator rules {\n route all when class == none set class = feed\n}")
	secondConn := connect(t, prog, true)
	if err := secondConn.send(setUp(2000, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, `"answer"`)
	reload(prog, "operator rules {\n otherwise set class = clip\n}") // a feed would become a clip: the last set stays
	if err := secondConn.send(setUp(2001, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, `"answer"`)
	reload(prog, "operator ") // no rules any more
	if err := secondConn.send(setUp(2002, "")); err != nil {
		t.Fatal(err)
	}
	receive(secondConn, "no rule gives it one")
}

// reload has the program read a file, and waits until it has.
func reload(prog *manager, text string) {
	prog.signals <- syscall.SIGHUP
	prog.reload <- text
	prog.signals <- syscall.SIGHUP // the second is read once the first has been dealt with
	prog.reload <- text
}
