// Package cachestore tracks the contents of an external cache store that evicts
// nothing on its own.
//
// The store tracks neither readers nor whether a part is complete. A single
// owner, which keeps the Inventory, decides what is saved, read and freed.
// Each read is a lease: the engine discards what it has not fetched by the end
// of the lease, and until then the owner neither frees nor rewrites the part.
//
// Invariants:
//   - a part is read only after the store has reported it complete;
//   - a part is freed, or saved again after the store lost it, only when the
//     leases of all reads have ended, including those of an earlier owner;
//   - the reserved space never exceeds the capacity.
//
// Events of the store may be delayed or lost. Parts that stay unconfirmed for
// too long are reconciled with a full list of the store's contents.
//
// The package is used by hibiscusfront, mostly in package plan. The stores of hibiscusd
// are store hosts, see packages store and cache.
package cachestore

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
)

// A Part identifies a cached part of a prompt. The salt separates the callers
// that may share it from all others.
type Part struct {
	Salt string
	ID   prompt.PartID
}

type state uint8

const (
	saving     state = iota // space is reserved; may be partly written
	complete                // may be read
	freeing                 // a free was sent to the store
	freed                   // takes no space; the store's event is outstanding
	incomplete              // partly written by a save that ended, or a free of it had no effect; has to be freed
)

type item struct {
	state    state
	tokens   fleet.Tokens
	lastUsed fleet.Instant
	since    fleet.Instant // when state was entered
}

const (
	// blockTokens is the allocation unit of the store.
	blockTokens = 16
	// saveTimeout covers queueing and computing the prompt and sending the
	// part. After it, only a list shows whether the save succeeded.
	saveTimeout = 5 * time.Second
	// freeTimeout is how long a free may stay unconfirmed.
	freeTimeout = 1500 * time.Millisecond
	// listInterval is the minimum time between two lists, which load the
	// store.
	listInterval = 3 * time.Second
	// firstListInterval applies while the contents are unknown, because
	// nothing can be read before the first list.
	firstListInterval = 300 * time.Millisecond
	// freeShare is the share of the capacity that is kept free for saves.
	freeShare = 0.06
	// minIdleTime is how long a part must be unused before it is evicted for
	// space, so that a part is not freed right after it was saved.
	minIdleTime = 1 * time.Second
	// maxFreeBatch bounds the parts freed by one call.
	maxFreeBatch = 64
)

// An Inventory tracks the contents of one cache store. Until the zero value has
// received a list, its contents are unknown and it allows no reads or saves.
type Inventory struct {
	Capacity fleet.Tokens
	// ActiveFrom is when this owner may begin to save and free. Before it,
	// reads that an earlier owner allowed may be in progress.
	ActiveFrom fleet.Instant

	incarnation uint64
	listed      bool // a list was applied since the store last restarted or was unreachable
	listing     bool // a list is in progress
	eventsLost  bool // since the last list
	lastList    fleet.Instant
	nextEvent   uint64 // lower event numbers are covered by the last list
	items       map[Part]*item
	reserved    fleet.Tokens
	leases      map[Part]fleet.Instant // ends of the read leases
}

func roundToBlocks(tokens fleet.Tokens) fleet.Tokens {
	return (tokens + blockTokens - 1) / blockTokens * blockTokens
}

// Known reports whether the store's contents are known.
func (s *Inventory) Known() bool { return s.listed }

// Incarnation returns the incarnation of the store that the inventory covers.
func (s *Inventory) Incarnation() uint64 { return s.incarnation }

// Available returns the space that is not reserved.
func (s *Inventory) Available() fleet.Tokens { return s.Capacity - s.reserved }

// Readable reports whether the part is complete and may be read.
func (s *Inventory) Readable(p Part) bool {
	i, ok := s.items[p]
	return ok && i.state == complete && s.listed
}

// Contains reports whether the part is tracked, in whatever state.
func (s *Inventory) Contains(p Part) bool {
	_, ok := s.items[p]
	return ok
}

// LeaseRead protects a complete part from being freed or rewritten until end.
func (s *Inventory) LeaseRead(now fleet.Instant, p Part, end fleet.Instant) {
	if s.leases == nil {
		s.leases = make(map[Part]fleet.Instant)
	}
	s.leases[p] = max(s.leases[p], end)
	if i, ok := s.items[p]; ok {
		i.lastUsed = now
	}
}

// Reserve reserves space for a part and reports whether it may be saved.
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

// reset discards the items of an earlier incarnation. Leases are kept, because
// a part must not be rewritten while a reader may still fetch it.
func (s *Inventory) reset(incarnation uint64) {
	s.incarnation, s.listed, s.listing, s.eventsLost = incarnation, false, false, false
	clear(s.items)
	s.reserved = 0
}

