package soak_test

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/standin/fakeplatform"
)

const rolloutBounds = ", exposeShare: 0.1, exposeSlack: 50, rollbackMs: 5000"

// startNewVersion starts as many targets of the plain service with a version as there are old ones.
func (s *site) startNewVersion(t *testing.T, version string, failing int) []*target {
	t.Helper()
	var started []*target
	for i := range plainCount {
		standIn := &fakeplatform.Target{ID: fmt.Sprintf("n-%02d", i), WorkTime: 10 * time.Millisecond}
		standIn.SetSoftware(version)
		standIn.SetFailing(failing)
		n := &target{standIn, newPath(t, serve(t, standIn))}
		s.register(n)
		started = append(started, n)
	}
	return started
}

// rolloutState returns the state that the system has written to the order.
func (s *site) rolloutState() string {
	o, _ := s.store.Get("rollouts", "plain")
	var status struct{ State string }
	_ = json.Unmarshal(o.Status, &status) // empty until it is written
	return status.State
}

func arrivals(targets []*target) (n int) {
	for _, t := range targets {
		n += len(t.Arrivals())
	}
	return n
}

// TestRollouts moves the plain service to a version that is good, one that is bad, and one that is
// good while the planner's host is killed.
func TestRollouts(t *testing.T) {
	const durationS = 10
	binary := build(t)
	for name, c := range map[string]struct {
		failing int
		kill    bool
		want    string
	}{
		"good":                       {0, false, "completed"},
		"bad":                        {3, false, "rolled_back"},
		"good, planner is killed":    {0, true, "completed"},
		"bad, planner is killed too": {5, true, "rolled_back"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, binary, 0, rolloutBounds)
			s.awaitReady(t, 10*time.Second)
			callers := s.startCallers(1)
			defer callers.stop()
			time.Sleep(2 * time.Second)
			old := s.targets[engineCount:]
			before := arrivals(old)
			s.store.Put("rollouts", "plain", map[string]any{"service": "plain", "to": "v2", "durationS": durationS})
			began := time.Now()
			time.Sleep(300 * time.Millisecond)
			started := s.startNewVersion(t, "v2", c.failing)
			if c.kill {
				time.Sleep(2 * time.Second)
				s.planner().kill(syscall.SIGKILL)
			}
			require.Eventually(t, func() bool { return s.rolloutState() == c.want }, time.Until(began.Add(durationS*time.Second)), 10*time.Millisecond,
				"%s after %v; %d requests on new targets, %d failed", s.rolloutState(), time.Since(began), arrivals(started), started[0].Failed()+started[1].Failed())
			onNew, onOld := arrivals(started), arrivals(old)-before
			t.Logf("%s after %v: %d requests on new targets, %d on old ones, %d bad", c.want, time.Since(began), onNew, onOld, started[0].Failed()+started[1].Failed())
			time.Sleep(500 * time.Millisecond) // other hosts know
			var remaining []*target
			if c.want == "completed" {
				remaining = old
			} else {
				remaining = started
				require.LessOrEqual(t, float64(onNew), 0.1*float64(onNew+onOld)+50)
			}
			settled := arrivals(remaining)
			time.Sleep(time.Second)
			require.Equal(t, settled, arrivals(remaining), "requests to targets that got their last one")
		})
	}
}

// planner returns the host that plans, as the object store says.
func (s *site) planner() *host {
	o, _ := s.store.Get("duties", "planner")
	var record struct{ Holder string }
	_ = json.Unmarshal(o.Spec, &record)
	for _, h := range s.hosts {
		if h.name == record.Holder {
			return h
		}
	}
	return s.hosts[0]
}
