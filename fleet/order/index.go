package order

import "time"

// index is what a log remembers of its keys. Finished keys are by far the
// most, see archive; their answers are kept for the latest only and else read
// from their segment.
type index struct {
	open     map[Key]Record
	finished archive
	answers  map[Key]Entry
	order    []Key // of answers, oldest first
}

// answersKept bounds the answers in memory of one log.
const answersKept = 256

// find returns what is known of a key, without its answer.
func (x *index) find(key Key) (Record, bool) {
	if record, ok := x.open[key]; ok {
		return record, true
	}
	if l, ok := x.finished.find(key); ok {
		return Record{Digest: l.digest, Finished: true, At: time.Unix(int64(l.at), 0)}, true
	}
	return Record{}, false
}

// recent returns the entry with the answer of a key, if it is in memory.
func (x *index) recent(key Key) (Entry, bool) {
	entry, ok := x.answers[key]
	return entry, ok
}

// segmentOf returns the segment that holds the answer of a finished key.
func (x *index) segmentOf(key Key) uint64 {
	l, _ := x.finished.find(key)
	return uint64(l.segment)
}

// learn takes an entry of the given segment. An entry of an attempt that is
// not the key's open one changes nothing.
func (x *index) learn(entry *Entry, segment uint64) {
	if x.open == nil {
		x.open = make(map[Key]Record)
		x.answers = make(map[Key]Entry)
	}
	if entry.Kind == Claim {
		x.open[entry.Key] = Record{Digest: entry.Digest, Attempt: entry.Attempt, At: time.Unix(entry.At, 0)}
		return
	}
	record, ok := x.open[entry.Key]
	if !ok || record.Attempt != entry.Attempt {
		return
	}
	delete(x.open, entry.Key)
	if entry.Kind == Release {
		return
	}
	x.finished.add(line{entry.Key, record.Digest, uint32(segment), uint32(record.At.Unix())})
	x.keep(entry)
}

// keep remembers an answer and forgets the oldest.
func (x *index) keep(entry *Entry) {
	if len(x.order) >= answersKept {
		delete(x.answers, x.order[0])
		x.order = x.order[1:]
	}
	x.answers[entry.Key] = *entry
	x.order = append(x.order, entry.Key)
}

// forget drops what is from before the given moment.
func (x *index) forget(before time.Time) {
	for key, record := range x.open {
		if record.At.Before(before) {
			delete(x.open, key)
		}
	}
	x.finished.forget(uint32(max(0, before.Unix())))
}
