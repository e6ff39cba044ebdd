package fakeplatform

import (
	"maps"
	"net/http"
	"strconv"
)

// A Copy is the content of a Store at an instant.
type Copy struct {
	revision uint64
	objects  map[string]map[string]Object
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, cloneObjects(s.objects)}
}

// Restore replaces the content by a copy and begins a new era: revisions go back and are
// given out again. It keeps no history and cuts waiting watches off.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.objects = c.revision, cloneObjects(c.objects)
	s.events, s.compacted = nil, c.revision
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	result := make(map[string]map[string]Object, len(objects))
	for kind, named := range objects {
		result[kind] = maps.Clone(named)
	}
	return result
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// setEra sets the header of all answers that tells the era. s.mu is held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(firstEra+s.era, 10))
}
