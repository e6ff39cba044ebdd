package host

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// get returns the response body of the metrics handler for a path.
func get(t *testing.T, m *meters, path string) string {
	t.Helper()
	w := httptest.NewRecorder()
	m.handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	require.Equal(t, http.StatusOK, w.Code)
	return w.Body.String()
}

// TestMetersAsTextAndJSON checks that both formats show the same recorded
// values.
func TestMetersAsTextAndJSON(t *testing.T) {
	orders := meter.Counter{Name: "WeightOrders", Labels: []string{"Result"}}
	m := newMeters(&orders)
	refreshed := 0
	m.refresh = func() {
		refreshed++
		m.storeCalls.Set(12, "watch", "done")
	}
	m.RecordEnd("kypseli", "chat", http.StatusOK, "", 80*time.Millisecond, 2*time.Second)
	m.RecordEnd("kypseli", "chat", http.StatusServiceUnavailable, fleet.ReasonOverloaded, 0, time.Millisecond)
	m.RecordEnd("", "chat", 0, fleet.ReasonCallerDisconnected, 0, time.Millisecond)
	m.RecordChoice("kypseli", "chat", 3*time.Millisecond)
	m.RecordSend(false, true)
	m.RecordSend(true, false)
	m.RecordResponse(backend.FramedByClose)
	m.RecordUnsigned("kahu34a")
	orders.Add(1, "accepted")

	text := get(t, m, "/metrics")
	for _, line := range []string{
		`RequestsEnded{Status="200",Route="chat"} 1`,
		`RequestsEnded{Status="503",Route="chat"} 1`,
		`RequestsEnded{Status="0",Route="chat"} 1`,
		`RequestsRefused{Reason="overloaded",Route="chat"} 1`,
		`RequestsSent{Try="first",Chooser="planner"} 1`,
		`RequestsSent{Try="repeat",Chooser="host"} 1`,
		`ResponsesReceived{Framing="close"} 1`,
		`ResponsesUnsigned{Service="kahu34a"} 1`,
		`StoreCalls{Operation="watch",Result="done"} 12`,
		`WeightOrders{Result="accepted"} 1`,
		`FirstPieceCount{Series="kypseli/chat"} 1`,
		`TotalCount{Series="kypseli/chat"} 1`,
		`ChoiceCount{Series="kypseli/chat"} 1`,
	} {
		require.Contains(t, strings.Split(text, "\n"), line)
	}

	var vars struct {
		RequestsEnded, StoreCalls map[string]int64
		FirstPiece                map[string]meter.Summary
	}
	require.NoError(t, json.Unmarshal([]byte(get(t, m, "/debug/vars")), &vars))
	require.Equal(t, int64(1), vars.RequestsEnded["200/chat"])
	require.Equal(t, int64(12), vars.StoreCalls["watch/done"])
	require.InEpsilon(t, 80*time.Millisecond, vars.FirstPiece["kypseli/chat"].P50, 0.01)
	require.Equal(t, 2, refreshed)
}
