package gateway_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/relay"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A failingSender fails as it is told, for one attempt after the other. Those that are sent are by way of
// the host h2.
type failingSender struct{ sent []bool }

func (s *failingSender) Send(_ context.Context, r *backend.Request) (*backend.Exchange, error) {
	sent := s.sent[0]
	s.sent = s.sent[1:]
	if sent {
		return nil, &backend.NoResponseError{Target: r.Target, Cause: &relay.RelayError{By: "h2", Result: wire.RelayNoAnswer}}
	}
	return nil, &backend.NotSentError{Target: r.Target, Cause: syscall.ECONNREFUSED}
}

func (*failingSender) Blames(fleet.TargetID, error) bool { return false }

// TestOnlyRequestsThatTargetsGotAreRepeats guards against requests of hosts that are cut off from targets: they are
// tried again, and would draw on the retry budget of all hosts though no target got them.
func TestOnlyRequestsThatTargetsGotAreRepeats(t *testing.T) {
	chooser := &scriptedChooser{refusal: fleet.Refuse(fleet.ReasonNoTarget, "")}
	sender := &failingSender{sent: []bool{false, false, true, false}}
	for i := range sender.sent {
		chooser.grants = append(chooser.grants, plan.Grant{Number: plan.GrantNumber(i + 1), Target: fleet.TargetID(fmt.Sprint(i))})
	}
	table := route.NewTable(route.Config{Number: 1, Limits: route.Limits{Body: 1000}, Routes: []route.Route{
		{Host: "127.0.0.1", Prefix: "/", Kind: route.Idempotent, Attempts: 3, Splits: []route.Split{{Service: "s", Weight: 1}}},
	}})
	v := (&view.View{Table: table}).Freeze()
	front := httptest.NewServer(&gateway.Gateway{
		View: func() *view.View { return v }, Chooser: chooser, Pool: new(backend.Pool), Sender: sender, Meter: discardMeter{}, Log: zerolog.Nop(),
		Departure: new(departure.Departure),
	})
	t.Cleanup(front.Close)
	answerTo(t, front.URL, strings.NewReader("body"))
	var repeats, again []bool
	for _, r := range chooser.requests {
		repeats, again = append(repeats, r.Repeat), append(again, r.Again)
	}
	require.Equal(t, []fleet.HostID{"", "", "h2", ""}, chooser.via, "who has met what is reported")
	require.Equal(t, []bool{false, false, false, true, true}, repeats)
	require.Equal(t, []bool{false, true, true, false, true}, again)
}
