package planner

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/view"
)

// memoryOrigins is an OriginStore of a test.
type memoryOrigins struct {
	mu      sync.Mutex
	objects map[string][]origin.Batch
	roster  []origin.Version
	failing bool
	reads   int
}

var errOrigins = errors.New("the store is down")

func (m *memoryOrigins) WriteOrigins(_ context.Context, name string, batches []origin.Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return errOrigins
	}
	if m.objects == nil {
		m.objects = make(map[string][]origin.Batch)
	}
	m.objects[name] = batches
	return nil
}

func (m *memoryOrigins) ReadOrigins(context.Context) (batches []origin.Batch, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.failing {
		return nil, errOrigins
	}
	for _, b := range m.objects {
		batches = append(batches, b...)
	}
	return batches, nil
}

// ReadVersions returns the versions that serve, whatever the planner knows.
func (m *memoryOrigins) ReadVersions(context.Context) ([]origin.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return nil, errOrigins
	}
	return m.roster, nil
}

func (m *memoryOrigins) setFailing(failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = failing
}

// streams returns the number of streams in the store.
func (m *memoryOrigins) streams() (n int) {
	batches, _ := m.ReadOrigins(context.Background())
	for _, b := range batches {
		n += len(b.Keys) / 8
	}
	return n
}

// startVersionedPlanner starts a planner of a service with two versions of targets.
func startVersionedPlanner(t *testing.T, store *memoryOrigins, d *testPermissions) (context.Context, *Planner) {
	t.Helper()
	return startPlannerOf(t, store, d, "v1", "v2", "v1", "v2")
}

// startPlannerOf starts a planner that knows a target of each of the versions.
func startPlannerOf(t *testing.T, store *memoryOrigins, d *testPermissions, softwares ...fleet.Software) (context.Context, *Planner) {
	t.Helper()
	ctx, p, _ := startPlanner(t, d)
	v := testView()
	v.Targets = nil
	for i, software := range softwares {
		v.Targets = append(v.Targets, roster.Target{ID: fleet.TargetID(rune('a' + i)), Service: "s", Address: "127.0.0.1:1", Slots: 100, Software: software})
	}
	p.enqueue(ctx, func(fleet.Instant) { p.Origins = store })
	p.SetView(ctx, v.Freeze())
	return ctx, p
}

func planStream(t *testing.T, ctx context.Context, p *Planner, id fleet.RequestID, r plan.Resumption, deputy bool) plan.Decision {
	t.Helper()
	req := newRequest()
	req.ID, req.Workspace, req.Resumable, req.Resumption = id, "w", true, r
	decision, err := p.Plan(ctx, req, deputy)
	require.NoError(t, err)
	return decision
}

// beginStream plans a stream and reports its first event.
func beginStream(t *testing.T, ctx context.Context, p *Planner, id fleet.RequestID, deputy bool) fleet.Software {
	t.Helper()
	g := planStream(t, ctx, p, id, plan.Resumption{}, deputy).Grant
	require.NotNil(t, g)
	p.Report(ctx, []plan.Report{{Number: g.Number, Progress: plan.Started}})
	return g.Software
}

// TestGrantThatBroughtNothingNamesNoVersion guards against streams that went on at another
// version: a planner that had been frozen decided on requests which a deputy had served
// meanwhile, and took its own decisions for the origins of the streams.
func TestGrantThatBroughtNothingNamesNoVersion(t *testing.T) {
	for _, progress := range []plan.Progress{plan.Rejected, plan.Unreachable, plan.Answered} {
		store := &memoryOrigins{roster: []origin.Version{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}}}
		d := new(testPermissions)
		d.holds.Store(true)
		ctx, p := startVersionedPlanner(t, store, d)
		p.SetPlanning(ctx, 7, true)
		g := planStream(t, ctx, p, "1", plan.Resumption{}, false).Grant
		other := fleet.Software("v1")
		if g.Software == "v1" {
			other = "v2"
		}
		deputyCtx, deputy := startPlannerOf(t, store, new(testPermissions), other)
		require.Equal(t, other, beginStream(t, deputyCtx, deputy, "1", true))
		p.Report(ctx, []plan.Report{{Number: g.Number, Progress: progress}})
		decision := planStream(t, ctx, p, "again", plan.Resumption{Resumes: true, Attempt: "1"}, false)
		require.True(t, decision.Grant == nil || decision.Grant.Software == other, "the stream of %s goes on at %s after report %d", other, g.Software, progress)
		p.RecordStarts(ctx, []origin.Start{{Key: origin.KeyOf("s", "w", "1"), Service: "s", Software: other}})
		decision = planStream(t, ctx, p, "and again", plan.Resumption{Resumes: true, Attempt: "1"}, false)
		require.NotNil(t, decision.Grant, "the host that relays the stream has reported it")
		require.Equal(t, other, decision.Grant.Software)
	}
}

