// Package objectservice is a stand-in for the platform's object service. It
// serves a platform.Memory over HTTP and can be told to fail.
package objectservice

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/platform"
	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
)

// A Service serves objects. The zero value is empty and healthy.
type Service struct {
	Memory  platform.Memory
	Latency time.Duration // of reads and writes
	counts  Counts
}

// Counts is how many calls of each kind the service has met.
type Counts struct{ Reads, Writes, Watches atomic.Int64 }

// Totals is a copy of the counts.
type Totals struct{ Reads, Writes, Watches int64 }

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.read)
	mux.HandleFunc("PUT /objects/{name...}", s.write)
	mux.HandleFunc("DELETE /objects/{name...}", s.remove)
	mux.HandleFunc("GET /list", s.list)
	mux.HandleFunc("GET /watch", s.watch)
	mux.HandleFunc("POST /admin/fault", s.setFault)
	mux.HandleFunc("GET /admin/counts", s.totals)
	return mux
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	s.counts.Reads.Add(1)
	task.Pause(r.Context(), s.Latency)
	object, err := s.Memory.Read(r.Context(), platform.Name(r.PathValue("name")))
	answer(w, object, err)
}

func (s *Service) write(w http.ResponseWriter, r *http.Request) {
	s.counts.Writes.Add(1)
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(platform.ValueLimit)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	task.Pause(r.Context(), s.Latency)
	version, err := s.Memory.Write(r.Context(), platform.Name(r.PathValue("name")), value, versionOf(r, "Version"))
	answer(w, platform.Object{Version: version}, err)
}

func (s *Service) remove(w http.ResponseWriter, r *http.Request) {
	s.counts.Writes.Add(1)
	err := s.Memory.Delete(r.Context(), platform.Name(r.PathValue("name")), versionOf(r, "Version"))
	answer(w, platform.Object{}, err)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	s.counts.Reads.Add(1)
	listing, err := s.Memory.List(r.Context(), platform.Name(r.URL.Query().Get("Prefix")))
	answer(w, listing, err)
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request) {
	s.counts.Watches.Add(1)
	wait, err := time.ParseDuration(r.URL.Query().Get("Wait"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prefix := platform.Name(r.URL.Query().Get("Prefix"))
	listing, err := s.Memory.Watch(r.Context(), prefix, versionOf(r, "Since"), wait)
	answer(w, listing, err)
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	faults := map[string]platform.Fault{
		"Healthy": platform.Healthy, "Down": platform.Down, "LoseAnswers": platform.LoseAnswers,
	}
	fault, ok := faults[r.URL.Query().Get("Mode")]
	if !ok {
		http.Error(w, "Mode is Healthy, Down or LoseAnswers", http.StatusBadRequest)
		return
	}
	s.Memory.SetFault(fault)
}

func (s *Service) totals(w http.ResponseWriter, _ *http.Request) {
	web.Reply(w, http.StatusOK, Totals{
		Reads: s.counts.Reads.Load(), Writes: s.counts.Writes.Load(), Watches: s.counts.Watches.Load(),
	})
}

func versionOf(r *http.Request, field string) fleet.Version {
	// A missing version counts as zero, "does not exist".
	n, _ := strconv.ParseUint(r.URL.Query().Get(field), 10, 64)
	return fleet.Version(n)
}

func answer(w http.ResponseWriter, value any, err error) {
	var absent *platform.NotFoundError
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		web.Reply(w, http.StatusOK, value)
	case errors.As(err, &absent):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.As(err, &conflict):
		web.Reply(w, http.StatusConflict, platform.Object{Version: conflict.Current})
	default:
		// Break off without an answer, as a lost connection does.
		panic(http.ErrAbortHandler)
	}
}
