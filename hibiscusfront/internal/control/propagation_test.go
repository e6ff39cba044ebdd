package control

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
	"hibiscuslb/standin/fakeplatform"
	"hibiscuslb/standin/link"
)

// peerHandler serves the messages that hosts send to a Control.
type peerHandler struct{ control *Control }

func (p peerHandler) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, _ func(any) error) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		return peer.ServeUnary(body, func(heartbeat wire.Heartbeat) (wire.HeartbeatReply, error) {
			return p.control.HandleHeartbeat(ctx, heartbeat)
		})
	case wire.KindChanges:
		return peer.ServeUnary(body, func(request wire.ChangesRequest) (wire.ChangesReply, error) {
			return p.control.HandleChanges(ctx, request)
		})
	default:
		return peer.ServeUnary(body, func(request wire.RenewRequest) (wire.RenewReply, error) { return p.control.HandleRenew(ctx, request) })
	}
}

// startFleet runs the control states of the given number of hosts, each with a
// network path of its own to the store. Configure is called for each before it runs.
func startFleet(t *testing.T, store *fakeplatform.Store, hosts int, configure ...func(*Control)) ([]*Control, []*link.Proxy) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	storeServer := httptest.NewServer(store)
	var controls []*Control
	var paths []*link.Proxy
	ended := make(chan struct{})
	tasks := 0
	run := func(f func(context.Context)) {
		tasks++
		go func() {
			f(ctx)
			ended <- struct{}{}
		}()
	}
	for i := range hosts {
		c := &Control{Peers: new(peer.Pool), Clock: clock.BootTime(), Log: new(testlog.Lines).Logger()}
		peerServer := httptest.NewServer(&peer.Server{Handler: peerHandler{c}})
		t.Cleanup(peerServer.Close)
		t.Cleanup(peerServer.CloseClientConnections)
		c.Self = wire.Host{
			ID: fleet.HostID(fmt.Sprint("h", i)), Callers: "127.0.0.1:1", Incarnation: 1,
			Peers: fleet.Address(strings.TrimPrefix(peerServer.URL, "http://")),
		}
		c.Settings = platform.Settings{Host: c.Self.ID, Peers: c.Self.Peers, Bounds: platform.Bounds{Configuration: 2 * time.Second}}
		for _, f := range configure {
			f(c)
		}
		controls = append(controls, c)
	}
	for range hosts {
		// The listener stays open from here on, so that no other process gets its port.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		path := &link.Proxy{Listen: fleet.Address(listener.Addr().String()), Target: fleet.Address(strings.TrimPrefix(storeServer.URL, "http://"))}
		run(func(ctx context.Context) {
			if err := path.Serve(ctx, listener); err != nil {
				t.Errorf("path %s to the store: %v", path.Listen, err)
			}
		})
		paths = append(paths, path)
	}
	for i, c := range controls {
		c.Store = &platform.Store{Address: paths[i].Listen}
		run(c.Peers.Run)
		run(c.Run)
	}
	t.Cleanup(func() {
		cancel()
		storeServer.CloseClientConnections()
		for range tasks {
			<-ended
		}
		storeServer.Close()
	})
	return controls, paths
}

// TestChangeReachesAllHostsWhenPlannerLosesStore guards against slow
// propagation of a change, such as a revoked key, that is made when the planner,
// the only host that watches the store, can no longer reach it. If the other hosts
// rely on the planner for another 0.8 s (watcherTimeout) and then announce the
// change with their next heartbeats, the last host has it after 2.04 s, but
// Bounds.Configuration allows 2 s.
func TestChangeReachesAllHostsWhenPlannerLosesStore(t *testing.T) {
	const hosts = 4
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, paths := startFleet(t, store, hosts)
	planner := awaitPlanner(t, controls)

	const bound = 2 * time.Second
	for number := 4; number < 6; number++ {
		paths[planner].SetMode(link.Cut)
		store.Put("config", "main", map[string]any{"version": number, "services": []map[string]any{}, "routes": []map[string]any{}})
		changed := time.Now()
		for _, c := range controls {
			require.Eventually(t, func() bool { return c.View().Table.Number == fleet.Version(number) }, 5*time.Second, 2*time.Millisecond)
		}
		require.Less(t, time.Since(changed), bound*3/4)
		paths[planner].SetMode(link.Pass)
		time.Sleep(time.Second)
	}
}

// awaitPlanner returns the index of the planner once all hosts know it and only it
// watches the store.
func awaitPlanner(t *testing.T, controls []*Control) int {
	t.Helper()
	planner := -1
	require.Eventually(t, func() bool {
		planner = -1
		for i, c := range controls {
			if c.MayPlan() {
				planner = i
			}
		}
		for i, c := range controls {
			if planner < 0 || c.View().Table == nil || c.View().Duty.Holder != controls[planner].Self.ID || c.watching.Load() != (i == planner) {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
	return planner
}

// Load pattern: the planner of a large fleet loses the store for seconds, and keeps its
// duty by writes through its peers. The standbys watch the store in its place, and no
// other host does, yet a configuration and a removed target reach all hosts in time.
func TestOnlyStandbysWatchWhenPlannerLosesStore(t *testing.T) {
	const (
		hosts = 24
		bound = 2 * time.Second // of a configuration, and of a target that leaves
	)
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	store.Put("servers", "i-2", map[string]any{"service": "s", "address": "10.0.0.2:80", "zone": "z", "slots": 4, "state": "ready"})
	controls, paths := startFleet(t, store, hosts)
	planner := awaitPlanner(t, controls)
	time.Sleep(time.Second) // until heartbeats have told all hosts of all others
	paths[planner].SetMode(link.Cut)
	for end := time.Now().Add(2 * (watcherTimeout + nonStandbyDelay)); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		watching := 0
		for _, c := range controls {
			if c.watching.Load() {
				watching++
			}
		}
		require.LessOrEqual(t, watching, standbyCount+1, "the standbys and the planner")
	}
	store.Put("config", "main", map[string]any{"version": 9, "services": []map[string]any{}, "routes": []map[string]any{}})
	store.Remove("servers", "i-2")
	changed := time.Now()
	for i, c := range controls {
		require.Eventually(t, func() bool { return c.View().Table.Number == 9 && c.View().Target("i-2") == nil }, 5*time.Second, 2*time.Millisecond, "host %d", i)
	}
	require.Less(t, time.Since(changed), bound)
}
