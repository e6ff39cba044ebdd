// Package engine implements the client of hibiscusd's model engines. It is the only
// package that depends on their protocol. The engines of hibiscusfront have another
// one, see module platform.
//
// An engine runs many requests concurrently. It streams an answer as pieces with
// consecutive indexes and ends it with an end mark that holds the number of
// pieces; an answer without its end mark is incomplete. A stream can be resumed
// at an index. An engine keeps cache blocks in limited memory, exports them to
// store hosts and imports them from there.
//
// Errors tell whether the request ran: a NotRunError means that the engine
// provably did not run any part of it, an IncompleteError that it may have.
//
// Requests and commands other than Cancel carry a fencing token in the field Fence: the
// epoch in which the sender holds the duty for the engine, see package duty. An engine
// may refuse one whose token is lower than the highest that it has received.
package engine

import (
	"fmt"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// Attempt identifies one dispatch of a request. Answers contain it, so that
// pieces of another attempt are detected.
type Attempt string

// Priority orders waiting requests; smaller values are more urgent.
type Priority int

// Request is a request for an answer.
type Request struct {
	Attempt   Attempt
	Workspace fleet.WorkspaceID
	Model     fleet.ModelID
	Version   fleet.WeightVersion
	Priority  Priority
	Prompt    []byte
	Blocks    []cache.Key // keys of the prompt's complete blocks, for this version
	MaxTokens fleet.Tokens
	From      fleet.Tokens // index of the first piece to send
	Fence     fleet.Epoch
}

// Piece is one message of an answer's stream. Start is set in the first message,
// End in the last one.
type Piece struct {
	Attempt Attempt
	Index   fleet.Tokens
	Text    string       `json:",omitempty"`
	Start   *Start       `json:",omitempty"`
	End     bool         `json:",omitempty"`
	Count   fleet.Tokens `json:",omitempty"` // with End: number of pieces, counted from index zero
	Failed  string       `json:",omitempty"` // reason why the engine aborted the answer
}

// Start tells how much of the prompt was read from the cache and how much was
// computed.
type Start struct {
	Incarnation fleet.Incarnation
	Cached      fleet.Tokens
	Computed    fleet.Tokens
}

// Report is the state that an engine publishes, as it was the time Age ago.
type Report struct {
	Incarnation fleet.Incarnation
	Version     fleet.WeightVersion
	Loading     bool
	Cold        bool
	Runs        []Attempt // attempts in progress
	Age         time.Duration
	Events      []Event // after the requested sequence number
	Last        uint64  // sequence number of the latest event
	Gap         bool    // events after the requested number are lost
}

// Event reports that a block was added to or removed from the engine's cache.
type Event struct {
	Sequence uint64
	Key      cache.Key
	Removed  bool
}

// Import instructs an engine to read a block from a store, unless the engine no
// longer has the block's weight version.
type Import struct {
	Key     cache.Key
	Version fleet.WeightVersion
	Store   fleet.Address
	Seal    cache.Seal
	Fence   fleet.Epoch
}

// Export instructs an engine to write a block to a store.
type Export struct {
	Key   cache.Key
	Store fleet.Address
	Fence fleet.Epoch
}

// Load instructs an engine to load a weight version.
type Load struct {
	Version fleet.WeightVersion
	Fence   fleet.Epoch
}

// NotRunError reports that the engine provably did not run any part of a request.
type NotRunError struct {
	Address fleet.Address
	Status  int    // HTTP status; zero if there was no connection
	Detail  string // includes the status, if there is one
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("engine %s did not run the request: %s", e.Address, e.Detail)
}

// IncompleteError reports that a call ended before its complete answer arrived.
// The request may have run.
type IncompleteError struct {
	Address fleet.Address
	Cause   error
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("engine %s: no complete answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }
