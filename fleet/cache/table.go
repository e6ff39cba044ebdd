package cache

import (
	"fmt"

	"hibiscuslb/fleet"
)

// A Generation numbers the reservations of a store host. It never repeats
// within an incarnation of the host.
type Generation uint64

// A Checksum is the hash of a block's content.
type Checksum uint64

// A Seal describes a block that may be read.
type Seal struct {
	Incarnation fleet.Incarnation // of the store host
	Generation  Generation
	Length      fleet.Bytes
	Checksum    Checksum
}

// Check compares what arrived at a reader with the seal that it asked for.
func (s Seal) Check(arrived Seal) error {
	if s == arrived {
		return nil
	}
	return &MismatchError{Want: s, Got: arrived}
}

// A MismatchError reports that a reader got another block than it asked for.
type MismatchError struct{ Want, Got Seal }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("cache: block does not match its seal: want %+v, got %+v", e.Want, e.Got)
}

// A StateError reports that an operation does not fit a block's state.
type StateError struct {
	Key        Key
	Generation Generation
	Operation  string
}

func (e *StateError) Error() string {
	return fmt.Sprintf("cache: %s: block %s has no generation %d in that state", e.Operation, e.Key, e.Generation)
}

// A FullError reports that there is no room for a block.
type FullError struct{ Need, Available fleet.Bytes }

func (e *FullError) Error() string {
	return fmt.Sprintf("cache: no room for %d bytes, %d can be had", e.Need, e.Available)
}

type state uint8

const (
	reserved state = iota
	sealed
	freed // waits for the last pin
)

type block struct {
	key   Key
	seal  Seal
	state state
	pins  int
	used  uint64 // tick of the last use, for eviction
}

// A Table holds the states of a store host's blocks. The zero value is an
// empty table without room; set Capacity and Incarnation first. A Table is not
// safe for concurrent use.
type Table struct {
	Incarnation fleet.Incarnation
	Capacity    fleet.Bytes

	names map[Key]Generation // the reserved or sealed block of a name
	live  map[Generation]*block
	last  Generation
	tick  uint64
	used  fleet.Bytes
}

// Used returns how many bytes are taken, those of freed but pinned blocks
// included.
func (t *Table) Used() fleet.Bytes { return t.used }

// Reserve makes room for a block under a new generation. It evicts blocks
// that are sealed and unpinned, longest unused first. A name that is reserved
// or sealed is refused with a *StateError.
func (t *Table) Reserve(key Key, length fleet.Bytes) (Generation, error) {
	if generation, ok := t.names[key]; ok {
		return 0, &StateError{Key: key, Generation: generation, Operation: "reserve"}
	}
	if err := t.makeRoom(length); err != nil {
		return 0, err
	}
	if t.names == nil {
		t.names = make(map[Key]Generation)
		t.live = make(map[Generation]*block)
	}
	t.last++
	t.names[key] = t.last
	t.live[t.last] = &block{
		key:  key,
		seal: Seal{Incarnation: t.Incarnation, Generation: t.last, Length: length},
	}
	t.used += length
	return t.last, nil
}

// Seal publishes a reserved block, which is wholly written.
func (t *Table) Seal(key Key, generation Generation, checksum Checksum) error {
	b, ok := t.live[generation]
	if !ok || b.key != key || b.state != reserved {
		return &StateError{Key: key, Generation: generation, Operation: "seal"}
	}
	b.state = sealed
	b.seal.Checksum = checksum
	t.touch(b)
	return nil
}

// Find returns the seal of the name's block, if it may be read.
func (t *Table) Find(key Key) (Seal, bool) {
	b, ok := t.live[t.names[key]]
	if !ok || b.state != sealed {
		return Seal{}, false
	}
	return b.seal, true
}

// Pin keeps a sealed block from being freed until it is unpinned.
func (t *Table) Pin(key Key, generation Generation) (Seal, error) {
	b, ok := t.live[generation]
	if !ok || b.key != key || b.state != sealed {
		return Seal{}, &StateError{Key: key, Generation: generation, Operation: "pin"}
	}
	b.pins++
	t.touch(b)
	return b.seal, nil
}

// Unpin ends a Pin and reports whether the block's room is free now.
func (t *Table) Unpin(generation Generation) bool {
	b, ok := t.live[generation]
	if !ok || b.pins == 0 {
		return false
	}
	b.pins--
	if b.state != freed || b.pins > 0 {
		return false
	}
	t.drop(b)
	return true
}

// Free removes a block from the readers' sight at once, and its room when the
// last pin goes.
func (t *Table) Free(key Key, generation Generation) error {
	b, ok := t.live[generation]
	if !ok || b.key != key || b.state == freed {
		return &StateError{Key: key, Generation: generation, Operation: "free"}
	}
	delete(t.names, key)
	b.state = freed
	if b.pins == 0 {
		t.drop(b)
	}
	return nil
}

// Contains reports whether the content of the generation must still be kept.
func (t *Table) Contains(generation Generation) bool {
	_, ok := t.live[generation]
	return ok
}

func (t *Table) drop(b *block) {
	delete(t.live, b.seal.Generation)
	t.used -= b.seal.Length
}

func (t *Table) touch(b *block) {
	t.tick++
	b.used = t.tick
}

func (t *Table) makeRoom(length fleet.Bytes) error {
	for t.used+length > t.Capacity {
		victim := t.oldest()
		if victim == nil {
			return &FullError{Need: length, Available: t.Capacity - t.used}
		}
		delete(t.names, victim.key)
		t.drop(victim)
	}
	return nil
}

func (t *Table) oldest() *block {
	var victim *block
	for _, b := range t.live {
		if b.state != sealed || b.pins > 0 {
			continue
		}
		if victim == nil || b.used < victim.used {
			victim = b
		}
	}
	return victim
}
