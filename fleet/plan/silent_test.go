package plan_test

import (
	"fmt"
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
	f.RecordProbe(at(crashed), engines(1)[0].ID, false)
	f.Report(at(crashed+second), plan.Report{Number: grants[1].Number, Progress: plan.Started})
	require.Zero(t, f.UsableTargets(at(crashed+second), engineService))
}

// TestSilenceAfterEarlyEndIsNoCrash guards against an engine that falls silent just after one of its answers ended
// early by a fault of its own, and counts as crashed. It accepts connections; an engine that has crashed does not.
func TestSilenceAfterEarlyEndIsNoCrash(t *testing.T) {
	for name, accepts := range map[string]bool{"silent": true, "crashed": false} {
		for _, pollFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/poll first %t", name, pollFirst), func(t *testing.T) {
				f := newFleet(t, engines(1))
				id := engines(1)[0].ID
				g := mustGrant(t, f, at(0), newRequest(second, filePrompt("a")...))
				const first, next = 500 * time.Millisecond, 900 * time.Millisecond
				fail := func() { f.Report(at(first), plan.Report{Number: g.Number, Progress: plan.Failed}) }
				if pollFirst {
					f.MarkUnresponsive(at(first), id)
					fail()
				} else {
					fail()
					require.Empty(t, f.DueProbes(), "an early end alone needs no probe of an engine")
					f.MarkUnresponsive(at(next), id)
				}
				probes := f.DueProbes()
				require.Len(t, probes, 1)
				require.Equal(t, id, probes[0].Target)
				require.Empty(t, f.DueProbes())
				f.RecordProbe(at(next), id, accepts)
				f.Tick(at(next + second))
				want := uint64(1)
				if accepts {
					want = 0
				}
				require.EqualValues(t, want, f.Stats().Crashes)
			})
		}
	}
}
