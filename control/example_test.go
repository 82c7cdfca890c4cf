package control_test

import (
	"fmt"

	"millethinge/control"
)

// A session manager keeps one Controller and carries out its actions.
func Example() {
	front, err := control.New(control.Settings{
		Classes: []control.Class{{
			RepeatEffect: control.Idempotent, StartGoalS: 1, Worth: 1, TopRung: 2, RateScale: 1,
		}},
		Managers: 1, Cells: 1, Racks: 1, AttemptsCap: 3,
		RatesKB: []float64{250, 700, 2000}, LadderWorth: []float64{0.2, 0.6, 1},
		MaxStreamsByKind: []int{40}, LinkKBPerWeight: 10000, RackUplinkKB: 20000,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	front.Handle(0, control.Event{Kind: control.EventList, Entries: []control.Entry{
		{Server: 7, State: control.Ready, Weight: 1},
	}})
	for _, a := range front.Handle(0.5, control.Event{
		Kind: control.EventArrival, Session: 1, Title: 3, TimeLeftS: 5, Copies: 1, MaxRung: 2,
	}) {
		switch a.Kind {
		case control.ActionSetRung:
			fmt.Println("session", a.Session, "at rung", a.Rung)
		case control.ActionSetUp:
			fmt.Println("session", a.Session, "to server", a.Server)
		}
	}
	// Output:
	// session 1 at rung 2
	// session 1 to server 7
}
