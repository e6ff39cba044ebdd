// Package lease determines when a host may act as the holder of its duties, and
// when another host may take them over.
//
// Each host has a member object in the platform. It holds the host's incarnation,
// its state and its panel: a few other hosts, the witnesses, that grant it leases.
// The host, called the lease holder, requests grants from its panel by heartbeats. It
// may act while a quorum of grants is valid, or while a renewal that it wrote to
// its member object is valid. A holder therefore keeps its lease during an outage
// of the platform as long as it reaches its panel, and after the loss of its panel
// as long as it reaches the platform.
//
// Another host ends a member by two conditional writes of its member object. The
// first sets the state Ending, after which no renewal can succeed. The second sets
// Ended. It may be made only when Timing.ExpiryWait has passed since the first
// and a quorum of the panel has refused: a witness that refuses has no valid grant
// to the holder and will give none for that version of the object. The two quorums
// overlap, so the holder cannot have its grants while the other host has its
// refusals. Both writes are conditional on the version, so a holder that is still
// alive sets its state back to Active in between, and the second write fails.
//
// Invariant: once a member object has the state Ended for an incarnation, no
// process of that incarnation may act, then or later.
//
// Instants are read from the monotonic clock of the local process. A holder counts
// a lease from the instant at which it sent its message, a witness from the instant
// at which it replied, which is later. The rates of two clocks may differ by Drift.
// The Margin covers the time from the last check of a lease to the instant at which
// an action leaves the host.
//
// The package is used by hibiscusd; hibiscusfront uses package election.
//
// The technique is that of Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989),
// with a quorum of grantors.
package lease

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// Timing holds the durations of leases. They are the same for all hosts of a fleet.
type Timing struct {
	Length time.Duration // of a grant and of a renewal
	// Margin is the longest time from the last check of a lease to the instant at
	// which an action leaves the host.
	Margin time.Duration
	Drift  float64 // largest relative difference between the rates of two clocks
}

// DefaultTiming is for hosts whose clock rates differ by less than one percent.
var DefaultTiming = Timing{Length: 5 * time.Second, Margin: 1500 * time.Millisecond, Drift: 0.01}

// ExpiryWait returns how long another host waits, on its own clock, before it relies
// on the end of a lease. It is the length of a lease, extended for clocks of different
// rates, plus the margin. While one time unit passes on the slower of two clocks, at
// most 1/(1-Drift) pass on the faster one, which is not more than 1+2*Drift for a Drift
// up to 0.5.
func (t Timing) ExpiryWait() time.Duration {
	return time.Duration(float64(t.Length)*(1+2*t.Drift)) + t.Margin
}

// A MemberID identifies one incarnation of a host.
type MemberID struct {
	_           struct{} `cbor:",toarray"`
	Host        fleet.HostID
	Incarnation fleet.Incarnation
}

// A Panel is the set of witnesses of one host. It does not include the host itself.
type Panel []MemberID

// HoldQuorum returns the number of grants that the holder needs to act. The holder
// adds its own vote, so this is one less than a majority of panel and holder. It is
// at least one, so a holder with an empty panel needs the platform to act.
func (p Panel) HoldQuorum() int {
	if len(p) < 2 {
		return 1
	}
	return (len(p) + 1) / 2
}

// EndQuorum returns the number of refusals that are needed to end the holder. The
// remaining witnesses are too few for HoldQuorum.
func (p Panel) EndQuorum() int {
	return max(0, len(p)-p.HoldQuorum()+1)
}

// Index returns the position of the host on the panel, or -1.
func (p Panel) Index(host fleet.HostID) int {
	return slices.IndexFunc(p, func(id MemberID) bool { return id.Host == host })
}

// State is the state of a member object.
type State string

// The states of a member.
const (
	Active  State = "Active"
	Leaving State = "Leaving" // planned stop; may still act
	Ending  State = "Ending"  // suspected to be down; renewals fail
	Ended   State = "Ended"   // may never act again
)

// A Member is the content of a member object.
type Member struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	Process     string // random ID of the process that registered the member
	DataCentre  fleet.DataCentreID
	Region      fleet.RegionID
	CallerAddr  fleet.Address // for connections of callers
	PeerAddr    fleet.Address // for connections of other hosts
	OperateAddr fleet.Address // for connections of operators
	State       State
	Panel       Panel
	Renewal     uint64 // increases with each renewal
}

// Serves reports whether the member's state allows it to act for its duties.
func (m *Member) Serves() bool { return m.State == Active || m.State == Leaving }

// A Heartbeat is a holder's request for a grant.
type Heartbeat struct {
	_           struct{}      `cbor:",toarray"`
	Seat        MemberID      // the holder, which is the sender
	Version     fleet.Version // latest confirmed version of the holder's member object
	Number      uint64        // increases with each heartbeat of the holder
	Declaration fleet.Version // version of the declaration that the sender uses
}

// A Grant is the reply to a Heartbeat.
type Grant struct {
	_           struct{}      `cbor:",toarray"`
	From        MemberID      // the witness, which is the sender
	Number      uint64        // that of the Heartbeat
	Granted     bool          // false if the witness refuses the grant
	Declaration fleet.Version // version of the declaration that the sender uses
}
