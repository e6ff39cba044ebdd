package planner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/testlog"
)

// testWays is a Ways that a test switches.
type testWays struct {
	cutOff           atomic.Bool
	answered, failed atomic.Int64
}

func (w *testWays) Answered(fleet.TargetID) { w.answered.Add(1) }
func (w *testWays) Failed(fleet.TargetID)   { w.failed.Add(1) }
func (w *testWays) CutOff() bool            { return w.cutOff.Load() }

// startHangingEngines starts engines that do not answer while hang is set.
func startHangingEngines(t *testing.T, count int, hang *atomic.Bool) []roster.Target {
	t.Helper()
	var targets []roster.Target
	for i := range count {
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			for hang.Load() && r.Context().Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			_, _ = w.Write([]byte(`{"bootEpoch":7,"nextToken":1,"lost":false,"events":[]}`))
		}))
		t.Cleanup(engine.Close)
		targets = append(targets, roster.Target{
			ID: fleet.TargetID(fmt.Sprint("e", i)), Address: fleet.Address(strings.TrimPrefix(engine.URL, "http://")),
			Models: []roster.Model{{ID: "m", Version: 1}},
		})
	}
	return targets
}

// otherHosts plays hosts that reach all engines. Answers begin at once and take 300 ms.
type otherHosts struct {
	planner *Planner
	running []runningGrant
}

type runningGrant struct {
	number plan.GrantNumber
	end    time.Time
}

// ask sends a request each 10 ms, and returns how many were granted and refused.
func (o *otherHosts) ask(ctx context.Context, t *testing.T, span time.Duration) (granted, refused int) {
	t.Helper()
	for begin, i := time.Now(), 0; time.Since(begin) < span; i++ {
		time.Sleep(10 * time.Millisecond)
		decision, err := o.planner.Plan(ctx, &plan.Request{
			ID: fleet.RequestID(fmt.Sprint(begin, i)), Host: fleet.HostID(fmt.Sprint("other", i%3)), Service: "lm", Objective: 800 * time.Millisecond,
			Deadline: 5 * time.Second, Prompt: &prompt.Prompt{Model: "m", Parts: []prompt.Part{{ID: prompt.PartID(fmt.Sprint(i)), Tokens: 10}}, Input: 10, Output: 1},
		}, false)
		require.NoError(t, err)
		if decision.Grant == nil {
			refused++
		} else {
			granted++
			o.planner.Report(ctx, []plan.Report{{Number: decision.Grant.Number, Progress: plan.Started}})
			o.running = append(o.running, runningGrant{decision.Grant.Number, time.Now().Add(300 * time.Millisecond)})
		}
		for len(o.running) > 0 && time.Now().After(o.running[0].end) {
			o.planner.Report(ctx, []plan.Report{{Number: o.running[0].number, Progress: plan.Done}})
			o.running = o.running[1:]
		}
	}
	return granted, refused
}

// TestPlannerCutOffFromEnginesRefusesNothingForOthers guards against second1: the planner's host was cut off from all
// engines, its polls failed, and for twelve seconds it refused the requests of all hosts, also of those that
// reached the engines.
func TestPlannerCutOffFromEnginesRefusesNothingForOthers(t *testing.T) {
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, lines := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	var hang atomic.Bool
	p.SetView(ctx, engineView(startHangingEngines(t, 6, &hang)...))
	others := otherHosts{planner: p}
	granted, refused := others.ask(ctx, t, time.Second)
	require.Positive(t, granted)
	require.Zero(t, refused)
	hang.Store(true)
	others.ask(ctx, t, time.Second)
	granted, refused = others.ask(ctx, t, 2*time.Second)
	require.Positive(t, granted)
	require.Zero(t, refused, "of %d", granted+refused)
	require.True(t, p.CutOff())
	lines.Require(t, "engines do not answer this host, but others: it is cut off, and its polls do not count", testlog.Line{"Epoch": float64(7)})
	hang.Store(false)
	require.Eventually(t, func() bool { return !p.CutOff() }, 5*time.Second, 10*time.Millisecond)
}

// Engines that answer nobody are excluded although all polls fail at once.
func TestEnginesThatAnswerNobodyGetNoWork(t *testing.T) {
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, _ := startPlanner(t, d)
	ways := new(testWays)
	p.Ways = ways
	p.SetPlanning(ctx, 7, true)
	var hang atomic.Bool
	p.SetView(ctx, engineView(startHangingEngines(t, 6, &hang)...))
	usable := func() int {
		result := make(chan int, 1)
		p.enqueue(ctx, func(now fleet.Instant) { result <- p.fleet.UsableTargets(now, "lm") })
		return <-result
	}
	others := otherHosts{planner: p}
	_, refused := others.ask(ctx, t, 500*time.Millisecond)
	require.Zero(t, refused)
	require.Positive(t, ways.answered.Load())
	hang.Store(true)
	require.Eventually(t, func() bool { return usable() == 0 }, 2*time.Second, 10*time.Millisecond)
	require.Never(t, func() bool { return usable() > 0 }, time.Second, 10*time.Millisecond)
	require.False(t, p.CutOff())
	require.Positive(t, ways.failed.Load())
}

// A deputy that is cut off lets the asking host go on to the next one.
func TestHostThatIsCutOffIsNoDeputy(t *testing.T) {
	ctx, p, _ := startPlanner(t, new(testPermissions))
	ways := new(testWays)
	p.Ways = ways
	ways.cutOff.Store(true)
	decision, err := p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	require.NotNil(t, decision.Refusal)
	require.Equal(t, fleet.ReasonNotHolder, decision.Refusal.Reason)
	ways.cutOff.Store(false)
	decision, err = p.Plan(ctx, newRequest(), true)
	require.NoError(t, err)
	require.NotNil(t, decision.Grant)
}
