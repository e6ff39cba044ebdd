// Package wire defines the messages between the hosts of a fleet. They are encoded
// as CBOR and sent in exchanges of package peer. Messages that are sent often are
// encoded as arrays, which omit the field names, so that the order of their fields
// is part of the protocol.
package wire

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/peer"
)

// The kinds of requests between hosts. Their numbers are part of the protocol.
const (
	KindHeartbeat peer.Kind = iota // lease.Heartbeat, answered by lease.Grant
	KindRefuse                     // RefuseRequest, answered by RefuseResponse
	KindRead                       // ReadRequest, answered by ObjectResponse
	KindWrite                      // WriteRequest, answered by ObjectResponse
	KindGenerate                   // GenerateRequest, answered by a sequence of Piece
	KindOrder                      // OrderRequest, answered by OrderResponse
	KindSlot                       // SlotRequest, answered by SlotResponse
)

// RefuseRequest asks a witness to refuse all further grants to a member that is
// being ended, up to a version of its member object.
type RefuseRequest struct {
	Member  lease.Member
	Version fleet.Version // of the write of Ending
}

// RefuseResponse reports whether the witness has refused.
type RefuseResponse struct{ Refused bool }

// ReadRequest asks another host to read an object of the platform's object store.
type ReadRequest struct{ Name objectstore.Name }

// WriteRequest asks another host to write an object of the platform's object store, on
// condition that its version is Seen.
type WriteRequest struct {
	Name  objectstore.Name
	Value []byte
	Seen  fleet.Version
}

// ObjectResponse is the platform's answer to a ReadRequest or WriteRequest. After a
// write, only the version of Object is set.
type ObjectResponse struct {
	Object   objectstore.Object
	Absent   bool // read: the object does not exist
	Conflict bool // write: the object's version was not Seen
}

// GenerateRequest asks a target's owner for an answer to a prompt.
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
	From      fleet.Tokens  // index of the first piece to send
	Deadline  time.Duration // time left until the first token; zero for no deadline
	Last      bool          // no other candidate will be tried, so only Deadline limits the queue time
}

// Piece is one part of an answer. Start is set in the first one only.
type Piece struct {
	_     struct{}     `cbor:",toarray"`
	Index fleet.Tokens // position in the answer, from zero
	Text  string
	Start *engine.Start
	End   bool          // the answer is complete
	Count fleet.Tokens  // with End: number of pieces, counted from index zero
	Wait  time.Duration // with Start: estimated queue time at the target
}

// OrderRequest asks a target's owner to execute an order, that is, a call of a
// plain service.
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
	Deadline   time.Duration // time left for the whole order; zero for no deadline
}

// OrderResponse is the service's answer to an order.
type OrderResponse struct {
	Status   int
	Body     []byte
	Repeated bool // this is the recorded answer of an earlier order with the same key
}

// SlotRequest asks the holder of the duty WeightLoading for permission to load
// weights to a target or, with Over set, returns that permission after the load.
type SlotRequest struct {
	Target fleet.TargetID
	Over   bool
}

// SlotResponse reports whether the target may load now.
type SlotResponse struct{ Granted bool }
