package rollout_test

import (
	"fmt"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
)

func ExampleRollout() {
	order := rollout.Order{Service: "huvo", To: "v2", Duration: duration}
	r := rollout.Begin(at(0), order, rollout.Bounds{Share: 0.1, Slack: 50}, 7, 0, nil)
	r.SetTargets([]fleet.TargetID{"a", "b"}, []fleet.TargetID{"c", "d"})

	// Exposure is reserved before it is used.
	fmt.Println(r.Allow(at(0), "/chat"))
	reservation := r.Tick(at(0), 0).Record
	r.Written(at(0), *reservation) // once the store has acknowledged it
	fmt.Println(r.Allow(at(0), "/chat"))

	// Every response of the new version fails on both targets.
	for i := range 12 {
		r.Sent(at(0), "/chat", []fleet.TargetID{"c", "d"}[i%2])
		r.Record(at(second), "/chat", []fleet.TargetID{"c", "d"}[i%2], "v2", rollout.Bad, 0)
	}
	verdict := r.Tick(at(second), 0).Record
	fmt.Println(verdict.Stage, r.Allow(at(second), "/chat"))

	// Output:
	// false
	// true
	// RolledBack false
}
