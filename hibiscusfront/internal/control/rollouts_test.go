package control

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// orderObject returns an order of the service s as read from the store.
func orderObject(era uint64, number fleet.Version, to, status string) platform.Object {
	o := platform.Object{
		Kind: platform.KindRollouts, Name: "s", Revision: fleet.Revision{Era: era, Number: number},
		Spec: json.RawMessage(fmt.Sprintf(`{"service":"s","to":%s,"durationS":12}`, to)),
	}
	if status != "" {
		o.Status = json.RawMessage(fmt.Sprintf(`{"state":%q,"to":%s}`, status, to))
	}
	return o
}

// recordObject returns the object that holds a record.
func recordObject(t *testing.T, era uint64, number fleet.Version, record rollout.Record) platform.Object {
	t.Helper()
	spec, err := json.Marshal(record)
	require.NoError(t, err)
	return platform.Object{Kind: platform.KindRolloutStates, Name: "s", Revision: fleet.Revision{Era: era, Number: number}, Spec: spec}
}

func ignore(platform.Object, error) {}

// TestOrdersAreFollowed guards against orders whose time begins anew, that end because of an odd entry, or
// that are not replaced.
func TestOrdersAreFollowed(t *testing.T) {
	var r rollouts
	get := func() view.Rollout { return r.list()["s"] }
	r.applyOrders(at(0), 1, nil, ignore)
	require.Empty(t, r.list())
	r.applyOrders(at(time.Second), 1, []platform.Object{orderObject(1, 5, `"v2"`, "")}, ignore)
	require.Equal(t, fleet.Software(`"v2"`), get().Order.To)
	require.Equal(t, at(time.Second), get().Since)
	r.applyOrders(at(2*time.Second), 1, []platform.Object{orderObject(1, 6, `"v2"`, "running")}, ignore)
	require.Equal(t, at(time.Second), get().Since, "a status begins no new order")
	require.Equal(t, fleet.Version(6), get().Object.Revision.Number)
	odd := 0
	r.applyOrders(at(2*time.Second), 1, []platform.Object{orderObject(1, 7, `null`, "")}, func(platform.Object, error) { odd++ })
	require.Equal(t, 1, odd)
	require.Equal(t, fleet.Software(`"v2"`), get().Order.To)
	r.applyOrders(at(3*time.Second), 1, []platform.Object{orderObject(1, 8, `"v3"`, "")}, ignore)
	require.Equal(t, at(3*time.Second), get().Since)
	r.applyOrders(at(4*time.Second), 1, nil, ignore)
	require.Empty(t, r.list())
	r.applyOrders(at(5*time.Second), 1, []platform.Object{orderObject(1, 9, `"v3"`, "rolled_back")}, ignore)
	require.True(t, get().Settled, "it ended before this host knew of it")
	require.Equal(t, rollout.RolledBack, get().Final)
}

// Load pattern: the store comes back from a copy that lacks an order and its last records, or holds
// earlier ones.
func TestCopyOfStoreDoesNotUndoRollouts(t *testing.T) {
	var r rollouts
	get := func() view.Rollout { return r.list()["s"] }
	order := rollout.Order{Service: "s", To: `"v2"`, Duration: 12 * time.Second}
	early, late := rollout.Record{Order: order, Sequence: 3}, rollout.Record{Order: order, Sequence: 9, Stage: rollout.RolledBack}
	r.applyOrders(at(0), 1, []platform.Object{orderObject(1, 5, `"v2"`, "")}, ignore)
	r.applyRecords(1, []platform.Object{recordObject(t, 1, 20, late)}, ignore)

	r.applyOrders(at(time.Second), 2, nil, ignore)
	r.applyRecords(2, []platform.Object{recordObject(t, 2, 8, early)}, ignore)
	require.NotNil(t, get().Order, "its writer may write it again")
	require.Equal(t, rollout.RolledBack, get().Record.Stage)
	require.Equal(t, fleet.Revision{Era: 2, Number: 8}, get().Revision, "the record is written in place of the earlier one")
	require.False(t, r.expire(at(time.Second+orderGrace-1)))
	require.True(t, r.expire(at(time.Second+orderGrace)))
	require.Nil(t, get().Order)
	require.Equal(t, rollout.RolledBack, get().Record.Stage)

	r.applyRecords(3, nil, ignore)
	require.Equal(t, rollout.RolledBack, get().Record.Stage)
	require.Equal(t, fleet.Revision{Era: 3}, get().Revision)
}

// Load pattern: a host with and one without exposeShare in its settings; an order is written
// and its planner's record changes.
func TestRolloutsReachHostsWithTheirBounds(t *testing.T) {
	store := newConfiguredStore()
	putTarget(store, "i-1", "ready")
	order := map[string]any{"service": "s", "to": "v2", "durationS": 12}
	store.Put("rollouts", "s", order)
	other := newConfiguredStore()
	putTarget(other, "i-1", "ready")
	other.Put("rollouts", "s", order)
	without, _ := startControl(t, other)
	require.Eventually(t, func() bool { return without.View().Table != nil && len(without.View().Targets) > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Nil(t, without.View().Rollouts)
	require.Len(t, without.kinds(), len(replicatedKinds))

	controls, _ := startFleet(t, store, 3, func(c *Control) { c.Settings.Bounds.ExposeShare = 0.1 })
	awaitPlanner(t, controls)
	has := func(stage rollout.Stage) func() bool {
		return func() bool {
			for _, c := range controls {
				r := c.View().Rollouts["s"]
				if r.Order == nil || r.Record == nil || r.Record.Stage != stage {
					return false
				}
			}
			return true
		}
	}
	record := rollout.Record{Order: rollout.Order{Service: "s", To: `"v2"`, Duration: 12 * time.Second}, Sequence: 1}
	for _, stage := range []rollout.Stage{rollout.Canary, rollout.Promoted} {
		record.Stage, record.Sequence = stage, record.Sequence+1
		store.Put("rolloutstates", "s", record)
		require.Eventually(t, has(stage), 2*time.Second, 5*time.Millisecond, "%v", stage)
	}
}

// TestHostWaitsForOrders guards against a host that serves, or plans, before it has read which versions are on trial,
// and treats them like the others.
func TestHostWaitsForOrders(t *testing.T) {
	for _, kind := range rolloutKinds {
		store := newConfiguredStore()
		putTarget(store, "i-1", "ready")
		var fails atomic.Bool
		fails.Store(true)
		c, _ := startControl(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if fails.Load() && strings.HasSuffix(r.URL.Path, "/"+kind) {
				http.Error(w, "", http.StatusServiceUnavailable)
				return
			}
			store.ServeHTTP(w, r)
		}), func(c *Control) { c.Settings.Bounds.ExposeShare = 0.1 })
		require.Eventually(t, func() bool { return len(c.View().Targets) > 0 }, 5*time.Second, 5*time.Millisecond)
		require.Never(t, func() bool { return c.View().Table != nil || c.MayPlan() }, 2*time.Second, 10*time.Millisecond, kind)
		fails.Store(false)
		require.Eventually(t, func() bool { return c.View().Table != nil && c.MayPlan() }, 10*time.Second, 10*time.Millisecond, kind)
	}
}
