package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

// localChooser chooses without a planner.
type localChooser struct{ scriptedChooser }

func (c *localChooser) Choose(_ context.Context, v *view.View, req *plan.Request) plan.Decision {
	return chooser.Local{}.Choose(0, v, req)
}

// startRoster runs a gateway with two targets, which answer with their names, and returns its URL. The host
// learns that the first one leaves when leave is called, and of the second one then.
func startRoster(t *testing.T, c gateway.Chooser) (url string, targets []roster.Target, leave func()) {
	t.Helper()
	return startRosterWith(t, c, new(backend.Pool))
}

func startRosterWith(t *testing.T, c gateway.Chooser, pool *backend.Pool) (url string, targets []roster.Target, leave func()) {
	t.Helper()
	for _, name := range []string{"leaving", "staying"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
			w.Header().Set(signatureHeader, "p")
			_, _ = io.WriteString(w, name)
		}))
		t.Cleanup(server.Close)
		targets = append(targets, roster.Target{ID: fleet.TargetID(name), Service: "s", Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))})
	}
	table := route.NewTable(route.Config{
		Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
		Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: route.NonIdempotent, Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
	})
	before := (&view.View{Table: table, Targets: targets[:1]}).Freeze()
	left := targets[0]
	left.Leaving = true
	after := (&view.View{Table: table, Targets: []roster.Target{left, targets[1]}}).Freeze()
	var current atomic.Pointer[view.View]
	current.Store(before)
	var log testlog.Lines
	front := httptest.NewServer(&gateway.Gateway{
		View: current.Load, Chooser: c, Pool: pool, Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
	})
	t.Cleanup(front.Close)
	return front.URL, targets, func() { current.Store(after) }
}

// answerTo sends a request with the body and returns the body of the answer.
func answerTo(t *testing.T, url string, body io.Reader) string {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/x", body)
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "1")
	request.Header.Set("Authorization", "Token k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(answer)
}

// TestRequestWithSlowBodyGoesByTheViewOfItsEnd guards against requests that reach a target long after it has
// announced that it leaves, since the host chose by what it knew when the request's head arrived.
func TestRequestWithSlowBodyGoesByTheViewOfItsEnd(t *testing.T) {
	url, _, leave := startRoster(t, new(localChooser))
	body, writer := io.Pipe()
	go func() {
		_, _ = writer.Write([]byte("begin"))
		time.Sleep(100 * time.Millisecond) // in which the host reads the head
		leave()
		_, _ = writer.Write([]byte("end"))
		_ = writer.Close()
	}()
	require.Equal(t, "staying", answerTo(t, url, body))
}

// TestGrantOfTargetThatHasLeftMeanwhileIsGivenBack guards against requests that reach a target long after it has
// announced that it leaves, since a choice took long: a planner and a deputy did not answer.
func TestGrantOfTargetThatHasLeftMeanwhileIsGivenBack(t *testing.T) {
	chooser := new(scriptedChooser)
	url, targets, leave := startRoster(t, chooser)
	for i, target := range targets {
		chooser.grants = append(chooser.grants, plan.Grant{Number: plan.GrantNumber(i + 1), Target: target.ID, Address: target.Address})
	}
	chooser.chosen = func(int) { leave() }
	require.Equal(t, "staying", answerTo(t, url, strings.NewReader("body")))
	require.Equal(t, plan.Rejected, chooser.lastReport(1))
	require.False(t, chooser.requests[1].Repeat, "the request was not sent before")
}

// TestRequestIsNotSentToTargetThatHasLeftWhileItsConnectionIsMade guards against requests that reach a target after the
// drain time, since the host learned late that it leaves and connecting took long.
func TestRequestIsNotSentToTargetThatHasLeftWhileItsConnectionIsMade(t *testing.T) {
	var leave func()
	pool := &backend.Pool{Dial: func(ctx context.Context, address fleet.Address) (net.Conn, error) {
		leave()
		return new(net.Dialer).DialContext(ctx, "tcp", string(address))
	}}
	chooser := new(scriptedChooser)
	var url string
	var targets []roster.Target
	url, targets, leave = startRosterWith(t, chooser, pool)
	for i, target := range targets {
		chooser.grants = append(chooser.grants, plan.Grant{Number: plan.GrantNumber(i + 1), Target: target.ID, Address: target.Address})
	}
	require.Equal(t, "staying", answerTo(t, url, strings.NewReader("body")))
	require.Equal(t, plan.Rejected, chooser.lastReport(1))
}
