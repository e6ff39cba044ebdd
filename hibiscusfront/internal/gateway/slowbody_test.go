package gateway_test

import (
	"context"
	"io"
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

// TestRequestWithSlowBodyGoesByTheViewOfItsEnd guards against requests that reach a target long after it has
// announced that it leaves, since the host chose by what it knew when the request's head arrived.
func TestRequestWithSlowBodyGoesByTheViewOfItsEnd(t *testing.T) {
	target := func(name string) roster.Target {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
			w.Header().Set(signatureHeader, "p")
			_, _ = io.WriteString(w, name)
		}))
		t.Cleanup(server.Close)
		return roster.Target{ID: fleet.TargetID(name), Service: "s", Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))}
	}
	leaving, staying := target("leaving"), target("staying")
	table := route.NewTable(route.Config{
		Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
		Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: route.NonIdempotent, Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
	})
	var current atomic.Pointer[view.View]
	current.Store((&view.View{Table: table, Targets: []roster.Target{leaving}}).Freeze())
	var log testlog.Lines
	front := httptest.NewServer(&gateway.Gateway{
		View: current.Load, Chooser: new(localChooser), Pool: new(backend.Pool), Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
	})
	t.Cleanup(front.Close)

	body, writer := io.Pipe()
	request, err := http.NewRequest(http.MethodPost, front.URL+"/x", body)
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "1")
	request.Header.Set("Authorization", "Token k")
	go func() {
		_, _ = writer.Write([]byte("begin"))
		time.Sleep(100 * time.Millisecond) // in which the host reads the head
		leaving := leaving
		leaving.Leaving = true
		current.Store((&view.View{Table: table, Targets: []roster.Target{leaving, staying}}).Freeze())
		_, _ = writer.Write([]byte("end"))
		_ = writer.Close()
	}()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "staying", string(answer))
}
