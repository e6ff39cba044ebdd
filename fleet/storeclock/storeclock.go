// Package storeclock bounds when a change of the object store was made.
//
// The store acknowledges a change to whoever writes it, and an entry does not say when that was.
// A host learns of the change later: by a watch that may be late, or from another host that may
// stand still meanwhile. A time limit that counts from the acknowledgement can therefore not count
// from when the host learned of it.
//
// Revisions of the store grow with each change. Who has had an answer with a revision knows that all later
// revisions were made after the call began. That is a sighting. A change was made after the last sighting
// of a revision before its own, so a limit that counts from that sighting ends in time, and by how much it is
// early depends on how often the store is sighted, not on how late the host learns of the change.
//
// A store that comes back from a copy gives out numbers again, and shows the changes that the copy kept under
// their old numbers in the new era. A sighting of an earlier era therefore says something only of higher numbers.
//
// The planner sights the store whenever it renews its tenure. Other hosts pass a sighting on with its
// age. The time for which the message travels only makes the sighting count as older.
package storeclock

import (
	"slices"

	"hibiscuslb/fleet"
)

// A Sighting says that the store had made no change after Revision at the instant At.
type Sighting struct {
	At       fleet.Instant
	Revision fleet.Revision
}

// A Clock keeps the recent sightings of a store. The zero value has none. It is not safe for
// concurrent use.
type Clock struct {
	sightings []Sighting // by instant and by revision
}

// kept is the number of sightings that a Clock keeps.
const kept = 64

// Observe adds a sighting. It drops those that say no more than the new one, and the new one if
// another says as much.
func (c *Clock) Observe(s Sighting) {
	if s.At <= 0 || s.Revision.IsZero() {
		return
	}
	for _, known := range c.sightings {
		if known.At >= s.At && !known.Revision.After(s.Revision) {
			return
		}
	}
	c.sightings = slices.DeleteFunc(c.sightings, func(known Sighting) bool {
		return known.At <= s.At && !s.Revision.After(known.Revision)
	})
	at, _ := slices.BinarySearchFunc(c.sightings, s, func(a, b Sighting) int { return a.Revision.Compare(b.Revision) })
	c.sightings = slices.Insert(c.sightings, at, s)
	if extra := len(c.sightings) - kept; extra > 0 {
		c.sightings = slices.Delete(c.sightings, 0, extra)
	}
}

// Last returns the last sighting, the zero value if there is none.
func (c *Clock) Last() Sighting {
	if len(c.sightings) == 0 {
		return Sighting{}
	}
	return c.sightings[len(c.sightings)-1]
}

// MadeAfter returns the last instant at which the store is known not to have made the revision yet.
// It reports false if there is none.
func (c *Clock) MadeAfter(revision fleet.Revision) (fleet.Instant, bool) {
	for _, s := range slices.Backward(c.sightings) {
		if s.Revision.Era <= revision.Era && s.Revision.Number < revision.Number {
			return s.At, true
		}
	}
	return 0, false
}

// SeenBy returns the instant of the first sighting that is known to show the revision. It reports false if
// there is none.
func (c *Clock) SeenBy(revision fleet.Revision) (fleet.Instant, bool) {
	for _, s := range c.sightings {
		if s.Revision.Era >= revision.Era && s.Revision.Number >= revision.Number {
			return s.At, true
		}
	}
	return 0, false
}