// TestRequestThatWasGivenUpIsNotPlanned guards against a planner that was frozen and then works
// off what hosts have asked meanwhile, though they have given up.
func TestRequestThatWasGivenUpIsNotPlanned(t *testing.T) {
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p := startVersionedPlanner(t, new(memoryOrigins), d)
	p.SetPlanning(ctx, 7, true)
	frozen, wake := make(chan struct{}), make(chan struct{})
	p.enqueue(ctx, func(fleet.Instant) { close(frozen); <-wake })
	<-frozen
	callCtx, cancel := context.WithCancel(ctx)
	ended := make(chan error)
	go func() {
		_, err := p.Plan(callCtx, newRequest(), false)
		ended <- err
	}()
	require.Eventually(t, func() bool { return len(p.inbox) > 0 }, time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	close(wake)
	grants := make(chan uint64, 1)
	p.enqueue(ctx, func(fleet.Instant) { grants <- uint64(p.fleet.Stats().Grants) })
	require.Zero(t, <-grants)
}

// TestPlannerOutOfStepReadsRosterFirst guards against a planner or deputy that stood still or was
// cut off while engines of a new version joined: it let streams that they had begun through
// other hosts go on at the only version that it knew.
func TestPlannerOutOfStepReadsRosterFirst(t *testing.T) {
	for _, deputy := range []bool{false, true} {
		// startPlanner has begun with targets that name no version, which is one of its own.
		store := &memoryOrigins{roster: []origin.Version{{Service: "s"}}}
		d := new(testPermissions)
		d.holds.Store(!deputy)
		ctx, p := startPlannerOf(t, store, d, "")
		p.enqueue(ctx, func(now fleet.Instant) { p.fleet.BeginFirstTenure(now) })
		if !deputy {
			p.SetPlanning(ctx, 7, true)
		}
		resumes := plan.Resumption{Resumes: true, Attempt: "begun through another host"}
		decision := planStream(t, ctx, p, "1", resumes, deputy)
		require.NotNil(t, decision.Grant, "one version serves, as the store says")
		require.Empty(t, decision.Grant.Software)
		store.mu.Lock()
		store.roster = append(store.roster, origin.Version{Service: "s", Software: "v2"})
		store.mu.Unlock()
		decision = planStream(t, ctx, p, "2", resumes, deputy)
		require.NotNil(t, decision.Refusal)
		require.Equal(t, fleet.ReasonUnknownOrigin, decision.Refusal.Reason)
		require.Positive(t, decision.Refusal.RetryAfter)
	}
}

// TestSuccessorAndDeputyKnowOriginsOfStreams guards against second1: streams whose planner was
// lost went on at another version.
func TestSuccessorAndDeputyKnowOriginsOfStreams(t *testing.T) {
	store := new(memoryOrigins)
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p := startVersionedPlanner(t, store, d)
	p.SetPlanning(ctx, 7, true)
	began := make(map[fleet.RequestID]fleet.Software)
	for _, id := range []fleet.RequestID{"1", "2", "3", "4", "5", "6", "7", "8"} {
		began[id] = beginStream(t, ctx, p, id, false)
	}
	require.Eventually(t, func() bool { return store.streams() == len(began) }, 2*time.Second, 5*time.Millisecond)

	for _, deputy := range []bool{false, true} {
		d := new(testPermissions)
		d.holds.Store(!deputy)
		ctx, p := startVersionedPlanner(t, store, d)
		if !deputy {
			p.SetPlanning(ctx, 8, true)
		}
		for id, software := range began {
			decision := planStream(t, ctx, p, "again "+id, plan.Resumption{Resumes: true, Attempt: id}, deputy)
			require.NotNil(t, decision.Grant)
			require.Equal(t, software, decision.Grant.Software)
		}
		decision := planStream(t, ctx, p, "x", plan.Resumption{Resumes: true, Attempt: "unknown"}, deputy)
		require.NotNil(t, decision.Refusal)
		require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
		require.Positive(t, decision.Refusal.RetryAfter)
	}
}

// While the store is down, streams of another planner are refused at once, and the planner's
// own are written later.
func TestOriginsAreWrittenOnceStoreAnswers(t *testing.T) {
	store := &memoryOrigins{failing: true}
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p := startVersionedPlanner(t, store, d)
	p.SetPlanning(ctx, 7, true)
	beginStream(t, ctx, p, "1", false)
	began := time.Now()
	require.Equal(t, fleet.ReasonUnknownOrigin, planStream(t, ctx, p, "x", plan.Resumption{Resumes: true, Attempt: "unknown"}, false).Refusal.Reason)
	require.Less(t, time.Since(began), time.Second)
	time.Sleep(2 * origin.BatchInterval)
	store.setFailing(false)
	require.Eventually(t, func() bool { return store.streams() == 1 }, 2*time.Second, 5*time.Millisecond)
}

// A host that is not the planner passes on what the planner before has passed on, and what it
// has seen itself: targets without a version, then v1 and v2, then v2 alone.
func TestVersionsArePassedOn(t *testing.T) {
	d := new(testPermissions)
	ctx, p := startVersionedPlanner(t, new(memoryOrigins), d)
	v := &view.View{Table: testView().Table, Targets: []roster.Target{{ID: "a", Service: "s", Address: "127.0.0.1:1", Software: "v2"}}}
	v.Duty.Versions = origin.Versions{{Service: "s", Software: "v0"}}
	p.SetView(ctx, v.Freeze())
	want := origin.Versions{{Service: "s"}, {Service: "s", Software: "v0"}, {Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}}
	require.Eventually(t, func() bool { return slices.Equal(p.Versions(), want) }, time.Second, time.Millisecond)
	d.holds.Store(true)
	p.SetPlanning(ctx, 7, true)
	require.Equal(t, want, p.Versions())
}
