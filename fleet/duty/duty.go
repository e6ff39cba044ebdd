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

// ForTarget returns the duty of keeping a target.
func ForTarget(target fleet.TargetID) ID { return ID("Target/" + target) }

// WeightLoading is the duty of handing out the fleet's weight loads.
const WeightLoading ID = "Weights"

// An Assignment says who holds a duty. A zero Holder holds nothing.
type Assignment struct {
	_      struct{} `cbor:",toarray"`
	Holder lease.MemberID
	Epoch  fleet.Epoch
}

// A Table holds the assignments of one data centre. A published book is not
// changed.
type Table struct {
	Assignments map[ID]Assignment
}

// Members is what is known of all hosts, by their names.
type Members map[fleet.HostID]*lease.Member

// HasEnded reports whether the seat's incarnation has provably ended.
func (m Members) HasEnded(seat lease.MemberID) bool {
	member, ok := m[seat.Host]
	if !ok {
		return false
	}
	return member.Incarnation > seat.Incarnation ||
		(member.Incarnation == seat.Incarnation && member.State == lease.Ended)
}

// A Location is where a book's duties belong.
type Location struct {
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
}

// Preferred returns the host that a duty of the zone should be with: one of
// its data centre, else of its region, else any. Leaving hosts are passed
// over. It returns false if there is none.
func (m Members) Preferred(id ID, zone Location) (lease.MemberID, bool) {
	near := []func(*lease.Member) bool{
		func(member *lease.Member) bool { return member.DataCentre == zone.DataCentre },
		func(member *lease.Member) bool { return member.Region == zone.Region },
		func(*lease.Member) bool { return true },
	}
	root := uint64(cache.AffinityHashOf("", []byte(id)))
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
		return lease.MemberID{Host: best.Host, Incarnation: best.Incarnation}, true
	}
	return lease.MemberID{}, false
}

// Claim returns a book in which self has taken all duties that are free and
// should be its own, or nil if there are none. Duties that are no longer
// declared lose their holder and keep their epoch, which never goes back.
func (b *Table) Claim(self lease.MemberID, declared []ID, zone Location, members Members) *Table {
	next := &Table{Assignments: maps.Clone(b.Assignments)}
	if next.Assignments == nil {
		next.Assignments = make(map[ID]Assignment)
	}
	changed := false
	for _, id := range declared {
		current := b.Assignments[id]
		if current.Holder != (lease.MemberID{}) && !members.HasEnded(current.Holder) {
			continue
		}
		if wanted, ok := members.Preferred(id, zone); ok && wanted == self {
			next.Assignments[id] = Assignment{Holder: self, Epoch: current.Epoch + 1}
			changed = true
		}
	}
	for id, assignment := range b.Assignments {
		mayDrop := assignment.Holder == self || members.HasEnded(assignment.Holder)
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
func (b *Table) Misplaced(self lease.MemberID, zone Location, members Members) []ID {
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
func (b *Table) HandOver(self lease.MemberID, ids []ID, zone Location, members Members) *Table {
	next := &Table{Assignments: maps.Clone(b.Assignments)}
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
func (b *Table) HeldBy(seat lease.MemberID) []ID {
	var ids []ID
	for id, assignment := range b.Assignments {
		if assignment.Holder == seat {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
