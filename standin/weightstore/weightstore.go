// Package weightstore implements a stand-in for the rate-limited store of model
// weights. It sends no weights, only a response after the time of a load.
package weightstore

import (
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// A Store simulates the time of weight loads. A load takes LoadTime while at most
// FullSpeedLoads loads run concurrently. A load that starts while more of them run
// takes longer in proportion to their number.
type Store struct {
	LoadTime       time.Duration
	FullSpeedLoads int

	mu     sync.Mutex
	active int
	counts Counts
}

// Counts holds the counters of a Store: all loads and the most concurrent loads.
type Counts struct{ Loads, PeakLoads int }

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.load)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		web.Reply(w, http.StatusOK, s.counts)
	})
	return mux
}

func (s *Store) load(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.active++
	s.counts.Loads++
	s.counts.PeakLoads = max(s.counts.PeakLoads, s.active)
	factor := max(1, float64(s.active)/float64(max(1, s.FullSpeedLoads)))
	s.mu.Unlock()
	task.Sleep(r.Context(), time.Duration(float64(s.LoadTime)*factor))
	s.mu.Lock()
	s.active--
	s.mu.Unlock()
}
