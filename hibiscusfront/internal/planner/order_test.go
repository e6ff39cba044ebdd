package planner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
)

// orderingUntilConnected are permissions of a host whose right to give orders ends while it connects to an engine.
type orderingUntilConnected struct {
	testPermissions
	asked atomic.Int32
}

func (o *orderingUntilConnected) MayOrder() bool { return o.asked.Add(1) == 1 }

// TestOrderIsNotSentAfterTheTimeForOrders guards against orders that reach an engine shortly before those of the next
// holder, since connecting took long.
func TestOrderIsNotSentAfterTheTimeForOrders(t *testing.T) {
	permissions := new(orderingUntilConnected)
	ctx, p, _ := startPlanner(t, &permissions.testPermissions)
	p.Permissions = permissions
	var orders atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		orders.Add(1)
		w.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(engine.Close)
	order := plan.AddressedOrder{Model: "m", Address: fleet.Address(strings.TrimPrefix(engine.URL, "http://"))}
	order.Target, order.Version = "e", 2
	p.sendOrder(ctx, 1, order)
	time.Sleep(50 * time.Millisecond) // in which an order would arrive
	require.Zero(t, orders.Load())
	require.Greater(t, permissions.asked.Load(), int32(1))
}
