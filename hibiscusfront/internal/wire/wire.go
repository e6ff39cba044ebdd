// Package wire defines the messages between hosts. They travel as CBOR over
// the connections of package peer.
package wire

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/platform"
)

// The kinds of messages.
const (
	KindBeat peer.Kind = iota + 1
	KindSnapshot
	KindAsk
	KindReports
	KindRenew
)

// A Host is what a host says of itself, in the store and in its heartbeats.
type Host struct {
	ID          fleet.HostID
	DataCentre  fleet.DataCentreID
	Callers     fleet.Address // where callers connect
	Peers       fleet.Address // where other hosts connect
	Incarnation fleet.Incarnation
	Cores       float64        // that the host may use
	Link        fleet.ByteRate // of the host
}

// Revisions says up to which revision of the store a host knows each kind.
type Revisions map[string]fleet.Version

// A Beat is a host's heartbeat.
type Beat struct {
	Host      Host
	Leaving   bool
	Revisions Revisions
	Duty      tenure.Record // as the host knows it
	Revision  fleet.Version // of the duty's object
	Roll      Roll          // of live hosts that the host was told last
}

// A Roll numbers the lists of live hosts that a planner has told.
type Roll struct {
	Epoch  fleet.Epoch
	Number uint64
}

// A Pulse answers a Beat.
type Pulse struct {
	Revisions Revisions
	Follows   bool          // the answering host hears of the store's changes
	Duty      tenure.Record // as the answering host knows it
	Revision  fleet.Version // of the duty's object
	Planning  bool          // whether the answering host holds the duty
	Roll      Roll          // of Live; if Planning
	Live      []Host        // the hosts that take callers; none if the roll is known
}

// A Snapshot asks for the objects of a kind that changed since a revision.
type Snapshot struct {
	Kind  string
	Since fleet.Version
}

// A News answers a Snapshot: by the changes, or by all objects if not all
// changes are known.
type News struct {
	All     bool
	Changes platform.Changes
	Listing platform.Listing
}

// An Ask asks the planner, or a host that deputises for it, for a target.
type Ask struct {
	Ask    plan.Ask
	Deputy bool // the asking host cannot reach the planner
}

// A Verdict answers an Ask: with a grant, or with the reason for none.
type Verdict struct {
	Grant      *plan.Grant
	Reason     fleet.Reason
	RetryAfter time.Duration
}

// Reports tells the planner what became of its grants.
type Reports struct{ Reports []plan.Report }

// A Renew asks a host to make a write of the duty's object for a holder that
// the store turns away.
type Renew struct {
	Seen   fleet.Version
	Record tenure.Record
}

// A Renewed answers a Renew with the object as the store has it.
type Renewed struct {
	Object   platform.Object
	Conflict bool // the write had no effect
}
