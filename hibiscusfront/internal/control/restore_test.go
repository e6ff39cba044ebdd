package control

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/fakeplatform"
)

// putConfiguration writes a configuration as the operator does.
func putConfiguration(store *fakeplatform.Store, number int) {
	store.Put("config", "main", map[string]any{
		"version": number, "services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{"name": "r", "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "service": "s"}},
	})
}

// putTarget writes the entry of a target as the target does.
func putTarget(store *fakeplatform.Store, id, state string) {
	store.Put("servers", id, map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": state, "born": 1_700_000_000_000})
}

// requireConfiguration waits until all hosts have the configuration in force.
func requireConfiguration(t *testing.T, controls []*Control, number fleet.Version) {
	t.Helper()
	for _, c := range controls {
		require.Eventually(t, func() bool { return c.View().Table != nil && c.View().Table.Number == number }, c.Settings.Bounds.Configuration, 5*time.Millisecond,
			"host %s has no configuration %d", c.Self.ID, number)
	}
}

// Load pattern: the store comes back from a copy that lacks the last changes. Its revisions
// are lower than those that the hosts know, until many more changes have been made.
func TestChangesReachAllHostsAfterStoreIsRestored(t *testing.T) {
	store := newConfiguredStore()
	putTarget(store, "i-1", "ready")
	controls, _ := startFleet(t, store, 3)
	awaitPlanner(t, controls)
	saved := store.Copy()
	putTarget(store, "i-2", "ready")
	putConfiguration(store, 4)
	for range 20 {
		putTarget(store, "i-3", "ready")
		store.Remove("servers", "i-3")
	}
	requireConfiguration(t, controls, 4)

	store.Restore(saved)
	time.Sleep(200 * time.Millisecond)
	putConfiguration(store, 4)
	putTarget(store, "i-2", "ready")
	time.Sleep(time.Second)
	requireConfiguration(t, controls, 4)
	putConfiguration(store, 5)
	requireConfiguration(t, controls, 5)
	for _, c := range controls {
		require.NotNil(t, c.View().Target("i-1"))
		require.NotNil(t, c.View().Target("i-2"))
	}
}

// Load pattern: the store comes back from a copy. Each call is priced, and calls beyond a
// rate are refused to the operator, too.
func TestRestoredStoreGetsFewCalls(t *testing.T) {
	store := newConfiguredStore()
	putTarget(store, "i-1", "ready")
	controls, _ := startFleet(t, store, 3)
	awaitPlanner(t, controls)
	saved := store.Copy()
	putConfiguration(store, 4)
	requireConfiguration(t, controls, 4)
	store.Restore(saved)
	before := store.Counts()
	time.Sleep(2 * time.Second)
	after := store.Counts()
	calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
	// As if each host read and watched each kind anew for each second.
	require.Less(t, calls, int64(2*3*2*len(replicatedKinds)))
}

// Load pattern: a store that has dropped its history up to the revision of its own lists, so
// that each watch is answered at once.
func TestWatchesThatAlwaysFailArePaced(t *testing.T) {
	var calls atomic.Int64
	lists := newConfiguredStore()
	store := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			calls.Add(1)
			w.WriteHeader(http.StatusGone)
			return
		}
		lists.ServeHTTP(w, r)
	})
	startControl(t, store)
	time.Sleep(2 * time.Second)
	require.Less(t, calls.Load(), int64(2*int(time.Second/minRetryPause)*len(replicatedKinds)))
}

// A restored store holds an earlier record of the planner's duty, or none. The duty must
// not stay vacant because of that, nor have two holders.
func TestDutyIsHeldAfterStoreIsRestored(t *testing.T) {
	for name, early := range map[string]bool{"earlier record": false, "no record": true} {
		t.Run(name, func(t *testing.T) {
			store := newConfiguredStore()
			putTarget(store, "i-1", "ready")
			saved := store.Copy()
			controls, _ := startFleet(t, store, 3)
			awaitPlanner(t, controls)
			if !early {
				saved = store.Copy()
				time.Sleep(time.Second) // several renewals
			}
			store.Restore(saved)
			holders := func() (n int) {
				for _, c := range controls {
					if c.HoldsDuty() {
						n++
					}
				}
				return n
			}
			time.Sleep(2 * time.Second) // the lease of the holder ends unless it is renewed
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				require.LessOrEqual(t, holders(), 1)
			}
			require.Equal(t, 1, holders())
		})
	}
}
