// Package shelf keeps account of a store of kept cache that drops nothing on
// its own.
//
// The store knows neither who reads nor whether a part is whole. One owner
// decides what is saved, read and freed. Each read is a lease: the engine
// throws away what it has not fetched by the end that it was told, and until
// then the owner leaves the part alone.
//
// Invariants:
//   - a part is read only after the store has said that it is whole;
//   - a part is freed, or saved anew after the store lost it, only when the
//     leases of all reads are over, those of an earlier owner included;
//   - the room that is reserved never exceeds the capacity.
//
// Events of the store come late and some never come. What stays in doubt for
// long is settled by a list of all that the store holds.
package shelf

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
)

// A Part names what is kept: a part of a prompt, under the salt of those who
// may use it.
type Part struct {
	Salt string
	ID   prompt.PartID
}

type state uint8

const (
	saving  state = iota // room is reserved; may be partly written
	whole                // may be read
	freeing              // the store was told to free it
	freed                // takes no room; its event is still to come
	broken               // partly written, and nobody writes on
)

type item struct {
	state  state
	tokens fleet.Tokens
	used   fleet.Instant
	since  fleet.Instant // of the state
}

const (
	// block is how many tokens the store's memory is dealt out in.
	block = 16
	// savingTime is how long a save may take: the prompt waits, is read, and
	// is sent. After it, only a list tells what became of it.
	savingTime = 5 * time.Second
	// freeingTime is how long a free may stay unconfirmed.
	freeingTime = 1500 * time.Millisecond
	// listPause is the shortest time between two lists, which cost the store
	// work.
	listPause = 3 * time.Second
	// firstListPause is the pause when nothing can be read without a list.
	firstListPause = 300 * time.Millisecond
	// lowWater is the share of the capacity that is kept free for saves.
	lowWater = 0.06
	// stillTime is how long a part without use is kept at least while room
	// is needed, so that a part is not freed right after it was saved.
	stillTime = 1 * time.Second
	// freeBatch bounds the parts of one call.
	freeBatch = 64
)

// A Shelf is the account of one store. The zero value knows nothing of it and
// allows nothing.
type Shelf struct {
	Capacity fleet.Tokens
	// From is when this owner may begin to save and free: before it, reads
	// that an earlier owner allowed may go on.
	From fleet.Instant

	life     uint64
	listed   bool // a list of this life has been read
	asked    bool // a list is under way
	doubt    bool // events are missing
	lastList fleet.Instant
	after    uint64 // events before this number are in the last list
	items    map[Part]*item
	reserved fleet.Tokens
	leases   map[Part]fleet.Instant // ends of reads
}

func round(tokens fleet.Tokens) fleet.Tokens { return (tokens + block - 1) / block * block }

// Known reports whether the store's content is known.
func (s *Shelf) Known() bool { return s.listed }

// Life is the life of the store that the account is of.
func (s *Shelf) Life() uint64 { return s.life }

// Free is the room that is not reserved.
func (s *Shelf) Free() fleet.Tokens { return s.Capacity - s.reserved }

// Has reports whether the part is whole and may be read.
func (s *Shelf) Has(p Part) bool {
	i, ok := s.items[p]
	return ok && i.state == whole && s.listed
}

// Holds reports whether the part takes room, whole or not.
func (s *Shelf) Holds(p Part) bool {
	_, ok := s.items[p]
	return ok
}

// Read takes a lease on a whole part.
func (s *Shelf) Read(now fleet.Instant, p Part, end fleet.Instant) {
	if s.leases == nil {
		s.leases = make(map[Part]fleet.Instant)
	}
	s.leases[p] = max(s.leases[p], end)
	if i, ok := s.items[p]; ok {
		i.used = now
	}
}

// Save reserves room for a part and reports whether it may be saved.
func (s *Shelf) Save(now fleet.Instant, p Part, tokens fleet.Tokens) bool {
	need := round(tokens)
	if !s.listed || now < s.From || s.Holds(p) || now < s.leases[p] || need > s.Free() {
		return false
	}
	s.put(p, &item{state: saving, tokens: need, used: now, since: now})
	return true
}

func (s *Shelf) put(p Part, i *item) {
	if s.items == nil {
		s.items = make(map[Part]*item)
	}
	s.drop(p)
	s.items[p] = i
	s.reserved += i.tokens
}

func (s *Shelf) drop(p Part) {
	if i, ok := s.items[p]; ok {
		s.reserved -= i.tokens
		delete(s.items, p)
	}
}

// begin forgets the items of an earlier life. Leases stay: what was allowed to
// be read must not be written anew under the reader.
func (s *Shelf) begin(life uint64) {
	s.life, s.listed, s.asked, s.doubt = life, false, false, false
	clear(s.items)
	s.reserved = 0
}

// Stored takes the event, of a number, that the store holds the whole part.
func (s *Shelf) Stored(now fleet.Instant, life, number uint64, p Part, tokens fleet.Tokens) {
	if !s.sameLife(life) || number < s.after {
		return
	}
	i, ok := s.items[p]
	if !ok {
		s.put(p, &item{state: whole, tokens: round(tokens), used: now, since: now})
		return
	}
	if i.state == saving || i.state == broken {
		i.state, i.since = whole, now
	}
}

