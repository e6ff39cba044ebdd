package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

// TestIsolationIsThatOfNow guards against a request that uses the cache as of a configuration that
// was replaced while its body was read.
func TestIsolationIsThatOfNow(t *testing.T) {
	var isolated atomic.Bool
	chooser := &scriptedChooser{refusal: fleet.Refuse(fleet.ReasonOverloaded, "")}
	current := func() *view.View {
		return &view.View{Table: route.NewTable(route.Config{
			Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}, Isolated: isolated.Load()}},
			Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
		})}
	}
	var log testlog.Lines
	front := httptest.NewServer(&gateway.Gateway{
		View: current, Chooser: chooser, Pool: new(backend.Pool), Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
	})
	t.Cleanup(front.Close)
	body, sender := io.Pipe()
	go func() {
		_, _ = io.WriteString(sender, "first")
		time.Sleep(50 * time.Millisecond)
		isolated.Store(true)
		_, _ = io.WriteString(sender, "rest")
		_ = sender.Close()
	}()
	request, err := http.NewRequest(http.MethodPost, front.URL+"/x", body)
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "1")
	request.Header.Set("Authorization", "Token k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Len(t, chooser.requests, 1)
	require.True(t, chooser.requests[0].Isolated)
}

// isolating returns a configuration like the one given that isolates its workspaces.
func isolating(table *route.Table, number fleet.Version) *route.Table {
	config := table.Config
	config.Number, config.Workspaces = number, slices.Clone(config.Workspaces)
	for i := range config.Workspaces {
		config.Workspaces[i].Isolated = true
	}
	return route.NewTable(config)
}

// promptHeaders describe a prompt that the host can decode.
var promptHeaders = map[string]string{"X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Token-Usage": "20,5", "X-Hibiscuslb-Prefix-Hash": "file:15,own:5"}

// TestGrantOfReplacedConfigurationIsNotSent guards against requests that are sent with a salt which
// a newer configuration forbids: the configuration is replaced after a grant was made, by whomever,
// and before the request is sent to the target.
func TestGrantOfReplacedConfigurationIsNotSent(t *testing.T) {
	const shared, own = "m@1", "m@1/w"
	for _, test := range []struct {
		name     string
		route    route.Route
		handlers []http.HandlerFunc
		replaced int      // the choice after which the configuration is replaced
		sent     []string // salts that targets received
	}{
		{"first attempt", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{respondOK, respondOK}, 1, []string{own}},
		{"second attempt", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{abort, respondOK, respondOK}, 2, []string{shared, own}},
		{"after a target that rejected it", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{reject, respondOK, respondOK}, 2, []string{shared, own}},
		{"resumed stream", route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, []http.HandlerFunc{stream(1, 2, false), respondOK, stream(3, 4, true)}, 2, []string{shared, own}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, test.route, test.handlers...)
			for i := range b.grants {
				b.grants[i].Version, b.grants[i].Salt, b.grants[i].Configuration = 1, shared, 1
				if i >= test.replaced {
					b.grants[i].Salt, b.grants[i].Configuration = own, 2
				}
			}
			b.chosen = func(choice int) {
				if choice == test.replaced {
					b.table.Store(isolating(b.table.Load(), 2))
				}
			}
			status, _, _, err := b.tryCallWith(t, "k", promptHeaders)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			var sent []string
			for range len(b.received) {
				sent = append(sent, (<-b.received).Get("X-Hibiscuslb-Cache-Salt"))
			}
			require.Equal(t, test.sent, sent)
			require.Equal(t, []plan.Progress{plan.Rejected}, b.reports[plan.GrantNumber(test.replaced)], "the grant is given back")
			last := b.requests[len(b.requests)-1]
			require.True(t, last.Isolated)
			require.Equal(t, len(test.sent) > 1, last.Repeat)
			require.NotContains(t, last.Avoid, fleet.TargetID(fmt.Sprint("t", test.replaced-1)), "the target has not refused the request")
		})
	}
}

// A configuration that gives the request the same salt costs no second choice.
func TestGrantIsSentUnderConfigurationWithSameSalt(t *testing.T) {
	b := startGateway(t, route.Route{Kind: route.NonIdempotent}, respondOK)
	b.grants[0].Version, b.grants[0].Salt, b.grants[0].Configuration = 1, "m@1", 1
	b.chosen = func(int) {
		config := b.table.Load().Config
		config.Number = 2
		b.table.Store(route.NewTable(config))
	}
	status, _, _, err := b.tryCallWith(t, "k", promptHeaders)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, b.requests, 1)
}

// TestPromptThatIsNotDecodedUsesOwnCache guards against requests whose prompt this host can't
// decode, but engines may: they were sent without a salt, so that all workspaces shared what
// engines keep under none.
func TestPromptThatIsNotDecodedUsesOwnCache(t *testing.T) {
	for _, test := range []struct {
		name, chain, salt string
	}{
		{"no tokens", "file", "@0/w"},
		{"empty part", "file:15,,own:5", "@0/w"},
		{"no ID", ":15", "@0/w"},
		{"decoded", "file:15,own:5", "m@1"},
		{"none", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, route.Route{Kind: route.NonIdempotent}, respondOK)
			if test.name == "decoded" {
				b.grants[0].Version, b.grants[0].Salt = 1, "m@1"
			}
			status, _, _, err := b.tryCallWith(t, "k", map[string]string{"X-Hibiscuslb-Prefix-Hash": test.chain, "X-Hibiscuslb-Model": "m"})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, test.salt, (<-b.received).Get("X-Hibiscuslb-Cache-Salt"))
		})
	}
}
