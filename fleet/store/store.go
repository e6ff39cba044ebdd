// Package store implements the client of store hosts, which keep cache blocks in
// memory and on disk behind a network link of limited bandwidth. It is the only
// package that depends on the protocol of store hosts.
//
// Blocks do not pass through the hosts that run hibiscusd: these instruct engines to
// import and export blocks, and only ask store hosts which blocks they have. Each
// answer of a store host includes how long its link is busy with earlier transfers, so
// that no separate report is needed.
package store

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/internal/call"
)

// Tier is the storage medium of a block.
type Tier string

// The tiers of a store host.
const (
	Memory Tier = "Memory"
	Disk   Tier = "Disk"
)

// StoredBlock describes a block in a store and how long it takes to read.
type StoredBlock struct {
	Seal cache.Seal
	Tier Tier
	Wait time.Duration  // until the link is free
	Rate fleet.ByteRate // transfer rate of the tier
}

// ImportTime returns how long an import of the block takes, including the wait.
func (b StoredBlock) ImportTime() time.Duration { return b.Wait + b.Rate.Time(b.Seal.Length) }

// Error reports a failed call to a store host.
type Error struct {
	Address fleet.Address
	Status  int // HTTP status; zero if there was none
	Cause   error
}

func (e *Error) Error() string {
	return fmt.Sprintf("store %s: call failed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotFound reports whether the store host answered that it does not have the
// block.
func (e *Error) NotFound() bool { return e.Status == http.StatusNotFound }

// Client calls one store host. Its methods return errors of type *Error.
type Client struct{ Address fleet.Address }

func (c *Client) wrap(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Address: c.Address, Status: call.Status(err), Cause: err}
}

// Find returns the blocks of the given keys, in order, up to the first key that
// the store host does not have.
func (c *Client) Find(ctx context.Context, keys []cache.Key) ([]StoredBlock, error) {
	var blocks []StoredBlock
	err := call.JSON(ctx, http.MethodPost, c.Address, "/find", keys, &blocks)
	return blocks, c.wrap(err)
}

// Reserve allocates space for a block of the given length. The seal that it returns
// has no checksum yet; Write needs it with the checksum of the content.
func (c *Client) Reserve(ctx context.Context, key cache.Key, length fleet.Bytes) (cache.Seal, error) {
	var seal cache.Seal
	path := fmt.Sprintf("/blocks/%s?Length=%d", key, length)
	err := call.JSON(ctx, http.MethodPost, c.Address, path, nil, &seal)
	return seal, c.wrap(err)
}

// Write writes the content of a reserved block and seals it with the checksum.
func (c *Client) Write(ctx context.Context, key cache.Key, seal cache.Seal, content []byte) error {
	path := fmt.Sprintf("/blocks/%s/%d?Checksum=%d", key, seal.Generation, seal.Checksum)
	response, err := call.Open(ctx, http.MethodPut, c.Address, path, nil, content)
	if err != nil {
		return c.wrap(err)
	}
	return c.wrap(response.Body.Close())
}

// Free removes a block.
func (c *Client) Free(ctx context.Context, key cache.Key, generation cache.Generation) error {
	path := "/blocks/" + key.String() + "/" + strconv.FormatUint(uint64(generation), 10)
	return c.wrap(call.JSON(ctx, http.MethodDelete, c.Address, path, nil, nil))
}
