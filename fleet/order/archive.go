package order

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// A line is the memory of one finished key.
type line struct {
	key     Key
	digest  Digest
	segment uint32 // that holds the answer
	at      uint32 // seconds since 1970 of the claim
}

// runLength is how many lines are sorted into one run.
const runLength = 8192

// archive remembers finished keys in 32 bytes each: the latest in a map, the
// others in sorted runs, the newest run last. A key that was claimed anew
// after its retention stands in several runs; the newest counts.
type archive struct {
	recent map[Key]line
	runs   []run
}

type run struct {
	lines  []line
	newest uint32
}

// find returns the latest line of the key.
func (a *archive) find(key Key) (line, bool) {
	if l, ok := a.recent[key]; ok {
		return l, true
	}
	for i := len(a.runs) - 1; i >= 0; i-- {
		if l, ok := a.runs[i].find(key); ok {
			return l, true
		}
	}
	return line{}, false
}

func (r *run) find(key Key) (line, bool) {
	i, ok := sort.Find(len(r.lines), func(i int) int { return bytes.Compare(key[:], r.lines[i].key[:]) })
	if !ok {
		return line{}, false
	}
	return r.lines[i], true
}

// add remembers a line.
func (a *archive) add(l line) {
	if a.recent == nil {
		a.recent = make(map[Key]line, runLength)
	}
	a.recent[l.key] = l
	if len(a.recent) < runLength {
		return
	}
	lines := make([]line, 0, len(a.recent))
	newest := uint32(0)
	for _, recent := range a.recent {
		lines = append(lines, recent)
		newest = max(newest, recent.at)
	}
	slices.SortFunc(lines, func(x, y line) int { return cmp.Or(bytes.Compare(x.key[:], y.key[:]), cmp.Compare(x.at, y.at)) })
	a.runs = append(a.runs, run{lines, newest})
	clear(a.recent)
}

// forget drops what is older than the moment, in seconds since 1970. Runs are
// dropped whole, so some lines stay for longer.
func (a *archive) forget(before uint32) {
	for len(a.runs) > 0 && a.runs[0].newest < before {
		a.runs = a.runs[1:]
	}
	for key, l := range a.recent {
		if l.at < before {
			delete(a.recent, key)
		}
	}
}
