package order

import "time"

// An index holds the state of each key of a log. By far the most keys are
// finished and are stored compactly in an archive. Only the most recent answers
// are cached; older ones are read from their segment.
type index struct {
	open        map[Key]KeyState // claimed keys without a recorded outcome
	finished    archive
	answers     map[Key]Entry // cached Finish entries
	answerOrder []Key         // keys of answers, oldest first
}

// maxCachedAnswers bounds the number of answers that a log keeps in memory.
const maxCachedAnswers = 256

// lookup returns the state of a key, without its answer.
func (x *index) lookup(key Key) (KeyState, bool) {
	if state, ok := x.open[key]; ok {
		return state, true
	}
	if f, ok := x.finished.lookup(key); ok {
		return KeyState{Digest: f.digest, Finished: true, ClaimTime: time.Unix(int64(f.claimedAt), 0)}, true
	}
	return KeyState{}, false
}

// cachedAnswer returns the Finish entry of a key if it is in memory.
func (x *index) cachedAnswer(key Key) (Entry, bool) {
	entry, ok := x.answers[key]
	return entry, ok
}

// segmentOf returns the number of the segment that holds the answer of a finished key.
func (x *index) segmentOf(key Key) uint64 {
	f, _ := x.finished.lookup(key)
	return uint64(f.segment)
}

// apply updates the index with an entry of the given segment. A Finish or Release
// of an attempt other than the key's open one has no effect.
func (x *index) apply(entry *Entry, segment uint64) {
	if x.open == nil {
		x.open = make(map[Key]KeyState)
		x.answers = make(map[Key]Entry)
	}
	if entry.Kind == Claim {
		x.open[entry.Key] = KeyState{Digest: entry.Digest, Attempt: entry.Attempt, ClaimTime: time.Unix(entry.At, 0)}
		return
	}
	state, ok := x.open[entry.Key]
	if !ok || state.Attempt != entry.Attempt {
		return
	}
	delete(x.open, entry.Key)
	if entry.Kind == Release {
		return
	}
	x.finished.add(finishedKey{entry.Key, state.Digest, uint32(segment), uint32(state.ClaimTime.Unix())})
	x.cacheAnswer(entry)
}

// cacheAnswer caches an answer and evicts the oldest one if the cache is full.
func (x *index) cacheAnswer(entry *Entry) {
	if len(x.answerOrder) >= maxCachedAnswers {
		delete(x.answers, x.answerOrder[0])
		x.answerOrder = x.answerOrder[1:]
	}
	x.answers[entry.Key] = *entry
	x.answerOrder = append(x.answerOrder, entry.Key)
}

// dropBefore removes the keys that were claimed before the given time. The archive keeps
// some of the finished ones for longer.
func (x *index) dropBefore(before time.Time) {
	for key, state := range x.open {
		if state.ClaimTime.Before(before) {
			delete(x.open, key)
		}
	}
	x.finished.dropBefore(uint32(max(0, before.Unix())))
}
