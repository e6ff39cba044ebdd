package plan

import (
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/roster"
)

// An Eviction lists parts that a cache store has to free. Incarnation is the store's
// incarnation in which it held them.
type Eviction struct {
	Address     fleet.Address
	Incarnation uint64
	Parts       []cachestore.Part
}

// Evictions returns the parts that cache stores have to free now, and marks them as
// being freed.
func (f *Fleet) Evictions(now fleet.Instant) []Eviction {
	var evictions []Eviction
	for address, s := range f.stores {
		if parts := s.inventory.StartEvictions(now, f.stale); len(parts) > 0 {
			evictions = append(evictions, Eviction{address, s.inventory.Incarnation(), parts})
		}
	}
	return evictions
}

// stale reports whether no request can use the part any more, since its weights
// are superseded and all engines have newer ones, or since another set of workspaces is isolated.
func (f *Fleet) stale(p cachestore.Part) bool {
	id, version, sharing, ok := parseSalt(p.Salt)
	if !ok {
		return true // not saved by this system
	}
	if f.table != nil && sharing != "" && sharing != f.table.Sharing() {
		return true
	}
	if version >= f.model(id).version {
		return false
	}
	for _, t := range f.targets {
		if v := t.version(id); v > 0 && v <= version {
			return false
		}
	}
	return true
}

// StoreInventory returns the inventory of the cache store at the address, or nil if
// there is no such store.
func (f *Fleet) StoreInventory(address fleet.Address) *cachestore.Inventory {
	if s, ok := f.stores[address]; ok {
		return &s.inventory
	}
	return nil
}

// Engines returns the roster entries of all model engines.
func (f *Fleet) Engines() []roster.Target {
	var result []roster.Target
	for _, t := range f.targets {
		if t.service != nil && t.isEngine() {
			result = append(result, t.Target)
		}
	}
	return result
}

// Stores returns the addresses of all cache stores.
func (f *Fleet) Stores() []fleet.Address {
	result := make([]fleet.Address, 0, len(f.stores))
	for address := range f.stores {
		result = append(result, address)
	}
	slices.Sort(result)
	return result
}
