// Package operatorapi defines the messages between a host of hibiscusd and the
// operators' command line. They are encoded as JSON.
package operatorapi

import (
	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
)

// Status is the state of a host and its view of the fleet.
type Status struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreID
	Number      fleet.Version // version of the declaration that the host uses
	MayAct      bool          // the host's lease is valid
	Leaving     bool
	Members     []Member
	Targets     []Target // targets whose owner is the host
}

// Member is a member of the fleet as registered in the platform. The host that
// answers is one of the members.
type Member struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreID
	State       string        // a lease.State
	CallerAddr  fleet.Address // for connections of callers
	Operators   fleet.Address // for connections of operators
	Witnesses   int           // number of witnesses on the host's panel
}

// Target is the state of a target as known to its owner.
type Target struct {
	Target   fleet.TargetID
	Epoch    fleet.Epoch
	Limit    int  // current concurrency limit
	InFlight int  // requests at the target, including those that may still be running
	Waiting  int  // queued requests
	Cold     bool // Limit is at or below the target's cold limit
	Down     bool // gets no requests for a while, because a connection to it failed
	Version  fleet.WeightVersion
	Blocks   int // estimated number of blocks in its cache
}

// Declaration is the latest committed declaration, as text in INI format.
type Declaration struct {
	Number fleet.Version
	Text   string
}

// Apply requests a change of the declaration, based on the version that the
// operator has read.
type Apply struct {
	Read   fleet.Version
	Change declaration.Change
}

// Applied reports that a change was committed, as the version Number.
type Applied struct{ Number fleet.Version }

// Failure reports why a request failed. InDoubt means that the change may have
// been committed nevertheless.
type Failure struct {
	Detail  string
	InDoubt bool
}