// Gone takes the event, of a number, that the store no longer holds the part.
func (s *Shelf) Gone(life, number uint64, p Part) {
	if s.sameLife(life) && number >= s.after {
		s.drop(p)
	}
}

// Missed notes that events are missing.
func (s *Shelf) Missed() { s.doubt = true }

// Away notes that the store does not answer. What it holds is not known until
// it is listed again.
func (s *Shelf) Away() { s.listed, s.asked = false, false }

// Lives notes the store's life.
func (s *Shelf) Lives(life uint64) { s.sameLife(life) }

func (s *Shelf) sameLife(life uint64) bool {
	if s.life != life {
		s.begin(life)
	}
	return s.listed
}

// An Entry is one line of a list.
type Entry struct {
	Part   Part
	Tokens fleet.Tokens
	Whole  bool
}

// Listed settles all doubt by a list that was asked for at the given moment.
// Next is the number of the first event that the list does not contain.
func (s *Shelf) Listed(now, asked fleet.Instant, life, next uint64, entries []Entry) {
	if s.life != life {
		s.begin(life)
	}
	s.asked, s.lastList, s.after = false, now, next
	seen := make(map[Part]bool, len(entries))
	for _, e := range entries {
		seen[e.Part] = true
		i, ok := s.items[e.Part]
		switch {
		case !ok:
			first := saving
			if e.Whole {
				first = whole
			}
			s.put(e.Part, &item{state: first, tokens: round(e.Tokens), used: now, since: now})
		case i.state == freeing && asked.Sub(i.since) > freeingTime:
			i.state, i.since = broken, now // the free did nothing; ask again
		case i.state == freeing, i.state == freed:
		case e.Whole && i.state != whole:
			i.state, i.since = whole, now
		case !e.Whole && i.state == saving && asked.Sub(i.since) > savingTime:
			i.state, i.since = broken, now
		}
	}
	for p, i := range s.items {
		// What was reserved after the list was asked for need not be on it.
		if !seen[p] && i.since < asked && (i.state != saving || asked.Sub(i.since) > savingTime) {
			s.drop(p)
		}
	}
	s.listed, s.doubt = true, false
}

// ListFailed notes that a list that was asked for did not come.
func (s *Shelf) ListFailed(now fleet.Instant) { s.asked, s.lastList = false, now }

// NeedsList reports whether a list is due, and notes that it is asked for.
func (s *Shelf) NeedsList(now fleet.Instant) bool {
	pause := listPause
	if !s.listed {
		pause = firstListPause
	}
	if s.asked || s.lastList > 0 && now.Sub(s.lastList) < pause {
		return false
	}
	if !s.listed || s.doubt || s.overdue(now) {
		s.asked = true
		return true
	}
	return false
}

func (s *Shelf) overdue(now fleet.Instant) bool {
	for _, i := range s.items {
		age := now.Sub(i.since)
		unconfirmed := i.state == freeing || i.state == freed
		if i.state == saving && age > savingTime || unconfirmed && age > freeingTime {
			return true
		}
	}
	return false
}

// Victims returns parts that the store shall free now, least useful first, so
// that the low water mark is kept. Stale parts are of no use to anybody and go
// first, whatever room there is.
func (s *Shelf) Victims(now fleet.Instant, stale func(Part) bool) []Part {
	if !s.listed || now < s.From {
		return nil
	}
	s.expire(now)
	short := fleet.Tokens(lowWater*float64(s.Capacity)) - s.Free()
	for _, i := range s.items {
		if i.state == freeing {
			short -= i.tokens
		}
	}
	type candidate struct {
		part  Part
		item  *item
		stale bool
	}
	var candidates []candidate
	for p, i := range s.items {
		if i.state != whole && i.state != broken || now < s.leases[p] {
			continue
		}
		old := i.state == broken || stale(p)
		if old || short > 0 && now.Sub(i.used) > stillTime {
			candidates = append(candidates, candidate{p, i, old})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.stale != b.stale {
			if a.stale {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.item.used, b.item.used), cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Salt, b.part.Salt))
	})
	var victims []Part
	for _, c := range candidates {
		if len(victims) == freeBatch || !c.stale && short <= 0 {
			break
		}
		c.item.state, c.item.since = freeing, now
		short -= c.item.tokens
		victims = append(victims, c.part)
	}
	return victims
}

// expire forgets leases that are over.
func (s *Shelf) expire(now fleet.Instant) {
	for p, end := range s.leases {
		if now >= end {
			delete(s.leases, p)
		}
	}
}

// Freed notes that the store has freed the parts. Their room is free at once.
// A part may be saved anew only after the store's event of the free, so that no
// event of its earlier stay can be taken for one of the new.
func (s *Shelf) Freed(now fleet.Instant, life uint64, parts []Part) {
	if s.life != life {
		return
	}
	for _, p := range parts {
		if i, ok := s.items[p]; ok && i.state == freeing {
			s.reserved -= i.tokens
			i.state, i.tokens, i.since = freed, 0, now
		}
	}
}
