package gateway

import (
	"context"
	"errors"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// A Sender sends requests to targets by the way that is open.
type Sender interface {
	// Send is like that of backend.Pool. An error that another host met has a method SentBy.
	Send(ctx context.Context, r *backend.Request) (*backend.Exchange, error)
	// Blames reports whether an error of Send, or of reading the answer, tells something of the
	// target, and not only of the way to it.
	Blames(target fleet.TargetID, err error) bool
}

func (g *Gateway) send(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	if g.Sender == nil {
		return g.Pool.Send(ctx, r)
	}
	return g.Sender.Send(ctx, r)
}

// unlessDoubtful returns the progress to report after the error: other than given if the error does not
// tell anything of the target.
func (g *Gateway) unlessDoubtful(target fleet.TargetID, err error, progress, doubtful plan.Progress) plan.Progress {
	if g.Sender != nil && !g.Sender.Blames(target, err) {
		return doubtful
	}
	return progress
}

// sentBy returns the other host that has sent the request, or has met the error; empty if this host has.
func sentBy(exchange *backend.Exchange, err error) fleet.HostID {
	if err == nil {
		return exchange.Via
	}
	var elsewhere interface{ SentBy() fleet.HostID }
	if errors.As(err, &elsewhere) {
		return elsewhere.SentBy()
	}
	return ""
}
