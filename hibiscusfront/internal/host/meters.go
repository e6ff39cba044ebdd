package host

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/hibiscusfront/internal/gateway"
)

// meters counts the ends of requests, by workspace and route.
type meters struct {
	first, total meter.Histograms

	mu      sync.Mutex
	ends    map[int]uint64 // by status; zero for broken connections
	reasons map[fleet.Reason]uint64
}

var _ gateway.Meter = (*meters)(nil)

func newMeters() *meters {
	return &meters{ends: make(map[int]uint64), reasons: make(map[fleet.Reason]uint64)}
}

// Ended implements gateway.Meter.
func (m *meters) Ended(workspace fleet.WorkspaceID, route string, status int, reason fleet.Reason, first, total time.Duration) {
	series := meter.Series{Workspace: workspace, Class: fleet.Class(route)}
	if reason == "" && status < http.StatusBadRequest {
		m.first.Record(series, first)
		m.total.Record(series, total)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends[status]++
	if reason != "" {
		m.reasons[reason]++
	}
}

// handler serves the counters as text and, at the usual path of expvar, as
// JSON.
func (m *meters) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		for status, n := range m.ends {
			fmt.Fprintf(w, "requests_ended_total{status=\"%d\"} %d\n", status, n)
		}
		for reason, n := range m.reasons {
			fmt.Fprintf(w, "requests_refused_total{reason=%q} %d\n", reason, n)
		}
		for name, s := range m.first.Summaries() {
			fmt.Fprintf(w, "first_piece_seconds{series=%q,quantile=\"0.5\"} %g\n", name, s.P50.Seconds())
			fmt.Fprintf(w, "first_piece_seconds{series=%q,quantile=\"0.99\"} %g\n", name, s.P99.Seconds())
		}
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		// A reader that has gone needs no answer.
		_ = json.NewEncoder(w).Encode(struct{ First, Total map[string]meter.Summary }{
			m.first.Summaries(), m.total.Summaries(),
		})
	})
	return mux
}
