package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
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
