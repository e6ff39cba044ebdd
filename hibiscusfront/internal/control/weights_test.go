package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
)

// TestWeightsThatHostsLearnOfLateCountFromTheirAnnouncement guards against runs that begin on replaced
// weights because a host counts from when it learned of the new ones.
//
// Load pattern: the planner, the only host that watches the store, stands still just before
// weights are announced, until another host has its duty.
func TestWeightsThatHostsLearnOfLateCountFromTheirAnnouncement(t *testing.T) {
	const freeze = 3 * time.Second
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	controls, _ := startFleet(t, store, 4)
	planner := awaitPlanner(t, controls)
	time.Sleep(time.Second) // until heartbeats have told all hosts of the planner

	frozen := make(chan struct{})
	controls[planner].enqueue(context.Background(), func(fleet.Instant) {
		close(frozen)
		time.Sleep(freeze)
	})
	<-frozen
	announced := controls[0].Clock()
	store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	for i, c := range controls {
		require.Eventually(t, func() bool { return c.View().Weights["m"].Newest() == 2 }, 10*time.Second, time.Millisecond)
		learnedAfter := c.Clock().Sub(announced)
		at, replaced := c.View().Weights["m"].SupersededAt(1)
		require.True(t, replaced)
		require.LessOrEqual(t, at, announced, "host %d, planner %d, which learned of it %v after it was announced", i, planner, learnedAfter)
		require.Greater(t, at, announced.Add(-1500*time.Millisecond), "host %d counts from long before", i)
	}
}
