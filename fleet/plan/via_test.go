package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
)

// Load pattern: a host that is cut off fails at targets now and then, and else has another host send its requests.
// What that one meets is no word of the host that is cut off: its answers do not show that this one reaches targets,
// and the failures that it meets count.
func TestRelayedRequestsTellOfTheHostThatSendsThem(t *testing.T) {
	const length, step = 3 * second, 20 * time.Millisecond
	f := newFleet(t, engines(6))
	var changes []plan.CutOffChange
	report := func(now fleet.Instant, host, via fleet.HostID, progress plan.Progress) {
		req := newRequest(0, filePrompt(fmt.Sprint(requestCount))...)
		req.Host = host
		decision, ok := f.Submit(now, req)
		if !ok || decision.Grant == nil {
			return
		}
		f.Report(now, plan.Report{Number: decision.Grant.Number, Progress: progress, Via: via})
		f.Tick(now)
		changes = append(changes, f.CutOffChanges()...)
	}
	now := at(0)
	for i := 0; now < at(length); i++ {
		now = now.Add(step)
		report(now, "sound", "", plan.Done)
		report(now, "sound", "", plan.Done)
		if i%3 == 0 {
			report(now, "cut", "", plan.Unreachable)
		} else {
			report(now, "cut", "sound", plan.Done)
		}
	}
	require.Equal(t, []bool{true}, cutOffs(changes), "%v", changes)
	uncounted := f.Stats().Uncounted
	report(now, "cut", "sound", plan.Failed)
	require.Equal(t, uncounted, f.Stats().Uncounted, "the host that is not cut off has met it")
	report(now, "cut", "", plan.Failed)
	require.Equal(t, uncounted+1, f.Stats().Uncounted)
}

func cutOffs(changes []plan.CutOffChange) []bool {
	var result []bool
	for _, c := range changes {
		result = append(result, c.CutOff)
	}
	return result
}
