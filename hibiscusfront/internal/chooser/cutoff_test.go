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
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// decider answers requests for a target like a deputy.
type decider struct{ reply wire.PlanReply }

func (d decider) Handle(_ context.Context, _ peer.Kind, body cbor.RawMessage, _ func(any) error) (any, error) {
	return peer.ServeUnary(body, func(wire.PlanRequest) (wire.PlanReply, error) { return d.reply, nil })
}

// TestDeputyThatDeclinesIsPassedOver guards against a host that chooses alone since the first deputy is cut
// off from the targets, and without what a deputy in touch knows.
func TestDeputyThatDeclinesIsPassedOver(t *testing.T) {
	ctx, c, v := startChooser(t)
	for id, d := range map[fleet.HostID]decider{
		"a": {wire.PlanReply{Reason: fleet.ReasonNotHolder}}, "b": {wire.PlanReply{Reason: fleet.ReasonNotHolder}},
		"c": {wire.PlanReply{Grant: &plan.Grant{Number: 7, Target: "t"}}},
	} {
		server := httptest.NewServer(&peer.Server{Handler: d})
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		h := wire.Host{ID: id, Peers: fleet.Address(strings.TrimPrefix(server.URL, "http://")), Cores: 2}
		if id == "c" {
			h.Cores = 1 // asked last
		}
		v.Hosts = append(v.Hosts, h)
	}
	require.Eventually(t, func() bool { // until the pool of connections runs
		var reply wire.PlanReply
		return c.Peers.Call(ctx, v.Hosts[0].Peers, wire.KindPlan, wire.PlanRequest{}, &reply) == nil
	}, 5*time.Second, time.Millisecond)
	decision := c.Choose(ctx, v, newRequest())
	require.NotNil(t, decision.Grant)
	require.Equal(t, plan.GrantNumber(7), decision.Grant.Number)
	for _, h := range v.Hosts {
		if h.ID == "c" {
			require.Equal(t, h.Peers, decision.Grant.By)
		}
	}
}
