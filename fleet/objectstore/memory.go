package objectstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"hibiscuslb/fleet"
)

// Fault is a fault that a Memory simulates.
type Fault uint8

const (
	// Healthy is the absence of a fault: all calls are served.
	Healthy Fault = iota
	// Down applies no writes and returns an UnknownOutcomeError for every call.
	Down
	// LoseAnswers applies writes but returns an UnknownOutcomeError for them.
	LoseAnswers
)

// ErrDown is the cause of the errors of a Memory with a fault.
var ErrDown = errors.New("object store is down")

// Memory is an in-memory object store for tests. The zero value is empty and healthy.
type Memory struct {
	mu       sync.Mutex
	objects  map[Name]Object
	revision fleet.Version
	changed  chan struct{} // closed by the next write; nil if no watch waits
	fault    Fault
}

var _ Client = (*Memory)(nil)

// SetFault sets the fault that later calls return.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Read implements Client.
func (m *Memory) Read(_ context.Context, name Name) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return Object{}, &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	object, ok := m.objects[name]
	if !ok {
		return Object{}, &NotFoundError{Name: name}
	}
	return object, nil
}

// Write implements Client.
func (m *Memory) Write(_ context.Context, name Name, value []byte, expected fleet.Version) (fleet.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return 0, &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	if current := m.objects[name].Version; current != expected {
		return 0, &ConflictError{Name: name, Expected: expected, Current: current}
	}
	if m.objects == nil {
		m.objects = make(map[Name]Object)
	}
	m.nextRevision()
	m.objects[name] = Object{Name: name, Version: m.revision, Value: append([]byte(nil), value...)}
	if m.fault == LoseAnswers {
		return 0, &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	return m.revision, nil
}

// Delete implements Client.
func (m *Memory) Delete(_ context.Context, name Name, expected fleet.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	if current := m.objects[name].Version; current != expected {
		return &ConflictError{Name: name, Expected: expected, Current: current}
	}
	m.nextRevision()
	delete(m.objects, name)
	if m.fault == LoseAnswers {
		return &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	return nil
}

// List implements Client.
func (m *Memory) List(_ context.Context, prefix Name) (Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return Listing{}, &UnknownOutcomeError{Name: prefix, Cause: ErrDown}
	}
	return m.listSince(prefix, 0), nil
}

// Watch implements Client.
func (m *Memory) Watch(ctx context.Context, prefix Name, since fleet.Version, wait time.Duration) (Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		if m.fault == Down {
			m.mu.Unlock()
			return Listing{}, &UnknownOutcomeError{Name: prefix, Cause: ErrDown}
		}
		listing := m.listSince(prefix, since)
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		if len(listing.Objects) > 0 {
			return listing, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return listing, nil
		case <-ctx.Done():
			return Listing{}, &UnknownOutcomeError{Name: prefix, Cause: ctx.Err()}
		}
	}
}

// nextRevision increments the revision and wakes all watches. The caller holds m.mu.
func (m *Memory) nextRevision() {
	m.revision++
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// listSince lists the objects that are newer than the version, in order of their versions.
// The caller holds m.mu.
func (m *Memory) listSince(prefix Name, since fleet.Version) Listing {
	listing := Listing{Revision: m.revision}
	for name, object := range m.objects {
		if object.Version > since && strings.HasPrefix(string(name), string(prefix)) {
			listing.Objects = append(listing.Objects, object)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool {
		return listing.Objects[i].Version < listing.Objects[j].Version
	})
	return listing
}
