package order

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// A finishedKey records that a key has finished and where its answer is stored.
type finishedKey struct {
	key       Key
	digest    Digest
	segment   uint32 // number of the segment that holds the answer
	claimedAt uint32 // time of the claim, in seconds since 1970
}

// runLen is the number of keys in a sorted run.
const runLen = 8192

// An archive stores finished keys in 32 bytes each: the most recent ones in a
// map, the others in sorted runs, newest run last. A key that was claimed again
// after its retention occurs in several runs; the newest run takes precedence.
type archive struct {
	recent map[Key]finishedKey
	runs   []run
}

// A run is a sequence of finished keys, sorted by key.
type run struct {
	keys   []finishedKey
	newest uint32 // latest claimedAt of the keys
}

// lookup returns the most recent entry of the key.
func (a *archive) lookup(key Key) (finishedKey, bool) {
	if f, ok := a.recent[key]; ok {
		return f, true
	}
	for i := len(a.runs) - 1; i >= 0; i-- {
		if f, ok := a.runs[i].lookup(key); ok {
			return f, true
		}
	}
	return finishedKey{}, false
}

func (r *run) lookup(key Key) (finishedKey, bool) {
	i, ok := sort.Find(len(r.keys), func(i int) int { return bytes.Compare(key[:], r.keys[i].key[:]) })
	if !ok {
		return finishedKey{}, false
	}
	return r.keys[i], true
}

// add inserts a finished key. A full map of recent keys becomes a new run.
func (a *archive) add(f finishedKey) {
	if a.recent == nil {
		a.recent = make(map[Key]finishedKey, runLen)
	}
	a.recent[f.key] = f
	if len(a.recent) < runLen {
		return
	}
	keys := make([]finishedKey, 0, len(a.recent))
	newest := uint32(0)
	for _, recent := range a.recent {
		keys = append(keys, recent)
		newest = max(newest, recent.claimedAt)
	}
	slices.SortFunc(keys, func(x, y finishedKey) int {
		return cmp.Or(bytes.Compare(x.key[:], y.key[:]), cmp.Compare(x.claimedAt, y.claimedAt))
	})
	a.runs = append(a.runs, run{keys, newest})
	clear(a.recent)
}

// dropBefore removes the keys that were claimed before the given time, in seconds
// since 1970. Runs are removed as a whole, oldest first, so some older keys remain.
func (a *archive) dropBefore(before uint32) {
	for len(a.runs) > 0 && a.runs[0].newest < before {
		a.runs = a.runs[1:]
	}
	for key, f := range a.recent {
		if f.claimedAt < before {
			delete(a.recent, key)
		}
	}
}
