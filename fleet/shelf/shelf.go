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
	saving     state = iota // room is reserved; may be partly written
	complete                // may be read
	freeing                 // the store was told to free it
	freed                   // takes no room; its event is still to come
	incomplete              // partly written, and nobody writes on
)

type item struct {
	state    state
	tokens   fleet.Tokens
	lastUsed fleet.Instant
	since    fleet.Instant // of the state
}

const (
	// block is how many tokens the store's memory is dealt out in.
	blockTokens = 16
	// savingTime is how long a save may take: the prompt waits, is read, and
	// is sent. After it, only a list tells what became of it.
	saveTimeout = 5 * time.Second
	// freeingTime is how long a free may stay unconfirmed.
	freeTimeout = 1500 * time.Millisecond
	// listPause is the shortest time between two lists, which cost the store
	// work.
	listInterval = 3 * time.Second
	// firstListPause is the pause when nothing can be read without a list.
	firstListInterval = 300 * time.Millisecond
	// lowWater is the share of the capacity that is kept free for saves.
	freeShare = 0.06
	// stillTime is how long a part without use is kept at least while room
	// is needed, so that a part is not freed right after it was saved.
	minIdleTime = 1 * time.Second
	// freeBatch bounds the parts of one call.
	maxFreeBatch = 64
)

// A Shelf is the account of one store. The zero value knows nothing of it and
// allows nothing.
type Inventory struct {
	Capacity fleet.Tokens
	// From is when this owner may begin to save and free: before it, reads
	// that an earlier owner allowed may go on.
	ActiveFrom fleet.Instant

	incarnation uint64
	listed      bool // a list of this life has been read
	listing     bool // a list is under way
	eventsLost  bool // events are missing
	lastList    fleet.Instant
	nextEvent   uint64 // events before this number are in the last list
	items       map[Part]*item
	reserved    fleet.Tokens
	leases      map[Part]fleet.Instant // ends of reads
}

