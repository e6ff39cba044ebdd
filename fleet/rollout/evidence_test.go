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
