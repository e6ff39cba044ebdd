package chooser_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// granting answers requests for a target with grants of an engine, and passes on what they say waits.
type granting chan []plan.Waiting

func (g granting) Handle(_ context.Context, _ peer.Kind, body cbor.RawMessage, _ func(any) error) (any, error) {
	return peer.ServeUnary(body, func(r wire.PlanRequest) (wire.PlanReply, error) {
		g <- r.Ask.Waiting
		return wire.PlanReply{Grant: &plan.Grant{Target: "t", Version: 1, Read: 100}}, nil
	})
}

// TestHostReportsWhatWaitsAtEngines guards against planners that do not know what waits at engines with
// replaced weights by the grants of others.
func TestHostReportsWhatWaitsAtEngines(t *testing.T) {
	ctx, c, v := startChooser(t)
	asked := make(granting, 8)
	server := httptest.NewServer(&peer.Server{Handler: asked})
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	address := fleet.Address(strings.TrimPrefix(server.URL, "http://"))
	require.Eventually(t, func() bool { // until the pool of connections runs
		var reply wire.PlanReply
		return c.Peers.Call(ctx, address, wire.KindPlan, wire.PlanRequest{}, &reply) == nil
	}, 5*time.Second, time.Millisecond)
	<-asked
	choose := func(epoch fleet.Epoch, announced weightupdate.Announcements, want ...plan.Waiting) *plan.Grant {
		t.Helper()
		next := *v
		next.Duty = election.Record{Holder: "planner", Address: address, Epoch: epoch}
		next.Weights = map[fleet.ModelID]weightupdate.Announcements{"m": announced}
		req := newRequest()
		req.Deadline, req.Prompt = time.Minute, &prompt.Prompt{Model: "m"}
		decision := c.Choose(ctx, &next, req)
		require.NotNil(t, decision.Grant)
		require.Equal(t, want, <-asked)
		return decision.Grant
	}
	one := weightupdate.Announcements(nil).Add(1, 0)
	two := one.Add(2, c.Clock())
	first := choose(3, one)
	choose(3, two)
	choose(4, one)
	last := choose(4, two, plan.Waiting{Target: "t", Tokens: 200})
	c.Report(first, plan.Started)
	choose(4, two, plan.Waiting{Target: "t", Tokens: 100})
	c.Report(last, plan.Failed)
	choose(5, two, plan.Waiting{Target: "t", Tokens: 300})
}

// TestLoneHostStartsNothingLateOnOldWeights guards against a host that chooses alone and expects runs to start at
// once, though it does not know what waits at the engine.
//
// Load pattern: new weights are announced, and no engine gets them. Neither the planner nor a deputy answers.
func TestLoneHostStartsNothingLateOnOldWeights(t *testing.T) {
	const objective = 800 * time.Millisecond
	now := fleet.Instant(time.Hour)
	for announced, allowed := range map[time.Duration]bool{time.Second: true, 2500 * time.Millisecond: true, 3 * time.Second: false, 4500 * time.Millisecond: false} {
		v := &view.View{
			Table: route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "s"}}, Routes: []route.Route{
				{Prefix: "/", LatencyObjective: objective, Splits: []route.Split{{Service: "s", Weight: 1}}},
				{Prefix: "/other/", LatencyObjective: time.Hour, Splits: []route.Split{{Service: "other", Weight: 1}}},
			}}),
			Targets: []roster.Target{{ID: "t", Service: "s", Address: "127.0.0.1:3", Models: []roster.Model{{ID: "m", Version: 1}}}},
			Weights: map[fleet.ModelID]weightupdate.Announcements{"m": weightupdate.Announcements(nil).Add(1, 0).Add(2, now.Add(-announced))},
		}
		req := newRequest()
		req.Prompt = &prompt.Prompt{Model: "m"}
		decision := chooser.Local{WeightsBound: 6 * time.Second}.Choose(now, v.Freeze(), req)
		require.Equal(t, allowed, decision.Grant != nil, "announced %v ago", announced)
	}
}
