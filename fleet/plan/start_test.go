package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/weightupdate"
)

// TestBusyEngineWithOldWeightsGetsNothingThatStartsLate guards against requests that wait at a
// busy engine until after the bound, and begin on weights that were replaced long before.
//
// Load pattern: new weights are announced, and the only engine does not get them. Prompts arrive
// faster than it reads them.
func TestBusyEngineWithOldWeightsGetsNothingThatStartsLate(t *testing.T) {
	announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0))
	f := newFleet(t, engines(1)) // with a bound of 6 s
	f.SetWeights(model, announced)
	latest, limited := announced.LatestStart(1, f.WeightsBound)
	require.True(t, limited)
	submit := func(now time.Duration) (plan.Decision, bool) {
		requestCount++
		return f.Submit(at(now), newRequest(800*time.Millisecond, prompt.Part{ID: prompt.PartID(newStream().ID), Tokens: 30_000}))
	}
	for _, now := range []time.Duration{3500 * time.Millisecond, 3600 * time.Millisecond} {
		decision, ok := submit(now)
		require.True(t, ok)
		require.NotNil(t, decision.Grant, "the engine starts it in time")
		require.Equal(t, latest.Sub(at(now)), decision.Grant.StartWithin)
	}
	decision, ok := submit(3800 * time.Millisecond)
	require.True(t, !ok || decision.Grant == nil, "the engine would start it late")
}

// TestSilentEngineStartsNothingLateOnOldWeights guards against bounds that rest on a withdrawal: an
// engine that falls silent does not notice that a connection was closed, and starts what it holds.
//
// Load pattern: new weights are announced, and the only engine does not get them. Prompts arrive as
// fast as it reads them, or twice as fast. It is silent for 1.1 s and starts all that it holds.
func TestSilentEngineStartsNothingLateOnOldWeights(t *testing.T) {
	const (
		tokens   = 30_000
		readTime = 500 * time.Millisecond // at the pace that the plan assumes
		silence  = 1100 * time.Millisecond
	)
	for _, interval := range []time.Duration{readTime, readTime / 2} {
		for silentFrom := 3 * second; silentFrom < 6*second; silentFrom += 100 * time.Millisecond {
			f := newFleet(t, engines(1)) // with a bound of 6 s
			f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0)))
			type run struct {
				start time.Duration
				grant *plan.Grant
			}
			var held []run
			var free time.Duration // when the engine has read all that it holds
			for now := time.Duration(0); now < 7*second; now += interval {
				for len(held) > 0 && held[0].start <= now {
					reportDone(f, at(held[0].start), held[0].grant)
					held = held[1:]
				}
				requestCount++
				decision, ok := f.Submit(at(now), newRequest(2*second, prompt.Part{ID: prompt.PartID(newStream().ID), Tokens: tokens}))
				if !ok || decision.Grant == nil {
					continue
				}
				begin := max(now, free)
				start := begin + readTime
				if begin < silentFrom+silence && start > silentFrom {
					start += silence
				}
				free, held = start, append(held, run{start, decision.Grant})
				require.LessOrEqual(t, start, f.WeightsBound, "sent after %v, silent from %v", now, silentFrom)
			}
		}
	}
}
