package storeclock_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/storeclock"
)

// TestChangeIsNeverDatedLate plays a store that is restored at times, hosts that sight it and pass
// sightings on late and in any order. No revision may be dated later than it was made, and while the
// store is sighted each interval, none by more than that and the delay earlier.
func TestChangeIsNeverDatedLate(t *testing.T) {
	const interval, delay = 350 * time.Millisecond, 500 * time.Millisecond
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 49))
		var planner, other storeclock.Clock
		type change struct {
			at       fleet.Instant
			revision fleet.Revision
		}
		var changes []change
		revision := fleet.Revision{Era: 1, Number: 10}
		now := fleet.Instant(time.Hour)
		for range 40 {
			called := now
			for range random.IntN(4) {
				now = now.Add(time.Duration(random.Int64N(int64(interval / 4))))
				revision.Number++
				changes = append(changes, change{now, revision})
			}
			if random.IntN(20) == 0 {
				revision = fleet.Revision{Era: revision.Era + 1, Number: revision.Number - 3}
			}
			planner.Observe(storeclock.Sighting{At: called, Revision: revision})
			if s := planner.Last(); random.IntN(3) > 0 {
				asked := now
				now = now.Add(time.Duration(random.Int64N(int64(delay))))
				other.Observe(storeclock.Sighting{At: asked.Add(s.At.Sub(asked)), Revision: s.Revision})
			}
			now = called.Add(max(interval, now.Sub(called)))
			for _, c := range changes {
				if at, ok := planner.MadeAfter(c.revision); ok {
					require.LessOrEqual(t, at, c.at, "seed %d", seed)
					require.LessOrEqual(t, c.at.Sub(at), 2*interval+delay, "seed %d", seed)
				}
				if at, ok := other.MadeAfter(c.revision); ok {
					require.LessOrEqual(t, at, c.at, "seed %d", seed)
				}
			}
		}
	}
}

func TestClockWithoutSightings(t *testing.T) {
	var c storeclock.Clock
	require.Zero(t, c.Last())
	c.Observe(storeclock.Sighting{Revision: fleet.Revision{Era: 1, Number: 5}})
	_, ok := c.MadeAfter(fleet.Revision{Era: 1, Number: 6})
	require.False(t, ok, "a sighting at an unknown time counts for nothing")
	c.Observe(storeclock.Sighting{At: 7, Revision: fleet.Revision{Era: 1, Number: 5}})
	_, ok = c.MadeAfter(fleet.Revision{Era: 1, Number: 5})
	require.False(t, ok, "the revision may have been made before the sighting")
	_, ok = c.MadeAfter(fleet.Revision{Era: 2, Number: 1})
	require.False(t, ok, "the copy may have kept the change, which was then made before the sighting")
	at, ok := c.MadeAfter(fleet.Revision{Era: 2, Number: 6})
	require.True(t, ok)
	require.Equal(t, fleet.Instant(7), at)
}

// TestChangeThatACopyKeptIsNotDatedLate guards against limits that count from after a change was made: a change
// that was in the copy from which the store was restored keeps its number and appears in the new era.
func TestChangeThatACopyKeptIsNotDatedLate(t *testing.T) {
	var c storeclock.Clock
	second := fleet.Instant(time.Second)
	c.Observe(storeclock.Sighting{At: second, Revision: fleet.Revision{Era: 1, Number: 10}})
	// A change is made after 2 s as 12, and the store is copied.
	c.Observe(storeclock.Sighting{At: 3 * second, Revision: fleet.Revision{Era: 1, Number: 15}})
	// The store comes back from the copy after 4 s.
	at, ok := c.MadeAfter(fleet.Revision{Era: 2, Number: 12})
	require.True(t, ok)
	require.Equal(t, second, at)
	c.Observe(storeclock.Sighting{At: 5 * second, Revision: fleet.Revision{Era: 2, Number: 13}})
	at, ok = c.MadeAfter(fleet.Revision{Era: 2, Number: 14})
	require.True(t, ok)
	require.Equal(t, 5*second, at, "a change of the new era")
	at, ok = c.MadeAfter(fleet.Revision{Era: 2, Number: 12})
	require.True(t, ok)
	require.Equal(t, second, at, "the change that the copy kept")
}
