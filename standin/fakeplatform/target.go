package fakeplatform

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

// A Target is a stand-in for a model engine, or for a plain service if Model is
// empty. It records each request that it ran.
type Target struct {
	ID       string
	Model    string
	Events   int           // number of events of a stream
	WorkTime time.Duration // time per event of a stream, or per answer of a plain service
	// CrashPart is the ID of a part of prompts on which the engine crashes when it begins
	// to write an answer, and CrashPath the path of a request on which the target crashes
	// when it begins to run it. Crash is then called to make the target unreachable.
	CrashPart string
	CrashPath string
	Crash     func()

	mu       sync.Mutex
	software string // version of the target's software
	version  uint64 // of the weights, minus one, so that the zero value is version 1
	ordered  bool   // an order is being carried out, or will be
	loading  bool
	loads    uint64            // number of started weight loads; the report sends it as seq
	loaded   uint64            // number of those that have ended
	runs     map[string]int    // by request id
	tenants  map[string]string // by request id
	withKey  []string          // ids of requests that came with an API key
	epochs   []uint64          // fencing tokens of the received weight orders, in order of arrival

	failing int           // one of so many requests is answered with an internal error; zero for none
	failed  int           // requests that were
	limit   float64       // requests per second that all answers name; zero for none
	leaving bool          // all answers say that the target leaves
	pause   time.Duration // for which requests are turned away; zero if they are not
	lag     time.Duration // after which orders are carried out
	journal []Arrival     // of requests, other than those for another target
	brittle brittle
}

// SetWorkTime sets the time per event of a stream.
func (t *Target) SetWorkTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.WorkTime = d
}

// workTime returns WorkTime, which a test may change while the target runs.
func (t *Target) workTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.WorkTime
}

// SetSoftware sets the version of the target's software.
func (t *Target) SetSoftware(version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.software = version
}

// Software returns the version of the target's software.
func (t *Target) Software() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.software
}

// SetLimit sets the requests per second that answers name as the target's limit; zero
// names none.
func (t *Target) SetLimit(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = rate
}

// SetLeaving sets whether answers say that the target leaves.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// SetFailing makes the target answer one of n requests with an internal error; zero makes it
// answer none so.
func (t *Target) SetFailing(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = n
}

// Failed returns how many requests were answered with an internal error.
func (t *Target) Failed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// fails reports whether the next request is answered with an internal error.
func (t *Target) fails() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing == 0 || len(t.journal)%t.failing != 0 {
		return false
	}
	t.failed++
	return true
}

// SetPause makes the target turn requests away and ask their hosts for a pause; zero makes
// it serve again.
func (t *Target) SetPause(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pause = pause
}

// SetLag makes the target carry out orders so much later, and serve on until then.
func (t *Target) SetLag(lag time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lag = lag
}

// Runs returns how often each request ran and for which tenant, and the ids of the
// requests that came with an API key. A key must not be forwarded to targets.
func (t *Target) Runs() (runs map[string]int, tenants map[string]string, withKey []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs, tenants = make(map[string]int), make(map[string]string)
	for id, n := range t.runs {
		runs[id], tenants[id] = n, t.tenants[id]
	}
	return runs, tenants, append(withKey, t.withKey...)
}

// Epochs returns the fencing tokens of the received weight orders, in order of
// arrival.
func (t *Target) Epochs() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]uint64(nil), t.epochs...)
}

// Version returns the version of the loaded weights.
func (t *Target) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version + 1
}

// Body returns the answer to the request with the id, so that a caller can check
// that it got its own.
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
		t.load(w, r)
	case "/healthz":
		w.Header().Set("X-Hibiscuslb-Instance-Id", t.ID)
	default:
		t.execute(w, r)
	}
}

func (t *Target) cacheEvents(w http.ResponseWriter, r *http.Request) {
	const maxWaitMs = 1000
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil || wait > maxWaitMs {
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
	}{[]modelState{{t.Model, t.version + 1}}, t.ordered, t.loads})
}

// loadTime is how long a load of weights takes.
const loadTime = 100 * time.Millisecond

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
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
	case t.ordered, order.IfRevision != nil && *order.IfRevision != t.loads:
		w.WriteHeader(http.StatusConflict)
	case t.version+1 == order.Version:
		w.WriteHeader(http.StatusOK)
	default:
		t.loads++
		t.ordered, t.loading = true, t.lag == 0
		time.AfterFunc(t.lag, func() { t.startLoad(order.Version) })
		w.WriteHeader(http.StatusAccepted)
	}
}

// startLoad carries out an order.
func (t *Target) startLoad(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loading = true
	time.AfterFunc(loadTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.version, t.loading, t.ordered = version-1, false, false
		t.loaded++
	})
}

// begin records a run of the request and returns http.StatusOK. If the engine can't
// run the request, it records nothing and returns the status of the refusal.
func (t *Target) begin(id string, entry int, r *http.Request) (status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pause > 0 {
		return http.StatusServiceUnavailable
	}
	if t.Model != "" {
		if want := r.Header.Get("X-Hibiscuslb-Expect-Version"); want != "" && want != strconv.FormatUint(t.version+1, 10) {
			return http.StatusMisdirectedRequest
		}
		if t.loading {
			return http.StatusServiceUnavailable
		}
	}
	if !t.enter() {
		return http.StatusServiceUnavailable
	}
	if t.runs == nil {
		t.runs, t.tenants = make(map[string]int), make(map[string]string)
	}
	t.runs[id]++
	t.journal[entry].Ran, t.journal[entry].Version, t.journal[entry].Loads = true, t.version+1, t.loaded
	t.tenants[id] = r.Header.Get("X-Hibiscuslb-Tenant")
	if r.Header.Get("Authorization") != "" {
		t.withKey = append(t.withKey, id)
	}
	return http.StatusOK
}

func (t *Target) execute(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Hibiscuslb-Request-Id")
	w.Header().Set("X-Hibiscuslb-Request-Id", id)
	entry := t.arrive(r, w.Header())
	if status := t.begin(id, entry, r); status != http.StatusOK {
		w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer t.leave()
	w.Header().Set("X-Hibiscuslb-Response-Signature", "by "+t.ID)
	if t.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if t.CrashPath != "" && r.URL.Path == t.CrashPath {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if t.Model == "" {
		time.Sleep(t.workTime())
		_, _ = io.WriteString(w, t.Body(id))
		return
	}
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= t.Events; i++ {
		time.Sleep(t.workTime())
		if t.CrashPart != "" && strings.Contains(","+r.Header.Get("X-Hibiscuslb-Prefix-Hash"), ","+t.CrashPart+":") {
			t.Crash()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, streamEvent(id, i)); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
	}
}
