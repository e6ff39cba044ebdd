package planner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
)

// A pausingEngine answers calls for events after their wait, and not while it is silent.
type pausingEngine struct {
	mu          sync.Mutex
	silentUntil time.Time
}

func (e *pausingEngine) pause() {
	for {
		e.mu.Lock()
		left := time.Until(e.silentUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (e *pausingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.pause()
	wait, _ := time.ParseDuration(r.Header.Get("Wait-Ms") + "ms")
	time.Sleep(wait)
	e.pause()
	fmt.Fprint(w, `{"bootEpoch":7,"nextToken":1,"lost":false,"events":[]}`)
}

// TestSilentEngineGetsWorkAgain guards against an engine that falls silent for a moment, goes on, and gets no work
// for as long again. The planner's polls of the engines are at different times. None has crashed.
func TestSilentEngineGetsWorkAgain(t *testing.T) {
	const (
		engines = 12
		silence = 1200 * time.Millisecond
		latest  = 700 * time.Millisecond // after the silence
	)
	var targets []roster.Target
	var list [engines]pausingEngine
	for i := range list {
		server := httptest.NewServer(&list[i])
		t.Cleanup(server.Close)
		targets = append(targets, roster.Target{ID: fleet.TargetID(fmt.Sprint("e", i)), Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))})
	}
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, _ := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	for i := range targets {
		p.SetView(ctx, engineView(targets[:i+1]...))
		time.Sleep(eventPollTimeout / engines)
	}
	usable := func() int {
		count := make(chan int, 1)
		p.enqueue(ctx, func(now fleet.Instant) { count <- p.fleet.UsableTargets(now, "lm") })
		return <-count
	}
	time.Sleep(2 * eventPollTimeout)
	require.Equal(t, engines, usable())
	end := time.Now().Add(silence)
	for i := range list {
		list[i].mu.Lock()
		list[i].silentUntil = end
		list[i].mu.Unlock()
	}
	time.Sleep(silence / 2)
	require.Less(t, usable(), engines, "engines that are silent get work")
	time.Sleep(time.Until(end.Add(latest)))
	require.Equal(t, engines, usable(), "engines that answer again get no work")
	require.Zero(t, p.Stats().Crashes)
	require.Empty(t, p.Quarantine())
}
