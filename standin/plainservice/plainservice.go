// Package plainservice is a stand-in for a plain service, such as a ledger or
// a streak book. It runs every call that reaches it and counts the runs of
// each idempotency key, so that a call that ran twice is seen.
package plainservice

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// A Config sets a service's abilities.
type Config struct {
	CallTime     time.Duration
	ColdCapacity int
	ColdTime     time.Duration
}

// Counts is what a service has seen.
type Counts struct {
	Calls     int
	Keys      int // idempotency keys that ran
	Repeated  int // runs of a key beyond its first
	Overloads int // calls beyond the cold bound
}

// A Service serves calls. Make one with New.
type Service struct {
	config Config

	mu        sync.Mutex
	runs      map[string]int
	counts    Counts
	running   int
	coldUntil time.Time
	drop      bool
}

// New starts a service, which is cold.
func New(config Config) *Service {
	return &Service{
		config: config, runs: make(map[string]int),
		coldUntil: time.Now().Add(config.ColdTime),
	}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{operation}", s.call)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		web.Reply(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /admin/drop", func(_ http.ResponseWriter, r *http.Request) {
		s.DropAnswers(r.URL.Query().Get("Answers") == "true")
	})
	return mux
}

// DropAnswers makes the service run calls without answering them, or answer
// again.
func (s *Service) DropAnswers(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop = drop
}

// Counts returns what the service has seen.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if !s.begin(key) {
		http.Error(w, "fell over: more than a cold service bears", http.StatusServiceUnavailable)
		return
	}
	task.Sleep(r.Context(), s.config.CallTime)
	s.mu.Lock()
	s.running--
	drop := s.drop
	s.mu.Unlock()
	if drop {
		// The call ran and its answer is lost.
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %x\n", r.PathValue("operation"), key, xxhash.Sum64(body))
}

func (s *Service) begin(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.coldUntil) && s.running >= s.config.ColdCapacity {
		s.counts.Overloads++
		return false
	}
	s.running++
	s.counts.Calls++
	if key == "" {
		return true
	}
	s.runs[key]++
	if s.runs[key] == 1 {
		s.counts.Keys++
	} else {
		s.counts.Repeated++
	}
	return true
}
