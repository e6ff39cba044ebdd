// Package duty assigns the duties of a fleet to its hosts.
//
// A duty is something that exactly one host does at a time: keeping a target,
// or handing out weight loads. The duties of a data centre are
// written in one object, a Book. There is no assigner: each host works out by
// rendezvous hashing which duties should be its own, and takes those that are
// free by a conditional write.
//
// Two rules keep a duty from having two holders. Only its holder hands a duty
// on while the holder lives; anybody may take it once the holder's incarnation
// is over. And a host acts for a duty only while its lease lets it, see
// package lease. Each change of holder raises the duty's epoch, which goes
// with every order as its fencing number.
package duty

import (
	"maps"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/placement"
)

// ID names a duty.
type ID string

// OfTarget returns the duty of keeping a target.
func OfTarget(target fleet.TargetID) ID { return ID("Target/" + target) }

// Weights is the duty of handing out the fleet's weight loads.
const Weights ID = "Weights"

// An Assignment says who holds a duty. A zero Holder holds nothing.
type Assignment struct {
	_      struct{} `cbor:",toarray"`
	Holder lease.Seat
	Epoch  fleet.Epoch
}

// A Book holds the assignments of one data centre. A published book is not
// changed.
type Book struct {
	Assignments map[ID]Assignment
}

// Members is what is known of all hosts, by their names.
type Members map[fleet.HostID]*lease.Member

// Over reports whether the seat's incarnation has provably ended.
func (m Members) Over(seat lease.Seat) bool {
	member, ok := m[seat.Host]
	if !ok {
		return false
	}
	return member.Incarnation > seat.Incarnation ||
		(member.Incarnation == seat.Incarnation && member.State == lease.Ended)
}

// A Zone is where a book's duties belong.
type Zone struct {
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
}

// Preferred returns the host that a duty of the zone should be with: one of
// its data centre, else of its region, else any. Leaving hosts are passed
// over. It returns false if there is none.
func (m Members) Preferred(id ID, zone Zone) (lease.Seat, bool) {
	near := []func(*lease.Member) bool{
		func(member *lease.Member) bool { return member.DataCentre == zone.DataCentre },
		func(member *lease.Member) bool { return member.Region == zone.Region },
		func(*lease.Member) bool { return true },
	}
	root := uint64(cache.RootOf("", []byte(id)))
	for _, fits := range near {
		var hosts []*lease.Member
		for _, member := range m {
			if member.State == lease.Active && fits(member) {
				hosts = append(hosts, member)
			}
		}
		if len(hosts) == 0 {
			continue
		}
		best := placement.Rank(root, hosts,
			func(member *lease.Member) string { return string(member.Host) },
			func(*lease.Member) float64 { return 1 })[0]
		return lease.Seat{Host: best.Host, Incarnation: best.Incarnation}, true
	}
	return lease.Seat{}, false
}

// Take returns a book in which self has taken all duties that are free and
// should be its own, or nil if there are none. Duties that are no longer
// declared lose their holder and keep their epoch, which never goes back.
func (b *Book) Take(self lease.Seat, declared []ID, zone Zone, members Members) *Book {
	next := &Book{Assignments: maps.Clone(b.Assignments)}
	if next.Assignments == nil {
		next.Assignments = make(map[ID]Assignment)
	}
	changed := false
	for _, id := range declared {
		current := b.Assignments[id]
		if current.Holder != (lease.Seat{}) && !members.Over(current.Holder) {
			continue
		}
		if wanted, ok := members.Preferred(id, zone); ok && wanted == self {
			next.Assignments[id] = Assignment{Holder: self, Epoch: current.Epoch + 1}
			changed = true
		}
	}
	for id, assignment := range b.Assignments {
		mayDrop := assignment.Holder == self || members.Over(assignment.Holder)
		if mayDrop && !slices.Contains(declared, id) {
			next.Assignments[id] = Assignment{Epoch: assignment.Epoch}
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}

// Misplaced returns the duties that self holds and another host should have.
func (b *Book) Misplaced(self lease.Seat, zone Zone, members Members) []ID {
	var ids []ID
	for id, assignment := range b.Assignments {
		if assignment.Holder != self {
			continue
		}
		if wanted, ok := members.Preferred(id, zone); ok && wanted != self {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// HandOver returns a book in which self has given the duties up, each to the
// host that should have it.
func (b *Book) HandOver(self lease.Seat, ids []ID, zone Zone, members Members) *Book {
	next := &Book{Assignments: maps.Clone(b.Assignments)}
	for _, id := range ids {
		current, ok := next.Assignments[id]
		if !ok || current.Holder != self {
			continue
		}
		wanted, _ := members.Preferred(id, zone)
		next.Assignments[id] = Assignment{Holder: wanted, Epoch: current.Epoch + 1}
	}
	return next
}

// HeldBy returns the duties that a seat holds.
func (b *Book) HeldBy(seat lease.Seat) []ID {
	var ids []ID
	for id, assignment := range b.Assignments {
		if assignment.Holder == seat {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
