package control

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/standin/link"
)

// TestVersionsOutliveAllHosts guards against rejoined: all hosts were lost just after the old
// version of a service had left, and streams that it had begun went on at the new one.
func TestVersionsOutliveAllHosts(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready", "version": "v2"})
	versions := origin.Versions{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}}
	store.Put("duties", DutyName, map[string]any{
		"Holder": "lost", "Address": "127.0.0.1:1", "Epoch": 5, "Renewal": 9,
		"Versions": []map[string]any{{"Service": "s", "Software": "v1"}, {"Service": "s", "Software": "v2"}},
	})
	// The planner that follows has seen v2 only, so that it does not know all versions.
	controls, _ := startFleet(t, store, 3, func(c *Control) { c.Versions = func() origin.Versions { return nil } })
	awaitPlanner(t, controls)
	time.Sleep(3 * election.RenewInterval)
	for _, c := range controls {
		require.Eventually(t, func() bool { return slices.Equal(c.View().Duty.Versions, versions) }, 3*time.Second, 5*time.Millisecond)
	}
}

// TestHostThatIsCutOffKnowsThatItsRosterIsOld guards against a host that takes its targets for
// all there are, although it has heard from neither the store nor another host for some time.
func TestHostThatIsCutOffKnowsThatItsRosterIsOld(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, paths := startFleet(t, store, 1)
	awaitPlanner(t, controls)
	require.Eventually(t, controls[0].RosterCurrent, time.Second, 5*time.Millisecond)
	for end := time.Now().Add(2 * rosterAge); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		require.True(t, controls[0].RosterCurrent())
	}
	paths[0].SetMode(link.Cut)
	time.Sleep(rosterAge + 2*tickInterval)
	require.False(t, controls[0].RosterCurrent())
	paths[0].SetMode(link.Pass)
	require.Eventually(t, controls[0].RosterCurrent, 3*time.Second, 5*time.Millisecond)
}

// TestRosterIsNotCurrentAfterRestore guards against a version that is told by exclusion just after
// the store came back from a copy: engines that the copy lacks write their entries again within
// two seconds, and another call may bring the new era before the roster is read again.
func TestRosterIsNotCurrentAfterRestore(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready", "version": "v1"})
	controls, _ := startFleet(t, store, 1)
	awaitPlanner(t, controls)
	c := controls[0]
	require.Eventually(t, c.RosterCurrent, 3*time.Second, 5*time.Millisecond)
	saved := store.Copy()
	store.Put("servers", "i-2", map[string]any{"service": "s", "address": "10.0.0.2:80", "zone": "z", "slots": 4, "state": "ready", "version": "v2"})
	time.Sleep(100 * time.Millisecond)
	store.Restore(saved)
	versions, err := c.Store.ReadVersions(context.Background())
	require.NoError(t, err)
	require.Len(t, versions, 1, "the copy lacks v2")
	read := time.Now()
	for time.Since(read) < vanishedGrace-100*time.Millisecond {
		require.False(t, c.RosterCurrent(), "%v after the read", time.Since(read))
		time.Sleep(5 * time.Millisecond)
	}
	require.Eventually(t, c.RosterCurrent, 3*time.Second, 5*time.Millisecond)
}

// Load pattern: the store comes back from a copy of before a release, and before a request was
// withheld. The planner is alive and knows better; all hosts must go on with what it knows.
func TestRestoredStoreUndoesNeitherVersionsNorRequests(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	versions := origin.Versions{{Service: "s", Software: "v1"}, {Service: "s", Software: "v2"}}
	withheld := quarantine.List{{Request: "bad", Workspace: "w", Crashes: 3}}
	var known atomic.Bool
	controls, _ := startFleet(t, store, 3, func(c *Control) {
		c.Versions = func() origin.Versions {
			if known.Load() {
				return versions
			}
			return nil
		}
		c.Quarantine = func() quarantine.List {
			if known.Load() {
				return withheld
			}
			return nil
		}
	})
	awaitPlanner(t, controls)
	saved := store.Copy()
	known.Store(true)
	requireKnown := func() {
		t.Helper()
		for _, c := range controls {
			require.Eventually(t, func() bool {
				duty := c.View().Duty
				return slices.Equal(duty.Versions, versions) && slices.Equal(duty.Quarantine, withheld)
			}, 3*time.Second, 5*time.Millisecond)
		}
	}
	requireKnown()
	store.Restore(saved)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, c := range controls {
			require.Equal(t, versions, c.View().Duty.Versions)
			require.Equal(t, withheld, c.View().Duty.Quarantine)
		}
	}
	requireKnown()
}
