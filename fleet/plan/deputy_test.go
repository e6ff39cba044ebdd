package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
)

// Load pattern: a network partition splits the fleet in three while a target fails
// all requests. The planner and two deputies each decide on a third of the requests,
// and together must not exceed the retry budget.
func TestDeputiesStayWithinRetryBudget(t *testing.T) {
	const requests = 300
	entries := []roster.Target{{ID: "d", Service: plainService, Address: "10.0.0.1:1", Slots: 1000}}
	planners := []*plan.Fleet{newFleet(t, entries), newFleet(t, entries), newFleet(t, entries)}
	planners[1].Deputy, planners[2].Deputy = true, true
	repeats := 0
	for i := range requests {
		f, now := planners[i%len(planners)], at(time.Duration(i)*time.Millisecond)
		for _, repeat := range []bool{false, true} {
			decision, ok := f.Submit(now, &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Repeat: repeat})
			require.True(t, ok)
			if decision.Grant == nil {
				continue
			}
			if repeat {
				repeats++
			}
			reportDone(f, now, decision.Grant)
		}
	}
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, requests/5+50)
}

// Load pattern: engines have just started when the planner is lost. A deputy does
// not know which requests the planner has granted them in the last second, so it
// could exceed their rate limit.
func TestDeputyGrantsNothingToColdEngines(t *testing.T) {
	entries := engines(2)
	f := newFleet(t, entries)
	f.Deputy = true
	entries[0].ColdFor = 3 * second
	f.SetTargets(at(0), entries, nil)
	for i := range 200 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		decision, _ := f.Submit(now, newRequest(second, filePrompt(fmt.Sprint(i))...))
		if decision.Grant != nil {
			require.Equal(t, engineID(1), decision.Grant.Target)
			reportDone(f, now, decision.Grant)
		}
	}
}

// Load pattern: a conversation returns to a busy engine while a deputy decides. A
// deputy must not fetch from cache stores or save to them, since the planner that owns
// them may free the part at the same time.
func TestDeputyFetchesOnlyFromEngines(t *testing.T) {
	entries := engines(2)
	f := newFleet(t, entries)
	f.BeginTenure(at(0), 1<<40)
	f.Deputy = true
	parts := filePrompt("a")
	salt := plan.Salt(model, 1, "", plan.Isolation{})
	for _, part := range parts[:2] {
		p := cachestore.Part{Salt: salt, ID: part.ID}
		f.SetCachedTokens(engineID(0), p, part.Tokens)
		for _, address := range f.Stores() {
			f.StoreInventory(address).ApplyStored(at(0), 1, 1, p, part.Tokens)
		}
	}
	fetched := false
	for range 200 {
		decision, _ := f.Submit(at(second), newRequest(second, append(parts[:2:2], filePrompt("a")[2])...))
		if decision.Grant == nil {
			break
		}
		for _, source := range decision.Grant.Fetch {
			fetched = fetched || source != ""
			require.Contains(t, []fleet.Address{"", entries[0].Address, entries[1].Address}, source)
		}
		require.Empty(t, decision.Grant.Save)
	}
	require.True(t, fetched, "the engine without capacity is a source")
}

// A host that is cut off from targets asks again for requests that no target got.
func TestRequestsThatNoTargetGotLeaveTheRetryBudget(t *testing.T) {
	const first, again = 20, 200
	count := func(agains int) (repeats int) {
		f := newFleet(t, engines(4))
		submit := func(repeat, again bool) bool {
			req := newRequest(0, filePrompt("file")...)
			req.Repeat, req.Again = repeat, again
			decision, _ := f.Submit(at(0), req)
			return decision.Refusal == nil || decision.Refusal.Reason != fleet.ReasonRetryBudget
		}
		for range first {
			submit(false, false)
		}
		for i := range agains {
			require.True(t, submit(i%2 == 0, true))
		}
		for submit(true, false) {
			repeats++
		}
		return repeats
	}
	require.Equal(t, count(0), count(again))
	require.Positive(t, count(0))
}

// TestSuccessorsStayWithinRetryBudget guards against a planner that takes over, knows of no repeats, and allows as many
// again as its predecessor has just granted.
//
// Load pattern: a target of a service with few requests fails all of them, each is repeated twice, and planners are lost.
func TestSuccessorsStayWithinRetryBudget(t *testing.T) {
	const (
		requests = 80
		interval = 100 * time.Millisecond // so that all are sent within the window
	)
	entries := []roster.Target{{ID: "d", Service: plainService, Address: "10.0.0.1:1", Slots: 1000}}
	repeats := 0
	submit := func(f *plan.Fleet, now fleet.Instant) (granted int) {
		for _, repeat := range []bool{false, true, true} {
			decision, ok := f.Submit(now, &plan.Request{Service: plainService, Objective: second, Repeat: repeat})
			require.True(t, ok)
			if decision.Grant == nil {
				continue
			}
			if repeat {
				granted++
			}
			reportDone(f, now, decision.Grant)
		}
		return granted
	}
	var f *plan.Fleet
	for i := range requests {
		now := at(time.Duration(i) * interval)
		if i%(requests/2) == 0 {
			f = newFleet(t, entries)
			f.BeginTenure(now, plan.GrantNumber(1000*i))
			if i == 0 {
				f.BeginFirstTenure(now)
			}
		}
		repeats += submit(f, now)
	}
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, requests/5+50)
	later := 0
	for i := range requests {
		later += submit(f, at(30*second+time.Duration(i)*interval))
	}
	require.Greater(t, later, 50/2, "the successor has the whole reserve once it knows the window")
}
