package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/standin/fakeplatform"
)

// TestRestartedHostsBeginNoRunOnReplacedWeights guards against hosts that start again, have not read which weights were
// replaced long ago, and send requests to engines that still have these.
//
// Load pattern: new weights are announced and no order to load them is answered. After the time in which runs may begin
// on the older ones all hosts are killed, and the object store gives all of them the announcements late.
func TestRestartedHostsBeginNoRunOnReplacedWeights(t *testing.T) {
	const (
		hosts = 2
		over  = 5 * time.Second // of the 6 s of versionMs, requests are sent for 4.8 s
		late  = time.Second     // within the time-out of a call
	)
	var isLate atomic.Bool
	store := new(fakeplatform.Store)
	s := &site{store: store, weightsVersion: 1}
	storeAddress := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isLate.Load() && strings.HasPrefix(r.URL.Path, "/-/objects/versions") {
			time.Sleep(late)
		}
		store.ServeHTTP(w, r)
	}))
	engine := &fakeplatform.Target{ID: "i-00", Model: model, Events: 1, WorkTime: 10 * time.Millisecond}
	path := newPath(t, serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/order" {
			panic(http.ErrAbortHandler)
		}
		engine.ServeHTTP(w, r)
	})))
	s.targets = []*target{{engine, path}}
	s.register(s.targets[0])
	s.writeWeights()
	s.putConfiguration()
	binary := build(t)
	for i := range hosts {
		h := newHost(t, binary, 0, fmt.Sprint("h", i), storeAddress, "")
		s.hosts = append(s.hosts, h)
		go h.supervise()
	}
	t.Cleanup(func() {
		for _, h := range s.hosts {
			h.close()
		}
	})
	s.awaitReady(t, 10*time.Second)
	var requests atomic.Int64
	client := &http.Client{Timeout: time.Second}
	sendFor := func(span time.Duration) (begun int) {
		before, _, _ := engine.Runs()
		var group sync.WaitGroup
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, h := range s.hosts {
				group.Go(func() {
					send(client, h.callers, &result{id: fmt.Sprint("r", requests.Add(1)), kind: "talk", prefix: "aa:10,bb:20"})
				})
			}
		}
		group.Wait()
		after, _, _ := engine.Runs()
		return len(after) - len(before)
	}
	require.NotZero(t, sendFor(500*time.Millisecond))
	s.putWeights()
	time.Sleep(over)
	require.Zero(t, sendFor(100*time.Millisecond), "the time of the older weights is over")
	isLate.Store(true)
	for _, h := range s.hosts {
		h.kill(syscall.SIGKILL)
	}
	require.Zero(t, sendFor(late+time.Second), "the hosts have started again")
	s.awaitReady(t, 5*time.Second)
	require.Zero(t, sendFor(100*time.Millisecond))
}
