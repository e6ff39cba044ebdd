package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/roster"
)

// Load pattern: a host takes the duty over while a target that crashed under a bad request is
// still gone. What stands before it ends all requests early, and sound ones that come often were
// beside the bad one before.
func TestTargetGoneBeforeTenureHasNotCrashed(t *testing.T) {
	f := newFleet(t, []roster.Target{{ID: "p", Service: plainService, Address: "10.0.1.1:1", DataCentre: "a", Slots: 6}})
	list := quarantine.List{{Request: badRequest, Workspace: "w", Crashes: 2}, {Request: "often", Workspace: "w", Crashes: 2}}
	f.RestoreQuarantine(at(0), list)
	f.BeginTenure(at(0), 0)
	probe := func(now time.Duration, accepted bool) {
		for _, due := range f.DueProbes() {
			f.RecordProbe(at(now), due.Target, accepted)
		}
	}
	send := func(now time.Duration, fingerprint quarantine.Fingerprint, progress plan.Progress) bool {
		requestCount++
		req := &plan.Request{
			ID: fleet.RequestID(fmt.Sprint("r", requestCount)), Host: "h", Near: "a", Service: plainService, Workspace: "w",
			Fingerprint: fingerprint, Objective: second, Deadline: second,
		}
		decision, _ := f.Submit(at(now), req)
		if decision.Grant == nil {
			f.Cancel(req)
			return false
		}
		f.Report(at(now), plan.Report{Number: decision.Grant.Number, Progress: progress})
		return true
	}
	for now := time.Duration(0); now < second; now += 50 * time.Millisecond {
		for _, fingerprint := range []quarantine.Fingerprint{"often", "other"} {
			send(now, fingerprint, plan.Failed)
			probe(now, false)
		}
		f.Tick(at(now))
	}
	require.Equal(t, list, f.Quarantine(), "the target was gone before")
	for _, now := range []time.Duration{second + 200*time.Millisecond, second + 400*time.Millisecond} {
		require.False(t, send(now, "often", plan.Failed), "what stands before the target may close one connection late")
		f.Tick(at(now))
		probe(now, true)
	}
	require.True(t, send(second+450*time.Millisecond, "often", plan.Done))
	require.True(t, send(second+450*time.Millisecond, badRequest, plan.Failed))
	probe(second+450*time.Millisecond, false)
	f.Tick(at(2 * second))
	require.Equal(t, quarantine.List{{Request: badRequest, Workspace: "w", Crashes: 3}}, f.Quarantine())
}

// Load pattern: what stands before a crashed target goes on accepting requests and ends each of
// them early. Requests that come often are among them again and again.
func TestCrashOfPlainTargetIsChargedOnce(t *testing.T) {
	f := newFleet(t, []roster.Target{{ID: "p", Service: plainService, Address: "10.0.1.1:1", DataCentre: "a", Slots: 6}})
	request := func() *plan.Request {
		requestCount++
		return &plan.Request{
			ID: fleet.RequestID(fmt.Sprint("r", requestCount)), Host: "h", Near: "a", Service: plainService, Fingerprint: "often",
			Objective: second, Deadline: second,
		}
	}
	const interval = 3 * second // longer than a target that could not be reached is spared
	crash := func(now time.Duration, accepted bool) {
		g := mustGrant(t, f, at(now), request())
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Failed})
		require.Equal(t, []plan.Probe{{Target: "p", Address: "10.0.1.1:1"}}, f.DueProbes())
		require.Empty(t, f.DueProbes())
		f.RecordProbe(at(now), "p", accepted)
		f.Tick(at(now + second))
	}
	for i := range 5 {
		crash(time.Duration(i)*interval, false)
	}
	require.Equal(t, quarantine.List{{Request: "often", Crashes: 1}}, f.Quarantine())

	crash(5*interval, true)
	require.Equal(t, 1, f.Quarantine()[0].Crashes, "the target is up: the answer alone was broken off")
	crash(6*interval, false)
	require.Equal(t, 2, f.Quarantine()[0].Crashes, "the target was up in between")

	g := mustGrant(t, f, at(7*interval), request())
	f.Report(at(7*interval), plan.Report{Number: g.Number, Progress: plan.Done})
	require.Empty(t, f.Quarantine())
}

// Load pattern: a plain service answers a seventh of its requests with internal errors. The
// planner must neither take that for crashes nor try connections because of it.
func TestServerErrorIsNoEarlyEnd(t *testing.T) {
	f := newFleet(t, []roster.Target{{ID: "p", Service: plainService, Address: "10.0.1.1:1", DataCentre: "a", Slots: 6}})
	for i := range 5 {
		now := time.Duration(i) * 3 * second
		req := &plan.Request{ID: "r", Host: "h", Near: "a", Service: plainService, Fingerprint: "often", Objective: second, Deadline: second}
		g := mustGrant(t, f, at(now), req)
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.ServerError})
		require.Empty(t, f.DueProbes())
		g = mustGrant(t, f, at(now), req)
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Unreachable})
		f.Tick(at(now + second))
	}
	require.Zero(t, f.Stats().Crashes)
	require.Empty(t, f.Quarantine())
}
