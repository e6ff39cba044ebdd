package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/quarantine"
)

// quarantineOf gives a Control a planner's list: its own once one is set, else the one of
// the record that it has found.
type quarantineOf struct {
	mu   sync.Mutex
	list map[*Control]quarantine.List
}

func (q *quarantineOf) configure(c *Control) {
	c.Quarantine = func() quarantine.List {
		q.mu.Lock()
		defer q.mu.Unlock()
		if list, ok := q.list[c]; ok {
			return list
		}
		return c.View().Duty.Quarantine
	}
}

func (q *quarantineOf) set(c *Control, list quarantine.List) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.list == nil {
		q.list = make(map[*Control]quarantine.List)
	}
	q.list[c] = list
}

// requireQuarantine waits until all hosts know the list. Bound is the time that an engine
// that crashes takes the planner to learn, so that requests which come at other hosts
// meanwhile are few.
func requireQuarantine(t *testing.T, controls []*Control, list quarantine.List) {
	t.Helper()
	const bound = 2 * time.Second
	for _, c := range controls {
		require.Eventually(t, func() bool { return slices.Equal(c.View().Duty.Quarantine, list) }, bound, 5*time.Millisecond, "host %s", c.Self.ID)
	}
}

// TestQuarantineReachesAllHostsAndSuccessor guards against a planner that takes over and
// has to learn again, crash by crash, what its predecessor knew.
func TestQuarantineReachesAllHostsAndSuccessor(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	var known quarantineOf
	controls, _ := startFleet(t, store, 3, known.configure)
	planner := awaitPlanner(t, controls)
	list := quarantine.List{{Part: "bad", Crashes: 3}, {Part: "suspect", Crashes: 2}}
	known.set(controls[planner], list)
	requireQuarantine(t, controls, list)

	controls[planner].Leave(context.Background())
	others := slices.Concat(controls[:planner], controls[planner+1:])
	successor := awaitPlanner(t, others)
	time.Sleep(3 * election.RenewInterval)
	requireQuarantine(t, others, list)

	known.set(others[successor], nil)
	requireQuarantine(t, others, nil)
}

// TestQuarantineOutlivesAllHosts has a fleet that starts again after all hosts were lost.
func TestQuarantineOutlivesAllHosts(t *testing.T) {
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	list := quarantine.List{{Part: "bad", Crashes: 4}}
	store.Put("duties", DutyName, map[string]any{
		"Holder": "lost", "Address": "127.0.0.1:1", "Epoch": 5, "Renewal": 9, "Quarantine": []map[string]any{{"Part": "bad", "Crashes": 4}},
	})
	var known quarantineOf
	controls, _ := startFleet(t, store, 3, known.configure)
	awaitPlanner(t, controls)
	time.Sleep(3 * election.RenewInterval)
	requireQuarantine(t, controls, list)
}
