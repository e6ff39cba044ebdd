// Package engine binds hibiscuslb to model engines.
//
// An engine runs many requests at once. It streams an answer as pieces with
// consecutive indexes and closes it with an end mark that holds the number of
// pieces; an answer without its end mark is not whole. A stream can be resumed
// at an index. An engine keeps cache blocks in limited memory, exports them to
// store hosts and imports them from there.
//
// Errors tell the outcome. A RefusedError says that the engine took no part of
// the request; a BrokenError says that it may have.
//
// This is the only package that knows how engines are spoken to.
package engine

import (
	"fmt"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// Attempt identifies one dispatch of a request. Answers carry it, so that late
// and crossed ones are told apart.
type Attempt string

// Priority orders waiting requests; a smaller one goes first.
type Priority int

// A Request asks an engine for an answer.
type Request struct {
	Attempt   Attempt
	Workspace fleet.WorkspaceID
	Model     fleet.ModelID
	Version   fleet.WeightVersion
	Priority  Priority
	Prompt    []byte
	Blocks    []cache.Key // the prompt's whole blocks, named for this version
	MaxTokens fleet.Tokens
	From      fleet.Tokens // index of the first piece wanted
	Fence     fleet.Epoch
}

// A Piece is one message of an answer's stream. The first message has Start
// set, the last one End.
type Piece struct {
	Attempt Attempt
	Index   fleet.Tokens
	Text    string       `json:",omitempty"`
	Start   *Start       `json:",omitempty"`
	End     bool         `json:",omitempty"`
	Count   fleet.Tokens `json:",omitempty"` // with End: pieces from index zero on
	Failed  string       `json:",omitempty"` // the engine gave up
}

// Start tells how much of the prompt came from the cache.
type Start struct {
	Incarnation fleet.Incarnation
	Cached      fleet.Tokens
	Computed    fleet.Tokens
}

// A Report is what an engine publishes of itself. It lags by Age.
type Report struct {
	Incarnation fleet.Incarnation
	Version     fleet.WeightVersion
	Loading     bool
	Cold        bool
	Runs        []Attempt // that it works on
	Age         time.Duration
	Events      []Event // since the sequence number asked for
	Last        uint64  // sequence number of the last event known
	Gap         bool    // events in between are lost
}

// An Event tells that a block entered or left the engine's cache.
type Event struct {
	Sequence uint64
	Key      cache.Key
	Removed  bool
}

// An Import orders an engine to take a block from a store, if it still has the
// weight version that the block is for.
type Import struct {
	Key     cache.Key
	Version fleet.WeightVersion
	Store   fleet.Address
	Seal    cache.Seal
	Fence   fleet.Epoch
}

// An Export orders an engine to write a block to a store.
type Export struct {
	Key   cache.Key
	Store fleet.Address
	Fence fleet.Epoch
}

// A Load orders an engine to load a weight version.
type Load struct {
	Version fleet.WeightVersion
	Fence   fleet.Epoch
}

// A NotRunError reports that the engine provably took no part of a request.
type NotRunError struct {
	Address fleet.Address
	Status  int // HTTP status, zero when no connection could be made
	Detail  string
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("engine %s refused (status %d): %s", e.Address, e.Status, e.Detail)
}

// A IncompleteError reports that a call ended without its whole answer.
type IncompleteError struct {
	Address fleet.Address
	Cause   error
}

func (e *IncompleteError) Error() string {
	return fmt.Sprintf("engine %s: answer broke: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }
