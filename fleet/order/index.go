package order

import "time"

// index is what a log remembers of its keys. Finished keys are by far the
// most, see archive; their answers are kept for the latest only and else read
// from their segment.
type index struct {
	open        map[Key]KeyState
	finished    archive
	answers     map[Key]Entry
	answerOrder []Key // of answers, oldest first
}

// maxCachedAnswers bounds the answers in memory of one log.
const maxCachedAnswers = 256

// lookup returns what is known of a key, without its answer.
func (x *index) lookup(key Key) (KeyState, bool) {
	if record, ok := x.open[key]; ok {
		return record, true
	}
	if l, ok := x.finished.lookup(key); ok {
		return KeyState{Digest: l.digest, Finished: true, ClaimTime: time.Unix(int64(l.claimedAt), 0)}, true
	}
	return KeyState{}, false
}

// cachedAnswer returns the entry with the answer of a key, if it is in memory.
func (x *index) cachedAnswer(key Key) (Entry, bool) {
	entry, ok := x.answers[key]
	return entry, ok
}

// segmentOf returns the segment that holds the answer of a finished key.
func (x *index) segmentOf(key Key) uint64 {
	l, _ := x.finished.lookup(key)
	return uint64(l.segment)
}

// apply takes an entry of the given segment. An entry of an attempt that is
// not the key's open one changes nothing.
func (x *index) apply(entry *Entry, segment uint64) {
	if x.open == nil {
		x.open = make(map[Key]KeyState)
		x.answers = make(map[Key]Entry)
	}
	if entry.Kind == Claim {
		x.open[entry.Key] = KeyState{Digest: entry.Digest, Attempt: entry.Attempt, ClaimTime: time.Unix(entry.At, 0)}
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
	x.finished.add(finishedKey{entry.Key, record.Digest, uint32(segment), uint32(record.ClaimTime.Unix())})
	x.cacheAnswer(entry)
}

// cacheAnswer remembers an answer and forgets the oldest.
func (x *index) cacheAnswer(entry *Entry) {
	if len(x.answerOrder) >= maxCachedAnswers {
		delete(x.answers, x.answerOrder[0])
		x.answerOrder = x.answerOrder[1:]
	}
	x.answers[entry.Key] = *entry
	x.answerOrder = append(x.answerOrder, entry.Key)
}

// dropBefore drops what is from before the given moment.
func (x *index) dropBefore(before time.Time) {
	for key, record := range x.open {
		if record.ClaimTime.Before(before) {
			delete(x.open, key)
		}
	}
	x.finished.dropBefore(uint32(max(0, before.Unix())))
}
