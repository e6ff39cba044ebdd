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
	// lapseGrace is how long an entry that vanished with an outage of the
	// store may take to come back: targets that live write it again within
	// about two seconds.
	lapseGrace = 1900 * time.Millisecond
)

// targets is the roster with the entries that may have lapsed: those that
// vanished in an outage of the store, although their targets may live.
type targets struct {
	entries     map[fleet.TargetID]roster.Target
	lapsed      map[fleet.TargetID]fleet.Instant // when they count as gone
	storeDown   bool                             // the store does not answer
	storeBackAt fleet.Instant                    // when it last came back
}

// storeLost notes that the store does not answer this host.
func (t *targets) storeLost(fleet.Instant) { t.storeDown = true }

// storeBack notes that the store answers again.
func (t *targets) storeBack(now fleet.Instant) {
	t.storeDown, t.storeBackAt = false, now
	for id := range t.lapsed {
		t.lapsed[id] = now.Add(lapseGrace)
	}
}

// take takes the entries that the store has now.
func (t *targets) apply(now fleet.Instant, entries map[fleet.TargetID]roster.Target, log zerolog.Logger) {
	if t.lapsed == nil {
		t.lapsed = make(map[fleet.TargetID]fleet.Instant)
	}
	for id := range entries {
		delete(t.lapsed, id) // it is back
	}
	inOutage := t.storeDown || t.storeBackAt > 0 && now.Sub(t.storeBackAt) < lapseGrace
	for id, old := range t.entries {
		if _, ok := entries[id]; ok {
			continue
		}
		if !inOutage || old.Leaving {
			delete(t.lapsed, id)
			log.Info().Str("Target", string(id)).Str("Service", string(old.Service)).Msg("target has left the store")
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
			Bool("Leaving", entry.Leaving).Dur("ColdFor", entry.ColdFor).Interface("Models", entry.Models).Msg("target entered")
	}
	t.entries = entries
	for id := range t.lapsed {
		if _, ok := entries[id]; !ok {
			delete(t.lapsed, id)
		}
	}
}

// expire drops entries that have lapsed for good and reports whether there was
// one.
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

// list returns the targets in the order of their ids.
func (t *targets) list() []roster.Target {
	result := make([]roster.Target, 0, len(t.entries))
	for _, entry := range t.entries {
		result = append(result, entry)
	}
	slices.SortFunc(result, func(a, b roster.Target) int { return cmp.Compare(a.ID, b.ID) })
	return result
}
