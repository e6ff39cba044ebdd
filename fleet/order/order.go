// Package order ensures that a request that must not be repeated runs at most once.
//
// An order is a call of a plain service. This package handles the orders whose
// operation is not repeatable. It has nothing to do with the orders to load weights of
// package weightupdate.
//
// Each such request carries an idempotency key. Before it is dispatched, its attempt
// is claimed in a Log that is stored in the platform. Only the writer of the claim
// dispatches the request, once, and records the outcome afterwards. A later request
// with the same key finds the claim and gets the recorded answer, or a result that
// the outcome is unknown; it never runs again.
//
// Keys are distributed over shards, each with its own log: a chain of segment
// objects, of which the last one grows by conditional writes. One write can hold many
// claims. The write that brings a segment to its size limit seals it, and the chain
// continues with the next number. Several processes may write a log concurrently: a
// write based on an old state conflicts, and the writer reads the new state before it
// decides again. Safety therefore depends on the platform's conditional writes only,
// and not on leases or fencing tokens.
//
// Invariant: for each key there is at most one attempt whose claim got DecisionRecorded
// and that was neither released nor abandoned by its writer before dispatch.
//
// The package is used by hibiscusd.
package order

import (
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/objectstore"
)

// A Key is the hash of a workspace, a service and an idempotency key.
type Key [16]byte

// KeyOf returns the hash of the three parts. The lengths of the first two are part of the
// hash input, so that different parts never yield the same input.
func KeyOf(workspace fleet.WorkspaceID, service fleet.ModelID, idempotencyKey string) Key {
	text := fmt.Sprintf("%d %s %d %s %s", len(workspace), workspace, len(service), service, idempotencyKey)
	sum := blake3.Sum256([]byte(text))
	return Key(sum[:16])
}

// A Digest is the hash of a request. It detects that a key is reused for another
// request.
type Digest [8]byte

// DigestOf returns the hash of an operation and its body.
func DigestOf(operation string, body []byte) Digest {
	hasher := blake3.New()
	// Writes to a hash never fail.
	_, _ = fmt.Fprintf(hasher, "%d %s ", len(operation), operation)
	_, _ = hasher.Write(body)
	return Digest(hasher.Sum(nil)[:8])
}

// AttemptID identifies an attempt uniquely across all processes.
type AttemptID string

// A Shard is the number of a log.
type Shard uint32

// ShardOf returns the shard of a key.
func ShardOf(key Key, shards int) Shard {
	n := uint32(key[0])<<24 | uint32(key[1])<<16 | uint32(key[2])<<8 | uint32(key[3])
	return Shard(n % uint32(max(1, shards)))
}

// Kind is the kind of an entry.
type Kind uint8

// The kinds of entries.
const (
	Claim   Kind = iota // the attempt is about to be dispatched
	Finish              // the attempt ran, with its answer
	Release             // the attempt was not dispatched, or was refused without running
)

// An Entry is an element of a log.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     Key
	Digest  Digest
	Attempt AttemptID
	Status  int    // HTTP status of the answer
	Answer  []byte // nil if it is too long to keep
	// At is the time of the attempt's claim, in seconds since 1970 on the writer's
	// clock. The attempt's Finish or Release has the same time.
	At int64
}

// MaxAnswerBytes is the size of the longest answer that is stored for repeated
// requests.
const MaxAnswerBytes = 1024

// A Segment is the content of one object of a log. A sealed segment never changes.
type Segment struct {
	Sealed  bool
	Entries []Entry
}

// segmentName returns the name of a shard's segment.
func segmentName(shard Shard, number uint64) objectstore.Name {
	return objectstore.Name(fmt.Sprintf("Orders/%d/Segment/%d", shard, number))
}

// firstNumberName returns the name of the object that holds the number of a shard's
// first segment.
func firstNumberName(shard Shard) objectstore.Name {
	return objectstore.Name(fmt.Sprintf("Orders/%d/First", shard))
}

// Decision is the result of committing an entry.
type Decision uint8

const (
	// DecisionRecorded means that the entry is in the log. A claim may be
	// dispatched now.
	DecisionRecorded Decision = iota
	// DecisionFinished means that an earlier attempt of the key ran.
	DecisionFinished
	// DecisionOpen means that an earlier attempt is claimed and its outcome is
	// unknown.
	DecisionOpen
	// DecisionMismatch means that the key was claimed for another request.
	DecisionMismatch
	// DecisionFailed means that the log could not be written, or that the answer of
	// an earlier attempt could not be read. A claim that failed must not be
	// dispatched; it counts as abandoned.
	DecisionFailed
)

// A Result is the decision on an entry, with the state of its key if an earlier attempt
// has claimed it.
type Result struct {
	Decision Decision
	Earlier  KeyState
	Err      error // for DecisionFailed
}

// A KeyState is the state of a key in a log.
type KeyState struct {
	Digest    Digest
	Attempt   AttemptID // of an open claim; empty if Finished
	Finished  bool
	Status    int    // HTTP status of the answer
	Answer    []byte // nil if it was too long to keep
	ClaimTime time.Time
}
