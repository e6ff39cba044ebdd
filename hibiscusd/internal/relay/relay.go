// Package relay provides a client of the platform that falls back to other hosts
// when this host cannot reach the platform. In the packages of hibiscusd, the platform
// means its object store, since they use nothing else of it.
//
// A call is relayed only if the direct call got no usable answer or was refused; both
// give an *objectstore.UnknownOutcomeError. Writes are conditional, so a write that
// reaches the platform twice takes effect at most once. The second one gets a
// conflict, which does not show whose write took effect; the writer has to read the
// object back, as after any lost answer.
package relay

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/hibiscusd/internal/wire"
)

// A Client is a platform client that falls back to other hosts.
type Client struct {
	Direct objectstore.Client
	Pool   *peer.Pool
	Peers  func() []fleet.Address // other hosts, in the order in which they are tried
}

var _ objectstore.Client = (*Client)(nil)

const (
	maxPeers     = 2               // hosts tried per call
	relayTimeout = 2 * time.Second // for all of them together
)

// isUnknown reports whether the error means that the call got no usable answer, so
// that it is unknown whether the platform executed it. A refused call has the same
// error; see platform.Records.
func isUnknown(err error) bool {
	var unknown *objectstore.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// Read implements objectstore.Client.
func (c *Client) Read(ctx context.Context, name objectstore.Name) (objectstore.Object, error) {
	object, err := c.Direct.Read(ctx, name)
	if !isUnknown(err) {
		return object, err
	}
	response, ok := c.callPeers(ctx, wire.KindRead, wire.ReadRequest{Name: name})
	switch {
	case !ok:
		return object, err
	case response.Absent:
		return object, &objectstore.NotFoundError{Name: name}
	default:
		return response.Object, nil
	}
}

// Write implements objectstore.Client.
func (c *Client) Write(ctx context.Context, name objectstore.Name, value []byte, expected fleet.Version) (fleet.Version, error) {
	version, err := c.Direct.Write(ctx, name, value, expected)
	if !isUnknown(err) {
		return version, err
	}
	response, ok := c.callPeers(ctx, wire.KindWrite, wire.WriteRequest{Name: name, Value: value, Seen: expected})
	switch {
	case !ok || response.Conflict:
		// The conflict may be with this call's own direct write, so the outcome
		// remains unknown.
		return 0, err
	default:
		return response.Object.Version, nil
	}
}

// Delete implements objectstore.Client. It has no fallback, since no caller depends on
// its result.
func (c *Client) Delete(ctx context.Context, name objectstore.Name, expected fleet.Version) error {
	return c.Direct.Delete(ctx, name, expected)
}

// List implements objectstore.Client, without a fallback.
func (c *Client) List(ctx context.Context, prefix objectstore.Name) (objectstore.Listing, error) {
	return c.Direct.List(ctx, prefix)
}

// Watch implements objectstore.Client, without a fallback: the heartbeats between hosts
// carry the version of the declaration, so a host whose watch fails still learns
// of a new one.
func (c *Client) Watch(ctx context.Context, prefix objectstore.Name, since fleet.Version, wait time.Duration) (objectstore.Listing, error) {
	return c.Direct.Watch(ctx, prefix, since, wait)
}

// callPeers sends the request to other hosts in turn, until one answers. It returns
// false if none does.
func (c *Client) callPeers(ctx context.Context, kind peer.Kind, body any) (wire.ObjectResponse, bool) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	for i, address := range c.Peers() {
		if i == maxPeers {
			break
		}
		var response wire.ObjectResponse
		if err := c.Pool.Call(ctx, address, kind, body, &response); err == nil {
			return response, true
		}
	}
	return wire.ObjectResponse{}, false
}

// Serve executes another host's call with this host's direct client. Exactly one of
// read and write is not nil.
func Serve(ctx context.Context, direct objectstore.Client, read *wire.ReadRequest, write *wire.WriteRequest) (wire.ObjectResponse, error) {
	var response wire.ObjectResponse
	var err error
	if read != nil {
		response.Object, err = direct.Read(ctx, read.Name)
	} else {
		response.Object.Version, err = direct.Write(ctx, write.Name, write.Value, write.Seen)
	}
	var absent *objectstore.NotFoundError
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &absent):
		return wire.ObjectResponse{Absent: true}, nil
	case errors.As(err, &conflict):
		return wire.ObjectResponse{Conflict: true}, nil
	}
	return response, err
}
