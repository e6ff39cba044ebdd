package plan_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
)

// A planner took brittle targets for sound as soon as a host reported an answer whose build does not know brittle
// targets. It reports answers since grants say Limited, and leaves Brittle out.
func TestHostThatDoesNotKnowBrittleTargetsSaysNothingOfThem(t *testing.T) {
	brittle, limit := intake.Brittle{Named: true, Rejections: 3}, intake.Limit{Named: true, Rate: 100}
	known := []intake.Known{{Target: "b0", Limit: limit}}
	for name, c := range map[string]struct {
		knew   bool // the host has named a brittle target before
		notice intake.Notice
		known  []intake.Known
		sound  bool
	}{
		"reports an answer":                {},
		"reports a limit":                  {notice: intake.Notice{Limit: limit}},
		"has read a limit":                 {known: known},
		"says that the target is sound":    {notice: intake.Notice{Sound: true}, sound: true},
		"has named a brittle target":       {knew: true, sound: true},
		"has done so, and has read limits": {knew: true, known: known, sound: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, newBrittleFleet(t, plainService, 1, 1).entries())
			now := at(0)
			submit := func(host fleet.HostID, known ...intake.Known) *plan.Grant {
				requestCount++
				req := newRequest(second, filePrompt("a")...)
				req.Service, req.Prompt, req.Host, req.Known = plainService, nil, host, known
				decision, _ := f.Submit(now, req)
				return decision.Grant
			}
			wait := func() {
				now = now.Add(10 * second)
				for _, decision := range f.Tick(now) {
					if decision.Grant != nil {
						f.Report(now, plan.Report{Number: decision.Grant.Number, Progress: plan.Done})
					}
				}
			}
			answer := func(host fleet.HostID, notice intake.Notice, known ...intake.Known) {
				g := submit(host, known...)
				if g == nil { // the limit begins to count
					wait()
					g = submit(host, known...)
				}
				require.NotNil(t, g)
				f.Report(now, plan.Report{Number: g.Number, Progress: plan.Answered, Notice: notice})
				f.Report(now, plan.Report{Number: g.Number, Progress: plan.Done})
				wait()
			}
			answer("another", intake.Notice{Brittle: brittle})
			if c.knew {
				answer("host", intake.Notice{Brittle: brittle})
			}
			answer("host", c.notice, c.known...)
			if g := submit("another"); g != nil {
				f.Report(now, plan.Report{Number: g.Number, Progress: plan.Done})
			}
			wait()
			granted := 0
			for range brittleSlots + 1 {
				if submit("another") != nil {
					granted++
				}
			}
			if c.sound {
				require.Greater(t, granted, brittleSlots)
			} else {
				require.LessOrEqual(t, granted, brittleSlots)
			}
		})
	}
}
