// Package lease decides when a host may act as the holder of its duties and
// when another host may take them over.
//
// Each host has a member object in the platform. It names the host's
// incarnation, its state and its panel: a few other hosts that witness that it
// is alive. A holder collects grants from its panel by heartbeat. It may act
// while enough of the grants run, or while a renewal that it wrote to its
// member object runs. So a holder outlives an outage of the platform as long
// as it reaches its panel, and outlives the loss of its panel as long as it
// reaches the platform.
//
// A host is ended in two conditional writes of its member object. The first
// sets the state Ending, after which no renewal can succeed. The second sets
// Ended, and may be made only when the time of a lease has passed since the
// first and enough of the panel have refused: each refusing witness has no
// running grant and gives none for that version of the object any more. The
// grants that the holder needs and the refusals that its end needs can not
// both be had, since together they are more than the panel. Both writes are
// conditional on the version, so a holder that is alive after all writes
// itself Active in between, and the end fails.
//
// Invariant: once a member object says Ended for an incarnation, no process
// of that incarnation may act, now or later.
//
// Instants are read from the monotonic clock of the process at hand. A holder
// counts a lease from the moment it sent the message, a witness from the
// moment it answered, which is later. Clocks may run at rates that differ by
// Drift; the Margin covers the time from the last check of a lease to the
// moment an action leaves the host.
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

// Timing are the times that all hosts of a fleet agree on.
type Timing struct {
	Length time.Duration // of a grant and of a renewal
	Margin time.Duration // between a lease's end and a takeover
	Drift  float64       // largest difference of two clocks' rates, as a share
}

// DefaultTiming suits hosts whose clocks drift by less than one in a hundred.
var DefaultTiming = Timing{Length: 5 * time.Second, Margin: 1500 * time.Millisecond, Drift: 0.01}

// ExpiryWait is how long a grantor lets pass, on its own clock, before it relies on
// the end of a lease.
func (t Timing) ExpiryWait() time.Duration {
	return time.Duration(float64(t.Length)*(1+2*t.Drift)) + t.Margin
}

// A MemberID is one life of a host on a panel.
type MemberID struct {
	_           struct{} `cbor:",toarray"`
	Host        fleet.HostID
	Incarnation fleet.Incarnation
}

// A Panel is the set of witnesses of one host, which itself is not on it.
type Panel []MemberID

// HoldQuorum is how many grants let the holder act. The holder counts as one
// more vote, its own, so this is one less than a majority of panel and holder.
// An empty panel lets nobody act without the platform.
func (p Panel) HoldQuorum() int {
	if len(p) < 2 {
		return 1
	}
	return (len(p) + 1) / 2
}

// EndQuorum is how many refusals an end needs: so many that the others are
// too few for a HoldQuorum.
func (p Panel) EndQuorum() int {
	return max(0, len(p)-p.HoldQuorum()+1)
}

// Index returns the position of the host on the panel, or -1.
func (p Panel) Index(host fleet.HostID) int {
	return slices.IndexFunc(p, func(s MemberID) bool { return s.Host == host })
}

// State is the state of a member object.
type State string

// The states of a member.
const (
	Active  State = "Active"
	Leaving State = "Leaving" // stops as planned; still acts
	Ending  State = "Ending"  // under suspicion; renewals fail
	Ended   State = "Ended"   // never acts again
)

// A Member is the content of a member object.
type Member struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	Process     string // random name of the process that registered
	DataCentre  fleet.DataCentreID
	Region      fleet.RegionID
	CallerAddr  fleet.Address // where callers connect
	PeerAddr    fleet.Address // where other hosts connect
	OperateAddr fleet.Address // where operators connect
	State       State
	Panel       Panel
	Renewal     uint64 // grows with every renewal
}

// Serves reports whether the member may act for its duties.
func (m *Member) Serves() bool { return m.State == Active || m.State == Leaving }

// A Heartbeat is a holder's request for a grant. Version is that of the member
// object which the holder knows as its own.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Seat        MemberID
	Version     fleet.Version
	Number      uint64
	Declaration fleet.Version // the configuration in force at the sender
}

// A Grant answers a Beat.
type Grant struct {
	_           struct{} `cbor:",toarray"`
	From        MemberID
	Number      uint64
	Granted     bool
	Declaration fleet.Version
}
