package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// startCutFleet starts a fleet of hosts that are cut off from the targets as the flags say.
func startCutFleet(t *testing.T, hosts int) ([]*Control, []*atomic.Bool) {
	t.Helper()
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	var cut []*atomic.Bool
	controls, _ := startFleet(t, store, hosts, func(c *Control) {
		flag := new(atomic.Bool)
		cut = append(cut, flag)
		c.CutOff = flag.Load
	})
	return controls, cut
}

// holders returns the hosts that may plan.
func holders(controls []*Control) []int {
	var result []int
	for i, c := range controls {
		if c.HoldsDuty() {
			result = append(result, i)
		}
	}
	return result
}

// TestPlannerCutOffFromTargetsHandsOver guards against second1: the planner, and most of the hosts, were cut off from all
// targets for twelve seconds, and it kept its duty. Of nine hosts all but the last are cut off, which is no standby.
func TestPlannerCutOffFromTargetsHandsOver(t *testing.T) {
	const hosts = 9
	controls, cut := startCutFleet(t, hosts)
	planner := awaitPlanner(t, controls)
	time.Sleep(minTenure) // for which the planner has to plan, and until heartbeats have told it of all hosts
	inTouch := hosts - 1
	if planner == inTouch {
		inTouch--
	}
	for i, flag := range cut {
		flag.Store(i != inTouch)
	}
	began := time.Now()
	for {
		now := holders(controls)
		require.LessOrEqual(t, len(now), 1, "hosts that hold the duty")
		if len(now) == 1 && now[0] == inTouch {
			break
		}
		require.Less(t, time.Since(began), time.Second, "holders: %v", now)
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, int64(1), controls[planner].HandOvers())
	// The cut heals for some, and passes to the new planner: no hand-over within the least tenure.
	for i, flag := range cut {
		flag.Store(i == inTouch)
	}
	require.Never(t, func() bool { return !controls[inTouch].HoldsDuty() }, minTenure/2, 5*time.Millisecond)
	require.Eventually(t, func() bool {
		now := holders(controls)
		return len(now) == 1 && now[0] != inTouch
	}, minTenure, 5*time.Millisecond)
}

// With all hosts cut off, no other one would do better.
func TestPlannerKeepsDutyIfAllHostsAreCutOff(t *testing.T) {
	controls, cut := startCutFleet(t, 4)
	planner := awaitPlanner(t, controls)
	for _, flag := range cut {
		flag.Store(true)
	}
	require.Never(t, func() bool { return !controls[planner].HoldsDuty() }, minTenure+time.Second, 5*time.Millisecond)
	// Hosts that are cut off take a vacant duty, but leave it to others first.
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	controls[planner].Leave(ctx)
	vacant := time.Now()
	require.Eventually(t, func() bool { return len(holders(controls)) == 1 }, cutOffDelay+watcherTimeout+2*time.Second, 5*time.Millisecond)
	require.Greater(t, time.Since(vacant), cutOffDelay)
}

// TestDutyDoesNotGoRoundIfAllTargetsAreGone has only the planner know that it reaches no target, as the other hosts have
// nothing to try them with.
func TestDutyDoesNotGoRoundIfAllTargetsAreGone(t *testing.T) {
	const length, most = 14 * time.Second, 4
	var controls []*Control
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, _ = startFleet(t, store, 4, func(c *Control) { c.CutOff = c.HoldsDuty })
	awaitPlanner(t, controls)
	time.Sleep(length)
	handOvers := int64(0)
	for _, c := range controls {
		handOvers += c.HandOvers()
	}
	require.LessOrEqual(t, handOvers, int64(most))
	require.Positive(t, handOvers)
}

func TestTenureGrowsWithEachPassInVain(t *testing.T) {
	at, handOvers := time.Duration(0), 0
	for ; at < 10*time.Minute; handOvers++ {
		at += leastTenure(handOvers)
	}
	require.Less(t, handOvers, 16)
	require.Equal(t, minTenure, leastTenure(0))
	require.Equal(t, minTenure, leastTenure(1))
	require.Equal(t, maxTenure, leastTenure(1<<30))
}

