// Package fakeplatform implements stand-ins for the platform that hibiscuslb runs
// on, limited to the calls that hibiscuslb makes. Store simulates the object store,
// for hibiscusd and hibiscusfront. Target simulates the model engines and plain services
// of hibiscusfront; those of hibiscusd have other protocols, which packages
// modelengine and plainservice implement. Each stand-in records what it is asked to
// do, so that a test can check it.
package fakeplatform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hibiscuslb/standin/internal/web"
)

// Object is an object of the store in its JSON form.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"` // written apart from the spec, which keeps it
}

// Metadata names an object and the revision of its last change.
type Metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is a change of an object.
type event struct {
	revision uint64
	kind     string
	object   Object
	removed  bool
}

// Fault is a failure mode of a Store.
type Fault uint8

const (
	// Healthy serves every call.
	Healthy Fault = iota
	// Refusing answers every call with status 503 and does not execute it.
	Refusing
	// Down closes the connection of every call and does not execute it.
	Down
	// LoseAnswers executes every call, but closes the connections of successful
	// writes instead of answering them.
	LoseAnswers
)

// A Store is a stand-in for the platform's object store. The zero value is an
// empty store without a fault.
type Store struct {
	Latency time.Duration // of reads, lists and writes

	mu        sync.Mutex
	fault     Fault
	revision  uint64
	objects   map[string]map[string]Object // by kind and name
	events    []event
	compacted uint64        // events up to this revision are deleted
	changed   chan struct{} // closed at the next change
	counts    Counts
	era       uint64 // how often the store was restored
}

// Counts holds the number of calls that a Store received, by kind.
type Counts struct{ Reads, Writes, Watches int64 }

// SetFault sets the failure mode; Healthy ends a fault.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Counts returns the current counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact deletes the history of changes, so that watches from earlier revisions
// fail with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
}

// Put writes an object without comparing its revision, as operators and targets
// do.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the caller passed a spec that can't be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
}

// PutIfChanged writes an object like Put if its spec differs from the stored one.
func (s *Store) PutIfChanged(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the caller passed a spec that can't be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; !ok || string(o.Spec) != string(data) {
		s.put(kind, name, data)
	}
}

// Get returns an object. It reports false if there is none.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

// Remove removes an object, if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// put writes an object at the next revision. s.mu is held.
func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	return s.putObject(kind, name, spec, s.objects[kind][name].Status)
}

// putObject writes an object with a status. s.mu is held.
func (s *Store) putObject(kind, name string, spec, status json.RawMessage) Object {
	s.revision++
	o := Object{Metadata: Metadata{Name: name, Revision: s.revision}, Spec: spec, Status: status}
	if s.objects == nil {
		s.objects = make(map[string]map[string]Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.publish(event{s.revision, kind, o, false})
	return o
}

// remove removes an object, if it exists. s.mu is held.
func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(event{s.revision, kind, o, true})
}

// publish records an event and wakes the watches. s.mu is held.
func (s *Store) publish(e event) {
	s.events = append(s.events, e)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

const objectsPath = "/-/objects/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if since := r.URL.Query().Get("watch"); since != "" {
		s.watch(w, r, kind, since)
		return
	}
	time.Sleep(s.Latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		s.counts.Reads++
	} else {
		s.counts.Writes++
	}
	if s.injectFault(w) {
		return
	}
	s.setEra(w)
	switch r.Method {
	case http.MethodGet:
		s.get(w, kind, name, r.URL.Query().Get("after"))
	case http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

// injectFault applies the current fault to a call before its execution. If it returns
// true, it has answered the call, which must not be executed. If the store is down, it
// panics, which closes the connection. s.mu is held.
func (s *Store) injectFault(w http.ResponseWriter) bool {
	switch s.fault {
	case Refusing:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case Down:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
}

// replyWritten answers a successful write. Under the fault LoseAnswers it panics
// instead, which closes the connection.
func (s *Store) replyWritten(w http.ResponseWriter, o Object) {
	if s.fault == LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	web.Reply(w, http.StatusOK, o)
}

// pageLimit is the maximum number of objects in a page of a list.
const pageLimit = 500

func (s *Store) get(w http.ResponseWriter, kind, name, after string) {
	if name != "" {
		o, ok := s.objects[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		web.Reply(w, http.StatusOK, o)
		return
	}
	list := struct {
		Items    []Object `json:"items"`
		HasMore  bool     `json:"hasMore"`
		Revision uint64   `json:"storeRevision"`
	}{Items: []Object{}, Revision: s.revision}
	for name, o := range s.objects[kind] {
		if name > after {
			list.Items = append(list.Items, o)
		}
	}
	slices.SortFunc(list.Items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(list.Items) > pageLimit {
		list.Items, list.HasMore = list.Items[:pageLimit], true
	}
	web.Reply(w, http.StatusOK, list)
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	current, exists := s.objects[kind][name]
	expected := r.URL.Query().Get("revision")
	switch {
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case expected != "" && expected != strconv.FormatUint(current.Metadata.Revision, 10):
		web.Reply(w, http.StatusConflict, current)
	default:
		s.remove(kind, name)
		s.replyWritten(w, current)
	}
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
	name, isStatus := strings.CutSuffix(name, "/status")
	current, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		r.Method == http.MethodPut && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		web.Reply(w, http.StatusConflict, current)
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case isStatus && bytes.Equal(current.Status, o.Status), !isStatus && exists && bytes.Equal(current.Spec, o.Spec):
		s.replyWritten(w, current) // an unchanged object keeps its revision
	case isStatus:
		s.replyWritten(w, s.putObject(kind, name, current.Spec, o.Status))
	default:
		s.replyWritten(w, s.put(kind, name, o.Spec))
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, since string) {
	from, err := strconv.ParseUint(since, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	type change struct {
		Removed bool   `json:"removed"`
		Object  Object `json:"object"`
	}
	s.mu.Lock()
	s.counts.Watches++
	era := s.era
	s.mu.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		answer := struct {
			Events   []change `json:"events"`
			Revision uint64   `json:"storeRevision"`
		}{Events: []change{}}
		changed := s.eventsSince(w, era, from, func(e event) {
			if e.kind == kind {
				answer.Events = append(answer.Events, change{e.removed, e.object})
			}
		}, &answer.Revision)
		if changed == nil {
			return
		}
		if len(answer.Events) > 0 || expired {
			web.Reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince calls visit for every event after the revision from, sets revision to
// the current one, and returns a channel that is closed at the next change. If the
// current fault prevents this or events after from are compacted or lost, it answers the
// call with the status of the failure and returns nil. A watch that began in an earlier
// era is cut off.
func (s *Store) eventsSince(w http.ResponseWriter, era, from uint64, visit func(event), revision *uint64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.injectFault(w) {
		return nil
	}
	if era != s.era {
		panic(http.ErrAbortHandler)
	}
	s.setEra(w)
	if from < s.compacted || from > s.revision {
		w.WriteHeader(http.StatusGone)
		return nil
	}
	for _, e := range s.events {
		if e.revision > from {
			visit(e)
		}
	}
	*revision = s.revision
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
