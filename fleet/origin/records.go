package origin

import (
	"encoding/binary"
	"slices"

	"hibiscuslb/fleet"
)

// BeginTenure records that the host begins to plan. Earlier planners may have written batches.
func (l *Ledger) BeginTenure() {
	for _, s := range l.services {
		l.loadDue = l.loadDue || len(s.versions()) > 1
	}
}

// LoadPending reports whether the records of the object store have to be read: at the begin of
// a tenure, and if a request came since the last read for a stream that is not known.
func (l *Ledger) LoadPending() bool { return l.loadDue }

// LoadDue reports whether they have to be read now.
func (l *Ledger) LoadDue(now fleet.Instant) bool {
	return l.loadDue && (l.loadedAt == 0 || now.Sub(l.loadedAt) >= loadInterval)
}

// Requeue queues the streams of batches that could not be written.
func (l *Ledger) Requeue(batches []Batch) {
	for _, b := range batches {
		for keys := b.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			l.queue(Key(binary.BigEndian.Uint64(keys)))
		}
	}
}

// Load adds the records that were read from the object store. Began is when the read began.
// After a read that failed the records are nil.
func (l *Ledger) Load(now, began fleet.Instant, records *Records) {
	l.loadDue, l.loadedAt = false, began
	if records == nil {
		return
	}
	l.rosterAt = began
	for _, v := range records.Listed {
		l.observe(now, v)
	}
	if l.streams == nil {
		l.streams = make(map[Key]*stream)
	}
	for _, b := range records.Batches {
		for keys := b.Keys; len(keys) >= keyBytes; keys = keys[keyBytes:] {
			key, v := Key(binary.BigEndian.Uint64(keys)), Version{b.Service, b.Software}
			st, ok := l.streams[key]
			switch {
			case ok:
				st.ambiguous = st.ambiguous || st.Version != v
			case len(l.streams) < maxStreams:
				l.streams[key] = &stream{Version: v, expires: now.Add(l.Retention())}
			}
		}
	}
}

// DueBatches returns the batches to write now, which go into one object.
func (l *Ledger) DueBatches(now fleet.Instant) []Batch {
	if len(l.unwritten) == 0 || now.Sub(l.lastBatch) < BatchInterval {
		return nil
	}
	l.lastBatch = now
	keys := make(map[Version][]byte)
	for key := range l.unwritten {
		if st, ok := l.streams[key]; ok && now < st.expires {
			keys[st.Version] = binary.BigEndian.AppendUint64(keys[st.Version], uint64(key))
		}
	}
	l.unwritten = nil
	var batches []Batch
	for v, k := range keys {
		batches = append(batches, Batch{v.Service, v.Software, k})
	}
	slices.SortFunc(batches, func(a, b Batch) int {
		return compareVersions(Version{a.Service, a.Software}, Version{b.Service, b.Software})
	})
	return batches
}
