package chooser_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// noDuty is the tenure of a host that does not plan.
type noDuty struct{}

func (noDuty) MayPlan() bool            { return false }
func (noDuty) HoldsDuty() bool          { return false }
func (noDuty) MayOrder() bool           { return false }
func (noDuty) TenureEnd() fleet.Instant { return 0 }

const (
	gone fleet.Address = "127.0.0.1:1" // nobody listens there
	self fleet.Address = "127.0.0.1:2"
)

func start(t *testing.T) (context.Context, *chooser.Chooser, *view.View) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := planner.New("self", platform.Bounds{}, platform.NewTargetClient(), noDuty{}, clock.BootTime(), zerolog.Nop())
	peers := new(peer.Pool)
	c := chooser.New("self", self, p, peers, clock.BootTime(), zerolog.Nop())
	ended := make(chan struct{}, 3)
	for _, run := range []func(context.Context){p.Run, peers.Run, c.Run} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
	})
	table := route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "s"}}})
	v := &view.View{
		Table: table, Duty: tenure.Record{Holder: "planner", Address: gone, Epoch: 3},
		Targets: []roster.Target{{ID: "t", Service: "s", Address: "127.0.0.1:3", Slots: 4}},
	}
	v.Freeze()
	p.SetView(ctx, v)
	return ctx, c, v
}

func question() *plan.Request {
	return &plan.Request{Service: "s", Objective: time.Second, Deadline: time.Second}
}

// TestADeputyIsAskedWhenThePlannerDoesNotAnswer replays the loss of a planner,
// and then of the deputy's predecessor in rank.
func TestADeputyIsAskedWhenThePlannerDoesNotAnswer(t *testing.T) {
	ctx, c, v := start(t)
	v.Hosts = []wire.Host{
		{ID: "planner", Peers: gone, Cores: 9},
		{ID: "dead too", Peers: "127.0.0.1:4", Cores: 8},
		{ID: "self", Peers: self, Cores: 1},
	}
	first := c.Choose(ctx, v, question())
	require.NotNil(t, first.Grant)
	require.Empty(t, first.Grant.By, "neither answered, so it was chosen alone")
	second := c.Choose(ctx, v, question())
	require.NotNil(t, second.Grant)
	require.Equal(t, self, second.Grant.By, "hosts that did not answer are left alone, and the next deputy asked")
}

func TestWithoutOtherHostsAHostChoosesAlone(t *testing.T) {
	ctx, c, v := start(t)
	verdict := c.Choose(ctx, v, question())
	require.NotNil(t, verdict.Grant)
	require.Empty(t, verdict.Grant.By)
}

func TestAllHostsAskTheSameDeputy(t *testing.T) {
	hosts := []wire.Host{{ID: "a", Cores: 1}, {ID: "b", Cores: 2}, {ID: "c", Cores: 2}, {ID: "d", Cores: 2}}
	any := func(wire.Host) bool { return true }
	chosen := make(map[fleet.HostID]bool)
	for epoch := range fleet.Epoch(50) {
		v := &view.View{Hosts: hosts, Duty: tenure.Record{Epoch: epoch}}
		reversed := &view.View{Hosts: []wire.Host{hosts[3], hosts[2], hosts[1], hosts[0]}, Duty: v.Duty}
		deputy := v.Deputy(any)
		require.Equal(t, deputy, reversed.Deputy(any))
		require.Equal(t, 2.0, deputy.Cores)
		chosen[deputy.ID] = true
	}
	require.Len(t, chosen, 3, "the load of several tenures is spread")
	require.Empty(t, new(view.View).Deputy(any).ID)
}
