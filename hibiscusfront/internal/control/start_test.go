package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
	"hibiscuslb/standin/fakeplatform"
)

// startControl runs the control state of a host that has no contact with other
// hosts. Configure is called before it runs.
func startControl(t *testing.T, store http.Handler, configure ...func(*Control)) (*Control, *testlog.Lines) {
	t.Helper()
	lines := new(testlog.Lines)
	server := httptest.NewServer(store)
	address := fleet.Address(strings.TrimPrefix(server.URL, "http://"))
	peers := new(peer.Pool)
	c := &Control{
		Settings: platform.Settings{Host: "h", Peers: "127.0.0.1:1", Bounds: platform.Bounds{Configuration: 2 * time.Second}},
		Store:    &platform.Store{Address: address}, Peers: peers, Clock: clock.BootTime(), Log: lines.Logger(),
		Self: wire.Host{ID: "h", Callers: "127.0.0.1:2", Peers: "127.0.0.1:1", Incarnation: 1},
	}
	for _, f := range configure {
		f(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	for _, run := range []func(context.Context){peers.Run, c.Run} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		<-ended
		<-ended
		server.Close()
	})
	return c, lines
}

func newConfiguredStore() *fakeplatform.Store {
	store := new(fakeplatform.Store)
	store.Put("config", "main", map[string]any{
		"version": 3, "services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{"name": "r", "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "service": "s"}},
	})
	store.Put("hosts", "other", map[string]any{"ID": "other", "Callers": "127.0.0.1:3", "Peers": "127.0.0.1:4", "Incarnation": 1})
	return store
}

// TestStartingHostReadsStoreAtOnce guards against a host that starts and waits for
// changes from other hosts before it reads the store itself. If all hosts start
// together, each waits for the others, and all refuse requests for 0.8 s
// (watcherTimeout).
func TestStartingHostReadsStoreAtOnce(t *testing.T) {
	c, _ := startControl(t, newConfiguredStore())
	require.Eventually(t, func() bool { return c.View().Table != nil }, watcherTimeout/2, 5*time.Millisecond)
	require.Equal(t, fleet.Version(3), c.View().Table.Number)
}

// TestRestartedHostFindsPlannerBeforeItChooses guards against a host that starts again and
// chooses targets alone, without what the planner knows and withholds, although the duty's
// record is in the store. It must have the record about as soon as a configuration and
// targets, without which it refuses requests.
func TestRestartedHostFindsPlannerBeforeItChooses(t *testing.T) {
	const latest = 100 * time.Millisecond // a few calls to the store
	for name, quarantined := range map[string][]map[string]any{
		"nothing is withheld": nil,
		"a part is withheld":  {{"Part": "bad", "Crashes": 3}},
	} {
		t.Run(name, func(t *testing.T) {
			store := newConfiguredStore()
			store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
			store.Put("duties", DutyName, map[string]any{"Holder": "other", "Address": "127.0.0.1:4", "Epoch": 5, "Renewal": 9, "Quarantine": quarantined})
			c, _ := startControl(t, store, func(c *Control) { c.Self.Cores = 0.4 })
			require.Eventually(t, func() bool { return c.View().Table != nil && len(c.View().Targets) > 0 }, time.Second, time.Millisecond)
			ready := time.Now()
			require.Eventually(t, func() bool { return c.View().Duty.Holder == "other" }, time.Second, time.Millisecond)
			require.Less(t, time.Since(ready), latest)
			require.Len(t, c.View().Duty.Quarantine, len(quarantined))
		})
	}
}

// A host that starts while the store does not answer reads it as soon as it answers.
func TestHostStartedInOutageReadsStoreWhenItAnswers(t *testing.T) {
	store := newConfiguredStore()
	store.SetFault(fakeplatform.Down)
	c, _ := startControl(t, store)
	time.Sleep(600 * time.Millisecond)
	require.Nil(t, c.View().Table)
	store.SetFault(fakeplatform.Healthy)
	require.Eventually(t, func() bool { return c.View().Table != nil }, maxRetryPause+200*time.Millisecond, 5*time.Millisecond)
}

// A change must not be missed when watches are cut and the store has dropped the
// history of revisions.
func TestChangeIsSeenAfterCompaction(t *testing.T) {
	store := newConfiguredStore()
	c, _ := startControl(t, store)
	require.Eventually(t, func() bool { return c.View().Table != nil }, time.Second, 5*time.Millisecond)
	for number := 4; number < 8; number++ {
		store.Compact()
		store.Put("config", "main", map[string]any{"version": number, "services": []map[string]any{}, "routes": []map[string]any{}})
		store.Compact()
		require.Eventually(t, func() bool { return c.View().Table.Number == fleet.Version(number) }, 2*time.Second, 5*time.Millisecond)
	}
}

