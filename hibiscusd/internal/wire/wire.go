// Package wire defines the messages between the hosts of a fleet. They travel
// as CBOR in exchanges of package peer. Structs that are sent often are coded
// as arrays, without their field names.
package wire

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/record"
)

// The kinds of requests between hosts.
const (
	KindHeartbeat peer.Kind = iota // lease.Heartbeat, answered by lease.Grant
	KindRefuse                     // RefuseAsk, answered by RefuseAnswer
	KindRead                       // Read, answered by Stored
	KindWrite                      // Write, answered by Stored
	KindGenerate                   // Generate, answered by Pieces
	KindOrder                      // Order, answered by OrderAnswer
	KindSlot                       // Slot, answered by SlotAnswer
)

// RefuseAsk asks a witness to refuse a member that is being ended.
type RefuseRequest struct {
	Member  lease.Member
	Version fleet.Version
}

// RefuseAnswer says whether it does.
type RefuseResponse struct{ Refused bool }

// Read asks a host to read an object of the platform.
type ReadRequest struct{ Name record.Name }

// Write asks a host to write an object of the platform.
type WriteRequest struct {
	Name  record.Name
	Value []byte
	Seen  fleet.Version
}

// Stored is the platform's answer to a Read or Write.
type ObjectResponse struct {
	Object   record.Object
	Absent   bool
	Conflict bool
}

// Generate asks a target's keeper for an answer.
type GenerateRequest struct {
	_         struct{} `cbor:",toarray"`
	Attempt   engine.Attempt
	Target    fleet.TargetID
	Workspace fleet.WorkspaceID
	Class     fleet.Class
	Priority  int
	Policy    declaration.PolicyName
	Prompt    []byte
	MaxTokens fleet.Tokens
	From      fleet.Tokens  // first piece wanted
	Deadline  time.Duration // left for the first token; zero for none
	Last      bool          // there is no other candidate, so be patient
}

// Piece is one part of an answer. The first one carries Start.
type Piece struct {
	_     struct{} `cbor:",toarray"`
	Index fleet.Tokens
	Text  string
	Start *engine.Start
	End   bool
	Count fleet.Tokens
	Wait  time.Duration // with Start: estimated wait at the target
}

// Order asks a target's keeper to make a service call.
type OrderRequest struct {
	_          struct{} `cbor:",toarray"`
	Target     fleet.TargetID
	Workspace  fleet.WorkspaceID
	Class      fleet.Class
	Priority   int
	Operation  string
	Key        string // idempotency key
	Repeatable bool
	Body       []byte
	Deadline   time.Duration // left for the whole call; zero for none
}

// OrderAnswer is the service's answer.
type OrderResponse struct {
	Status   int
	Body     []byte
	Repeated bool // the recorded answer of an earlier call
}

// Slot asks the holder of the weights duty for leave to load weights, or says
// that a load is over.
type SlotRequest struct {
	Target fleet.TargetID
	Over   bool
}

// SlotAnswer says whether the target may load now.
type SlotResponse struct{ Granted bool }
