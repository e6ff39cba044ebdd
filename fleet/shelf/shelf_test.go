package shelf_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/shelf"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func part(id string) shelf.Part { return shelf.Part{Salt: "m@1", ID: prompt.PartID(id)} }

func fresh(shelf.Part) bool { return false }

// listed returns a shelf of an empty store.
func listed(capacity fleet.Tokens) *shelf.Inventory {
	s := &shelf.Inventory{Capacity: capacity}
	s.StartList(at(0))
	s.ApplyList(at(0), at(0), 1, 0, nil)
	return s
}

func ExampleInventory() {
	s := listed(1000)
	fmt.Println(s.Reserve(at(0), part("a"), 100), s.Readable(part("a")))
	s.ApplyStored(at(time.Second), 1, 1, part("a"), 100) // the store's event
	fmt.Println(s.Readable(part("a")), s.Available())
	// Output:
	// true false
	// true 888
}

func TestNothingIsKnownBeforeAList(t *testing.T) {
	s := &shelf.Inventory{Capacity: 1000}
	s.ApplyStored(at(0), 1, 1, part("a"), 100)
	require.False(t, s.Readable(part("a")))
	require.False(t, s.Reserve(at(0), part("b"), 100))
}

func TestAReadKeepsAPartFromBeingFreed(t *testing.T) {
	s := listed(1000)
	s.Reserve(at(0), part("a"), 960)
	s.ApplyStored(at(0), 1, 1, part("a"), 960)
	s.LeaseRead(at(2*time.Second), part("a"), at(4*time.Second))
	require.Empty(t, s.StartEvictions(at(3500*time.Millisecond), fresh))
	require.Equal(t, []shelf.Part{part("a")}, s.StartEvictions(at(4*time.Second), fresh))
	require.False(t, s.Readable(part("a")), "a part that is being freed is not read")
}

// A late event of the part's earlier stay must not make a new save look whole.
func TestAPartIsSavedAnewOnlyAfterTheEventOfItsFree(t *testing.T) {
	s := listed(1000)
	s.Reserve(at(0), part("a"), 960)
	s.ApplyStored(at(0), 1, 1, part("a"), 960)
	victims := s.StartEvictions(at(2*time.Second), fresh)
	s.ConfirmFreed(at(2*time.Second), 1, victims)
	require.Equal(t, fleet.Tokens(1000), s.Available())
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 960))
	s.ApplyRemoved(1, 2, part("a"))
	require.True(t, s.Reserve(at(2*time.Second), part("a"), 960))
}

func TestAnEventThatAListContainsIsIgnored(t *testing.T) {
	s := listed(1000)
	s.MarkEventsLost()
	require.True(t, s.StartList(at(10*time.Second)))
	s.ApplyList(at(10*time.Second), at(10*time.Second), 1, 7, nil)
	s.ApplyStored(at(11*time.Second), 1, 6, part("a"), 100)
	require.False(t, s.Readable(part("a")))
	s.ApplyStored(at(11*time.Second), 1, 7, part("a"), 100)
	require.True(t, s.Readable(part("a")))
}

func TestAReadOutlivesTheStoresRestart(t *testing.T) {
	s := listed(1000)
	s.Reserve(at(0), part("a"), 100)
	s.ApplyStored(at(0), 1, 1, part("a"), 100)
	s.LeaseRead(at(time.Second), part("a"), at(3*time.Second))
	s.SetIncarnation(2)
	s.ApplyList(at(1500*time.Millisecond), at(1500*time.Millisecond), 2, 0, nil)
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 100), "a reader could meet the part half written")
	require.True(t, s.Reserve(at(3*time.Second), part("a"), 100))
}

func TestASuccessorWaitsForReadsOfItsPredecessor(t *testing.T) {
	s := listed(1000)
	s.ActiveFrom = at(3 * time.Second)
	require.False(t, s.Reserve(at(2*time.Second), part("a"), 100))
	require.True(t, s.Reserve(at(3*time.Second), part("a"), 100))
}

func TestStalePartsGoFirst(t *testing.T) {
	s := listed(10_000)
	for i := range 3 {
		p := part(fmt.Sprint(i))
		s.Reserve(at(0), p, 100)
		s.ApplyStored(at(0), 1, uint64(i), p, 100)
	}
	stale := func(p shelf.Part) bool { return p == part("1") }
	require.Equal(t, []shelf.Part{part("1")}, s.StartEvictions(at(time.Second), stale), "there is room enough for the others")
}

