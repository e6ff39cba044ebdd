// Package plainservice implements a stand-in for a plain service, such as a
// ledger. It runs every call that it receives, unless it is cold and at its
// capacity. It counts the runs of each idempotency key, so that a test can detect a
// call that ran twice.
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

// Config holds the settings of a Service.
type Config struct {
	CallTime     time.Duration // how long a call runs
	ColdCapacity int           // concurrent calls that a cold service can run
	ColdTime     time.Duration // how long the service is cold after its start
}

// Counts holds the counters of a Service.
type Counts struct {
	Calls     int // calls that ran
	Keys      int // distinct idempotency keys that ran
	Repeated  int // runs of a key after its first
	Overloads int // calls that failed because they exceeded ColdCapacity
}

// A Service runs calls. Create one with New.
type Service struct {
	config Config

	mu          sync.Mutex
	runs        map[string]int // by idempotency key
	counts      Counts
	running     int
	coldUntil   time.Time
	dropAnswers bool
}

// New returns a service that is cold from now on for Config.ColdTime.
func New(config Config) *Service {
	return &Service{
		config: config, runs: make(map[string]int),
		coldUntil: time.Now().Add(config.ColdTime),
	}
}

// Handler returns the HTTP handler of the service.
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

// DropAnswers sets whether the service closes the connections of calls that it
// has run, instead of answering them.
func (s *Service) DropAnswers(drop bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswers = drop
}

// Counts returns the current counters.
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
		detail := fmt.Sprintf("overloaded: the cold service can run at most %d calls concurrently", s.config.ColdCapacity)
		http.Error(w, detail, http.StatusServiceUnavailable)
		return
	}
	task.Sleep(r.Context(), s.config.CallTime)
	s.mu.Lock()
	s.running--
	drop := s.dropAnswers
	s.mu.Unlock()
	if drop {
		// The call has run; closing the connection loses only its answer.
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, "%s %s %x\n", r.PathValue("operation"), key, xxhash.Sum64(body))
}

// begin counts a call and reports whether the service can run it.
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
