package host

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/platform"
)

// TestPlannedStopLosesNoRelayedAnswer stops a host that sends requests for one that is cut off. It has time
// until the end of the grace period.
func TestPlannedStopLosesNoRelayedAnswer(t *testing.T) {
	const streams = 16
	site := startCutSite(t, func(s *platform.Settings) { s.Bounds.AddressTTL = 50 * time.Millisecond })
	planner := site.awaitPlanner(t)
	cut, stops := (planner+1)%len(site.hosts), (planner+2)%len(site.hosts)
	for _, target := range site.targets {
		target.SetWorkTime(260 * time.Millisecond)
	}
	site.paths[cut].set(reset)
	served := make(chan bool, streams)
	for i := range streams {
		go func() {
			client := &http.Client{Transport: new(http.Transport), Timeout: 8 * time.Second}
			defer client.CloseIdleConnections()
			served <- site.sendWithin(client, cut, "talk", fmt.Sprint("stop-", i), 6*time.Second)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	site.stops[stops]()
	whole := 0
	for range streams {
		if <-served {
			whole++
		}
	}
	require.Equal(t, streams, whole)
}

// TestPauseHoldsForHostsThatSendForOthers has targets ask for a pause while a host sends them the requests of another
// one that is cut off. Later than half a second after that, no more than two requests may come from the host until the
// pause ends; and the host that is cut off learns of it.
func TestPauseHoldsForHostsThatSendForOthers(t *testing.T) {
	const pause, allowed, late = 3 * time.Second, 2, 500 * time.Millisecond
	site := startCutSite(t)
	planner := site.awaitPlanner(t)
	cut := (planner + 1) % len(site.hosts)
	site.paths[cut].set(reset)
	for _, target := range site.targets[cutEngines:] {
		target.SetPause(pause)
	}
	var callers sync.WaitGroup
	start := time.Now()
	for caller := range 4 {
		callers.Go(func() {
			client := &http.Client{Transport: new(http.Transport), Timeout: 3 * time.Second}
			defer client.CloseIdleConnections()
			for i := 0; time.Since(start) < pause-200*time.Millisecond; i++ {
				site.send(client, cut, "order", fmt.Sprintf("pause-%d-%d", caller, i))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	site.mu.Lock()
	defer site.mu.Unlock()
	require.NotEmpty(t, site.orders)
	for by, times := range site.orders {
		require.NotEqual(t, site.paths[cut].local.String(), by.host)
		n := 0
		for _, at := range times {
			if since := at.Sub(times[0]); since > late && since < pause {
				n++
			}
		}
		require.LessOrEqual(t, n, allowed, "%v: %d requests in all", by, len(times))
		t.Log(by, len(times), "requests,", n, "late")
	}
	h := site.hosts[cut]
	require.NotEmpty(t, h.chooser.Closed(h.control.View(), "plain"))
}

// TestHostCutOffFromTargetsServes parts a host that does not plan from all targets, while callers, the
// object store and the other hosts reach it. From the stable window on it must serve at least two thirds
// of what the others serve, and run nothing twice that may run once.
func TestHostCutOffFromTargetsServes(t *testing.T) {
	const stableWindow = 3 * time.Second
	for _, s := range []sight{hang, reset, newRefused} {
		t.Run(string(s), func(t *testing.T) {
			t.Parallel()
			site := startCutSite(t)
			planner := site.awaitPlanner(t)
			cut := (planner + 1) % len(site.hosts)
			before := site.load(t, "before", time.Second, time.Second)
			require.Greater(t, share(before, func(int) bool { return true }), 0.9, "%v", before)

			site.paths[cut].set(s)
			during := site.load(t, "during", stableWindow, 2*time.Second)
			site.paths[cut].set("")
			others := share(during, func(host int) bool { return host != cut })
			require.Greater(t, others, 0.9, "%v, host %d is cut off", during, cut)
			require.GreaterOrEqual(t, share(during, func(host int) bool { return host == cut }), others*2/3, "%v, host %d is cut off", during, cut)

			after := site.load(t, "after", time.Second, time.Second)
			require.Greater(t, share(after, func(int) bool { return true }), 0.9, "%v", after)
			runs := make(map[string]int)
			for _, target := range site.targets {
				ran, _, _ := target.Runs()
				for id, n := range ran {
					runs[id] += n
				}
			}
			for id, n := range runs {
				var name string
				var host, caller, i int
				_, err := fmt.Sscanf(strings.ReplaceAll(id, "-", " "), "%s %d %d %d", &name, &host, &caller, &i)
				require.NoError(t, err)
				require.True(t, n == 1 || caller%3 == 2, "request %s ran %d times", id, n)
			}
		})
	}
}
