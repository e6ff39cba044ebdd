package control

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// renew writes the duty's object when that is due, and tells the planner when
// the tenure begins and ends.
func (c *Control) renew(ctx context.Context, now fleet.Instant) {
	c.elect(now)
	if c.writing || c.leaving {
		return
	}
	ordering := c.Ordering != nil && c.Ordering()
	holds := c.duty.Holds(now)
	rushing := holds && ordering && !c.duty.Holder().Ordering
	if holds && !rushing && now < c.duty.End().Add(tenure.Renewal-tenure.Length) {
		return
	}
	w, due := c.duty.Due(now, ordering)
	if !due || !holds && !c.candidate() {
		return
	}
	c.writing = true
	peers := c.drawPeers(hedges)
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.writeDuty(ctx, w, peers)
		c.do(ctx, func(now fleet.Instant) { c.wrote(now, w, o, err) })
	})
}

// candidate reports whether this host should offer to plan: it knows the
// configuration, so that it can decide.
func (c *Control) candidate() bool { return c.table != nil && len(c.targets.entries) > 0 }

const (
	// hedgeTime is how long the store may take before a peer is asked to make
	// the same write, and each peer before the next one is.
	hedgeTime = 200 * time.Millisecond
	// hedges is how many peers are asked at most.
	hedges = 3
)

// written is the result of a write of the duty's object.
type written struct {
	object platform.Object
	err    error
}

// writeDuty writes the record, at the same time through peers if the store
// leaves this host without an answer. One of the writes takes effect; the
// others meet its result.
func (c *Control) writeDuty(ctx context.Context, w tenure.Write, peers []wire.Host) (platform.Object, error) {
	if w.Seen == 0 {
		return c.Store.Create(ctx, platform.KindDuties, DutyName, w.Record)
	}
	results := make(chan written, 1+len(peers))
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Seen, w.Record)
		results <- written{o, err}
	})
	open, last := 1, written{err: ctx.Err()}
	timer := time.NewTimer(hedgeTime)
	defer timer.Stop()
	for open > 0 {
		select {
		case last = <-results:
			open--
			var conflict *platform.ConflictError
			if last.err == nil || errors.As(last.err, &conflict) {
				return last.object, last.err
			}
			timer.Reset(0)
		case <-timer.C:
			if len(peers) == 0 {
				continue
			}
			address := peers[0].Peers
			peers = peers[1:]
			open++
			c.tasks.Go(ctx, func(ctx context.Context) { results <- c.writeThrough(ctx, address, w) })
			timer.Reset(hedgeTime)
		}
	}
	return last.object, last.err
}

// writeThrough asks a peer to make the write.
func (c *Control) writeThrough(ctx context.Context, address fleet.Address, w tenure.Write) written {
	ctx, cancel := context.WithTimeout(ctx, aliveTime)
	defer cancel()
	var answer wire.Renewed
	if err := c.Peers.Ask(ctx, address, wire.KindRenew, wire.Renew{Seen: w.Seen, Record: w.Record}, &answer); err != nil {
		return written{err: err}
	}
	if answer.Conflict {
		return written{err: &platform.ConflictError{Current: answer.Object}}
	}
	return written{object: answer.Object}
}

// RenewFor writes the record for a holder that the store turns away.
func (c *Control) RenewFor(ctx context.Context, ask wire.Renew) (wire.Renewed, error) {
	o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, ask.Seen, ask.Record)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return wire.Renewed{Object: conflict.Current, Conflict: true}, nil
	}
	return wire.Renewed{Object: o}, err
}

func (c *Control) wrote(now fleet.Instant, w tenure.Write, o platform.Object, err error) {
	c.writing = false
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.duty.Written(now, w, o.Revision, c.Settings.Bounds.Lease)
	case errors.As(err, &conflict):
		var record tenure.Record
		if err := platform.Decode(conflict.Current, &record); err != nil {
			c.malformed(conflict.Current, err)
			break
		}
		if record == w.Record {
			// This very write took effect, though its answer was lost.
			c.duty.Written(now, w, conflict.Current.Revision, c.Settings.Bounds.Lease)
			break
		}
		c.duty.Seen(now, conflict.Current.Revision, record)
	default:
		c.Log.Warn().Err(err).Uint64("Epoch", uint64(w.Record.Epoch)).Msg("the planner's duty could not be written")
	}
	c.elect(now)
}

// elect tells the planner of a change of the tenure and shows it to traffic.
func (c *Control) elect(now fleet.Instant) {
	holds := c.duty.Holds(now)
	if holds {
		c.until.Store(int64(c.duty.End()))
		c.epoch.Store(uint64(c.duty.Holder().Epoch))
		c.order.Store(0)
		if c.duty.Holder().Ordering {
			c.order.Store(int64(c.duty.OrdersAt()))
		}
	} else {
		c.until.Store(0)
	}
	if holds == c.planned {
		return
	}
	c.planned = holds
	c.Log.Info().Bool("Planning", holds).Uint64("Epoch", uint64(c.duty.Holder().Epoch)).
		Str("Holder", string(c.duty.Holder().Holder)).Msg("tenure changed")
	if holds {
		c.began = now
		for id := range c.members.hosts {
			c.members.note(now, id, c.members.beats[id].leaving)
		}
	}
	if c.Elected != nil {
		c.Elected(c.duty.Holder().Epoch, holds)
	}
	c.publish()
}

// resignTime bounds the write by which a host gives its duty up.
const resignTime = 500 * time.Millisecond

func (c *Control) resign(ctx context.Context, now fleet.Instant) {
	w, ok := c.duty.Resign(now)
	c.duty.Resigned()
	c.elect(now)
	if !ok {
		return
	}
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resignTime)
		defer cancel()
		_, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Seen, w.Record)
		c.Log.Info().AnErr("Cause", err).Msg("gave the planner's duty up")
	})
}

func isNotFound(err error) bool {
	var missing *platform.NotFoundError
	return errors.As(err, &missing)
}
