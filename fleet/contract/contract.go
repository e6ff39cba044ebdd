// Package contract defines the messages of the operators' interface, which
// the node serves and the operators' command line uses. They travel as JSON.
package contract

import (
	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
)

// A Status is what a host knows of itself and the fleet.
type Status struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreID
	Number      fleet.Version // of the declaration in force at the host
	MayAct      bool          // its lease runs
	Leaving     bool
	Members     []Member
	Targets     []Target // that the host keeps
}

// A Member is another host as the platform has it.
type Member struct {
	Host        fleet.HostID
	Incarnation fleet.Incarnation
	DataCentre  fleet.DataCentreID
	State       string
	CallerAddr  fleet.Address
	Operators   fleet.Address
	Witnesses   int
}

// A Target is a target as its keeper knows it.
type Target struct {
	Target   fleet.TargetID
	Epoch    fleet.Epoch
	Limit    int
	InFlight int
	Waiting  int
	Cold     bool
	Down     bool
	Version  fleet.WeightVersion
	Blocks   int
}

// A Declaration is the declaration in force, as an INI file.
type Declaration struct {
	Number fleet.Version
	Text   string
}

// An Apply asks for a change of the declaration that the operator has read.
type Apply struct {
	Read   fleet.Version
	Change declaration.Change
}

// Applied says that a change is accepted.
type Applied struct{ Number fleet.Version }

// A Failure says why a request failed. InDoubt means that a change may have
// been accepted nevertheless.
type Failure struct {
	Detail  string
	InDoubt bool
}
