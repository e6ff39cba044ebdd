package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
)

// trial is a roll-out with reserved exposure, for which a test counts responses.
type trial struct {
	*rollout.Rollout
	t   *testing.T
	now time.Duration
}

func newTrial(t *testing.T, stored *rollout.Record) *trial {
	t.Helper()
	r := rollout.Begin(at(0), order, rollout.Bounds{Share: 0.5, Slack: 1000}, 1, 0, stored)
	r.SetTargets([]fleet.TargetID{"o1", "o2"}, []fleet.TargetID{"n1", "n2", "n3"})
	trial := &trial{r, t, 0}
	trial.tick()
	return trial
}

// tick writes what is due.
func (r *trial) tick() {
	if record := r.Tick(at(r.now), 1).Record; record != nil {
		r.Written(at(r.now), *record)
	}
}

// respond records n responses of a version during a time, of which some are bad, evenly spread over its targets.
func (r *trial) respond(version fleet.Software, n, bad int, during time.Duration) {
	for i := range n {
		result := rollout.Good
		if (i+1)*bad/n > i*bad/n {
			result = rollout.Bad
		}
		ids := []fleet.TargetID{"o1", "o2"}
		if version == order.To {
			ids = []fleet.TargetID{"n1", "n2", "n3"}
		}
		r.Record(at(r.now+during*time.Duration(i)/time.Duration(n)), "a", ids[i%len(ids)], version, result, 20*time.Millisecond)
	}
}

// TestLateFaultIsFound guards against a test that many good responses have made blind.
func TestLateFaultIsFound(t *testing.T) {
	r := newTrial(t, nil)
	for range 8 {
		r.respond("v1", 200, 0, second/2)
		r.respond("v2", 60, 0, second/2)
		r.now += second / 2
		r.tick()
	}
	require.Equal(t, rollout.Canary, r.Stage())
	r.respond("v1", 200, 0, second/2)
	r.respond("v2", 18, 9, second/2)
	r.now += second / 2
	r.tick()
	require.Equal(t, rollout.RolledBack, r.Stage())
}

// TestLimitOfBadResponses guards against a version that gets requests after its fiftieth bad response
// because the test takes longer, and against a verdict on a version that is as bad as the old one.
func TestLimitOfBadResponses(t *testing.T) {
	t.Run("a little worse", func(t *testing.T) {
		r := newTrial(t, nil)
		r.respond("v1", 500, 40, second/2)
		r.respond("v2", 250, 39, second/2)
		r.tick()
		require.Equal(t, rollout.Canary, r.Stage(), "the test alone does not reject")
		require.True(t, r.AllowStream())
		r.respond("v2", 1, 1, 0)
		require.False(t, r.AllowStream(), "before the verdict")
		r.tick()
		require.Equal(t, rollout.RolledBack, r.Stage())
	})
	t.Run("as bad", func(t *testing.T) {
		r := newTrial(t, nil)
		r.respond("v1", 500, 100, second/2)
		r.respond("v2", 200, 40, second/2)
		require.False(t, r.AllowStream(), "before the verdict")
		r.tick()
		require.Equal(t, rollout.Canary, r.Stage())
		require.True(t, r.AllowStream())
	})
	t.Run("counted by another planner", func(t *testing.T) {
		r := newTrial(t, &rollout.Record{Order: order, Sequence: 3, Bad: 39})
		r.respond("v1", 100, 0, second/2)
		r.respond("v2", 3, 1, second/2)
		r.tick()
		require.Equal(t, rollout.RolledBack, r.Stage())
	})
}

// TestQuietRouteIsNotAwaited guards against a good version that is rolled back because a route that had a
// few requests at the begin gets no more.
func TestQuietRouteIsNotAwaited(t *testing.T) {
	r := newTrial(t, nil)
	for range 12 {
		r.Arrived(at(0), "quiet")
	}
	for ; r.now < 9*second; r.now += second / 10 {
		for range 10 {
			r.Arrived(at(r.now), "a")
		}
		r.respond("v1", 8, 0, second/10)
		r.respond("v2", 2, 0, second/10)
		r.tick()
	}
	for ; r.now < 9600*time.Millisecond; r.now += second / 10 {
		r.tick()
	}
	require.Equal(t, rollout.Promoted, r.Stage())
}

// serve plays a good version until an instant, at a rate of requests of which a fifth goes to it.
func (r *trial) serve(until time.Duration, perTenth int, bad func(i int) bool) {
	i := 0
	for ; r.now < until; r.now += second / 10 {
		for range perTenth {
			r.Arrived(at(r.now), "a")
		}
		r.respond("v1", perTenth*4/5, 0, second/10)
		for range perTenth / 5 {
			i++
			result := rollout.Good
			if bad != nil && bad(i) {
				result = rollout.Bad
			}
			r.Record(at(r.now), "a", []fleet.TargetID{"n1", "n2", "n3"}[i%3], order.To, result, 20*time.Millisecond)
		}
		r.tick()
	}
}

