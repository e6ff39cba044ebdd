package planner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// testPermissions is a Permissions that a test switches on and off.
type testPermissions struct{ holds atomic.Bool }

func (t *testPermissions) MayPlan() bool            { return t.holds.Load() }
func (t *testPermissions) HoldsDuty() bool          { return t.holds.Load() }
func (t *testPermissions) MayOrder() bool           { return t.holds.Load() }
func (t *testPermissions) TenureEnd() fleet.Instant { return 0 }
func (t *testPermissions) RosterCurrent() bool      { return true }

var _ Permissions = (*testPermissions)(nil)

// testView returns a view of a service with one warm and one cold target.
func testView() *view.View {
	table := route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "s", ColdRate: 100}}})
	v := &view.View{Table: table, Targets: []roster.Target{
		{ID: "warm", Service: "s", Address: "127.0.0.1:1", Slots: 100},
		{ID: "cold", Service: "s", Address: "127.0.0.1:2", Slots: 100, ColdFor: time.Hour},
	}}
	return v.Freeze()
}

func startPlanner(t *testing.T, d *testPermissions) (context.Context, *Planner, *testlog.Lines) {
	t.Helper()
	lines := new(testlog.Lines)
	p := New("h", platform.Bounds{}, platform.NewTargetClient(), d, clock.BootTime(), lines.Logger())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	p.SetView(ctx, testView())
	return ctx, p, lines
}

func newRequest() *plan.Request {
	return &plan.Request{Service: "s", Objective: time.Second, Deadline: time.Second}
}

func TestHostWithoutDutyPlansOnlyAsDeputy(t *testing.T) {
	ctx, p, _ := startPlanner(t, new(testPermissions))
	decision, err := p.Plan(ctx, newRequest(), false)
	require.NoError(t, err)
	require.Equal(t, fleet.ReasonNotHolder, decision.Refusal.Reason)
	for range 50 {
		decision, err = p.Plan(ctx, newRequest(), true)
		require.NoError(t, err)
		require.NotNil(t, decision.Grant)
		require.Equal(t, fleet.TargetID("warm"), decision.Grant.Target, "a deputy does not know what other hosts send to a cold target")
	}
}

// Grants that a host made as a deputy must not be confused with those it makes
// after it became the planner, and the limits of a deputy end when it gets the
// duty.
func TestGrantNumbersDifferAfterDeputyBecomesPlanner(t *testing.T) {
	d := new(testPermissions)
	ctx, p, _ := startPlanner(t, d)
	decision, err := p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	deputyNumber := decision.Grant.Number

	d.holds.Store(true)
	p.SetPlanning(ctx, 7, true)
	decision, err = p.Plan(ctx, newRequest(), false)
	require.NoError(t, err)
	require.NotNil(t, decision.Grant)
	require.Less(t, decision.Grant.Number, deputyNumber)
	decision, err = p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	require.NotNil(t, decision.Grant, "a request for a deputy is served by the planner as well")
}

func TestDeputyStopsWithoutRequests(t *testing.T) {
	ctx, p, _ := startPlanner(t, new(testPermissions))
	_, err := p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	deputy := func() bool {
		result := make(chan bool, 1)
		p.enqueue(ctx, func(fleet.Instant) { result <- p.deputy && p.fleet.Deputy })
		return <-result
	}
	require.True(t, deputy())
	require.Eventually(t, func() bool { return !deputy() }, 2*deputyTimeout, 50*time.Millisecond)
	decision, err := p.Plan(ctx, newRequest(), false)
	require.NoError(t, err)
	require.Equal(t, fleet.ReasonNotHolder, decision.Refusal.Reason)
}

func TestPlannerDecisionsAreLogged(t *testing.T) {
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, lines := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	request := newRequest()
	request.ID, request.Service = "9c41", "unknown"
	decision, err := p.Plan(ctx, request, false)
	require.NoError(t, err)
	require.NotNil(t, decision.Refusal)
	lines.Require(t, "refused a request", testlog.Line{
		"Request": "9c41", "Service": "unknown", "Reason": "no target", "RetryAfter": nil, "Waiting": 0, "Usable": 0,
		"Objective": nil, "Rank": 0, "Epoch": 7,
	})
	lines.Require(t, "planned", testlog.Line{"Count": nil, "Waiting": 0})

	d.holds.Store(false)
	p.SetPlanning(ctx, 7, false)
	_, err = p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	lines.Require(t, "acting as deputy planner: a host cannot reach the planner", testlog.Line{"Epoch": 7})
	lines.Require(t, "stopped acting as deputy planner: no host asked for a deputy within 2s", nil)
}

// TestPlannerAndDeputyTakeOverQuarantine guards against engines that crash again on a part
// which the planner before had withheld.
func TestPlannerAndDeputyTakeOverQuarantine(t *testing.T) {
	d := new(testPermissions)
	ctx, p, lines := startPlanner(t, d)
	v := testView()
	v.Duty.Quarantine = quarantine.List{{Part: "bad", Crashes: 3}, {Part: "suspect", Crashes: 2}}
	p.SetView(ctx, v)
	requireRefused := func(id prompt.PartID, deputy, refused bool) {
		t.Helper()
		ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		request := newRequest()
		request.Prompt = &prompt.Prompt{Parts: []prompt.Part{{ID: id}, {ID: "own"}}}
		decision, err := p.Plan(ctx, request, deputy)
		require.NoError(t, err)
		if !refused {
			require.True(t, decision.Refusal == nil || decision.Refusal.Reason != fleet.ReasonWithheld)
			return
		}
		require.NotNil(t, decision.Refusal)
		require.Equal(t, fleet.ReasonWithheld, decision.Refusal.Reason)
		require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
		require.Positive(t, decision.Refusal.RetryAfter)
	}
	requireRefused("bad", true, true)
	requireRefused("suspect", true, false)
	lines.Require(t, "requests with a part of a prompt are refused: engines crashed on it", testlog.Line{"Part": "bad", "Crashes": 3, "Epoch": nil})

	d.holds.Store(true)
	p.SetPlanning(ctx, 7, true)
	requireRefused("bad", false, true)
	require.Equal(t, v.Duty.Quarantine, p.Quarantine())

	// A planner knows better than the record that it has written.
	p.SetView(ctx, testView())
	requireRefused("bad", false, true)

	// A host that no longer plans follows its successor.
	d.holds.Store(false)
	p.SetPlanning(ctx, 7, false)
	p.SetView(ctx, testView())
	requireRefused("bad", true, false)
	lines.Require(t, "requests with a part of a prompt are served again", testlog.Line{"Part": "bad"})
}

// TestDeputyWithoutTargetsDeclines guards against requests that are refused for want of a target because the
// host that is asked in the planner's place has just started and knows none: the asking host takes that for the
// decision, and asks nobody else.
//
// Load pattern: the planner and the largest other host are restarted together, and the object store answers one call
// of the latter late.
func TestDeputyWithoutTargetsDeclines(t *testing.T) {
	p := New("h", platform.Bounds{}, platform.NewTargetClient(), new(testPermissions), clock.BootTime(), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	noTable, noTargets := testView(), testView()
	noTable.Table, noTargets.Targets = nil, nil
	for _, v := range []*view.View{noTable, noTargets} {
		p.SetView(ctx, v)
		decision, err := p.Plan(ctx, newRequest(), true)
		require.NoError(t, err)
		require.Equal(t, fleet.ReasonNotHolder, decision.Refusal.Reason)
	}
	p.SetView(ctx, testView())
	decision, err := p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	require.NotNil(t, decision.Grant)
}
