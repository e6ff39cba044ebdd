// Package control implements a host's part in the control of the fleet. It
// registers the host as a member and renews its lease, witnesses other members
// and ends those that fail, follows the declaration, and takes and hands over
// duties.
//
// Only one goroutine, the control goroutine, accesses the control state. It handles
// events one at a time. Calls to the platform's object store (in short, the platform)
// and to other hosts run in goroutines of their own and post their results as events.
// Goroutines that serve requests read two published values instead: the View, which
// is immutable, and the end of the lease, an atomic value that they check immediately
// before each send.
//
// Invariants: a host acts for a duty only while its lease is valid and the
// published duty table assigns the duty to it; the versions of the declaration, of
// members and of duty tables only grow.
package control

import (
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
)

// A View is a published snapshot of the control state. It is not modified after
// publication.
type View struct {
	Self        lease.MemberID
	Declaration *declaration.Declaration
	Version     fleet.Version // of the revision from which Declaration was built
	Members     duty.Members
	DutyTables  map[fleet.DataCentreID]*duty.Table
	Leaving     bool
	HandingOver []duty.ID // duties that this host is handing over
}

// A DutyHolder is the host that holds a duty.
type DutyHolder struct {
	Member  lease.MemberID
	Epoch   fleet.Epoch
	Address fleet.Address // for other hosts
}

// Owner returns the owner of a target, the host that holds its duty. It returns
// false if there is none.
func (v *View) Owner(target *declaration.Target) (DutyHolder, bool) {
	return v.dutyHolder(target.DataCentre, duty.ForTarget(target.ID))
}

// dutyHolder returns the host to which the duty table of a data centre assigns the
// duty. It returns false if there is none, or if its incarnation has ended.
func (v *View) dutyHolder(centre fleet.DataCentreID, id duty.ID) (DutyHolder, bool) {
	table, ok := v.DutyTables[centre]
	if !ok {
		return DutyHolder{}, false
	}
	assignment, ok := table.Assignments[id]
	member, known := v.Members[assignment.Holder.Host]
	if !ok || !known || v.Members.HasEnded(assignment.Holder) {
		return DutyHolder{}, false
	}
	return DutyHolder{Member: assignment.Holder, Epoch: assignment.Epoch, Address: member.PeerAddr}, true
}

// HeldEpoch returns the epoch of a target's duty if this host holds it. It
// returns false if it does not, or if it is handing the duty over.
func (v *View) HeldEpoch(target *declaration.Target) (fleet.Epoch, bool) {
	holder, ok := v.Owner(target)
	if !ok || holder.Member != v.Self || slices.Contains(v.HandingOver, duty.ForTarget(target.ID)) {
		return 0, false
	}
	return holder.Epoch, true
}

// WeightLoadingHolder returns the holder of the duty WeightLoading, which decides
// which targets may load weights. It returns false if there is none.
func (v *View) WeightLoadingHolder() (DutyHolder, bool) {
	return v.dutyHolder(weightsDataCentre(v.Declaration), duty.WeightLoading)
}

// CallerAddresses returns the addresses to which callers may connect: those of
// the hosts in service in the region or, if it has none, in all other regions.
func (v *View) CallerAddresses(region fleet.RegionID) []fleet.Address {
	var near, far []fleet.Address
	for _, member := range v.Members {
		if member.State != lease.Active || !v.Declaration.HostInService(member.Host, member.DataCentre) {
			continue
		}
		if member.Region == region {
			near = append(near, member.CallerAddr)
		} else {
			far = append(far, member.CallerAddr)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}
