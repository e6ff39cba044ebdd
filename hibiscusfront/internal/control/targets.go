package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
)

const (
	// lapseGrace is how long an entry that vanished during an outage of the
	// store is kept after the outage. A live target writes its entry again
	// within about two seconds.
	lapseGrace = 1900 * time.Millisecond
)

// targets holds the targets' entries. It keeps those that vanished from the store
// during an outage, because their targets may be alive.
type targets struct {
	entries     map[fleet.TargetID]roster.Target
	lapsed      map[fleet.TargetID]fleet.Instant // when a vanished entry is dropped
	storeDown   bool                             // the store does not answer
	storeBackAt fleet.Instant                    // when it last answered again
}

// storeLost records that the store does not answer this host.
func (t *targets) storeLost(fleet.Instant) { t.storeDown = true }

// storeBack records that the store answers again.
func (t *targets) storeBack(now fleet.Instant) {
	t.storeDown, t.storeBackAt = false, now
	for id := range t.lapsed {
		t.lapsed[id] = now.Add(lapseGrace)
	}
}

// apply replaces the entries by those in the store, but keeps entries that
// vanished in an outage.
func (t *targets) apply(now fleet.Instant, entries map[fleet.TargetID]roster.Target, log zerolog.Logger) {
	if t.lapsed == nil {
		t.lapsed = make(map[fleet.TargetID]fleet.Instant)
	}
	for id := range entries {
		delete(t.lapsed, id) // its target has written it again
	}
	inOutage := t.storeDown || t.storeBackAt > 0 && now.Sub(t.storeBackAt) < lapseGrace
	for id, old := range t.entries {
		if _, ok := entries[id]; ok {
			continue
		}
		if !inOutage || old.Leaving {
			delete(t.lapsed, id)
			log.Info().Str("Target", string(id)).Str("Service", string(old.Service)).Msg("target removed: its entry is no longer in the store")
			continue
		}
		if _, ok := t.lapsed[id]; !ok {
			t.lapsed[id] = max(now, t.storeBackAt).Add(lapseGrace)
		}
		entries[id] = old
	}
	for id, entry := range entries {
		old, known := t.entries[id]
		if known && old.Leaving == entry.Leaving && old.Address == entry.Address && slices.Equal(old.Models, entry.Models) {
			continue
		}
		log.Info().Str("Target", string(id)).Str("Service", string(entry.Service)).Str("Address", string(entry.Address)).
			Bool("Leaving", entry.Leaving).Dur("ColdFor", entry.ColdFor).Interface("Models", entry.Models).Msg("target added or changed")
	}
	t.entries = entries
	for id := range t.lapsed {
		if _, ok := entries[id]; !ok {
			delete(t.lapsed, id)
		}
	}
}

// expire drops vanished entries whose grace time is over and reports whether there
// was one.
func (t *targets) expire(now fleet.Instant) bool {
	dropped := false
	for id, end := range t.lapsed {
		if !t.storeDown && now >= end {
			delete(t.lapsed, id)
			delete(t.entries, id)
			dropped = true
		}
	}
	return dropped
}

// list returns the targets sorted by ID.
func (t *targets) list() []roster.Target {
	result := make([]roster.Target, 0, len(t.entries))
	for _, entry := range t.entries {
		result = append(result, entry)
	}
	slices.SortFunc(result, func(a, b roster.Target) int { return cmp.Compare(a.ID, b.ID) })
	return result
}
