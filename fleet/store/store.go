// Package store binds hibiscuslb to store hosts, which keep cache blocks in
// memory and on disk behind a limited link.
//
// Blocks do not pass through entry hosts: nodes order engines to import and
// export, and ask stores only what they hold. Every answer of a store carries
// how long its link is booked ahead, so that nodes need no other report.
//
// This is the only package that knows how stores are spoken to.
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

// Tier is where a block lies.
type Tier string

// The tiers of a store host.
const (
	Memory Tier = "Memory"
	Disk   Tier = "Disk"
)

// A StoredBlock says that a store has a block and how long reading it would take.
type StoredBlock struct {
	Seal cache.Seal
	Tier Tier
	Wait time.Duration // until the link is free
	Rate fleet.ByteRate
}

// ImportTime returns how long an import of the block takes.
func (h StoredBlock) ImportTime() time.Duration { return h.Wait + h.Rate.Time(h.Seal.Length) }

// An Error reports a failed call to a store.
type Error struct {
	Address fleet.Address
	Status  int
	Cause   error
}

func (e *Error) Error() string {
	return fmt.Sprintf("store %s (status %d): %v", e.Address, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NotFound reports whether the store answered that it has no such block.
func (e *Error) NotFound() bool { return e.Status == http.StatusNotFound }

// A Client speaks to one store host.
type Client struct{ Address fleet.Address }

func (c *Client) wrap(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Address: c.Address, Status: call.Status(err), Cause: err}
}

// Find returns what the store holds of the keys, in their order, up to the
// first that it lacks.
func (c *Client) Find(ctx context.Context, keys []cache.Key) ([]StoredBlock, error) {
	var holdings []StoredBlock
	err := call.JSON(ctx, http.MethodPost, c.Address, "/find", keys, &holdings)
	return holdings, c.wrap(err)
}

// Reserve makes room for a block.
func (c *Client) Reserve(ctx context.Context, key cache.Key, length fleet.Bytes) (cache.Seal, error) {
	var seal cache.Seal
	path := fmt.Sprintf("/blocks/%s?Length=%d", key, length)
	err := call.JSON(ctx, http.MethodPost, c.Address, path, nil, &seal)
	return seal, c.wrap(err)
}

// Write fills a reserved block and seals it with the checksum.
func (c *Client) Write(ctx context.Context, key cache.Key, seal cache.Seal, content []byte) error {
	path := fmt.Sprintf("/blocks/%s/%d?Checksum=%d", key, seal.Generation, seal.Checksum)
	response, err := call.Open(ctx, http.MethodPut, c.Address, path, nil, content)
	if err != nil {
		return c.wrap(err)
	}
	return c.wrap(response.Body.Close())
}

// Free gives up a block.
func (c *Client) Free(ctx context.Context, key cache.Key, generation cache.Generation) error {
	path := "/blocks/" + key.String() + "/" + strconv.FormatUint(uint64(generation), 10)
	return c.wrap(call.JSON(ctx, http.MethodDelete, c.Address, path, nil, nil))
}
