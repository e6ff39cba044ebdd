// Package relay reaches the platform directly or, where this host can not,
// through another host that can.
//
// A call goes on to other hosts only when the direct one got no answer. Writes
// are conditional, so one that reaches the platform twice takes effect at most
// once; the second is told of a conflict, which the writer settles by reading
// back as after any lost answer.
package relay

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/record"
	"hibiscuslb/hibiscusd/internal/wire"
)

// A Client is a platform client that falls back to other hosts.
type Client struct {
	Direct record.Client
	Pool   *peer.Pool
	Peers  func() []fleet.Address // hosts to fall back to, best first
}

var _ record.Client = (*Client)(nil)

const (
	peersTried   = 2
	relayTimeout = 2 * time.Second
)

// noAnswer reports whether the error leaves open what the platform did.
func noAnswer(err error) bool {
	var unknown *record.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// Read implements record.Client.
func (c *Client) Read(ctx context.Context, name record.Name) (record.Object, error) {
	object, err := c.Direct.Read(ctx, name)
	if !noAnswer(err) {
		return object, err
	}
	stored, ok := c.ask(ctx, wire.KindRead, wire.ReadRequest{Name: name})
	switch {
	case !ok:
		return object, err
	case stored.Absent:
		return object, &record.NotFoundError{Name: name}
	default:
		return stored.Object, nil
	}
}

// Write implements record.Client.
func (c *Client) Write(ctx context.Context, name record.Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	version, err := c.Direct.Write(ctx, name, value, seen)
	if !noAnswer(err) {
		return version, err
	}
	stored, ok := c.ask(ctx, wire.KindWrite, wire.WriteRequest{Name: name, Value: value, Seen: seen})
	switch {
	case !ok || stored.Conflict:
		// After a conflict the first try may be what the second conflicts with.
		return 0, err
	default:
		return stored.Object.Version, nil
	}
}

// Delete implements record.Client. It has no fallback: nothing waits for it.
func (c *Client) Delete(ctx context.Context, name record.Name, seen fleet.Version) error {
	return c.Direct.Delete(ctx, name, seen)
}

// List implements record.Client, without a fallback.
func (c *Client) List(ctx context.Context, prefix record.Name) (record.Listing, error) {
	return c.Direct.List(ctx, prefix)
}

// Watch implements record.Client, without a fallback: hosts hear from their
// witnesses when there is something new.
func (c *Client) Watch(ctx context.Context, prefix record.Name, since fleet.Version, wait time.Duration) (record.Listing, error) {
	return c.Direct.Watch(ctx, prefix, since, wait)
}

func (c *Client) ask(ctx context.Context, kind peer.Kind, body any) (wire.ObjectResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for i, address := range c.Peers() {
		if i == peersTried {
			break
		}
		var stored wire.ObjectResponse
		if err := c.Pool.Call(ctx, address, kind, body, &stored); err == nil {
			return stored, true
		}
	}
	return wire.ObjectResponse{}, false
}

// Serve answers another host's call with this host's direct client.
func Serve(ctx context.Context, direct record.Client, read *wire.ReadRequest, write *wire.WriteRequest) (wire.ObjectResponse, error) {
	var stored wire.ObjectResponse
	var err error
	if read != nil {
		stored.Object, err = direct.Read(ctx, read.Name)
	} else {
		stored.Object.Version, err = direct.Write(ctx, write.Name, write.Value, write.Seen)
	}
	var absent *record.NotFoundError
	var conflict *record.ConflictError
	switch {
	case errors.As(err, &absent):
		return wire.ObjectResponse{Absent: true}, nil
	case errors.As(err, &conflict):
		return wire.ObjectResponse{Conflict: true}, nil
	}
	return stored, err
}
