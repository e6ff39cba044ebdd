// Package duty assigns the duties of a fleet to its hosts.
//
// A duty is a task that at most one host performs at a time: the ownership of a target,
// that is, the admission of all requests to it, or the scheduling of weight loads. The
// duties of a data centre are stored in one object, a Table. No coordinator assigns
// them: each host determines by rendezvous hashing which duties it should hold, and
// claims those without a holder by a conditional write.
//
// Two rules ensure that a duty never has two holders. First, while the holder's
// incarnation has not ended, only the holder transfers the duty to another host; after
// its end, any host may claim the duty. Second, a host acts for a duty only while its
// lease is valid, see package lease. Each change of holder increments the duty's epoch,
// which is sent with each request and command to an engine as a fencing token.
//
// The package is used by hibiscusd; hibiscusfront uses package election.
package duty

import (
	"maps"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/placement"
)

// ID identifies a duty.
type ID string

// ForTarget returns the duty whose holder is the target's owner.
func ForTarget(target fleet.TargetID) ID { return ID("Target/" + target) }

// WeightLoading is the duty of scheduling the fleet's weight loads.
const WeightLoading ID = "Weights"

// An Assignment records the holder of a duty. Without a holder, Holder is the zero value.
type Assignment struct {
	_      struct{} `cbor:",toarray"`
	Holder lease.MemberID
	Epoch  fleet.Epoch
}

// A Table holds the assignments of one data centre. Its methods return modified copies; a
// published table is never changed.
type Table struct {
	Assignments map[ID]Assignment
}

// Members holds the members of the fleet that a host knows, by host.
type Members map[fleet.HostID]*lease.Member

// HasEnded reports whether the incarnation is known to have ended. It returns false for an
// unknown host.
func (m Members) HasEnded(id lease.MemberID) bool {
	member, ok := m[id.Host]
	if !ok {
		return false
	}
	return member.Incarnation > id.Incarnation ||
		(member.Incarnation == id.Incarnation && member.State == lease.Ended)
}

// A Location is the data centre of a table's duties, with its region.
type Location struct {
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
}

// Preferred returns the host that should hold a duty of the location: an active host of
// its data centre, else of its region, else of any other. Hosts in another state, such as
// Leaving, are not considered. It returns false if no host is active.
func (m Members) Preferred(id ID, location Location) (lease.MemberID, bool) {
	criteria := []func(*lease.Member) bool{
		func(member *lease.Member) bool { return member.DataCentre == location.DataCentre },
		func(member *lease.Member) bool { return member.Region == location.Region },
		func(*lease.Member) bool { return true },
	}
	hash := uint64(cache.AffinityHashOf("", []byte(id)))
	for _, matches := range criteria {
		var hosts []*lease.Member
		for _, member := range m {
			if member.State == lease.Active && matches(member) {
				hosts = append(hosts, member)
			}
		}
		if len(hosts) == 0 {
			continue
		}
		best := placement.Rank(hash, hosts,
			func(member *lease.Member) string { return string(member.Host) },
			func(*lease.Member) float64 { return 1 })[0]
		return lease.MemberID{Host: best.Host, Incarnation: best.Incarnation}, true
	}
	return lease.MemberID{}, false
}

// Claim returns a table in which self holds in addition all declared duties that have no
// holder or one that has ended, and for which self is the preferred host. Duties that are
// no longer declared lose their holder, if that is self or has ended, and keep their
// epoch, so that it never decreases. Claim returns nil if nothing changes.
func (t *Table) Claim(self lease.MemberID, declared []ID, location Location, members Members) *Table {
	next := &Table{Assignments: maps.Clone(t.Assignments)}
	if next.Assignments == nil {
		next.Assignments = make(map[ID]Assignment)
	}
	changed := false
	for _, id := range declared {
		current := t.Assignments[id]
		if current.Holder != (lease.MemberID{}) && !members.HasEnded(current.Holder) {
			continue
		}
		if preferred, ok := members.Preferred(id, location); ok && preferred == self {
			next.Assignments[id] = Assignment{Holder: self, Epoch: current.Epoch + 1}
			changed = true
		}
	}
	for id, assignment := range t.Assignments {
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

// Misplaced returns the duties that self holds and for which another host is preferred.
func (t *Table) Misplaced(self lease.MemberID, location Location, members Members) []ID {
	var ids []ID
	for id, assignment := range t.Assignments {
		if assignment.Holder != self {
			continue
		}
		if preferred, ok := members.Preferred(id, location); ok && preferred != self {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// HandOver returns a table in which self has transferred the duties that it holds among ids
// to their preferred hosts.
func (t *Table) HandOver(self lease.MemberID, ids []ID, location Location, members Members) *Table {
	next := &Table{Assignments: maps.Clone(t.Assignments)}
	for _, id := range ids {
		current, ok := next.Assignments[id]
		if !ok || current.Holder != self {
			continue
		}
		preferred, _ := members.Preferred(id, location)
		next.Assignments[id] = Assignment{Holder: preferred, Epoch: current.Epoch + 1}
	}
	return next
}

// HeldBy returns the duties that the member holds.
func (t *Table) HeldBy(member lease.MemberID) []ID {
	var ids []ID
	for id, assignment := range t.Assignments {
		if assignment.Holder == member {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
