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
	for _, now := range []time.Duration{4100 * time.Millisecond, 4200 * time.Millisecond} {
		decision, ok := submit(now)
		require.True(t, ok)
		require.NotNil(t, decision.Grant, "the engine starts it in time")
		require.Equal(t, latest.Sub(at(now)), decision.Grant.StartWithin)
	}
	decision, ok := submit(4400 * time.Millisecond)
	require.True(t, !ok || decision.Grant == nil, "the engine would start it late")
}
