package record

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"hibiscuslb/fleet"
)

// Fault is a way in which a Memory misbehaves.
type Fault uint8

const (
	// Healthy serves every call.
	Healthy Fault = iota
	// Down answers no call and applies no write.
	Down
	// LoseAnswers applies writes and loses their answers.
	LoseAnswers
)

// ErrDown is the cause of errors that a Memory with a fault reports.
var ErrDown = errors.New("object store is down")

// Memory is an object store in memory, for tests. The
// zero value is empty and healthy.
type Memory struct {
	mu       sync.Mutex
	objects  map[Name]Object
	revision fleet.Version
	changed  chan struct{}
	fault    Fault
}

var _ Client = (*Memory)(nil)

// SetFault makes the service misbehave, or behave again.
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
func (m *Memory) Write(_ context.Context, name Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return 0, &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	if current := m.objects[name].Version; current != seen {
		return 0, &ConflictError{Name: name, Expected: seen, Current: current}
	}
	if m.objects == nil {
		m.objects = make(map[Name]Object)
	}
	m.bump()
	m.objects[name] = Object{Name: name, Version: m.revision, Value: append([]byte(nil), value...)}
	if m.fault == LoseAnswers {
		return 0, &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	return m.revision, nil
}

// Delete implements Client.
func (m *Memory) Delete(_ context.Context, name Name, seen fleet.Version) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fault == Down {
		return &UnknownOutcomeError{Name: name, Cause: ErrDown}
	}
	if current := m.objects[name].Version; current != seen {
		return &ConflictError{Name: name, Expected: seen, Current: current}
	}
	m.bump()
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
	return m.since(prefix, 0), nil
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
		listing := m.since(prefix, since)
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

// bump takes the next revision and wakes all watches. m.mu is held.
func (m *Memory) bump() {
	m.revision++
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}

// since lists what is newer than the version. m.mu is held.
func (m *Memory) since(prefix Name, since fleet.Version) Listing {
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
