package fakeplatform

import (
	"fmt"
	"net/http"

	"hibiscuslb/standin/internal/web"
)

// Handler returns an HTTP handler that serves the store, lets experiments set its
// fault at /admin/fault, and reports its counters at /admin/counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(objectsPath, s)
	mux.HandleFunc("POST /admin/fault", s.handleFault)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { web.Reply(w, http.StatusOK, s.Counts()) })
	return mux
}

func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) {
	faults := map[string]Fault{"Healthy": Healthy, "Refusing": Refusing, "Down": Down, "LoseAnswers": LoseAnswers}
	mode := r.URL.Query().Get("Mode")
	fault, ok := faults[mode]
	if !ok {
		detail := fmt.Sprintf("query parameter Mode is %q, want Healthy, Refusing, Down or LoseAnswers", mode)
		http.Error(w, detail, http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
}