// kept is a part as the store really has it.
type kept struct {
	written bool
	tokens  fleet.Tokens
}

// event is one that the store has made and not yet told.
type event struct {
	number uint64
	part   shelf.Part
	gone   bool
	tokens fleet.Tokens
	life   uint64
}

// reading is a fetch that the owner has allowed.
type reading struct {
	part shelf.Part
	end  fleet.Instant
}

// store is a store that drops nothing by itself, with engines that write to it
// and read from it. It tells of changes late, and not of all.
type store struct {
	now      fleet.Instant
	life     uint64
	number   uint64
	parts    map[shelf.Part]*kept
	events   []event
	saves    []shelf.Part // granted and not begun
	readings []reading
}

func (s *store) tell(p shelf.Part, gone bool, tokens fleet.Tokens) {
	s.events = append(s.events, event{s.number, p, gone, tokens, s.life})
	s.number++
}

// TestNoReaderMeetsAPartThatIsNotWhole drives a shelf against a store that
// restarts, loses events and answers late. A reading that is under way must
// always meet its part whole, or not at all.
func TestNoReaderMeetsAPartThatIsNotWhole(t *testing.T) {
	fuzzing.Check(t, 300, 300, func(t *rapid.T) {
		const capacity = 640
		s := &store{now: at(0), life: 1, parts: make(map[shelf.Part]*kept)}
		owner := &shelf.Inventory{Capacity: capacity}
		drawPart := func(t *rapid.T) shelf.Part {
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
					return // the request failed before
				}
				if (len(s.parts)+1)*160 > capacity {
					return // a save without room is lost
				}
				s.parts[p] = &kept{tokens: 160}
			},
			"end a write": func(t *rapid.T) {
				p := drawPart(t)
				if k := s.parts[p]; k != nil && !k.written {
					k.written = true
					s.tell(p, false, k.tokens)
				}
			},
			"read": func(t *rapid.T) {
				if p := drawPart(t); owner.Readable(p) {
					end := s.now.Add(2500 * time.Millisecond)
					owner.LeaseRead(s.now, p, end)
					s.readings = append(s.readings, reading{p, end})
				}
			},
			"free": func(t *rapid.T) {
				life := owner.Incarnation()
				victims := owner.StartEvictions(s.now, fresh)
				fate := rapid.IntRange(0, 3).Draw(t, "fate")
				if len(victims) == 0 || fate == 0 || life != s.life {
					return
				}
				for _, p := range victims {
					if s.parts[p] != nil {
						delete(s.parts, p)
						s.tell(p, true, 0)
					}
				}
				if fate > 1 {
					owner.ConfirmFreed(s.now, life, victims)
				}
			},
			"event": func(t *rapid.T) {
				if len(s.events) == 0 {
					return
				}
				e := s.events[0]
				s.events = s.events[1:]
				switch {
				case e.life != s.life, rapid.IntRange(0, 9).Draw(t, "lost") == 0:
					owner.SetIncarnation(s.life)
				case e.gone:
					owner.ApplyRemoved(e.life, e.number, e.part)
				default:
					owner.ApplyStored(s.now, e.life, e.number, e.part, e.tokens)
				}
			},
			"list": func(t *rapid.T) {
				if !owner.StartList(s.now) {
					return
				}
				var entries []shelf.Entry
				for p, k := range s.parts {
					entries = append(entries, shelf.Entry{Part: p, Tokens: k.tokens, Complete: k.written})
				}
				owner.ApplyList(s.now, s.now, s.life, s.number, entries)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					return
				}
				s.life++
				s.parts, s.saves = make(map[shelf.Part]*kept), nil
			},
			"": func(t *rapid.T) {
				if owner.Available() < 0 {
					t.Fatalf("%d tokens more than the capacity are reserved", -owner.Available())
				}
				for _, r := range s.readings {
					if k := s.parts[r.part]; s.now < r.end && k != nil && !k.written {
						t.Fatalf("a reader meets part %s half written", r.part.ID)
					}
				}
			},
		})
	})
}
