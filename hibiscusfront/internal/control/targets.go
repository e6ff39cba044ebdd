package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
)

const (
	// vanishedGrace is how long an entry that vanished during an outage of the
	// store is kept after the outage, so that a live target can write it again.
	// Live targets do so within about 2 s. A target without an entry may get new
	// requests for no more than 2 s (the platform's bound drainMs, which is not
	// read from the settings), so the grace time is slightly shorter. A live
	// target that writes later is dropped, and added again with its new entry.
	vanishedGrace = 1900 * time.Millisecond
)

// targets holds the targets' entries. It keeps those that vanished from the store
// during an outage, because their targets may be alive.
type targets struct {
	entries  map[fleet.TargetID]roster.Target
	vanished map[fleet.TargetID]fleet.Instant // when a vanished entry is dropped
	inOutage bool                             // calls to the store fail
	// uncertainUntil is when entries that are missing in the store are certain to be
	// those of targets that have left: vanishedGrace after the last outage.
	uncertainUntil fleet.Instant
	// removed has the targets whose entries were removed.
	removed map[fleet.TargetID]removedTarget

	era       uint64                            // of the store from which the entries were read; zero before the first
	revisions map[fleet.TargetID]fleet.Revision // of the entries when they were last read
	// restoredUntil is when entries that a copy of the store lacked count as those of targets
	// that have left, on this host.
	restoredUntil fleet.Instant
	// superseded has what was known, when the store came back from a copy, of targets that
	// were leaving or had left. The copy may hold earlier entries of them.
	superseded map[fleet.TargetID]supersededEntry
}

// removedTarget is a target whose entry was removed.
type removedTarget struct {
	at        fleet.Instant
	startTime time.Time
	number    fleet.Version // of the last revision of the entry
}

// supersededEntry is what was known of a target that was leaving or had left.
type supersededEntry struct {
	removedTarget
	leaving bool // the target had not left yet
}

// removedMemory is how long a removed target is remembered. Grants of a planner that
// does not know of the removal arrive within less.
const removedMemory = 30 * time.Second

// beginOutage records that calls of this host to the store fail.
func (t *targets) beginOutage() { t.inOutage = true }

// endOutage records that the store answers again.
func (t *targets) endOutage(now fleet.Instant) {
	t.inOutage, t.uncertainUntil = false, max(t.uncertainUntil, now.Add(vanishedGrace))
	for id := range t.vanished {
		t.vanished[id] = now.Add(vanishedGrace)
	}
}

// uncertainFor returns how long an entry that is missing in the store may still be that
// of a live target, because the store was not reachable until recently.
func (t *targets) uncertainFor(now fleet.Instant) time.Duration {
	return max(0, t.uncertainUntil.Sub(now))
}

// enterEra records the era of the store from which entries are read. In a new one, entries
// that the copy lacks may be written again, and those in the copy may be outdated.
func (t *targets) enterEra(now fleet.Instant, era uint64) {
	if era <= t.era {
		return
	}
	restored := t.era > 0
	t.era = era
	if !restored {
		return
	}
	t.restoredUntil = now.Add(vanishedGrace)
	t.uncertainUntil = max(t.uncertainUntil, t.restoredUntil)
	if t.superseded == nil {
		t.superseded = make(map[fleet.TargetID]supersededEntry)
	}
	for id, r := range t.removed {
		t.superseded[id] = supersededEntry{removedTarget: r}
	}
	for id, e := range t.entries {
		if e.Leaving {
			t.superseded[id] = supersededEntry{removedTarget{now, e.StartTime, t.revisions[id].Number}, true}
		}
	}
}

// correct replaces or removes entries as read from the store that are outdated. An entry is
// if it is of the same life of a target that is known to be leaving or to have left, and
// was not written since: the copy gives its revision no higher number than the last one
// that is known.
func (t *targets) correct(entries map[fleet.TargetID]roster.Target, revisions map[fleet.TargetID]fleet.Revision) {
	for id, known := range t.superseded {
		entry, ok := entries[id]
		switch {
		case !ok:
		case !entry.StartTime.Equal(known.startTime) || revisions[id].Number > known.number:
			delete(t.superseded, id)
		case known.leaving:
			entry.Leaving = true
			entries[id] = entry
		default:
			delete(entries, id)
		}
	}
	if t.revisions == nil {
		t.revisions = make(map[fleet.TargetID]fleet.Revision)
	}
	maps.Copy(t.revisions, revisions)
}

// apply replaces the entries by those in the store. It keeps entries that are no longer
// there for uncertainFor, which is that of the host that read the store: one that has
// read it throughout knows that the entries were removed, also while this host cannot
// read it.
func (t *targets) apply(now fleet.Instant, entries map[fleet.TargetID]roster.Target, uncertainFor time.Duration, log zerolog.Logger) {
	uncertainFor = max(uncertainFor, t.restoredUntil.Sub(now))
	t.uncertainUntil = max(t.uncertainUntil, now.Add(uncertainFor))
	if t.vanished == nil {
		t.vanished = make(map[fleet.TargetID]fleet.Instant)
		t.removed = make(map[fleet.TargetID]removedTarget)
	}
	for id := range entries {
		delete(t.vanished, id) // its target has written it again
		delete(t.removed, id)
	}
	for id, old := range t.entries {
		if _, ok := entries[id]; ok {
			continue
		}
		if uncertainFor <= 0 || old.Leaving {
			delete(t.vanished, id)
			t.markRemoved(now, old)
			log.Info().Str("Target", string(id)).Str("Service", string(old.Service)).Msg("target removed: its entry is no longer in the object store")
			continue
		}
		if _, ok := t.vanished[id]; !ok {
			t.vanished[id] = now.Add(uncertainFor)
		}
		entries[id] = old
	}
	for id, entry := range entries {
		old, known := t.entries[id]
		if known && old.Leaving == entry.Leaving && old.Address == entry.Address && old.Software == entry.Software && slices.Equal(old.Models, entry.Models) {
			continue
		}
		log.Info().Str("Target", string(id)).Str("Service", string(entry.Service)).Str("Address", string(entry.Address)).
			Bool("Leaving", entry.Leaving).Dur("ColdFor", entry.ColdFor).Interface("Models", entry.Models).Str("Software", string(entry.Software)).Msg("target added or changed")
	}
	t.entries = entries
	for id := range t.vanished {
		if _, ok := entries[id]; !ok {
			delete(t.vanished, id)
		}
	}
}

// markRemoved records that a target's entry was removed.
func (t *targets) markRemoved(now fleet.Instant, old roster.Target) {
	t.removed[old.ID] = removedTarget{now, old.StartTime, t.revisions[old.ID].Number}
	delete(t.revisions, old.ID)
}

// expire drops vanished entries whose grace time is over and reports whether it
// dropped any.
func (t *targets) expire(now fleet.Instant) bool {
	dropped := false
	for id, end := range t.vanished {
		if !t.inOutage && now >= end {
			delete(t.vanished, id)
			t.markRemoved(now, t.entries[id])
			delete(t.entries, id)
			dropped = true
		}
	}
	for id, r := range t.removed {
		if now.Sub(r.at) > removedMemory {
			delete(t.removed, id)
		}
	}
	for id, known := range t.superseded {
		if now.Sub(known.at) > removedMemory {
			delete(t.superseded, id)
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

// removedIDs returns the targets that were removed in the last removedMemory.
func (t *targets) removedIDs() map[fleet.TargetID]bool {
	result := make(map[fleet.TargetID]bool, len(t.removed))
	for id := range t.removed {
		result[id] = true
	}
	return result
}