// ApplyStored applies the event that the store holds the complete part.
func (s *Inventory) ApplyStored(now fleet.Instant, incarnation, number uint64, p Part, tokens fleet.Tokens) {
	if !s.syncIncarnation(incarnation) || number < s.nextEvent {
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

// ApplyRemoved applies the event that the store no longer holds the part.
func (s *Inventory) ApplyRemoved(incarnation, number uint64, p Part) {
	if s.syncIncarnation(incarnation) && number >= s.nextEvent {
		s.remove(p)
	}
}

// MarkEventsLost records that events were lost, so that a list is needed.
func (s *Inventory) MarkEventsLost() { s.eventsLost = true }

// MarkUnreachable records that the store does not answer. Its contents are
// unknown until the next list.
func (s *Inventory) MarkUnreachable() { s.listed, s.listing = false, false }

// SetIncarnation records the store's current incarnation.
func (s *Inventory) SetIncarnation(incarnation uint64) { s.syncIncarnation(incarnation) }

// syncIncarnation resets the inventory if the incarnation has changed, and
// reports whether the contents are known.
func (s *Inventory) syncIncarnation(incarnation uint64) bool {
	if s.incarnation != incarnation {
		s.reset(incarnation)
	}
	return s.listed
}

// An Entry is one part in a list of the store's contents.
type Entry struct {
	Part     Part
	Tokens   fleet.Tokens
	Complete bool
}

// ApplyList reconciles the inventory with a list that was requested at the
// given instant. Next is the number of the first event that the list does not
// cover.
func (s *Inventory) ApplyList(now, requested fleet.Instant, incarnation, next uint64, entries []Entry) {
	if s.incarnation != incarnation {
		s.reset(incarnation)
	}
	s.listing, s.lastList, s.nextEvent = false, now, next
	seen := make(map[Part]bool, len(entries))
	for _, e := range entries {
		seen[e.Part] = true
		i, ok := s.items[e.Part]
		switch {
		case !ok:
			initial := saving
			if e.Complete {
				initial = complete
			}
			s.put(e.Part, &item{state: initial, tokens: roundToBlocks(e.Tokens), lastUsed: now, since: now})
		case i.state == freeing && requested.Sub(i.since) > freeTimeout:
			i.state, i.since = incomplete, now // the free had no effect; send it again
		case i.state == freeing, i.state == freed:
		case e.Complete && i.state != complete:
			i.state, i.since = complete, now
		case !e.Complete && i.state == saving && requested.Sub(i.since) > saveTimeout:
			i.state, i.since = incomplete, now
		}
	}
	for p, i := range s.items {
		// A part reserved after the list was requested need not be on it.
		if !seen[p] && i.since < requested && (i.state != saving || requested.Sub(i.since) > saveTimeout) {
			s.remove(p)
		}
	}
	s.listed, s.eventsLost = true, false
}

// ListFailed records that a requested list failed.
func (s *Inventory) ListFailed(now fleet.Instant) { s.listing, s.lastList = false, now }

// StartList reports whether a list is due and, if so, marks it as in progress.
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

// overdue reports whether a save or a free has been unconfirmed for too long.
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

// StartEvictions returns the parts that the store must free now and marks them
// as being freed. Stale and incomplete parts are of no further use, so they come
// first and are freed regardless of the available space. Other parts are freed
// least recently used first, and only until freeShare of the capacity is available.
func (s *Inventory) StartEvictions(now fleet.Instant, stale func(Part) bool) []Part {
	if !s.listed || now < s.ActiveFrom {
		return nil
	}
	s.expireLeases(now)
	shortfall := fleet.Tokens(freeShare*float64(s.Capacity)) - s.Available()
	for _, i := range s.items {
		if i.state == freeing {
			shortfall -= i.tokens
		}
	}
	type candidate struct {
		part     Part
		item     *item
		unneeded bool // stale or incomplete
	}
	var candidates []candidate
	for p, i := range s.items {
		if i.state != complete && i.state != incomplete || now < s.leases[p] {
			continue
		}
		unneeded := i.state == incomplete || stale(p)
		if unneeded || shortfall > 0 && now.Sub(i.lastUsed) > minIdleTime {
			candidates = append(candidates, candidate{p, i, unneeded})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.unneeded != b.unneeded {
			if a.unneeded {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.item.lastUsed, b.item.lastUsed), cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Salt, b.part.Salt))
	})
	var victims []Part
	for _, c := range candidates {
		if len(victims) == maxFreeBatch || !c.unneeded && shortfall <= 0 {
			break
		}
		c.item.state, c.item.since = freeing, now
		shortfall -= c.item.tokens
		victims = append(victims, c.part)
	}
	return victims
}

// expireLeases deletes leases that have ended.
func (s *Inventory) expireLeases(now fleet.Instant) {
	for p, end := range s.leases {
		if now >= end {
			delete(s.leases, p)
		}
	}
}

// ConfirmFreed records that the store has freed the parts, which makes their
// space available at once. A part may be saved again only after the store's
// event for the free, so that a delayed event of the earlier copy is not
// attributed to the new one.
func (s *Inventory) ConfirmFreed(now fleet.Instant, incarnation uint64, parts []Part) {
	if s.incarnation != incarnation {
		return
	}
	for _, p := range parts {
		if i, ok := s.items[p]; ok && i.state == freeing {
			s.reserved -= i.tokens
			i.state, i.tokens, i.since = freed, 0, now
		}
	}
}
