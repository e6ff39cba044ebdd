package prepared

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hibiscuslb/standin/internal/web"
)

// A Target is a model engine, or a plain service if it has no Model. It keeps
// account of each request that it ran.
type Target struct {
	ID       string
	Model    string
	Events   int           // of a stream
	WorkTime time.Duration // for each event, or for a plain answer

	mu      sync.Mutex
	version uint64
	loading bool
	orders  uint64
	runs    map[string]int    // by request id
	tenants map[string]string // by request id
	leaked  []string          // requests that came with a key
	epochs  []uint64          // of orders, in their order
}

// Runs returns how often each request ran, and for which tenant.
func (t *Target) Runs() (runs map[string]int, tenants map[string]string, leaked []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs, tenants = make(map[string]int), make(map[string]string)
	for id, n := range t.runs {
		runs[id], tenants[id] = n, t.tenants[id]
	}
	return runs, tenants, append(leaked, t.leaked...)
}

// Epochs returns the epochs of the orders that came, in their order.
func (t *Target) Epochs() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.epochs...)
}

// Version returns the version of the weights.
func (t *Target) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version + 1
}

// Body returns the answer to a request, so that a caller can tell its own.
func (t *Target) Body(id string) string {
	if t.Model == "" {
		return "answer to " + id
	}
	var text strings.Builder
	for i := 1; i <= t.Events; i++ {
		text.WriteString(streamEvent(id, i))
	}
	return text.String()
}

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Hibiscuslb-Expect-Instance"); want != "" && want != t.ID {
		w.Header().Set("X-Hibiscuslb-Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/kv-events":
		t.cacheEvents(w, r)
	case "/-/report":
		t.report(w)
	case "/-/order":
		t.order(w, r)
	case "/healthz":
		w.Header().Set("X-Hibiscuslb-Instance-Id", t.ID)
	default:
		t.run(w, r)
	}
}

func (t *Target) cacheEvents(w http.ResponseWriter, r *http.Request) {
	const longestWait = 1000
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil || wait > longestWait {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	web.Reply(w, http.StatusOK, struct {
		BootEpoch uint64  `json:"bootEpoch"`
		NextToken uint64  `json:"nextToken"`
		Events    [][]any `json:"events"`
		ClockMs   float64 `json:"clock_ms"`
	}{1, 1, [][]any{}, float64(time.Now().UnixMilli())})
}

type modelState struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

func (t *Target) report(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	web.Reply(w, http.StatusOK, struct {
		Models []modelState `json:"models"`
		Busy   bool         `json:"busy"`
		Seq    uint64       `json:"seq"`
	}{[]modelState{{t.Model, t.version + 1}}, t.loading, t.orders})
}

const loadTime = 100 * time.Millisecond

func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version    uint64  `json:"version"`
		Epoch      uint64  `json:"fencingToken"`
		IfRevision *uint64 `json:"ifRevision"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.epochs = append(t.epochs, order.Epoch)
	switch {
	case t.loading, order.IfRevision != nil && *order.IfRevision != t.orders:
		w.WriteHeader(http.StatusConflict)
	case t.version+1 == order.Version:
		w.WriteHeader(http.StatusOK)
	default:
		t.orders++
		t.loading = true
		time.AfterFunc(loadTime, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.version, t.loading = order.Version-1, false
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// begin notes a run, unless the engine can not begin it.
func (t *Target) begin(id string, r *http.Request) (status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Model != "" {
		if want := r.Header.Get("X-Hibiscuslb-Expect-Version"); want != "" && want != strconv.FormatUint(t.version+1, 10) {
			return http.StatusMisdirectedRequest
		}
		if t.loading {
			return http.StatusServiceUnavailable
		}
	}
	if t.runs == nil {
		t.runs, t.tenants = make(map[string]int), make(map[string]string)
	}
	t.runs[id]++
	t.tenants[id] = r.Header.Get("X-Hibiscuslb-Tenant")
	if r.Header.Get("Authorization") != "" {
		t.leaked = append(t.leaked, id)
	}
	return http.StatusOK
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Hibiscuslb-Request-Id")
	w.Header().Set("X-Hibiscuslb-Request-Id", id)
	if status := t.begin(id, r); status != http.StatusOK {
		w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	w.Header().Set("X-Hibiscuslb-Response-Signature", "by "+t.ID)
	if t.Model == "" {
		time.Sleep(t.WorkTime)
		_, _ = io.WriteString(w, t.Body(id))
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= t.Events; i++ {
		time.Sleep(t.WorkTime)
		if _, err := io.WriteString(w, streamEvent(id, i)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
