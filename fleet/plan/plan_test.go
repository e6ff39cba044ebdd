package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/weightupdate"
)

const (
	engineService route.ServiceID = "lm"
	plainService  route.ServiceID = "desk"
	model         fleet.ModelID   = "m"
	nearStore     fleet.Address   = "172.20.0.1:1"
	farStore      fleet.Address   = "172.20.0.2:1"
	second                        = time.Second
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func services() []route.Service {
	const gigabit = 1e9 / 8
	engine := &route.Engine{Slots: 64, CacheCapacity: 110_000, TokenBytes: 327_680, LinkRate: 740 * gigabit}
	return []route.Service{
		{ID: engineService, Engine: engine, ColdRate: 14, ColdTime: 3 * second},
		{ID: plainService},
		{ID: "near", Store: &route.Store{Address: nearStore, DataCentre: "a", Capacity: 300_000, Managed: true}},
		{ID: "far", Store: &route.Store{Address: farStore, DataCentre: "b", Capacity: 300_000, Managed: true}},
	}
}

func engineID(i int) fleet.TargetID { return fleet.TargetID(fmt.Sprintf("e%02d", i)) }

func engines(n int) []roster.Target {
	var result []roster.Target
	for i := range n {
		result = append(result, roster.Target{
			ID: engineID(i), Service: engineService, Address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)), DataCentre: "a",
			Models: []roster.Model{{ID: model, Version: 1}},
		})
	}
	return result
}

// newFleet returns a fleet with the given targets whose planner's tenure started a
// minute ago and which knows that the stores are empty.
func newFleet(t *testing.T, entries []roster.Target) *plan.Fleet {
	t.Helper()
	f := &plan.Fleet{
		RetryRatio: 0.2, RetryWindow: 10 * second, RetryReserve: 50, WeightsBound: 6 * second, StoresAllowed: true,
	}
	f.SetServices(at(-time.Minute), services())
	f.SetTargets(at(-time.Minute), entries, nil)
	f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0))
	f.BeginTenure(at(-time.Minute), 0)
	for _, address := range f.Stores() {
		f.StoreInventory(address).ApplyList(at(0), at(0), 1, 0, nil)
	}
	return f
}

// requestCount makes the IDs of requests and of their last parts unique.
var requestCount int

func newRequest(objective time.Duration, parts ...prompt.Part) *plan.Request {
	requestCount++
	p := &prompt.Prompt{Model: model, Parts: parts, Output: 50}
	for _, part := range parts {
		p.Input += part.Tokens
	}
	return &plan.Request{
		ID: fleet.RequestID(fmt.Sprint(requestCount)), Host: "h", Near: "a", Service: engineService, Prompt: p,
		Objective: objective, Deadline: 10 * second,
	}
}

// filePrompt returns the parts of a prompt with a long shared file.
func filePrompt(id string) []prompt.Part {
	requestCount++
	return []prompt.Part{{ID: "system", Tokens: 500}, {ID: prompt.PartID(id), Tokens: 9000}, {ID: prompt.PartID(fmt.Sprint("own", requestCount)), Tokens: 1000}}
}

// mustGrant submits a request that must be granted at once.
func mustGrant(t *testing.T, f *plan.Fleet, now fleet.Instant, req *plan.Request) *plan.Grant {
	t.Helper()
	decision, ok := f.Submit(now, req)
	require.True(t, ok, "the request was queued")
	require.NotNil(t, decision.Grant, "%v", decision.Refusal)
	return decision.Grant
}

// reportDone reports the first piece and the end of a grant's answer.
func reportDone(f *plan.Fleet, now fleet.Instant, g *plan.Grant) {
	f.Report(now, plan.Report{Number: g.Number, Progress: plan.Started})
	f.Report(now, plan.Report{Number: g.Number, Progress: plan.Done})
}

func ExampleFleet_Submit() {
	f := &plan.Fleet{}
	f.SetServices(0, services())
	f.SetTargets(0, engines(1), nil)
	f.BeginTenure(0, 0)
	decision, decided := f.Submit(at(0), newRequest(second, filePrompt("a")...))
	fmt.Println(decided, decision.Grant.Target, decision.Grant.Salt)
	// Output: true e00 m@1
}

// Load pattern: requests with the same file arrive one after another.
func TestSessionStaysOnEngineWithCachedFile(t *testing.T) {
	f := newFleet(t, engines(18))
	first := mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	reportDone(f, at(second), first)
	for i := range 10 {
		g := mustGrant(t, f, at(time.Duration(i+2)*second), newRequest(second, filePrompt("a")...))
		require.Equal(t, first.Target, g.Target)
		require.Nil(t, g.Fetch)
		reportDone(f, at(time.Duration(i+2)*second), g)
	}
}

