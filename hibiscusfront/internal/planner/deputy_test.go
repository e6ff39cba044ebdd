package planner

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// duty is a planner's tenure that a test sets.
type duty struct{ holds atomic.Bool }

func (d *duty) MayPlan() bool            { return d.holds.Load() }
func (d *duty) HoldsDuty() bool          { return d.holds.Load() }
func (d *duty) MayOrder() bool           { return d.holds.Load() }
func (d *duty) TenureEnd() fleet.Instant { return 0 }

var _ Tenure = (*duty)(nil)

// fleetOf is a service with one warm and one cold target.
func fleetOf() *view.View {
	table := route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "s", ColdRate: 100}}})
	v := &view.View{Table: table, Targets: []roster.Target{
		{ID: "warm", Service: "s", Address: "127.0.0.1:1", Slots: 100},
		{ID: "cold", Service: "s", Address: "127.0.0.1:2", Slots: 100, ColdFor: time.Hour},
	}}
	return v.Freeze()
}

func run(t *testing.T, d *duty) (context.Context, *Planner, *testlog.Lines) {
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
	p.SetView(ctx, fleetOf())
	return ctx, p, lines
}

func question() *plan.Request {
	return &plan.Request{Service: "s", Objective: time.Second, Deadline: time.Second}
}

func TestOnlyADeputyPlansWithoutTheDuty(t *testing.T) {
	ctx, p, _ := run(t, new(duty))
	verdict, err := p.Plan(ctx, question(), false)
	require.NoError(t, err)
	require.Equal(t, fleet.ReasonNotKeeper, verdict.Refusal.Reason)
	for range 50 {
		verdict, err = p.Plan(ctx, question(), true)
		require.NoError(t, err)
		require.NotNil(t, verdict.Grant)
		require.Equal(t, fleet.TargetID("warm"), verdict.Grant.Target, "nobody counts over all hosts what a cold target gets")
	}
}

// The planner's own grants and those of the host's time as a deputy must not be
// taken for one another, and what a deputy may not do begins with the duty.
func TestADeputyBecomesThePlanner(t *testing.T) {
	d := new(duty)
	ctx, p, _ := run(t, d)
	verdict, err := p.Plan(ctx, question(), true)
	require.NoError(t, err)
	deputys := verdict.Grant.Number

	d.holds.Store(true)
	p.SetTenure(ctx, 7, true)
	verdict, err = p.Plan(ctx, question(), false)
	require.NoError(t, err)
	require.NotNil(t, verdict.Grant)
	require.Less(t, verdict.Grant.Number, deputys)
	verdict, err = p.Plan(ctx, question(), true)
	require.NoError(t, err)
	require.NotNil(t, verdict.Grant, "whoever cannot tell that this host plans gets its grant, too")
}

func TestADeputyStopsWhenNobodyAsks(t *testing.T) {
	ctx, p, _ := run(t, new(duty))
	_, err := p.Plan(ctx, question(), true)
	require.NoError(t, err)
	deputy := func() bool {
		is := make(chan bool, 1)
		p.do(ctx, func(fleet.Instant) { is <- p.deputy && p.fleet.Deputy })
		return <-is
	}
	require.True(t, deputy())
	require.Eventually(t, func() bool { return !deputy() }, 2*deputyTime, 50*time.Millisecond)
	verdict, err := p.Plan(ctx, question(), false)
	require.NoError(t, err)
	require.Equal(t, fleet.ReasonNotKeeper, verdict.Refusal.Reason)
}

func TestEachPlannersDecisionHasItsLine(t *testing.T) {
	d := new(duty)
	d.holds.Store(true)
	ctx, p, lines := run(t, d)
	p.SetTenure(ctx, 7, true)
	late := question()
	late.ID, late.Service = "9c41", "unknown"
	verdict, err := p.Plan(ctx, late, false)
	require.NoError(t, err)
	require.NotNil(t, verdict.Refusal)
	lines.Require(t, "refused a request", testlog.Line{
		"Request": "9c41", "Service": "unknown", "Reason": "no target", "RetryAfter": nil, "Waiting": 0, "Usable": 0,
		"Objective": nil, "Rank": 0, "Epoch": 7,
	})
	lines.Require(t, "planned", testlog.Line{"Count": nil, "Waiting": 0})

	d.holds.Store(false)
	p.SetTenure(ctx, 7, false)
	_, err = p.Plan(ctx, question(), true)
	require.NoError(t, err)
	lines.Require(t, "planning for hosts that cannot reach the planner", testlog.Line{"Epoch": 7})
	lines.Require(t, "nobody asks for a deputy any more", nil)
}
