package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An engine is a stand-in for a model engine, or for a plain server if its model is empty. It keeps its id and
// its address when it starts again; then it is in a new life.
type engine struct {
	site    *site
	id      string
	service string
	zone    string
	model   string
	address string
	pieces  int           // events of a stream
	pause   time.Duration // between two events, or the time of an answer
	slots   int

	// crashes, if set, is asked before a request runs, or before the first event; true ends the engine.
	crashes func(r *http.Request) bool

	mu       sync.Mutex
	up       bool
	state    string // in the entry
	software string
	born     int64
	version  int // of the weights
	orders   int // accepted in this life
	busy     bool
	server   *http.Server
	life     int
}

// start begins a life with a version of the software.
func (e *engine) start(software string) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = l.Addr().String()
	e.up, e.state, e.software, e.born, e.orders, e.busy = true, "ready", software, time.Now().UnixMilli(), 0, false
	e.life++
	if e.version == 0 {
		e.version = 1
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return nil
}

// crash ends the engine: all its connections are closed and new ones are refused.
func (e *engine) crash() {
	e.mu.Lock()
	server, up := e.server, e.up
	e.up = false
	e.mu.Unlock()
	if up {
		e.site.record.add("engine %s crashed", e.id)
		_ = server.Close()
	}
}

// restart ends the engine and begins another life after a time.
func (e *engine) restart(down time.Duration, software string) {
	e.crash()
	time.Sleep(down)
	if err := e.start(software); err != nil {
		e.site.record.say("engine %s could not start: %v", e.id, err)
		return
	}
	e.site.record.say("engine %s serves again under its id, with software %s", e.id, software)
	e.register()
}

// entry returns what the engine writes into the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.software, "slots": e.slots, "state": e.state,
		"coldRemainingMs": 0, "born": e.born,
	}
	if e.model != "" {
		entry["stage"], entry["models"] = "unified", []map[string]any{{"name": e.model, "version": e.version, "adapters": []any{}}}
	}
	return entry
}

// register writes the entry if the engine is up and the store can be reached.
func (e *engine) register() {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if up && e.site.storeUp() {
		e.site.store.PutIfChanged("servers", e.id, e.entry())
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Hibiscuslb-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Hibiscuslb-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	born, version, orders, busy, life := e.born, e.version, e.orders, e.busy, e.life
	e.mu.Unlock()
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Hibiscuslb-Instance-Id", e.id)
	case "/-/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		reply(w, 200, map[string]any{"bootEpoch": born, "born": born, "nextToken": 1, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli()})
	case "/-/kv-list":
		reply(w, 200, map[string]any{"bootEpoch": born, "born": born, "nextToken": 1, "held": []any{}})
	case "/-/report":
		reply(w, 200, map[string]any{
			"stage": "unified", "models": []map[string]any{{"name": e.model, "version": version, "adapters": []any{}}}, "busy": busy, "seq": orders, "queued": 0,
			"running": 0, "kvUsed": 0, "kvTotal": 90520, "handles": 0, "born": born, "clock_ms": time.Now().UnixMilli(),
		})
	case "/-/order":
		e.order(w, r)
	default:
		e.run(w, r, life)
	}
}

// order carries out an order to load weights.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version    int    `json:"version"`
		Holder     string `json:"holder"`
		Token      int64  `json:"fencingToken"`
		IfRevision *int   `json:"ifRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.site.record.add("order engine %s version %d holder %s token %d", e.id, order.Version, order.Holder, order.Token)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, order.IfRevision != nil && *order.IfRevision != e.orders:
		w.WriteHeader(http.StatusConflict)
	case e.version == order.Version:
		w.WriteHeader(http.StatusOK)
	default:
		e.orders++
		e.busy = true
		life := e.life
		time.AfterFunc(210*time.Millisecond, func() {
			e.mu.Lock()
			if e.life == life {
				e.version, e.busy = order.Version, false
			}
			e.mu.Unlock()
			e.register()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// run runs a request of a consumer. A stream goes on behind Last-Event-Id. Each event names the software that wrote it.
func (e *engine) run(w http.ResponseWriter, r *http.Request, life int) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Hibiscuslb-Request-Id")
	w.Header().Set("X-Hibiscuslb-Request-Id", id)
	e.mu.Lock()
	software, version, busy := e.software, e.version, e.busy
	e.mu.Unlock()
	if want := r.Header.Get("X-Hibiscuslb-Expect-Version"); e.model != "" && want != "" && want != strconv.Itoa(version) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if busy {
		w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.site.record.add("run %s at %s software %s %s from %q", id, e.id, software, r.URL.Path, r.Header.Get("Last-Event-Id"))
	if e.crashes != nil && e.crashes(r) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Hibiscuslb-Response-Signature", fmt.Sprintf("%s.%d.%s", e.id, life, id))
	if e.model == "" {
		time.Sleep(e.pause)
		w.Header().Set("X-Hibiscuslb-Weight-Versions", "1")
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("X-Hibiscuslb-Weight-Versions", strconv.Itoa(version))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	control := http.NewResponseController(w)
	for i := from + 1; i <= e.pieces; i++ {
		select {
		case <-time.After(e.pause):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		dead := !e.up || e.life != life
		e.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", i, id, software, e.id); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
	}
}
