package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/plan"
)

// TestSilentEngineGoesOn guards against an engine that falls silent for a moment and goes on, and stays excluded
// although its answers arrive, until a poll is answered.
//
// Load pattern: sound requests run at an engine while it is silent for 1.2 s, and none of their answers ends
// early. The engine has not crashed, and no request is withheld.
func TestSilentEngineGoesOn(t *testing.T) {
	const silence = 1200 * time.Millisecond
	for _, test := range []struct {
		name     string
		progress plan.Progress
		after    time.Duration // from the poll that failed to the report
		usable   int
	}{
		{"first piece", plan.Started, silence, 1},
		{"end of the answer", plan.Done, silence, 1},
		{"report of before the silence", plan.Started, 20 * time.Millisecond, 0},
		{"caller has gone", plan.Abandoned, silence, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, engines(1))
			id := engines(1)[0].ID
			var grants []*plan.Grant
			for i := range 4 {
				grants = append(grants, mustGrant(t, f, at(time.Duration(i)*time.Millisecond), newRequest(second, filePrompt("a")...)))
			}
			failed := 500 * time.Millisecond
			f.MarkUnresponsive(at(failed), id)
			require.Zero(t, f.UsableTargets(at(failed), engineService))
			f.Report(at(failed+test.after), plan.Report{Number: grants[0].Number, Progress: test.progress})
			require.Equal(t, test.usable, f.UsableTargets(at(failed+test.after), engineService))
			f.MarkResponsive(at(failed+silence), id)
			require.Equal(t, 1, f.UsableTargets(at(failed+silence), engineService))
			for _, g := range grants[1:] {
				reportDone(f, at(failed+silence), g)
			}
			f.Tick(at(failed + silence + second))
			require.Zero(t, f.Stats().Crashes)
			require.Empty(t, f.Quarantine())
			decision, ok := f.Submit(at(failed+silence+second), newRequest(second, filePrompt("a")...))
			require.True(t, ok)
			require.NotNil(t, decision.Grant)
		})
	}
}

// An engine that has crashed gets no work for an answer that it wrote before.
func TestReportOfCrashedEngineDoesNotReviveIt(t *testing.T) {
	f := newFleet(t, engines(1))
	var grants [2]*plan.Grant
	for i := range grants {
		grants[i] = mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
	}
	const crashed = 500 * time.Millisecond
	f.Report(at(crashed), plan.Report{Number: grants[0].Number, Progress: plan.Failed})
	f.MarkUnresponsive(at(crashed), engines(1)[0].ID)
	f.Report(at(crashed+second), plan.Report{Number: grants[1].Number, Progress: plan.Started})
	require.Zero(t, f.UsableTargets(at(crashed+second), engineService))
}
