package cache

import (
	"fmt"

	"hibiscuslb/fleet"
)

// Generation numbers the reservations of a store host. It never repeats within an
// incarnation of the host.
type Generation uint64

// Checksum is the hash of a block's content.
type Checksum uint64

// Seal describes a block that may be read.
type Seal struct {
	Incarnation fleet.Incarnation // of the store host
	Generation  Generation
	Length      fleet.Bytes
	Checksum    Checksum
}

// Check compares the seal that a reader asked for with that of the block that
// arrived. It returns a *MismatchError if they differ.
func (s Seal) Check(arrived Seal) error {
	if s == arrived {
		return nil
	}
	return &MismatchError{Want: s, Got: arrived}
}

// MismatchError reports that a reader received a block other than the requested
// one.
type MismatchError struct{ Want, Got Seal }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("cache: block does not match the requested seal: want %+v, got %+v", e.Want, e.Got)
}

// StateError reports that an operation on a block requires another state than the
// current one.
type StateError struct {
	Key        Key
	Generation Generation
	Operation  string
	Want       string // what the operation requires
}

func (e *StateError) Error() string {
	return fmt.Sprintf("cache: cannot %s block %s, generation %d: want %s", e.Operation, e.Key, e.Generation, e.Want)
}

// FullError reports that there is not enough space for a block.
type FullError struct{ Need, Available fleet.Bytes }

func (e *FullError) Error() string {
	return fmt.Sprintf("cache: no space for a block of %d bytes, %d bytes available", e.Need, e.Available)
}

type state uint8

const (
	reserved state = iota
	sealed
	freed // still pinned; removed with the last pin
)

type block struct {
	key     Key
	seal    Seal
	state   state
	pins    int
	lastUse uint64 // value of Table.tick at the last use, for eviction
}

// Table holds the state of the blocks of a store host. The zero value is an empty
// table without capacity; set Capacity and Incarnation before use. A Table is not
// safe for concurrent use.
type Table struct {
	Incarnation fleet.Incarnation
	Capacity    fleet.Bytes

	generations    map[Key]Generation // the reserved or sealed block of a key
	blocks         map[Generation]*block
	lastGeneration Generation
	tick           uint64 // incremented with every use of a block
	used           fleet.Bytes
}

// Used returns the number of bytes in use, including those of freed blocks that
// are still pinned.
func (t *Table) Used() fleet.Bytes { return t.used }

// Reserve allocates space for a block under a new generation. It evicts sealed,
// unpinned blocks, least recently used first. If the key is already reserved or
// sealed, it returns a *StateError; if there is not enough space, a *FullError.
func (t *Table) Reserve(key Key, length fleet.Bytes) (Generation, error) {
	if generation, ok := t.generations[key]; ok {
		return 0, &StateError{Key: key, Generation: generation, Operation: "reserve", Want: "a key without a reserved or sealed block"}
	}
	if err := t.evictFor(length); err != nil {
		return 0, err
	}
	if t.generations == nil {
		t.generations = make(map[Key]Generation)
		t.blocks = make(map[Generation]*block)
	}
	t.lastGeneration++
	t.generations[key] = t.lastGeneration
	t.blocks[t.lastGeneration] = &block{
		key:  key,
		seal: Seal{Incarnation: t.Incarnation, Generation: t.lastGeneration, Length: length},
	}
	t.used += length
	return t.lastGeneration, nil
}

// Seal makes a reserved block visible to readers, once its content is complete.
func (t *Table) Seal(key Key, generation Generation, checksum Checksum) error {
	b, ok := t.blocks[generation]
	if !ok || b.key != key || b.state != reserved {
		return &StateError{Key: key, Generation: generation, Operation: "seal", Want: "a reserved block of this key and generation"}
	}
	b.state = sealed
	b.seal.Checksum = checksum
	t.touch(b)
	return nil
}

// Find returns the seal of the key's block if the block may be read.
func (t *Table) Find(key Key) (Seal, bool) {
	b, ok := t.blocks[t.generations[key]]
	if !ok || b.state != sealed {
		return Seal{}, false
	}
	return b.seal, true
}

// Pin prevents the removal of a sealed block until it is unpinned.
func (t *Table) Pin(key Key, generation Generation) (Seal, error) {
	b, ok := t.blocks[generation]
	if !ok || b.key != key || b.state != sealed {
		return Seal{}, &StateError{Key: key, Generation: generation, Operation: "pin", Want: "a sealed block of this key and generation"}
	}
	b.pins++
	t.touch(b)
	return b.seal, nil
}

// Unpin releases a pin and reports whether the block was removed with it.
func (t *Table) Unpin(generation Generation) bool {
	b, ok := t.blocks[generation]
	if !ok || b.pins == 0 {
		return false
	}
	b.pins--
	if b.state != freed || b.pins > 0 {
		return false
	}
	t.remove(b)
	return true
}

// Free hides a block from readers at once. Its space is released with the last
// pin.
func (t *Table) Free(key Key, generation Generation) error {
	b, ok := t.blocks[generation]
	if !ok || b.key != key || b.state == freed {
		return &StateError{Key: key, Generation: generation, Operation: "free", Want: "a reserved or sealed block of this key and generation"}
	}
	delete(t.generations, key)
	b.state = freed
	if b.pins == 0 {
		t.remove(b)
	}
	return nil
}

// Contains reports whether the table has a block of the generation, in any state.
// The content of such a block must be kept.
func (t *Table) Contains(generation Generation) bool {
	_, ok := t.blocks[generation]
	return ok
}

func (t *Table) remove(b *block) {
	delete(t.blocks, b.seal.Generation)
	t.used -= b.seal.Length
}

func (t *Table) touch(b *block) {
	t.tick++
	b.lastUse = t.tick
}

// evictFor evicts blocks until length more bytes fit.
func (t *Table) evictFor(length fleet.Bytes) error {
	for t.used+length > t.Capacity {
		victim := t.leastRecentlyUsed()
		if victim == nil {
			return &FullError{Need: length, Available: t.Capacity - t.used}
		}
		delete(t.generations, victim.key)
		t.remove(victim)
	}
	return nil
}

// leastRecentlyUsed returns the least recently used block among those that may be
// evicted, or nil.
func (t *Table) leastRecentlyUsed() *block {
	var victim *block
	for _, b := range t.blocks {
		if b.state != sealed || b.pins > 0 {
			continue
		}
		if victim == nil || b.lastUse < victim.lastUse {
			victim = b
		}
	}
	return victim
}
