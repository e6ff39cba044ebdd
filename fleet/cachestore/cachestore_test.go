package cachestore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/proptest"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func part(id string) cachestore.Part { return cachestore.Part{Salt: "m@1", ID: prompt.PartID(id)} }

// noneStale is an argument of StartEvictions by which no part is stale.
func noneStale(cachestore.Part) bool { return false }

// newListedInventory returns an inventory to which a list of an empty store was
// applied.
func newListedInventory(capacity fleet.Tokens) *cachestore.Inventory {
	s := &cachestore.Inventory{Capacity: capacity}
	s.StartList(at(0))
	s.ApplyList(at(0), at(0), 1, 0, nil)
	return s
}

func ExampleInventory() {
	s := newListedInventory(1000)
	fmt.Println(s.Reserve(at(0), part("a"), 100), s.Readable(part("a")))
	s.ApplyStored(at(time.Second), 1, 1, part("a"), 100) // the store's event
	fmt.Println(s.Readable(part("a")), s.Available())
	// Output:
	// true false
	// true 888
}

func TestNothingIsReadableOrReservableBeforeFirstList(t *testing.T) {
	s := &cachestore.Inventory{Capacity: 1000}
	s.ApplyStored(at(0), 1, 1, part("a"), 100)
	require.False(t, s.Readable(part("a")))
	require.False(t, s.Reserve(at(0), part("b"), 100))
}

func TestReadLeasePreventsEviction(t *testing.T) {
	s := newListedInventory(1000)
	s.Reserve(at(0), part("a"), 960)
	s.ApplyStored(at(0), 1, 1, part("a"), 960)
	s.LeaseRead(at(2*time.Second), part("a"), at(4*time.Second))
	require.Empty(t, s.StartEvictions(at(3500*time.Millisecond), noneStale))
	require.Equal(t, []cachestore.Part{part("a")}, s.StartEvictions(at(4*time.Second), noneStale))
	require.False(t, s.Readable(part("a")), "a part that is being freed must not be readable")
}

// A delayed event of the earlier copy of a part must not make a new save look
// complete.
func TestFreedPartIsReservableOnlyAfterItsRemovalEvent(t *testing.T) {
	s := newListedInventory(1000)
	s.Reserve(at(0), part("a"), 960)
	s.ApplyStored(at(0), 1, 1, part("a"), 960)
	victims := s.StartEvictions(at(2*time.Second), noneStale)
	s.ConfirmFreed(at(2*time.Second), 1, victims)
	require.Equal(t, fleet.Tokens(1000), s.Available())
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 960))
	s.ApplyRemoved(1, 2, part("a"))
	require.True(t, s.Reserve(at(2*time.Second), part("a"), 960))
}

func TestEventsCoveredByAListAreIgnored(t *testing.T) {
	s := newListedInventory(1000)
	s.MarkEventsLost()
	require.True(t, s.StartList(at(10*time.Second)))
	s.ApplyList(at(10*time.Second), at(10*time.Second), 1, 7, nil)
	s.ApplyStored(at(11*time.Second), 1, 6, part("a"), 100)
	require.False(t, s.Readable(part("a")))
	s.ApplyStored(at(11*time.Second), 1, 7, part("a"), 100)
	require.True(t, s.Readable(part("a")))
}

func TestReadLeaseSurvivesStoreRestart(t *testing.T) {
	s := newListedInventory(1000)
	s.Reserve(at(0), part("a"), 100)
	s.ApplyStored(at(0), 1, 1, part("a"), 100)
	s.LeaseRead(at(time.Second), part("a"), at(3*time.Second))
	s.SetIncarnation(2)
	s.ApplyList(at(1500*time.Millisecond), at(1500*time.Millisecond), 2, 0, nil)
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 100), "a reader could fetch the partly written part")
	require.True(t, s.Reserve(at(3*time.Second), part("a"), 100))
}

func TestNewOwnerReservesNothingBeforeActiveFrom(t *testing.T) {
	s := newListedInventory(1000)
	s.ActiveFrom = at(3 * time.Second)
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 100))
	require.True(t, s.Reserve(at(3*time.Second), part("a"), 100))
}

func TestStalePartsAreEvictedRegardlessOfSpace(t *testing.T) {
	s := newListedInventory(10_000)
	for i := range 3 {
		p := part(fmt.Sprint(i))
		s.Reserve(at(0), p, 100)
		s.ApplyStored(at(0), 1, uint64(i), p, 100)
	}
	stale := func(p cachestore.Part) bool { return p == part("1") }
	require.Equal(t, []cachestore.Part{part("1")}, s.StartEvictions(at(time.Second), stale), "there is enough space for the others")
}