// TestStateChangesAreLogged changes the objects in the store and checks that each
// change of the host's state is logged with the values that caused it.
func TestStateChangesAreLogged(t *testing.T) {
	store := newConfiguredStore()
	_, lines := startControl(t, store)
	lines.Require(t, "configuration in force", testlog.Line{"Number": 3, "Revision": 1, "Routes": 1, "Workspaces": 0})

	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	lines.Require(t, "target added or changed", testlog.Line{"Target": "i-1", "Service": "s", "Address": "10.0.0.1:80", "Leaving": false, "ColdFor": 0})
	lines.Require(t, "tenure changed", testlog.Line{"Planning": true, "Epoch": 1_000_000_001, "Holder": "h"})
	store.Put("servers", "i-2", map[string]any{"service": 7})
	lines.Require(t, "ignored malformed object in the object store", testlog.Line{"Object": "servers/i-2", "Revision": nil, "error": nil})
	store.Remove("servers", "i-1")
	lines.Require(t, "target removed: its entry is no longer in the object store", testlog.Line{"Target": "i-1"})

	store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	lines.Require(t, "weights announced", testlog.Line{"Model": "m", "Version": 2, "Revision": nil})
	store.Put("evacuations", "z", map[string]any{})
	require.Eventually(t, func() bool { return len(lines.WithMessage("evacuations changed")) == 2 }, 5*time.Second, 5*time.Millisecond)

	store.SetFault(fakeplatform.Down)
	lines.Require(t, "a call to the object store failed; continuing with the last known objects", testlog.Line{"Kind": nil, "LastAnswerAgo": nil, "error": nil})
	store.SetFault(fakeplatform.Healthy)
	lines.Require(t, "object store answers again", nil)
}

// Load pattern: all hosts of a large fleet start together, and the store has no record
// of a planner. A start costs eight calls a host: a list of each of five kinds, a read of
// the duty, the write of its entry, and its share of the planner's calls.
func TestStartOfLargeFleetCostsFewCalls(t *testing.T) {
	const (
		hosts   = 60
		perHost = 8
	)
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, _ := startFleet(t, store, hosts)
	require.Eventually(t, func() bool {
		for _, c := range controls {
			if v := c.View(); v.Table == nil || v.Duty.Holder == "" || c.watching.Load() != c.MayPlan() {
				return false
			}
		}
		return true
	}, 10*time.Second, 20*time.Millisecond)
	time.Sleep(2 * watcherTimeout)
	calls := uint64(0)
	for _, c := range controls {
		c.Store.Calls.Each(func(_ platform.StoreOperation, result platform.StoreResult, n uint64) {
			if result != platform.StoreUnknown { // the network path may start after its host
				calls += n
			}
		})
	}
	require.LessOrEqual(t, calls, uint64(hosts*perHost))
}

// TestRestartedHostServesOnlyOnceItHasReadRestrictions guards against a host that starts again, serves before it has
// read what the operator or the planner restricts, and sends requests to engines with weights that were replaced long
// ago, or to an evacuated data centre, or ones that crash engines.
//
// Load pattern: new weights are named, a data centre is evacuated and a part of prompts is withheld, then all hosts are
// restarted. The object store answers one of a host's calls late.
func TestRestartedHostServesOnlyOnceItHasReadRestrictions(t *testing.T) {
	for _, kind := range []string{platform.KindWeights, platform.KindEvacuations, platform.KindDuties} {
		t.Run(kind, func(t *testing.T) {
			store := newConfiguredStore()
			store.Put("duties", DutyName, map[string]any{"Holder": "other", "Address": "127.0.0.1:4", "Epoch": 5, "Renewal": 9, "Quarantine": []map[string]any{{"Part": "bad", "Crashes": 3}}})
			store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
			store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
			store.Put("evacuations", "z", map[string]any{})
			store.Put("duties", DutyName, map[string]any{"Holder": "other", "Address": "127.0.0.1:4", "Epoch": 5, "Renewal": 9, "Quarantine": []map[string]any{{"Part": "bad", "Crashes": 3}}})
			answer := make(chan struct{})
			c, log := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/-/objects/"+kind) {
					<-answer
				}
				store.ServeHTTP(w, r)
			}))
			release := sync.OnceFunc(func() { close(answer) })
			t.Cleanup(release)
			log.Require(t, "configuration in force", testlog.Line{"Number": 3})
			require.Eventually(t, func() bool { return len(c.View().Targets) > 0 }, 5*time.Second, time.Millisecond)
			require.Nil(t, c.View().Table, "the host serves")
			release()
			require.Eventually(t, func() bool { return c.View().Table != nil }, 5*time.Second, time.Millisecond)
			require.EqualValues(t, 2, c.View().Weights["m"].Newest())
			require.True(t, c.View().Evacuated["z"])
			require.Len(t, c.View().Duty.Quarantine, 1)
		})
	}
}

// TestStartingHostReadsOnAfterARefusedCall guards against a host that starts, gets no answer to one of its calls and
// takes that for an outage of the object store: it read no kind again until it would watch the store, seconds later.
// Until then it served without knowing of replaced weights, or did not serve.
//
// Load pattern: all hosts are restarted, so that no other host can tell them anything, and the object store refuses one
// call of a host.
func TestStartingHostReadsOnAfterARefusedCall(t *testing.T) {
	const latest = watcherTimeout // after which a host that hears from nobody watches the store
	for _, kind := range append(slices.Clone(replicatedKinds), platform.KindDuties) {
		t.Run(kind, func(t *testing.T) {
			store := newConfiguredStore()
			store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
			store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
			var refuse sync.Once
			c, _ := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				refused := false
				if strings.HasPrefix(r.URL.Path, "/-/objects/"+kind) {
					refuse.Do(func() { refused = true })
				}
				if refused {
					time.Sleep(50 * time.Millisecond) // the other calls are answered before
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				store.ServeHTTP(w, r)
			}))
			started := time.Now()
			require.Eventually(t, func() bool {
				v := c.View()
				return v.Table != nil && len(v.Targets) > 0 && v.Weights["m"].Newest() == 2
			}, 10*time.Second, time.Millisecond)
			require.Less(t, time.Since(started), latest)
		})
	}
}
