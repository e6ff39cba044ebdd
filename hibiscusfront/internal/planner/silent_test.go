package planner

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/testlog"
)

// A pausingEngine answers calls for events after their wait, and not while it is silent or once it has crashed.
type pausingEngine struct {
	mu          sync.Mutex
	silentUntil time.Time
	crashed     bool
}

func (e *pausingEngine) pause() {
	for {
		e.mu.Lock()
		left, crashed := time.Until(e.silentUntil), e.crashed
		e.mu.Unlock()
		switch {
		case crashed:
			panic(http.ErrAbortHandler)
		case left <= 0:
			return
		}
		time.Sleep(min(left, 20*time.Millisecond))
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

// TestSilentEngineHasNotCrashed has an answer of an engine end early just as the engine falls silent, or crashes. Another
// one ends early once the planner gets no answer from the silent engine, which stays silent until it has been tried.
func TestSilentEngineHasNotCrashed(t *testing.T) {
	for name, crashed := range map[string]bool{"silent": false, "crashed": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var engine pausingEngine
			server := httptest.NewUnstartedServer(&engine)
			if crashed {
				// Nobody else listens at this address: a port of 127.0.0.1 may be taken once it is closed.
				require.NoError(t, server.Listener.Close())
				pid := os.Getpid()
				listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&63, pid>>8&255, pid&255))
				require.NoError(t, err)
				server.Listener = listener
			}
			server.Start()
			t.Cleanup(server.Close)
			target := roster.Target{
				ID: "e", Address: fleet.Address(strings.TrimPrefix(server.URL, "http://")), Models: []roster.Model{{ID: "m", Version: 1}},
			}
			d := new(testPermissions)
			d.holds.Store(true)
			ctx, p, lines := startPlanner(t, d)
			p.SetPlanning(ctx, 7, true)
			p.SetView(ctx, engineView(target))
			var failed [2]plan.Report
			for i := range failed {
				decision, err := p.Plan(ctx, &plan.Request{
					ID: fleet.RequestID(fmt.Sprint(i)), Host: "other", Service: "lm", Objective: time.Second, Deadline: 5 * time.Minute,
					Prompt: &prompt.Prompt{Model: "m", Parts: []prompt.Part{{ID: "own", Tokens: 10}}, Input: 10, Output: 1},
				}, false)
				require.NoError(t, err)
				require.NotNil(t, decision.Grant, "%v", decision.Refusal)
				failed[i] = plan.Report{Number: decision.Grant.Number, Progress: plan.Failed}
			}
			if crashed {
				engine.mu.Lock()
				engine.crashed = true
				engine.mu.Unlock()
				server.Listener.Close() // first, else the planner's client calls again at once on a connection that stays open
				server.CloseClientConnections()
			} else {
				engine.mu.Lock()
				engine.silentUntil = time.Now().Add(time.Hour)
				engine.mu.Unlock()
				t.Cleanup(func() { // before the server is closed
					engine.mu.Lock()
					engine.silentUntil = time.Time{}
					engine.mu.Unlock()
				})
				time.Sleep(200 * time.Millisecond)
			}
			p.Report(ctx, failed[:1])
			if !crashed {
				lines.Require(t, "engine does not answer; it gets no new work", testlog.Line{"Target": "e"})
				p.Report(ctx, failed[1:])
			}
			lines.Require(t, "tried a connection to a target, since an answer ended early", testlog.Line{"Target": "e", "Accepted": !crashed})
			time.Sleep(500 * time.Millisecond)
			want := 0
			if crashed {
				want = 1
			}
			require.EqualValues(t, want, p.Stats().Crashes)
		})
	}
}
