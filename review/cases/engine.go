package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const modelName = "daka510000"

// An engine is a stand-in for a sound model engine, or for a plain server if it has no events.
type engine struct {
	site     *site
	id       string
	service  string
	software string // version of its software
	events   int    // of a stream
	pause    time.Duration
	quiet    bool            // runs are not recorded one by one
	onRun    func(id string) // is called when a request begins to run; may be nil
	peers    *engines
	address  string
	// spoil spoils an answer if it returns true; nil spoils none.
	spoil func() bool

	mu     sync.Mutex
	runs   map[string]int // by request ID
	cache  map[cachedPart]maker
	kvLog  [][]any
	marked chan struct{} // closed at the next event of the cache
	used   []reuse
}

// A cachedPart is a part of a prompt under a salt.
type cachedPart struct{ salt, part string }

// A maker is the request that an engine read when it made a cached part.
type maker struct {
	tenant, request string
	tokens          int
}

// A reuse is a part that a request found in a cache.
type reuse struct {
	cachedPart
	maker           maker
	tenant, request string
	at              time.Time
}

// engines are all engines by address.
type engines struct {
	mu  sync.Mutex
	all map[string]*engine
}

func (e *engines) get(address string) *engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[address]
}

// startEngine starts an engine and writes its entry in the store.
func (s *site) startEngine(peers *engines, last int, e *engine) (*engine, error) {
	e.site, e.peers, e.id = s, peers, fmt.Sprintf("i-%08x", 0x7f3a0000+last)
	e.runs, e.cache = make(map[string]int), make(map[cachedPart]maker)
	address, err := s.listen(last, e)
	if err != nil {
		return nil, err
	}
	e.address = address
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if peers.all == nil {
		peers.all = make(map[string]*engine)
	}
	peers.all[address] = e
	e.register()
	return e, nil
}

func (e *engine) register() {
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": "kurunegala", "version": e.software, "slots": 64, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
	if e.events > 0 {
		entry["stage"] = "unified"
		entry["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}
	}
	e.site.store.Put("servers", e.id, entry)
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Hibiscuslb-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Hibiscuslb-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/kv-events":
		e.kvEvents(w, r)
	case "/-/report":
		reply(w, map[string]any{"stage": "unified", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}},
			"busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90520, "handles": 0})
	case "/healthz":
		w.Header().Set("X-Hibiscuslb-Instance-Id", e.id)
	default:
		e.serve(w, r)
	}
}

func (e *engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		e.mu.Lock()
		if e.marked == nil {
			e.marked = make(chan struct{})
		}
		marked, events := e.marked, e.kvLog[min(since, len(e.kvLog)):]
		e.mu.Unlock()
		if len(events) > 0 || !waiting {
			if events == nil {
				events = [][]any{}
			}
			reply(w, map[string]any{"bootEpoch": 77120, "nextToken": since + len(events), "lost": false, "events": events, "clock_ms": float64(time.Now().UnixMilli())})
			return
		}
		select {
		case <-marked:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// readPrompt finds the prompt's parts in the cache or at the addresses from which it is told to
// fetch them, and reads the rest.
func (e *engine) readPrompt(id string, h http.Header) {
	salt, tenant := h.Get("X-Hibiscuslb-Cache-Salt"), h.Get("X-Hibiscuslb-Tenant")
	fetch := strings.Split(h.Get("X-Hibiscuslb-Kv-Fetch"), ",")
	cached := true // all parts before
	for i, text := range strings.Split(h.Get("X-Hibiscuslb-Prefix-Hash"), ",") {
		name, tokens, _ := strings.Cut(text, ":")
		n, _ := strconv.Atoi(tokens)
		part := cachedPart{salt, name}
		e.mu.Lock()
		found, ok := e.cache[part]
		e.mu.Unlock()
		if !ok && i < len(fetch) && fetch[i] != "-" {
			if other := e.peers.get(fetch[i]); other != nil {
				other.mu.Lock()
				found, ok = other.cache[part]
				other.mu.Unlock()
			}
		}
		e.mu.Lock()
		if ok && cached {
			e.used = append(e.used, reuse{part, found, tenant, id, time.Now()})
		} else {
			cached, found = false, maker{tenant, id, n}
		}
		if _, known := e.cache[part]; !known {
			e.kvLog = append(e.kvLog, []any{len(e.kvLog), "+", salt, name, n, modelName})
			if e.marked != nil {
				close(e.marked)
				e.marked = nil
			}
		}
		e.cache[part] = found
		e.mu.Unlock()
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Hibiscuslb-Request-Id")
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	if e.onRun != nil {
		e.onRun(id)
	}
	if !e.quiet {
		e.site.rec.add("engine %s (%s): runs %s, tenant %s, body %d bytes, Last-Event-Id %q", e.id, e.software, id, r.Header.Get("X-Hibiscuslb-Tenant"), size, r.Header.Get("Last-Event-Id"))
	}
	w.Header().Set("X-Hibiscuslb-Request-Id", id)
	if e.spoil == nil || !e.spoil() {
		w.Header().Set("X-Hibiscuslb-Response-Signature", "3e1b."+e.id)
	} else {
		e.site.rec.add("engine %s: the answer to %s is spoilt, its proof is lost", e.id, id)
	}
	if e.events == 0 {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.readPrompt(id, r.Header)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Hibiscuslb-Weight-Versions", "1")
	for i := from + 1; i <= e.events; i++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, e.software, i); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// ran returns how often a request has run.
func (e *engine) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
