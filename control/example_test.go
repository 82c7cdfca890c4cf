package control_test

import (
	"fmt"

	"millethinge/control"
)

// A session manager keeps one Controller and carries out its actions.
func Example() {
	front, err := control.New(control.Settings{
		Classes: []control.Class{{
			Effect: control.Idempotent, GoalS: 1, Worth: 1, Top: 2, Scale: 1,
		}},
		Fronts: 1, Cells: 1, Racks: 1, AttemptsCap: 3,
		RatesKB: []float64{250, 700, 2000}, LadderWorth: []float64{0.2, 0.6, 1},
		KindStreams: []int{40}, LinkKB: 10000, RackKB: 20000,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	front.Handle(0, control.Event{Kind: control.EvList, Entries: []control.Entry{
		{Server: 7, State: control.Ready, Weight: 1},
	}})
	for _, a := range front.Handle(0.5, control.Event{
		Kind: control.EvArrive, Session: 1, Title: 3, LeftS: 5, Span: 1, MaxRung: 2,
	}) {
		switch a.Kind {
		case control.ActRung:
			fmt.Println("session", a.Session, "at rung", a.Rung)
		case control.ActHandOff:
			fmt.Println("session", a.Session, "to server", a.Server)
		}
	}
	// Output:
	// session 1 at rung 2
	// session 1 to server 7
}