// Load pattern: the engine that has cached the file is busy, others are idle, and a
// store holds the file.
func TestFileIsFetchedIfItsEngineIsBusy(t *testing.T) {
	f := newFleet(t, engines(3))
	first := mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	require.NotEmpty(t, first.Save, "a file that no store holds is saved")
	for i, part := range []string{"system", "a"} {
		f.StoreInventory(first.Save[i]).ApplyStored(at(second), 1, uint64(i), cachestore.Part{Salt: "m@1", ID: prompt.PartID(part)}, 100)
	}
	reportDone(f, at(second), first)
	// Long prompts occupy the memory of the engine that has the file.
	targets := make(map[fleet.TargetID]int)
	var fetched *plan.Grant
	for range 6 {
		g := mustGrant(t, f, at(2*second), newRequest(second, filePrompt("a")...))
		targets[g.Target]++
		if g.Target != first.Target && fetched == nil {
			fetched = g
		}
	}
	require.Greater(t, len(targets), 1, "other engines get requests, too")
	require.Equal(t, first.Save[1], fetched.Fetch[1])
}

// A part may begin within a block of memory of which the engine has only the
// beginning, so the parts before a fetched part are fetched, too.
func TestPartsBeforeFetchedPartAreFetched(t *testing.T) {
	f := newFleet(t, engines(1))
	for i, part := range []string{"system", "a"} {
		f.StoreInventory(nearStore).ApplyStored(at(0), 1, uint64(i), cachestore.Part{Salt: "m@1", ID: prompt.PartID(part)}, 100)
	}
	f.SetCachedTokens(engineID(0), cachestore.Part{Salt: "m@1", ID: "system"}, 500)
	g := mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	require.Equal(t, []fleet.Address{nearStore, nearStore, ""}, g.Fetch)
}

// An engine evicts a part from its end. What is left of the part can be used, but
// what follows the gap has to be read again.
func TestPartlyCachedPartIsReadFromItsGap(t *testing.T) {
	f := newFleet(t, engines(1))
	f.SetCachedTokens(engineID(0), cachestore.Part{Salt: "m@1", ID: "system"}, 128)
	f.SetCachedTokens(engineID(0), cachestore.Part{Salt: "m@1", ID: "a"}, 9000)
	mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	stats := f.Stats()
	require.Equal(t, fleet.Tokens(0), stats.CachedTokens)
	require.Equal(t, fleet.Tokens(500-128+1000), stats.ReadTokens, "the tokens of the file that the engine holds do not count as read")
}

// Load pattern: the engines of a data centre restart cold while all requests arrive
// at once.
func TestColdEngineRateIsLimited(t *testing.T) {
	cold := engines(1)
	cold[0].ColdFor = 3 * second
	f := newFleet(t, nil)
	f.SetTargets(at(0), cold, nil)
	for start := range 4 {
		granted := 0
		for i := range 200 {
			now := at(time.Duration(start)*second + time.Duration(i)*5*time.Millisecond)
			if start == 3 {
				break
			}
			decision, ok := f.Submit(now, newRequest(second, prompt.Part{ID: "own", Tokens: 10}))
			if ok && decision.Grant != nil {
				granted++
				reportDone(f, now, decision.Grant)
			}
			f.Tick(now)
		}
		require.LessOrEqual(t, granted, 14)
	}
}

// A new planner does not know which requests its predecessor has granted, so it
// grants nothing to cold engines in the first second.
func TestNewPlannerDelaysGrantsToColdEngines(t *testing.T) {
	cold := engines(1)
	cold[0].ColdFor = 3 * second
	f := newFleet(t, nil)
	f.SetTargets(at(0), cold, nil)
	f.BeginTenure(at(0), 1<<40)
	_, ok := f.Submit(at(900*time.Millisecond), newRequest(10*second, prompt.Part{ID: "own", Tokens: 10}))
	require.False(t, ok, "the request is queued")
	decisions := f.Tick(at(1100 * time.Millisecond))
	require.Len(t, decisions, 1)
	require.NotNil(t, decisions[0].Grant)
}

// Load pattern: a burst of long prompts beyond what the engines can read in
// time.
func TestBurstIsRefusedWithRetryTime(t *testing.T) {
	f := newFleet(t, engines(2))
	const objective = 800 * time.Millisecond
	var granted, refused, waiting int
	count := func(decision plan.Decision) {
		if decision.Grant != nil {
			granted++
			return
		}
		refused++
		require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
		require.Greater(t, decision.Refusal.RetryAfter, time.Duration(0))
	}
	for i := range 200 {
		if decision, ok := f.Submit(at(0), newRequest(objective, filePrompt(fmt.Sprint("f", i))...)); ok {
			count(decision)
		} else {
			waiting++
		}
	}
	require.Positive(t, granted)
	require.Positive(t, waiting)
	for _, decision := range f.Tick(at(objective/8 + 1)) {
		count(decision)
	}
	require.Zero(t, f.QueueLen(), "no request is queued for longer than an eighth of its objective")
	require.Equal(t, 200, granted+refused)
}

