package weightupdate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/proptest"
	"hibiscuslb/fleet/weightupdate"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func engines(n int) []weightupdate.Engine {
	result := make([]weightupdate.Engine, n)
	for i := range result {
		result[i] = weightupdate.Engine{ID: fleet.TargetID(fmt.Sprintf("e%02d", i)), Version: 1, Usable: true, InFlight: n - i}
	}
	return result
}

func TestLeastLoadedEnginesLoadFirstUpToLimit(t *testing.T) {
	var update weightupdate.Update
	orders := update.Step(at(0), 2, engines(18), true)
	require.Len(t, orders, 3)
	require.Equal(t, fleet.TargetID("e17"), orders[0].Target)
	require.False(t, update.Serves(at(0), "e17"))
	require.True(t, update.Serves(at(0), "e00"))
	require.Empty(t, update.Step(at(time.Millisecond), 2, engines(18), true))
}

// The loads of a fifth of the engines do not slow each other down, as the operators of
// five deployments of 12 to 160 engines state.
func TestMaxParallelLoads(t *testing.T) {
	for engines, want := range map[int]int{1: 1, 2: 1, 3: 1, 6: 1, 9: 1, 12: 2, 18: 3, 60: 12, 90: 18, 160: 32} {
		require.Equal(t, want, weightupdate.MaxParallelLoads(engines), "for %d engines", engines)
	}
}

func TestStepGivesNoOrdersUnlessAllowed(t *testing.T) {
	var update weightupdate.Update
	require.Empty(t, update.Step(at(0), 2, engines(18), false))
	require.True(t, update.Serves(at(0), "e17"), "an engine without an order must stay available")
}

func TestUnansweredOrderIsRepeatedAfterDelay(t *testing.T) {
	var update weightupdate.Update
	only := engines(1)
	orders := update.Step(at(0), 2, only, true)
	require.Len(t, orders, 1)
	require.True(t, update.RecordResult(at(0), "e00", weightupdate.Unknown), "the number of accepted orders is not known")
	require.Empty(t, update.Step(at(500*time.Millisecond), 2, only, true))
	require.Len(t, update.Step(at(time.Second), 2, only, true), 1)
}

// The host may lose the right to give orders between Step and the sending of the
// order.
func TestUnsentOrderIsDueAgain(t *testing.T) {
	var update weightupdate.Update
	only := engines(1)
	require.Len(t, update.Step(at(0), 2, only, true), 1)
	require.False(t, update.RecordResult(at(0), "e00", weightupdate.NotSent))
	require.True(t, update.Serves(at(0), "e00"))
	require.Len(t, update.Step(at(time.Millisecond), 2, only, true), 1)
}

// An update without any result must time out, or its engine would never serve
// again.
func TestOrderWithoutResultExpires(t *testing.T) {
	var update weightupdate.Update
	only := engines(1)
	update.Step(at(0), 2, only, true)
	update.Step(at(5*time.Second), 2, only, false)
	require.True(t, update.Serves(at(5*time.Second), "e00"))
}

// TestWaveEndsInTimeAlthoughOrdersGetNoAnswer guards against waves that reach the last engines after
// the end of the bound, so that requests that wait there begin on older weights.
//
// Load pattern: seven orders in twenty get no answer within their time-out, and are carried out
// seconds later. Then the engine is asked how many it has accepted. Loads take a quarter of a
// second.
func TestWaveEndsInTimeAlthoughOrdersGetNoAnswer(t *testing.T) {
	const (
		n            = 18
		bound        = 4800 * time.Millisecond // in which engines with older weights get requests
		orderTimeout = 500 * time.Millisecond
		queryTime    = 350 * time.Millisecond
		loadTime     = 250 * time.Millisecond
		tick         = 10 * time.Millisecond
	)
	late := 0
	const seeds = 50
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 39))
		var update weightupdate.Update
		states := engines(n)
		accepted := make(map[fleet.TargetID]fleet.Instant) // when the engine has loaded
		timeouts := make(map[fleet.TargetID]fleet.Instant)
		known := make(map[fleet.TargetID]fleet.Instant) // when the engine has been asked
		mostLoading := 0
		end := at(0)
		for now := at(0); now < at(time.Minute); now = now.Add(tick) {
			loading, done := 0, 0
			for i := range states {
				states[i].Usable = now >= known[states[i].ID]
				if until, ok := accepted[states[i].ID]; ok && now >= until {
					states[i].Version = 2
					done++
				} else if ok {
					loading++
				}
			}
			mostLoading = max(mostLoading, loading)
			if end = now; done == n {
				break
			}
			for id, until := range timeouts {
				if now >= until {
					update.RecordResult(now, id, weightupdate.Unknown)
					delete(timeouts, id)
					known[id] = now.Add(queryTime)
				}
			}
			for _, o := range update.Step(now, 2, states, true) {
				if random.IntN(20) < 7 {
					timeouts[o.Target] = now.Add(orderTimeout)
					continue
				}
				update.RecordResult(now, o.Target, weightupdate.Accepted)
				accepted[o.Target] = now.Add(loadTime)
			}
		}
		require.LessOrEqual(t, mostLoading, weightupdate.MaxParallelLoads(n))
		if end > at(bound) {
			late++
		}
	}
	require.LessOrEqual(t, late, seeds/10, "waves that end after %v", bound)
}

