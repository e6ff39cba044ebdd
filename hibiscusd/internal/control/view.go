// Package control holds a host's part in the fleet's control: its membership
// and lease, the ends of others, the configuration in force, and its duties.
//
// One goroutine owns all control state and handles one event after the other.
// Calls to the platform and to other hosts run beside it and report back as
// events. What traffic needs to know is published as a View, which is frozen,
// and the end of the lease as one atomic value, which traffic checks right
// before each send.
//
// Invariants: a host acts for a duty only while its lease runs and the
// published book names it; the versions of the configuration, of members and
// of books only grow.
package control

import (
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
)

// A View is the control state as traffic sees it. It is frozen.
type View struct {
	Self        lease.MemberID
	Declaration *declaration.Declaration
	Version     fleet.Version // of the declaration
	Members     duty.Members
	Books       map[fleet.DataCentreID]*duty.Table
	Leaving     bool
	Releasing   []duty.ID // own duties that are being handed over
}

// An DutyHolder is the host that holds a duty.
type DutyHolder struct {
	Seat    lease.MemberID
	Epoch   fleet.Epoch
	Address fleet.Address // for other hosts
}

// Keeper returns the host that keeps a target, if there is one.
func (v *View) TargetHolder(target *declaration.Target) (DutyHolder, bool) {
	return v.holder(target.DataCentre, duty.ForTarget(target.ID))
}

func (v *View) holder(centre fleet.DataCentreID, id duty.ID) (DutyHolder, bool) {
	book, ok := v.Books[centre]
	if !ok {
		return DutyHolder{}, false
	}
	assignment, ok := book.Assignments[id]
	member, known := v.Members[assignment.Holder.Host]
	if !ok || !known || v.Members.HasEnded(assignment.Holder) {
		return DutyHolder{}, false
	}
	return DutyHolder{Seat: assignment.Holder, Epoch: assignment.Epoch, Address: member.PeerAddr}, true
}

// Holds returns the epoch of a target's duty if this host holds it.
func (v *View) HeldEpoch(target *declaration.Target) (fleet.Epoch, bool) {
	owner, ok := v.TargetHolder(target)
	if !ok || owner.Seat != v.Self || slices.Contains(v.Releasing, duty.ForTarget(target.ID)) {
		return 0, false
	}
	return owner.Epoch, true
}

// Weights returns the host that hands out weight loads, if there is one.
func (v *View) WeightsHolder() (DutyHolder, bool) {
	return v.holder(weightsDataCentre(v.Declaration), duty.WeightLoading)
}

// Addresses returns where callers may connect: the hosts in service, those of
// the region first.
func (v *View) CallerAddresses(region fleet.RegionID) []fleet.Address {
	var near, far []fleet.Address
	for _, member := range v.Members {
		if member.State != lease.Active || !v.Declaration.HostServes(member.Host, member.DataCentre) {
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