func roundToBlocks(tokens fleet.Tokens) fleet.Tokens {
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

// Known reports whether the store's content is known.
func (s *Inventory) Known() bool { return s.listed }

// Life is the life of the store that the account is of.
func (s *Inventory) Incarnation() uint64 { return s.incarnation }

// Free is the room that is not reserved.
func (s *Inventory) Available() fleet.Tokens { return s.Capacity - s.reserved }

// Has reports whether the part is whole and may be read.
func (s *Inventory) Readable(p Part) bool {
	i, ok := s.items[p]
	return ok && i.state == complete && s.listed
}

// Holds reports whether the part takes room, whole or not.
func (s *Inventory) Contains(p Part) bool {
	_, ok := s.items[p]
	return ok
}

// Read takes a lease on a whole part.
func (s *Inventory) LeaseRead(now fleet.Instant, p Part, end fleet.Instant) {
	if s.leases == nil {
		s.leases = make(map[Part]fleet.Instant)
	}
	s.leases[p] = max(s.leases[p], end)
	if i, ok := s.items[p]; ok {
		i.lastUsed = now
	}
}

// Save reserves room for a part and reports whether it may be saved.
func (s *Inventory) Reserve(now fleet.Instant, p Part, tokens fleet.Tokens) bool {
	need := roundToBlocks(tokens)
	if !s.listed || now < s.ActiveFrom || s.Contains(p) || now < s.leases[p] || need > s.Available() {
		return false
	}
	s.put(p, &item{state: saving, tokens: need, lastUsed: now, since: now})
	return true
}

func (s *Inventory) put(p Part, i *item) {
	if s.items == nil {
		s.items = make(map[Part]*item)
	}
	s.remove(p)
	s.items[p] = i
	s.reserved += i.tokens
}

func (s *Inventory) remove(p Part) {
	if i, ok := s.items[p]; ok {
		s.reserved -= i.tokens
		delete(s.items, p)
	}
}

// begin forgets the items of an earlier life. Leases stay: what was allowed to
// be read must not be written anew under the reader.
func (s *Inventory) reset(life uint64) {
	s.incarnation, s.listed, s.listing, s.eventsLost = life, false, false, false
	clear(s.items)
	s.reserved = 0
}

// Stored takes the event, of a number, that the store holds the whole part.
func (s *Inventory) ApplyStored(now fleet.Instant, life, number uint64, p Part, tokens fleet.Tokens) {
	if !s.syncIncarnation(life) || number < s.nextEvent {
		return
	}
	i, ok := s.items[p]
	if !ok {
		s.put(p, &item{state: complete, tokens: roundToBlocks(tokens), lastUsed: now, since: now})
		return
	}
	if i.state == saving || i.state == incomplete {
		i.state, i.since = complete, now
	}
}

// Gone takes the event, of a number, that the store no longer holds the part.
func (s *Inventory) ApplyRemoved(life, number uint64, p Part) {
	if s.syncIncarnation(life) && number >= s.nextEvent {
		s.remove(p)
	}
}

// Missed notes that events are missing.
func (s *Inventory) MarkEventsLost() { s.eventsLost = true }

// Away notes that the store does not answer. What it holds is not known until
// it is listed again.
func (s *Inventory) MarkUnreachable() { s.listed, s.listing = false, false }

// Lives notes the store's life.
func (s *Inventory) SetIncarnation(life uint64) { s.syncIncarnation(life) }

func (s *Inventory) syncIncarnation(life uint64) bool {
	if s.incarnation != life {
		s.reset(life)
	}
	return s.listed
}

// An Entry is one line of a list.
type Entry struct {
	Part     Part
	Tokens   fleet.Tokens
	Complete bool
}

// Listed settles all doubt by a list that was asked for at the given moment.
// Next is the number of the first event that the list does not contain.
func (s *Inventory) ApplyList(now, asked fleet.Instant, life, next uint64, entries []Entry) {
	if s.incarnation != life {
		s.reset(life)
	}
	s.listing, s.lastList, s.nextEvent = false, now, next
	seen := make(map[Part]bool, len(entries))
	for _, e := range entries {
		seen[e.Part] = true
		i, ok := s.items[e.Part]
		switch {
		case !ok:
			first := saving
			if e.Complete {
				first = complete
			}
			s.put(e.Part, &item{state: first, tokens: roundToBlocks(e.Tokens), lastUsed: now, since: now})
		case i.state == freeing && asked.Sub(i.since) > freeTimeout:
			i.state, i.since = incomplete, now // the free did nothing; ask again
		case i.state == freeing, i.state == freed:
		case e.Complete && i.state != complete:
			i.state, i.since = complete, now
		case !e.Complete && i.state == saving && asked.Sub(i.since) > saveTimeout:
			i.state, i.since = incomplete, now
		}
	}
	for p, i := range s.items {
		// What was reserved after the list was asked for need not be on it.
		if !seen[p] && i.since < asked && (i.state != saving || asked.Sub(i.since) > saveTimeout) {
			s.remove(p)
		}
	}
	s.listed, s.eventsLost = true, false
}

// ListFailed notes that a list that was asked for did not come.
func (s *Inventory) ListFailed(now fleet.Instant) { s.listing, s.lastList = false, now }

// NeedsList reports whether a list is due, and notes that it is asked for.
func (s *Inventory) StartList(now fleet.Instant) bool {
	pause := listInterval
	if !s.listed {
		pause = firstListInterval
	}
	if s.listing || s.lastList > 0 && now.Sub(s.lastList) < pause {
		return false
	}
	if !s.listed || s.eventsLost || s.overdue(now) {
		s.listing = true
		return true
	}
	return false
}

func (s *Inventory) overdue(now fleet.Instant) bool {
	for _, i := range s.items {
		age := now.Sub(i.since)
		unconfirmed := i.state == freeing || i.state == freed
		if i.state == saving && age > saveTimeout || unconfirmed && age > freeTimeout {
			return true
		}
	}
	return false
}

// Victims returns parts that the store shall free now, least useful first, so
// that the low water mark is kept. Stale parts are of no use to anybody and go
// first, whatever room there is.
func (s *Inventory) StartEvictions(now fleet.Instant, stale func(Part) bool) []Part {
	if !s.listed || now < s.ActiveFrom {
		return nil
	}
	s.expire(now)
	short := fleet.Tokens(freeShare*float64(s.Capacity)) - s.Available()
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
		if i.state != complete && i.state != incomplete || now < s.leases[p] {
			continue
		}
		old := i.state == incomplete || stale(p)
		if old || short > 0 && now.Sub(i.lastUsed) > minIdleTime {
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
		return cmp.Or(cmp.Compare(a.item.lastUsed, b.item.lastUsed), cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Salt, b.part.Salt))
	})
	var victims []Part
	for _, c := range candidates {
		if len(victims) == maxFreeBatch || !c.stale && short <= 0 {
			break
		}
		c.item.state, c.item.since = freeing, now
		short -= c.item.tokens
		victims = append(victims, c.part)
	}
	return victims
}

// expire forgets leases that are over.
func (s *Inventory) expire(now fleet.Instant) {
	for p, end := range s.leases {
		if now >= end {
			delete(s.leases, p)
		}
	}
}

// Freed notes that the store has freed the parts. Their room is free at once.
// A part may be saved anew only after the store's event of the free, so that no
// event of its earlier stay can be taken for one of the new.
func (s *Inventory) ConfirmFreed(now fleet.Instant, life uint64, parts []Part) {
	if s.incarnation != life {
		return
	}
	for _, p := range parts {
		if i, ok := s.items[p]; ok && i.state == freeing {
			s.reserved -= i.tokens
			i.state, i.tokens, i.since = freed, 0, now
		}
	}
}