func TestLatestStart(t *testing.T) {
	const bound = 6 * time.Second
	announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0)).Add(3, at(9*time.Second))
	latest, limited := announced.LatestStart(1, bound)
	require.True(t, limited)
	require.Less(t, latest, at(bound))
	require.Greater(t, latest, at(4*time.Second))
	_, limited = announced.LatestStart(3, bound)
	require.False(t, limited)
	_, limited = announced.LatestStart(1, 0)
	require.False(t, limited)
}

// Versions that are announced in quick succession must not push out the one that replaced an engine's weights.
func TestBoundOfOldWeightsDoesNotMoveWithManyAnnouncements(t *testing.T) {
	const interval = 200 * time.Millisecond
	announced := weightupdate.Announcements(nil).Add(1, 0)
	for version := uint64(2); version <= 30; version++ {
		announced = announced.Add(version, at(time.Duration(version-2)*interval))
		for _, old := range []uint64{1, version - 1} {
			supersededAt, superseded := announced.SupersededAt(old)
			require.True(t, superseded)
			require.LessOrEqual(t, supersededAt, at(time.Duration(old-1)*interval), "version %d, of %d", old, version)
		}
		supersededAt, _ := announced.SupersededAt(version - 1)
		require.Equal(t, at(time.Duration(version-2)*interval), supersededAt)
	}
}

// The bound is measured from the first version that an engine lacks. If it were
// measured from the newest one, each further version would extend it.
func TestBoundCountsFromFirstNewerAnnouncement(t *testing.T) {
	const bound = 6 * time.Second
	announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0)).Add(3, at(9*time.Second))
	require.False(t, announced.Allows(at(9*time.Second), 1, bound))
	require.True(t, announced.Allows(at(9*time.Second), 2, bound))
	require.True(t, announced.Allows(at(time.Minute), 3, bound))
	require.True(t, announced.Allows(at(time.Minute), 1, 0), "no bound is set")
}

// engine is the actual state of an engine.
type engine struct {
	version uint64
	orders  uint64
	loading uint64                   // version being loaded; zero if none
	delayed []weightupdate.LoadOrder // orders that are still to be delivered
}

func (e *engine) receive(o weightupdate.LoadOrder) weightupdate.Result {
	switch {
	case e.loading != 0 || o.Accepted != e.orders:
		return weightupdate.Refused
	case e.version == o.Version:
		return weightupdate.AlreadyLoaded
	}
	e.orders++
	e.loading = o.Version
	return weightupdate.Accepted
}

// TestEveryEngineGetsTheNewestWeights gives orders to engines that answer, lose
// answers, and receive orders late. No engine may return to an older version,
// and in the end all must have the newest weights.
func TestEveryEngineGetsTheNewestWeights(t *testing.T) {
	proptest.Check(t, 200, 150, func(t *rapid.T) {
		const n = 9
		var update weightupdate.Update
		actual := make([]*engine, n)
		for i := range actual {
			actual[i] = &engine{version: 1}
		}
		now, newest := at(0), uint64(2)
		var highest [n]uint64
		engineStates := func() []weightupdate.Engine {
			result := engines(n)
			for i, e := range actual {
				result[i].Version, result[i].OrdersAccepted, result[i].InFlight = e.version, e.orders, 0
			}
			return result
		}
		index := func(id fleet.TargetID) int {
			var i int
			_, _ = fmt.Sscanf(string(id), "e%d", &i)
			return i
		}
		step := func(fate func() int) {
			for _, o := range update.Step(now, newest, engineStates(), true) {
				e := actual[index(o.Target)]
				switch fate() {
				case 0: // the order is delayed and gets no answer
					e.delayed = append(e.delayed, o)
					update.RecordResult(now, o.Target, weightupdate.Unknown)
				case 1: // the answer is lost
					e.receive(o)
					update.RecordResult(now, o.Target, weightupdate.Unknown)
				default:
					update.RecordResult(now, o.Target, e.receive(o))
				}
			}
		}
		finish := func() {
			for _, e := range actual {
				if e.loading != 0 {
					e.version, e.loading = e.loading, 0
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				step(func() int { return rapid.IntRange(0, 5).Draw(t, "fate") })
			},
			"load": func(t *rapid.T) { finish() },
			"name": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					newest++
				}
			},
			"late": func(t *rapid.T) {
				e := actual[rapid.IntRange(0, n-1).Draw(t, "engine")]
				if len(e.delayed) > 0 {
					e.receive(e.delayed[0])
					e.delayed = e.delayed[1:]
				}
			},
			"": func(t *rapid.T) {
				for i, e := range actual {
					if e.version < highest[i] {
						t.Fatalf("engine %d went back from version %d to %d", i, highest[i], e.version)
					}
					highest[i] = e.version
				}
			},
		})
		for range 200 {
			now = now.Add(100 * time.Millisecond)
			step(func() int { return 2 })
			finish()
		}
		for i, e := range actual {
			if e.version != newest {
				t.Fatalf("engine %d has version %d of %d", i, e.version, newest)
			}
		}
	})
}