func TestSuccessorIsInTouch(t *testing.T) {
	m := newMembers(host("a", 4), host("b", 2), host("c", 2), host("d", 1), host("e", 8), host("f", 8))
	m.setCutOff("a", true)
	m.recordHeartbeat(at(0), "e", true)
	f := m.heartbeats["f"]
	f.alive = false
	m.heartbeats["f"] = f
	got, known, ok := m.successor(at(100*time.Millisecond), "b", nil)
	require.True(t, ok)
	require.False(t, known)
	require.Equal(t, host("c", 2), got, "a is cut off, e leaves, f is dead")
	inTouch := func(id fleet.HostID) bool { return id == "a" || id == "d" }
	got, known, _ = m.successor(at(100*time.Millisecond), "b", inTouch)
	require.True(t, known)
	require.Equal(t, host("d", 1), got, "a says that it is cut off")
	_, _, ok = m.successor(at(time.Second), "b", inTouch)
	require.False(t, ok, "no heartbeats lately")
	require.Equal(t, 1, m.larger(wire.Host{ID: "b", Cores: 3}), "only e counts; a is cut off")
}

// newReadyMembers returns hosts that are ready to plan, with the given cores and, from the first on, ascending start times.
func newReadyMembers(cores ...float64) *members {
	m := newMembers()
	for i, n := range cores {
		h := host(fleet.HostID(fmt.Sprintf("h%02d", i)), n)
		h.Incarnation = fleet.Incarnation(i)
		m.hosts[h.ID] = h
		m.recordHeartbeat(at(0), h.ID, false)
		m.setReady(h.ID, readAll())
	}
	return m
}

// readAll returns the revisions of a host that has read all kinds.
func readAll() wire.Revisions {
	known := make(wire.Revisions)
	for _, kind := range replicatedKinds {
		known[kind] = revision(1)
	}
	return known
}

// TestRollingRestartPassesDutyTwiceAtMost guards against a planner's duty that goes to the host that is restarted next.
//
// Load pattern: all hosts of a fleet are restarted, one after the other, in any order, as for an upgrade.
func TestRollingRestartPassesDutyTwiceAtMost(t *testing.T) {
	for name, cores := range map[string][]float64{
		"equal hosts":      {0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4},
		"few large ones":   {0.2, 0.2, 0.2, 0.8, 0.8, 0.2, 0.2, 0.2, 0.2, 0.4, 0.4, 0.2},
		"many large ones":  {0.2, 0.8, 0.2, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.2, 0.8, 0.8, 0.2},
		"two hosts":        {0.4, 0.2},
		"as many standbys": {0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.2, 0.2},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				m := newReadyMembers(cores...)
				order := rand.New(rand.NewPCG(seed, 53)).Perm(len(cores))
				planner := m.heir(at(0), "") // any that does not have to hand over
				passes := 0
				for i, restarted := range order {
					id := fleet.HostID(fmt.Sprintf("h%02d", restarted))
					if id == planner.ID {
						planner = m.heir(at(0), id)
						require.NotEmpty(t, planner.ID)
						passes++
					}
					h := m.hosts[id]
					h.Incarnation = fleet.Incarnation(len(cores) + i)
					m.hosts[id] = h
				}
				require.LessOrEqual(t, passes, 2, "order %v", order)
			}
		})
	}
}

func TestHeirIsReadyAndStays(t *testing.T) {
	m := newReadyMembers(1, 1, 1, 1, 1)
	require.Equal(t, fleet.HostID("h04"), m.heir(at(0), "h00").ID, "it started last")
	m.recordHeartbeat(at(0), "h04", true)
	m.setCutOff("h03", true)
	m.setReady("h02", wire.Revisions{platform.KindConfiguration: revision(1)})
	require.Equal(t, fleet.HostID("h01"), m.heir(at(0), "h00").ID, "h04 leaves, h03 is cut off, h02 has not read all")
	require.Equal(t, fleet.HostID("h00"), m.heir(at(0), "h01").ID)
	require.Empty(t, m.heir(at(recentHeartbeat), "h00").ID, "no heartbeats lately")
}

// TestStoppedPlannerHasSuccessorAtOnce guards against requests that are placed without a planner while a stopped
// planner's duty is vacant and no host knows.
func TestStoppedPlannerHasSuccessorAtOnce(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, _ := startFleet(t, store, 4)
	planner := awaitPlanner(t, controls)
	time.Sleep(2 * heartbeatInterval) // until the planner knows that the others are ready
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	controls[planner].Leave(ctx)
	stopped := time.Now()
	require.Eventually(t, func() bool { return len(holders(controls)) == 1 }, 5*time.Second, time.Millisecond)
	require.Less(t, time.Since(stopped), watcherTimeout/2, "the duty was vacant")
}