// TestTargetBadByItselfDoesNotPreventThePromotion guards against a good version that is rolled back since one of
// its targets failed a few requests, too few to take it out.
func TestTargetBadByItselfDoesNotPreventThePromotion(t *testing.T) {
	r := newTrial(t, nil)
	r.Bounds.Slack = 20
	for sent := 1; r.now < 10*second; r.now += second / 5 {
		r.respond("v1", 10, 0, second/5)
		r.Arrived(at(r.now), "a")
		result, target := rollout.Good, sent%3
		if target == 0 && sent < 10 {
			result = rollout.Bad
		}
		r.Record(at(r.now), "a", []fleet.TargetID{"n1", "n2", "n3"}[target], order.To, result, 20*time.Millisecond)
		sent++
		r.tick()
	}
	require.Equal(t, rollout.Promoted, r.Stage(), r.Evidence())
}

// TestFewBadResponsesAreChance guards against a good version that is not promoted since the old one had no bad
// response at all.
func TestFewBadResponsesAreChance(t *testing.T) {
	r := newTrial(t, nil)
	r.Bounds.Share, r.Bounds.Slack = 0.1, 20
	r.respond("v1", 20_000, 0, second)
	r.serve(10*second, 5, func(i int) bool { return i == 20 || i == 51 || i == 79 })
	require.Equal(t, 3, r.BadResponses())
	require.Equal(t, rollout.Promoted, r.Stage(), r.Evidence())
}

// TestRareRouteNeedsResponses guards against a version that is promoted while a route in use had no response of it,
// or only bad ones of one target.
func TestRareRouteNeedsResponses(t *testing.T) {
	for _, c := range []struct {
		responses int
		result    rollout.Result
	}{{0, rollout.Good}, {3, rollout.Good}, {3, rollout.Bad}} {
		r := newTrial(t, nil)
		for tenth := range 98 {
			r.serve(time.Duration(tenth+1)*second/10, 10, nil)
			if tenth%5 == 0 {
				r.Arrived(at(r.now), "rare")
			}
			if tenth < c.responses {
				r.Record(at(r.now), "rare", "n1", order.To, c.result, 20*time.Millisecond)
			}
		}
		require.Equal(t, c.responses > 0 && c.result == rollout.Good, r.Stage() == rollout.Promoted)
	}
}

// TestSmallExposureSuffices guards against a small service that waits for evidence which its exposure can not give.
func TestSmallExposureSuffices(t *testing.T) {
	r := newTrial(t, nil)
	r.Bounds.Share, r.Bounds.Slack = 0.1, 50
	r.serve(9200*time.Millisecond, 5, nil)
	require.Equal(t, rollout.Promoted, r.Stage(), r.Evidence())
}

// TestInheritedPromotionWaits guards against a successor that completes a roll-out while old targets run
// requests of the planner before it, which it does not know.
func TestInheritedPromotionWaits(t *testing.T) {
	r := newTrial(t, &rollout.Record{Order: order, Sequence: 9, Stage: rollout.Promoted, Elapsed: 8 * second})
	for ; r.now < 3*second; r.now += second / 10 {
		require.Nil(t, r.Tick(at(r.now), 0).Record, "%v", r.now)
	}
	require.True(t, r.AllowOld(at(second)))
	require.False(t, r.AllowOld(at(2*second)), "it could not finish")
	record := r.Tick(at(3400*time.Millisecond), 0).Record
	require.NotNil(t, record)
	require.Equal(t, rollout.Completed, record.Stage)
}

// TestSlownessBelowClockErrorIsNone guards against a good version that is rejected since the old one's responses come
// within no measurable time.
func TestSlownessBelowClockErrorIsNone(t *testing.T) {
	r := newTrial(t, nil)
	for range 100 {
		r.Record(at(0), "a", "o1", "v1", rollout.Good, 0)
	}
	for i := range 30 {
		r.Record(at(0), "a", []fleet.TargetID{"n1", "n2"}[i%2], order.To, rollout.Good, 5*time.Millisecond)
	}
	require.Zero(t, r.BadResponses())
	r.Record(at(0), "a", "n1", order.To, rollout.Good, 50*time.Millisecond)
	require.Equal(t, 1, r.BadResponses())
}

// TestStepsNeedResponses guards against a share that grows while no response has come.
func TestStepsNeedResponses(t *testing.T) {
	r := newTrial(t, nil)
	first := r.Share()
	for ; r.now < 4*second; r.now += second / 10 {
		for range 10 {
			r.Arrived(at(r.now), "a")
		}
		r.tick()
	}
	require.InDelta(t, first, r.Share(), 1e-9)
	r.respond(order.To, 10, 0, second/10)
	r.tick()
	require.Greater(t, r.Share(), first)
}
