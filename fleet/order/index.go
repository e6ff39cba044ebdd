package order

import "time"

// index is what a log remembers of its keys. Finished keys are by far the
// most, so each takes few bytes; their answers are kept for the latest only and
// else read from their segment.
type index struct {
	open     map[Key]Record
	finished map[Key]finished
	answers  map[Key]Entry
	order    []Key // of answers, oldest first
}

// finished is the memory of one finished key.
type finished struct {
	digest  Digest
	segment uint32 // that holds the answer
	at      uint32 // seconds since 1970
}

// answersKept bounds the answers in memory of one log.
const answersKept = 256

// find returns what is known of a key, without its answer.
func (x *index) find(key Key) (Record, bool) {
	if record, ok := x.open[key]; ok {
		return record, true
	}
	if f, ok := x.finished[key]; ok {
		return Record{Digest: f.digest, Finished: true, At: time.Unix(int64(f.at), 0)}, true
	}
	return Record{}, false
}

// recent returns the entry with the answer of a key, if it is in memory.
func (x *index) recent(key Key) (Entry, bool) {
	entry, ok := x.answers[key]
	return entry, ok
}

func (x *index) segmentOf(key Key) uint64 { return uint64(x.finished[key].segment) }

// learn takes an entry of the given segment. An entry of an attempt that is
// not the key's open one changes nothing.
func (x *index) learn(entry *Entry, segment uint64) {
	if x.open == nil {
		x.open = make(map[Key]Record)
		x.finished = make(map[Key]finished)
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
	x.finished[entry.Key] = finished{record.Digest, uint32(segment), uint32(record.At.Unix())}
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

// forget drops those of the keys that are from before the given moment. A key
// that was claimed anew later stays.
func (x *index) forget(keys []Key, before time.Time) {
	for _, key := range keys {
		if record, ok := x.find(key); ok && !record.At.After(before) {
			delete(x.open, key)
			delete(x.finished, key)
		}
	}
}