// Load pattern: capacity becomes free while requests of two ranks are queued.
func TestQueueIsOrderedByRank(t *testing.T) {
	entries := engines(1)
	f := newFleet(t, entries)
	var active []*plan.Grant
	for {
		decision, ok := f.Submit(at(0), newRequest(10*second, prompt.Part{ID: "own", Tokens: 40_000}))
		if !ok {
			break
		}
		active = append(active, decision.Grant)
	}
	urgent := newRequest(8*second, prompt.Part{ID: "own", Tokens: 40_000})
	urgent.Rank = 0
	later := newRequest(8*second, prompt.Part{ID: "own", Tokens: 40_000})
	later.Rank = 2
	for _, req := range []*plan.Request{later, urgent} {
		_, ok := f.Submit(at(time.Millisecond), req)
		require.False(t, ok)
	}
	reportDone(f, at(2*time.Millisecond), active[0])
	decisions := f.Tick(at(3 * time.Millisecond))
	require.NotEmpty(t, decisions)
	require.Same(t, urgent, decisions[0].Request)
}

// Load pattern: a target fails all requests, and every request is repeated.
func TestRepeatsStayWithinRetryBudget(t *testing.T) {
	f := newFleet(t, []roster.Target{{ID: "d", Service: plainService, Address: "10.0.0.1:1", Slots: 1000}})
	repeats := 0
	for i := range 1000 {
		now := at(time.Duration(i) * time.Millisecond)
		for _, repeat := range []bool{false, true} {
			decision, ok := f.Submit(now, &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Repeat: repeat})
			require.True(t, ok)
			if repeat && decision.Grant != nil {
				repeats++
			}
			if decision.Grant != nil {
				reportDone(f, now, decision.Grant)
			}
		}
	}
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, 200+50)
}

func TestNoRunStartsOnOldWeightsAfterBound(t *testing.T) {
	f := newFleet(t, engines(1))
	f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0)))
	require.NotNil(t, mustGrant(t, f, at(4*second), newRequest(second, filePrompt("a")...)))
	decision, ok := f.Submit(at(5*second), newRequest(second, filePrompt("a")...))
	if ok {
		require.NotNil(t, decision.Refusal)
	}
}

func TestSaltDependsOnVersionAndIsolatedWorkspace(t *testing.T) {
	require.NotEqual(t, plan.Salt(model, 1, "w", plan.Isolation{}), plan.Salt(model, 2, "w", plan.Isolation{}))
	require.NotEqual(t, plan.Salt(model, 1, "w", plan.Isolation{Isolated: true}), plan.Salt(model, 1, "v", plan.Isolation{Isolated: true}))
	require.NotEqual(t, plan.Salt(model, 1, "w", plan.Isolation{Isolated: true}), plan.Salt(model, 1, "w", plan.Isolation{}))
	require.Equal(t, plan.Salt(model, 1, "w", plan.Isolation{}), plan.Salt(model, 1, "v", plan.Isolation{}))
}

func TestUnreachableTargetPausesIncrease(t *testing.T) {
	f := newFleet(t, engines(1))
	now := at(0)
	var pauses []time.Duration
	for range 6 {
		g := mustGrant(t, f, now, newRequest(10*second, prompt.Part{ID: "own", Tokens: 10}))
		f.Report(now, plan.Report{Number: g.Number, Progress: plan.Unreachable})
		from := now
		for {
			now = now.Add(50 * time.Millisecond)
			decision, ok := f.Submit(now, newRequest(10*second, prompt.Part{ID: "own", Tokens: 10}))
			if ok && decision.Grant != nil {
				f.Report(now, plan.Report{Number: decision.Grant.Number, Progress: plan.Rejected})
				break
			}
			require.Less(t, now.Sub(from), 5*second)
		}
		pauses = append(pauses, now.Sub(from))
	}
	require.Less(t, pauses[0], pauses[2])
	require.LessOrEqual(t, pauses[5], 2100*time.Millisecond)
}

func TestEvacuatedOrLeavingTargetGetsNoRequests(t *testing.T) {
	entries := engines(2)
	entries[0].Leaving = true
	f := newFleet(t, entries)
	for range 5 {
		require.Equal(t, engineID(1), mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...)).Target)
	}
	f.SetTargets(at(second), entries, map[fleet.DataCentreID]bool{"a": true})
	decision, ok := f.Submit(at(second), newRequest(second, filePrompt("a")...))
	require.True(t, ok, "the request is not queued if no target can become usable")
	require.Equal(t, fleet.ReasonNoTarget, decision.Refusal.Reason)
}

// A target that has restarted under the same ID has an empty cache.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	entries := engines(1)
	entries[0].StartTime = time.UnixMilli(1000)
	f := newFleet(t, entries)
	f.SetCachedTokens(engineID(0), cachestore.Part{Salt: "m@1", ID: "system"}, 500)
	entries[0].StartTime = time.UnixMilli(2000)
	f.SetTargets(at(0), entries, nil)
	mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	require.Equal(t, fleet.Tokens(0), f.Stats().CachedTokens)
}

// A target's entry may come from another writer and name an unknown service while a
// request runs there.
func TestEntryWithUnknownServiceHarmsNoGrant(t *testing.T) {
	f := newFleet(t, engines(1))
	first := mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	mustGrant(t, f, at(0), newRequest(second, filePrompt("b")...))
	entries := engines(1)
	entries[0].Service = "unknown"
	f.SetTargets(at(time.Millisecond), entries, nil)
	require.NotPanics(t, func() {
		reportDone(f, at(second), first)
		f.Tick(at(second))
	})
}
