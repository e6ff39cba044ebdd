// Package order makes sure that a request that must not repeat runs at most
// once.
//
// Each such request carries an idempotency key. Before the one dispatch, its
// attempt is claimed in a Log that lives in the platform; only the writer of
// the claim dispatches, and once. What came of it is recorded afterwards. A
// repeated key meets the claim and gets the recorded answer, or is told that
// the outcome is unknown; it never runs again.
//
// Keys are spread over shards, each with a log of its own: a chain of segment
// objects, of which the last one grows by conditional writes. Many claims go
// into one write. A segment that has reached its size is sealed by its last
// write, and the chain goes on with the next number. A log can be written from
// several processes at once: a write based on an old state conflicts, and the
// writer reads on from there before it decides again. Safety therefore rests
// on the platform's conditional writes alone and on no lease or fencing number.
//
// Invariant: for each key there is at most one attempt that was told Claimed
// and neither released nor abandoned by its own writer before dispatch.
package order

import (
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/record"
)

// A Key is the hash of a workspace, a service and an idempotency key.
type Key [16]byte

// KeyOf returns the key's hash. The parts are separated by their lengths.
func KeyOf(workspace fleet.WorkspaceID, model fleet.ModelID, idempotencyKey string) Key {
	text := fmt.Sprintf("%d %s %d %s %s", len(workspace), workspace, len(model), model, idempotencyKey)
	sum := blake3.Sum256([]byte(text))
	return Key(sum[:16])
}

// A Digest is the hash of a request, by which a key that is used for another
// request is found out.
type Digest [8]byte

// DigestOf returns the hash of an operation and its body.
func DigestOf(operation string, body []byte) Digest {
	hasher := blake3.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(hasher, "%d %s ", len(operation), operation)
	_, _ = hasher.Write(body)
	return Digest(hasher.Sum(nil)[:8])
}

// AttemptID names an attempt uniquely over all processes.
type AttemptID string

// A Shard numbers a log.
type Shard uint32

// ShardOf returns the shard of a key.
func ShardOf(key Key, shards int) Shard {
	n := uint32(key[0])<<24 | uint32(key[1])<<16 | uint32(key[2])<<8 | uint32(key[3])
	return Shard(n % uint32(max(1, shards)))
}

// Kind is what an entry of a log says.
type Kind uint8

// The kinds of entries.
const (
	Claim   Kind = iota // the attempt is about to be dispatched
	Finish              // the attempt ran, with its answer
	Release             // the attempt was not dispatched, or provably refused
)

// An Entry is one line of a log.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     Key
	Digest  Digest
	Attempt AttemptID
	Status  int    // of the answer
	Answer  []byte // nil if it is too long to keep
	At      int64  // seconds since 1970 on the writer's clock
}

// MaxAnswerBytes is the longest answer that is kept for repeats.
const MaxAnswerBytes = 1024

// A Segment is one object of a log.
type Segment struct {
	Sealed  bool
	Entries []Entry
}

// segmentName returns the name of a shard's segment.
func segmentName(shard Shard, number uint64) record.Name {
	return record.Name(fmt.Sprintf("Orders/%d/Segment/%d", shard, number))
}

// firstName returns the name of the object that holds the number of a shard's
// first segment.
func firstName(shard Shard) record.Name {
	return record.Name(fmt.Sprintf("Orders/%d/First", shard))
}

// Decision is what became of an entry that was to be committed.
type Decision uint8

const (
	// DecisionRecorded means that the entry is in the log. For a claim: dispatch now.
	DecisionRecorded Decision = iota
	// DecisionFinished means that an earlier attempt of the key ran.
	DecisionFinished
	// DecisionOpen means that an earlier attempt is claimed and its outcome unknown.
	DecisionOpen
	// DecisionMismatch means that the key was used for another request.
	DecisionMismatch
	// DecisionFailed means that the log could not be written. A claim that failed must
	// not be dispatched; it counts as abandoned.
	DecisionFailed
)

// A Result is a verdict with the record of the earlier attempt, if any.
type Result struct {
	Decision Decision
	Earlier  KeyState
	Err      error // of Failed
}

// A KeyState is what a log knows of a key.
type KeyState struct {
	Digest    Digest
	Attempt   AttemptID // of an open claim
	Finished  bool
	Status    int
	Answer    []byte
	ClaimTime time.Time // of the claim
}
