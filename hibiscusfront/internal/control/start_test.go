package control

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
	"hibiscuslb/standin/prepared"
)

// startControl runs the control state of a host, which no other host speaks to.
func startControl(t *testing.T, store *prepared.Store) *Control {
	t.Helper()
	server := httptest.NewServer(store)
	address := fleet.Address(strings.TrimPrefix(server.URL, "http://"))
	peers := new(peer.Pool)
	c := &Control{
		Settings: platform.Settings{Host: "h", Peers: "127.0.0.1:1", Bounds: platform.Bounds{Configuration: 2 * time.Second}},
		Store:    &platform.Store{Address: address}, Peers: peers, Clock: clock.Boot(), Log: zerolog.Nop(),
		Self: wire.Host{ID: "h", Callers: "127.0.0.1:2", Peers: "127.0.0.1:1", Incarnation: 1},
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
	return c
}

func configured() *prepared.Store {
	store := new(prepared.Store)
	store.Put("config", "main", map[string]any{
		"version": 3, "services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{"name": "r", "host": "h.example", "pathPrefix": "/", "kind": "idempotent", "service": "s"}},
	})
	store.Put("hosts", "other", map[string]any{"ID": "other", "Callers": "127.0.0.1:3", "Peers": "127.0.0.1:4", "Incarnation": 1})
	return store
}

// TestAHostThatStartsReadsTheStoreAtOnce replays the start of all hosts together:
// none has heard from another, and each would wait for news of one before it
// watches the store itself. All of them refused for 0.8 s.
func TestAHostThatStartsReadsTheStoreAtOnce(t *testing.T) {
	c := startControl(t, configured())
	require.Eventually(t, func() bool { return c.View().Table != nil }, quietTime/2, 5*time.Millisecond)
	require.Equal(t, fleet.Version(3), c.View().Table.Number)
}

// A host that starts while the store does not answer reads it as soon as it does.
func TestAHostThatStartsInAnOutageReadsTheStoreWhenItIsBack(t *testing.T) {
	store := configured()
	store.SetFault(prepared.Down)
	c := startControl(t, store)
	time.Sleep(600 * time.Millisecond)
	require.Nil(t, c.View().Table)
	store.SetFault(prepared.Healthy)
	require.Eventually(t, func() bool { return c.View().Table != nil }, lastPause+200*time.Millisecond, 5*time.Millisecond)
}

// Watches that are cut, and a history that is gone, must not hide a change.
func TestAChangeIsSeenThoughHistoryIsGone(t *testing.T) {
	store := configured()
	c := startControl(t, store)
	require.Eventually(t, func() bool { return c.View().Table != nil }, time.Second, 5*time.Millisecond)
	for number := 4; number < 8; number++ {
		store.DropHistory()
		store.Put("config", "main", map[string]any{"version": number, "services": []map[string]any{}, "routes": []map[string]any{}})
		store.DropHistory()
		require.Eventually(t, func() bool { return c.View().Table.Number == fleet.Version(number) }, 2*time.Second, 5*time.Millisecond)
	}
}
