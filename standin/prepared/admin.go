package prepared

import (
	"net/http"

	"hibiscuslb/standin/internal/web"
)

// Handler serves the store, and at /admin/fault and /admin/counts what an
// experiment needs to know and to change.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(prefix, s)
	mux.HandleFunc("POST /admin/fault", s.takeFault)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { web.Reply(w, http.StatusOK, s.Counts()) })
	return mux
}

func (s *Store) takeFault(w http.ResponseWriter, r *http.Request) {
	faults := map[string]Fault{"Healthy": Healthy, "Refusing": Refusing, "Down": Down, "LoseAnswers": LoseAnswers}
	fault, ok := faults[r.URL.Query().Get("Mode")]
	if !ok {
		http.Error(w, "Mode is Healthy, Refusing, Down or LoseAnswers", http.StatusBadRequest)
		return
	}
	s.SetFault(fault)
}
