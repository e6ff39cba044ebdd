// Package prepared stands in for the prepared platform: its object store, its
// model engines and its plain services, as far as hibiscuslb speaks with them.
// Each part keeps account of what it was asked, so that a test can judge.
package prepared

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store as it travels.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

// Metadata names an object and the revision of its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type event struct {
	revision uint64
	kind     string
	object   Object
	removed  bool
}

// A Store is the platform's object store. The zero value is empty. Down makes
// it answer 503 without doing anything.
type Store struct {
	mu       sync.Mutex
	down     bool
	revision uint64
	objects  map[string]map[string]Object // by kind and name
	events   []event
	changed  chan struct{} // closed at the next change
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put writes an object whatever revision it has, as operators and targets do.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// PutChanged is Put for an object that differs from the one there.
func (s *Store) PutChanged(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; !ok || string(o.Spec) != string(data) {
		s.put(kind, name, data)
	}
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.objects == nil {
		s.objects = make(map[string]map[string]Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.tell(event{s.revision, kind, o, false})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.tell(event{s.revision, kind, o, true})
}

func (s *Store) tell(e event) {
	s.events = append(s.events, e)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

const prefix = "/-/objects/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	if since := r.URL.Query().Get("watch"); since != "" {
		s.watch(w, r, kind, since)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.get(w, kind, name)
	case http.MethodDelete:
		s.remove(kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
		return
	}
	list := struct {
		Items    []Object `json:"items"`
		HasMore  bool     `json:"hasMore"`
		Revision uint64   `json:"storeRevision"`
	}{Items: []Object{}, Revision: s.revision}
	for _, o := range s.objects[kind] {
		list.Items = append(list.Items, o)
	}
	slices.SortFunc(list.Items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, list)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		r.Method == http.MethodPut && exists && o.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.put(kind, name, o.Spec))
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, since string) {
	from, err := strconv.ParseUint(since, 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type change struct {
		Removed bool   `json:"removed"`
		Object  Object `json:"object"`
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		answer := struct {
			Events   []change `json:"events"`
			Revision uint64   `json:"storeRevision"`
		}{Events: []change{}, Revision: s.revision}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				answer.Events = append(answer.Events, change{e.removed, e.object})
			}
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || over {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // whoever has gone needs no answer
}
