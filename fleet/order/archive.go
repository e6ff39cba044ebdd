package order

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// A finishedKey is the memory of one finished key.
type finishedKey struct {
	key       Key
	digest    Digest
	segment   uint32 // that holds the answer
	claimedAt uint32 // seconds since 1970 of the claim
}

// runLen is how many lines are sorted into one run.
const runLen = 8192

// archive remembers finished keys in 32 bytes each: the latest in a map, the
// others in sorted runs, the newest run last. A key that was claimed anew
// after its retention stands in several runs; the newest counts.
type archive struct {
	recent map[Key]finishedKey
	runs   []run
}

type run struct {
	lines  []finishedKey
	newest uint32
}

// lookup returns the latest line of the key.
func (a *archive) lookup(key Key) (finishedKey, bool) {
	if l, ok := a.recent[key]; ok {
		return l, true
	}
	for i := len(a.runs) - 1; i >= 0; i-- {
		if l, ok := a.runs[i].lookup(key); ok {
			return l, true
		}
	}
	return finishedKey{}, false
}

func (r *run) lookup(key Key) (finishedKey, bool) {
	i, ok := sort.Find(len(r.lines), func(i int) int { return bytes.Compare(key[:], r.lines[i].key[:]) })
	if !ok {
		return finishedKey{}, false
	}
	return r.lines[i], true
}

// add remembers a line.
func (a *archive) add(l finishedKey) {
	if a.recent == nil {
		a.recent = make(map[Key]finishedKey, runLen)
	}
	a.recent[l.key] = l
	if len(a.recent) < runLen {
		return
	}
	lines := make([]finishedKey, 0, len(a.recent))
	newest := uint32(0)
	for _, recent := range a.recent {
		lines = append(lines, recent)
		newest = max(newest, recent.claimedAt)
	}
	slices.SortFunc(lines, func(x, y finishedKey) int {
		return cmp.Or(bytes.Compare(x.key[:], y.key[:]), cmp.Compare(x.claimedAt, y.claimedAt))
	})
	a.runs = append(a.runs, run{lines, newest})
	clear(a.recent)
}

// dropBefore drops what is older than the moment, in seconds since 1970. Runs are
// dropped whole, so some lines stay for longer.
func (a *archive) dropBefore(before uint32) {
	for len(a.runs) > 0 && a.runs[0].newest < before {
		a.runs = a.runs[1:]
	}
	for key, l := range a.recent {
		if l.claimedAt < before {
			delete(a.recent, key)
		}
	}
}
