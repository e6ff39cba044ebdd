package planner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

// engineView returns a view of a service of engines.
func engineView(targets ...roster.Target) *view.View {
	table := route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "lm", Engine: &route.Engine{Slots: 8, CacheCapacity: 1000}}}})
	v := &view.View{Table: table}
	for _, target := range targets {
		target.Service = "lm"
		v.Targets = append(v.Targets, target)
	}
	return v.Freeze()
}

// startEngine starts an engine without cache events and returns its address.
func startEngine(t *testing.T) (*httptest.Server, fleet.Address) {
	t.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(10 * time.Millisecond)
		_, _ = w.Write([]byte(`{"bootEpoch":7,"nextToken":1,"lost":false,"events":[]}`))
	}))
	t.Cleanup(engine.Close)
	return engine, fleet.Address(strings.TrimPrefix(engine.URL, "http://"))
}

// TestEngineAtReusedAddressIsWatched has an engine that crashes and is replaced at its
// address by one with another ID. The entries of both overlap for a while. The crash of
// the second one must be noticed as its own.
func TestEngineAtReusedAddressIsWatched(t *testing.T) {
	engine, address := startEngine(t)
	began := time.Now()
	old := roster.Target{ID: "old", Address: address, StartTime: began}
	replacement := roster.Target{ID: "replacement", Address: address, StartTime: began.Add(time.Second)}

	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, lines := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	p.SetView(ctx, engineView(old))
	p.SetView(ctx, engineView(old, replacement))
	p.SetView(ctx, engineView(replacement))
	require.Eventually(t, func() bool {
		usable := make(chan int, 1)
		p.enqueue(ctx, func(now fleet.Instant) { usable <- p.fleet.UsableTargets(now, "lm") })
		return <-usable == 1
	}, time.Second, 10*time.Millisecond)
	engine.CloseClientConnections()
	engine.Close()
	lines.Require(t, "engine does not answer; it gets no new work", testlog.Line{"Target": "replacement"})
}

// TestReplacedEngineGetsNoWork checks that an engine whose address another one has taken
// is not revived by the answers of the other.
func TestReplacedEngineGetsNoWork(t *testing.T) {
	_, address := startEngine(t)
	began := time.Now()
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, _ := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	p.SetView(ctx, engineView(roster.Target{ID: "a", Address: address, StartTime: began}, roster.Target{ID: "b", Address: address, StartTime: began.Add(-time.Second)}))
	for range 5 {
		usable := make(chan int, 1)
		p.enqueue(ctx, func(now fleet.Instant) { usable <- p.fleet.UsableTargets(now, "lm") })
		require.Equal(t, 1, <-usable)
		time.Sleep(30 * time.Millisecond)
	}
}