// storedPart is the actual state of a part in the store.
type storedPart struct {
	written bool
	tokens  fleet.Tokens
}

// event is an event that the store has not delivered yet.
type event struct {
	number      uint64
	part        cachestore.Part
	removed     bool
	tokens      fleet.Tokens
	incarnation uint64
}

// activeRead is a fetch that the owner has allowed.
type activeRead struct {
	part cachestore.Part
	end  fleet.Instant
}

// store models a store that evicts nothing on its own, with engines that write
// to it and read from it. Its events are delayed, and some are lost.
type store struct {
	now         fleet.Instant
	incarnation uint64
	nextEvent   uint64
	parts       map[cachestore.Part]*storedPart
	events      []event
	saves       []cachestore.Part // granted and not begun
	activeReads []activeRead
}

func (s *store) enqueueEvent(p cachestore.Part, removed bool, tokens fleet.Tokens) {
	s.events = append(s.events, event{s.nextEvent, p, removed, tokens, s.incarnation})
	s.nextEvent++
}

// TestReadersNeverFetchIncompleteParts drives an inventory against a store that
// restarts, loses events and answers late. While a read is in progress, its
// part must be either complete or absent.
func TestReadersNeverFetchIncompleteParts(t *testing.T) {
	proptest.Check(t, 300, 300, func(t *rapid.T) {
		const capacity = 640
		s := &store{now: at(0), incarnation: 1, parts: make(map[cachestore.Part]*storedPart)}
		owner := &cachestore.Inventory{Capacity: capacity}
		drawPart := func(t *rapid.T) cachestore.Part {
			return part(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "part"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"save": func(t *rapid.T) {
				if p := drawPart(t); owner.Reserve(s.now, p, 160) {
					s.saves = append(s.saves, p)
				}
			},
			"begin to write": func(t *rapid.T) {
				if len(s.saves) == 0 {
					return
				}
				p := s.saves[0]
				s.saves = s.saves[1:]
				if rapid.IntRange(0, 5).Draw(t, "fate") == 0 || s.parts[p] != nil {
					return // the request failed before the write
				}
				if (len(s.parts)+1)*160 > capacity {
					return // the store discards a save without space
				}
				s.parts[p] = &storedPart{tokens: 160}
			},
			"end a write": func(t *rapid.T) {
				p := drawPart(t)
				if k := s.parts[p]; k != nil && !k.written {
					k.written = true
					s.enqueueEvent(p, false, k.tokens)
				}
			},
			"read": func(t *rapid.T) {
				if p := drawPart(t); owner.Readable(p) {
					end := s.now.Add(2500 * time.Millisecond)
					owner.LeaseRead(s.now, p, end)
					s.activeReads = append(s.activeReads, activeRead{p, end})
				}
			},
			"free": func(t *rapid.T) {
				incarnation := owner.Incarnation()
				victims := owner.StartEvictions(s.now, noneStale)
				fate := rapid.IntRange(0, 3).Draw(t, "fate")
				if len(victims) == 0 || fate == 0 || incarnation != s.incarnation {
					return
				}
				for _, p := range victims {
					if s.parts[p] != nil {
						delete(s.parts, p)
						s.enqueueEvent(p, true, 0)
					}
				}
				if fate > 1 {
					owner.ConfirmFreed(s.now, incarnation, victims)
				}
			},
			"event": func(t *rapid.T) {
				if len(s.events) == 0 {
					return
				}
				e := s.events[0]
				s.events = s.events[1:]
				switch {
				case e.incarnation != s.incarnation, rapid.IntRange(0, 9).Draw(t, "lost") == 0:
					owner.SetIncarnation(s.incarnation)
				case e.removed:
					owner.ApplyRemoved(e.incarnation, e.number, e.part)
				default:
					owner.ApplyStored(s.now, e.incarnation, e.number, e.part, e.tokens)
				}
			},
			"list": func(t *rapid.T) {
				if !owner.StartList(s.now) {
					return
				}
				var entries []cachestore.Entry
				for p, k := range s.parts {
					entries = append(entries, cachestore.Entry{Part: p, Tokens: k.tokens, Complete: k.written})
				}
				owner.ApplyList(s.now, s.now, s.incarnation, s.nextEvent, entries)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				s.incarnation++
				s.parts, s.saves = make(map[cachestore.Part]*storedPart), nil
			},
			"": func(t *rapid.T) {
				if owner.Available() < 0 {
					t.Fatalf("%d tokens more than the capacity are reserved", -owner.Available())
				}
				for _, r := range s.activeReads {
					if k := s.parts[r.part]; s.now < r.end && k != nil && !k.written {
						t.Fatalf("read of part %s in progress while it is partly written", r.part.ID)
					}
				}
			},
		})
	})
}
