// Package wire defines the messages that hosts send to each other. They are
// encoded as CBOR under the Go names of their fields and travel over the
// connections of package peer.
package wire

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/platform"
)

// The kinds of messages. The numbers are part of the protocol between hosts.
const (
	KindHeartbeat   peer.Kind = iota + 1 // Heartbeat, answered by HeartbeatReply
	KindChanges                          // ChangesRequest, answered by ChangesReply
	KindPlan                             // PlanRequest, answered by PlanReply
	KindReports                          // Reports, answered by an empty struct
	KindRenew                            // RenewRequest, answered by RenewReply
	_                                    // of hosts that send a relayed request without RelayGo
	KindRelayCredit                      // RelayCredit, answered by an empty struct
	KindRelay                            // RelayRequest, answered by RelayParts
	KindRelayGo                          // RelayGo, answered by an empty struct
)

// A Host describes a host, in its object in the object store and in its heartbeats.
type Host struct {
	ID          fleet.HostID
	DataCentre  fleet.DataCentreID
	Callers     fleet.Address // where callers connect
	Peers       fleet.Address // where other hosts connect
	Incarnation fleet.Incarnation
	Cores       float64        // processor cores that the host may use
	Link        fleet.ByteRate // capacity of the host's network link
}

// Revisions maps each kind of object to the object store's revision up to which a
// host has its changes.
type Revisions map[string]fleet.Revision

// A Heartbeat carries the state of the sending host.
type Heartbeat struct {
	Host      Host
	Leaving   bool
	Follows   bool // the sender watches the object store and reaches it
	Revisions Revisions
	Duty      election.Record   // last record of the planner's duty that the sender knows
	Revision  fleet.Revision    // of the object that holds Duty
	Roll      MembershipVersion // of the last list of live hosts that the sender received
	CutOff    bool              `cbor:",omitempty"` // the sender has no way to nearly all targets
}

// A MembershipVersion identifies a list of live hosts that a planner sent to other
// hosts: Number counts the lists of the planner's Epoch. A list has only the hosts
// that callers may be sent to, so leaving hosts are not in it.
type MembershipVersion struct {
	Epoch  fleet.Epoch
	Number uint64
}

// A HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Revisions Revisions
	Follows   bool            // the replying host watches the object store and reaches it
	Followed  bool            // another host that watches the object store and reaches it sends heartbeats to the replying host
	Duty      election.Record // last record of the planner's duty that the replying host knows
	Revision  fleet.Revision  // of the object that holds Duty
	Planning  bool            // the replying host is the planner
	// Sighted is the revision after which the object store had made no change SightedAgo before the
	// reply; zero if the replying host knows none.
	Sighted    fleet.Revision
	SightedAgo time.Duration
	// Live is set if the replying host is the planner and its list of live hosts is
	// another than the sender's.
	Live *MembershipUpdate
}

// A MembershipUpdate changes the list of live hosts of version From to that of Version.
// With a zero From, Hosts is the whole list.
type MembershipUpdate struct {
	From, Version MembershipVersion
	Hosts         []Host // added or changed
	Removed       []fleet.HostID
}

// A ChangesRequest asks for the objects of a kind that changed since a revision.
type ChangesRequest struct {
	Kind  string
	Since fleet.Revision
}

// A ChangesReply answers a ChangesRequest: with the changes, or with all
// objects if the replying host no longer has all changes.
type ChangesReply struct {
	// Content is the Changes, or if All is set the Listing, as Pack encodes them.
	All     bool
	Content []byte
	// UncertainFor is how long targets that are missing may still return, because
	// the object store was not reachable until recently.
	UncertainFor time.Duration
}

// A PlanRequest asks the planner, or a host that acts as its deputy, for a
// target.
type PlanRequest struct {
	Ask    plan.Request
	Deputy bool // the asking host cannot reach the planner
}

// A PlanReply answers a PlanRequest: with a grant, or with the reason for the
// refusal.
type PlanReply struct {
	Grant      *plan.Grant
	Reason     fleet.Reason
	RetryAfter time.Duration
}

// Reports tells the planner the progress of its grants, and the starts of streams that it has
// not granted.
type Reports struct {
	Reports []plan.Report
	Starts  []origin.Start `cbor:",omitempty"`
}

// A ReportsReply answers Reports.
type ReportsReply struct {
	Planning bool // the host is the planner; else the starts have to be reported to another one
}

// A RenewRequest asks a host to write the record of the planner's duty on behalf
// of a host that renews or takes over the duty and whose own call to the object store
// failed or got no answer in time.
type RenewRequest struct {
	Seen   fleet.Revision // revision that the write must replace
	Record election.Record
}

// A RenewReply answers a RenewRequest with the object that the object store holds
// after the write.
type RenewReply struct {
	Object   platform.Object
	Conflict bool // the write had no effect: the object store held another revision than Seen
}
