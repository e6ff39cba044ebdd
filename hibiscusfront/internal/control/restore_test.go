package control

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
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

// copied is the entry of a target in a store, with the number of its revision.
type copied struct {
	target roster.Target
	number fleet.Version
}

// applyCopied applies entries as read in an era.
func applyCopied(t *targets, now fleet.Instant, era uint64, entries ...copied) {
	listed := make(map[fleet.TargetID]roster.Target)
	revisions := make(map[fleet.TargetID]fleet.Revision)
	for _, e := range entries {
		listed[e.target.ID], revisions[e.target.ID] = e.target, fleet.Revision{Era: era, Number: e.number}
	}
	t.enterEra(now, era)
	t.correct(listed, revisions)
	t.apply(now, listed, t.uncertainFor(now), zerolog.Nop())
}

// Load pattern: targets leave, start and start again, and then the store comes back from a
// copy that knows nothing of it.
func TestCopyOfStoreDoesNotUndoWhatIsKnownOfTargets(t *testing.T) {
	born := time.UnixMilli(1_700_000_000_000)
	entry := func(id fleet.TargetID, state string, start time.Time, number fleet.Version) copied {
		return copied{roster.Target{ID: id, StartTime: start, Leaving: state == "draining"}, number}
	}
	var known targets
	applyCopied(&known, at(0), 1, entry("stays", "ready", born, 10), entry("leaving", "ready", born, 11), entry("left", "ready", born, 12), entry("again", "ready", born, 13))
	applyCopied(&known, at(time.Second), 1, entry("stays", "ready", born, 10), entry("leaving", "draining", born, 20), entry("new", "ready", born, 21), entry("again", "ready", born, 13))
	applyCopied(&known, at(2*time.Second), 1, entry("stays", "ready", born, 10), entry("leaving", "draining", born, 20), entry("new", "ready", born, 21))

	states := func() map[fleet.TargetID]bool {
		result := make(map[fleet.TargetID]bool)
		for _, target := range known.list() {
			result[target.ID] = target.Leaving
		}
		return result
	}
	// The copy is of the first instant.
	copies := []copied{entry("stays", "ready", born, 10), entry("leaving", "ready", born, 11), entry("left", "ready", born, 12), entry("again", "ready", born, 13)}
	applyCopied(&known, at(3*time.Second), 2, copies...)
	require.Equal(t, map[fleet.TargetID]bool{"stays": false, "leaving": true, "new": false}, states(),
		"a target that left does not come back, one that leaves still does, and one that the copy lacks may be written again")
	require.True(t, known.removedIDs()["left"])

	// Targets write their entries again; one has started again under its ID.
	copies[3] = entry("again", "ready", born.Add(time.Minute), 15)
	applyCopied(&known, at(4*time.Second), 2, append(copies, entry("new", "ready", born, 14))...)
	require.Equal(t, map[fleet.TargetID]bool{"stays": false, "leaving": true, "new": false, "again": false}, states())
	known.expire(at(3*time.Second + vanishedGrace))
	require.Equal(t, map[fleet.TargetID]bool{"stays": false, "leaving": true, "new": false, "again": false}, states())

	// A later change in the new era is what the target says now.
	copies[2] = entry("left", "ready", born, 22)
	applyCopied(&known, at(5*time.Second), 2, append(copies, entry("new", "ready", born, 14))...)
	require.Contains(t, states(), fleet.TargetID("left"))
}

// An entry that the copy lacks, and that its target does not write again, is that of a target
// that is gone.
func TestEntryThatIsNotWrittenAgainAfterRestoreIsDropped(t *testing.T) {
	var known targets
	target := roster.Target{ID: "lost", StartTime: time.UnixMilli(1)}
	applyCopied(&known, at(0), 1, copied{target, 10})
	applyCopied(&known, at(time.Second), 2)
	require.Equal(t, []fleet.TargetID{"lost"}, ids(&known))
	known.expire(at(time.Second + vanishedGrace))
	require.Empty(t, ids(&known))
}

// hostEntries returns entries of hosts as a replica holds them.
func hostEntries(t *testing.T, era uint64, hosts ...wire.Host) platform.Listing {
	t.Helper()
	listing := platform.Listing{Revision: fleet.Revision{Era: era, Number: 50}}
	for i, h := range hosts {
		spec, err := json.Marshal(h)
		require.NoError(t, err)
		listing.Objects = append(listing.Objects, platform.Object{
			Kind: platform.KindHosts, Name: string(h.ID), Revision: fleet.Revision{Era: era, Number: fleet.Version(10 + i)}, Spec: spec,
		})
	}
	return listing
}

