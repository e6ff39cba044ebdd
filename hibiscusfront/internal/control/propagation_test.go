package control

import (
	"context"
	"fmt"
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
// network path of its own to the store.
func startFleet(t *testing.T, store *fakeplatform.Store, hosts int) ([]*Control, []*link.Proxy) {
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
		path := &link.Proxy{
			Listen: fleet.Address(freeAddress(t)),
			Target: fleet.Address(strings.TrimPrefix(storeServer.URL, "http://")),
		}
		c.Self = wire.Host{
			ID: fleet.HostID(fmt.Sprint("h", i)), Callers: "127.0.0.1:1", Incarnation: 1,
			Peers: fleet.Address(strings.TrimPrefix(peerServer.URL, "http://")),
		}
		c.Settings = platform.Settings{Host: c.Self.ID, Peers: c.Self.Peers, Bounds: platform.Bounds{Configuration: 2 * time.Second}}
		c.Store = &platform.Store{Address: path.Listen}
		run(func(ctx context.Context) { _ = path.Run(ctx) }) // if the path fails, the store is unreachable and the test fails
		run(c.Peers.Run)
		run(c.Run)
		controls, paths = append(controls, c), append(paths, path)
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

func freeAddress(t *testing.T) string {
	t.Helper()
	free := httptest.NewServer(nil)
	defer free.Close()
	return strings.TrimPrefix(free.URL, "http://")
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
	planner := -1
	require.Eventually(t, func() bool {
		planner = -1
		for i, c := range controls {
			if c.MayPlan() {
				planner = i
			}
		}
		for _, c := range controls {
			if planner < 0 || c.View().Table == nil || c.View().Duty.Holder != controls[planner].Self.ID {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		for i, c := range controls {
			if c.watching.Load() != (i == planner) {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond, "only the planner watches the store")

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