// Load pattern: hosts start, start again and are removed, and then the store comes back from
// a copy that knows nothing of it. Callers must be sent to the live hosts alone.
func TestCopyOfStoreDoesNotUndoWhatIsKnownOfHosts(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.members = members{}
	again := host("again", 1)
	again.Incarnation = 2
	c.applyListing(at(0), platform.KindHosts, hostEntries(t, 1, c.Self, host("stays", 1), host("new", 1), again), 0)
	c.startPlanning(at(0), 7)
	require.Len(t, c.callerHosts(), 4)

	earlier := again
	earlier.Incarnation = 1
	c.applyListing(at(time.Second), platform.KindHosts, hostEntries(t, 2, c.Self, host("stays", 1), host("dead", 1), earlier), 0)
	require.Equal(t, []wire.Host{again, host("new", 1), host("stays", 1), c.Self}, c.callerHosts(),
		"a removed host does not come back, one that the copy lacks stays, and one that has started again keeps its newer entry")

	c.members.recordHeartbeat(at(2*time.Second), "dead", false)
	require.Contains(t, c.callerHosts(), host("dead", 1), "it sends heartbeats")

	for _, id := range []fleet.HostID{"stays", "again", "dead"} {
		c.members.recordHeartbeat(at(deadEntryTimeout+time.Second), id, false)
	}

	c.members.dropMissing(at(deadEntryTimeout + time.Second))
	require.NotContains(t, c.members.hosts, fleet.HostID("new"), "it has not written its entry again")
}

// Load pattern: the store comes back from a copy that lacks the entries of hosts. If the
// whole fleet restarts later, hosts find each other by their entries.
func TestHostsWriteTheirEntriesAgainAfterStoreIsRestored(t *testing.T) {
	store := newConfiguredStore()
	putTarget(store, "i-1", "ready")
	store.Put("hosts", "h1", map[string]any{"ID": "h1", "Callers": "127.0.0.1:5", "Peers": "127.0.0.1:6"}) // of an earlier process
	saved := store.Copy()
	controls, _ := startFleet(t, store, 3)
	awaitPlanner(t, controls)
	registered := func() (n int) {
		for _, c := range controls {
			var entry wire.Host
			o, err := c.Store.Read(context.Background(), platform.KindHosts, string(c.Self.ID))
			if err == nil && platform.DecodeSpec(o, &entry) == nil && entry == c.Self {
				n++
			}
		}
		return n
	}
	allKnown := func() bool {
		for _, c := range controls {
			for _, other := range controls {
				if !slices.Contains(c.View().Hosts, other.Self) {
					return false
				}
			}
		}
		return true
	}
	require.Eventually(t, func() bool { return registered() == 3 && allKnown() }, 5*time.Second, 10*time.Millisecond)
	store.Restore(saved)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		require.True(t, allKnown(), "callers are not sent to a live host because the copy lacks its entry")
	}
	require.Equal(t, 3, registered())
}

// Load pattern: a fleet starts for the first time, and hosts hear from each other before they
// have read the store. That nobody has found a record of the duty is not a record of a copy,
// for which they would have to wait.
func TestAbsenceOfDutyIsNotPassedOn(t *testing.T) {
	first := newObserver(at(0), 1, election.Record{})
	first.duty = election.Duty{Self: "first"}
	first.duty.ObserveAbsent(at(0), 1)
	second := newObserver(at(0), 1, election.Record{})
	second.duty = election.Duty{Self: "second"}
	second.initInbox()
	second.handleReply(at(0), "10.0.0.1:2", wire.HeartbeatReply{Duty: first.duty.Record(), Revision: first.duty.Revision()})
	second.duty.ObserveAbsent(at(0), 1)
	_, due := second.duty.NextWrite(at(0), false)
	require.True(t, due)
}

// putIsolation writes a configuration that isolates the named workspaces of three.
func putIsolation(store *fakeplatform.Store, number int, isolated ...string) {
	var tenants []map[string]any
	for _, name := range []string{"w0", "w1", "w2"} {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": []string{"k" + name}, "isolated": slices.Contains(isolated, name)})
	}
	store.Put("config", "main", map[string]any{
		"version": number, "tenants": tenants, "services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{"name": "r", "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "service": "s"}},
	})
}

// TestRestoredStoreEndsNoIsolation guards against hosts that go back to the configuration of a
// copy, in which a workspace is not isolated yet, and so to a salt under which it has made parts.
func TestRestoredStoreEndsNoIsolation(t *testing.T) {
	store := newConfiguredStore()
	putTarget(store, "i-1", "ready")
	putIsolation(store, 4)
	controls, _ := startFleet(t, store, 3)
	awaitPlanner(t, controls)
	requireConfiguration(t, controls, 4)
	saved := store.Copy()
	putIsolation(store, 5, "w0")
	requireConfiguration(t, controls, 5)
	sharing := controls[0].View().Table.Sharing()
	require.NotEmpty(t, sharing)

	store.Restore(saved)
	for _, c := range controls {
		require.Eventually(t, func() bool {
			known := make(chan fleet.Version, 1)
			c.enqueue(t.Context(), func(fleet.Instant) {
				o, _ := c.replicas[platform.KindConfiguration].Get(platform.ConfigurationName)
				config, err := platform.DecodeConfiguration(o)
				if err != nil {
					config.Number = 0
				}
				known <- config.Number
			})
			return <-known == 4
		}, 5*time.Second, 10*time.Millisecond, "host %s has not read the copy", c.Self.ID)
		require.Equal(t, fleet.Version(5), c.View().Table.Number)
		require.Equal(t, sharing, c.View().Table.Sharing())
		require.True(t, c.View().Table.WorkspaceByID("w0").Isolated)
	}
	// The operator's next configuration takes effect.
	putIsolation(store, 6, "w0", "w1")
	requireConfiguration(t, controls, 6)
	for _, c := range controls {
		require.True(t, c.View().Table.WorkspaceByID("w1").Isolated)
		require.NotEqual(t, sharing, c.View().Table.Sharing())
	}
}
