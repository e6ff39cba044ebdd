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

const (
	// lookPause is the pause between two reads of the duty's object while
	// nothing is heard from its holder.
	lookPause = 300 * time.Millisecond
)

// look reads the duty's object while nothing is heard from its holder, so that
// its end is seen.
func (c *Control) look(ctx context.Context, now fleet.Instant) {
	if c.reading || c.leaving || c.planned || c.outage || now.Sub(c.planner) < quietTime+c.standBack() || now.Sub(c.looked) < lookPause {
		return
	}
	c.reading, c.looked = true, now
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.Store.Read(ctx, platform.KindDuties, DutyName)
		c.do(ctx, func(now fleet.Instant) {
			c.reading = false
			switch {
			case err == nil:
				c.dutySeen(now, o)
			case isNotFound(err):
				c.duty.ObserveAbsent(now)
			default:
				c.unreached(now, platform.KindDuties, err)
			}
		})
	})
}

// dutySeen takes the duty's object.
func (c *Control) dutySeen(now fleet.Instant, o platform.Object) {
	var record tenure.Record
	if err := platform.DecodeSpec(o, &record); err != nil {
		c.malformed(o, err)
		return
	}
	c.duty.Observe(now, o.Revision, record)
	c.elect(now)
}

// renew writes the duty's object when that is due, and tells the planner when
// the tenure begins and ends.
func (c *Control) renew(ctx context.Context, now fleet.Instant) {
	c.elect(now)
	if c.writing || c.leaving {
		return
	}
	if c.outage && now.Sub(c.tried) < lookPause {
		return
	}
	ordering := c.WantsOrders != nil && c.WantsOrders()
	holds := c.duty.Holds(now)
	rushing := holds && ordering && !c.duty.Record().Ordering
	if holds && !rushing && now < c.duty.LeaseEnd().Add(tenure.RenewInterval-tenure.LeaseDuration) {
		return
	}
	w, due := c.duty.NextWrite(now, ordering)
	if !due || !holds && !c.candidate(now) {
		return
	}
	if holds && c.members.rank(c.Self) >= standbys && now.Sub(c.began) > handOverTime {
		c.Log.Info().Msg("larger hosts are there; giving the planner's duty up")
		c.resign(ctx, now)
		return
	}
	c.writing, c.tried = true, now
	peers := c.drawPeers(hedges)
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.writeDuty(ctx, w, peers)
		c.do(ctx, func(now fleet.Instant) { c.wrote(now, w, o, err) })
	})
}

const (
	// standbys is how many hosts stand by to succeed the planner: the largest.
	// The others would only add calls and conflicts.
	standbys = 6
	// standBackTime is how long all others leave it to them.
	standBackTime = 1500 * time.Millisecond
	// handOverTime is how long a host plans that larger ones should succeed.
	handOverTime = time.Second
)

// standBack is how long this host leaves it to others to act when the planner
// is gone.
func (c *Control) standBack() time.Duration {
	if c.members.rank(c.Self) < standbys {
		return 0
	}
	return standBackTime
}

// candidate reports whether this host should offer to plan: it knows the
// configuration, so that it can decide, and it is not for others to do so.
func (c *Control) candidate(now fleet.Instant) bool {
	if c.table == nil || len(c.targets.entries) == 0 {
		c.vacant = 0
		return false
	}
	if c.vacant == 0 || now.Sub(c.vacant) > 2*standBackTime {
		c.vacant = now
	}
	return now.Sub(c.vacant) >= c.standBack()
}

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
	if w.Expected == 0 {
		return c.Store.Create(ctx, platform.KindDuties, DutyName, w.Record)
	}
	results := make(chan written, 1+len(peers))
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Expected, w.Record)
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
	var answer wire.RenewReply
	if err := c.Peers.Ask(ctx, address, wire.KindRenew, wire.RenewRequest{Seen: w.Expected, Record: w.Record}, &answer); err != nil {
		return written{err: err}
	}
	if answer.Conflict {
		return written{err: &platform.ConflictError{Current: answer.Object}}
	}
	return written{object: answer.Object}
}

// RenewFor writes the record for a holder that the store turns away.
func (c *Control) HandleRenew(ctx context.Context, ask wire.RenewRequest) (wire.RenewReply, error) {
	o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, ask.Seen, ask.Record)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return wire.RenewReply{Object: conflict.Current, Conflict: true}, nil
	}
	return wire.RenewReply{Object: o}, err
}

func (c *Control) wrote(now fleet.Instant, w tenure.Write, o platform.Object, err error) {
	c.writing = false
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.duty.WriteSucceeded(now, w, o.Revision, c.bounds.Lease)
	case errors.As(err, &conflict):
		var record tenure.Record
		if platform.DecodeSpec(conflict.Current, &record) == nil && record == w.Record {
			// This very write took effect, though its answer was lost.
			c.duty.WriteSucceeded(now, w, conflict.Current.Revision, c.bounds.Lease)
			break
		}
		c.dutySeen(now, conflict.Current)
	default:
		c.Log.Warn().Err(err).Uint64("Epoch", uint64(w.Record.Epoch)).Msg("the planner's duty could not be written")
	}
	c.elect(now)
}

// elect tells the planner of a change of the tenure and shows it to traffic.
func (c *Control) elect(now fleet.Instant) {
	holds := c.duty.Holds(now)
	if holds {
		c.until.Store(int64(c.duty.LeaseEnd()))
		from, until := c.duty.OrderWindow()
		c.orderFrom.Store(int64(from))
		c.orderUntil.Store(int64(until))
		c.lame.Store(0)
	} else {
		c.until.Store(0)
		c.limp(now)
	}
	plans := holds || now < fleet.Instant(c.lame.Load())
	if plans == c.planned && (!plans || c.duty.Record().Epoch == c.elected) {
		return
	}
	c.planned, c.elected = plans, c.duty.Record().Epoch
	c.Log.Info().Bool("Planning", plans).Uint64("Epoch", uint64(c.duty.Record().Epoch)).
		Str("Holder", string(c.duty.Record().Holder)).Msg("tenure changed")
	if plans {
		c.began = now
		c.roll, c.rollHosts = wire.MembershipVersion{Epoch: c.duty.Record().Epoch}, nil
		c.members.inherit(now)
	}
	if c.OnTenureChange != nil {
		c.OnTenureChange(c.duty.Record().Epoch, plans)
	}
	c.publish()
	if plans {
		c.announce()
	}
}

const (
	// lameTime is how long a planner plans on after its tenure ended because
	// no host could write to the store.
	lameTime = 15 * time.Second
	// lameStep is how long one look at the other hosts allows it.
	lameStep = 150 * time.Millisecond
	// nearTime is how old a heartbeat may be that shows a host to be in reach.
	nearTime = 700 * time.Millisecond
)

// limp lets a planner plan on while the store is down for all, so that requests
// are still planned in one place. Nobody can succeed it without the store, and
// whoever does tells the other hosts at once. So it plans on while it hears
// from most hosts and none of them knows a successor. It gives no orders and
// frees nothing.
func (c *Control) limp(now fleet.Instant) {
	end := c.duty.LeaseEnd()
	if c.leaving || !c.planned || end == 0 || c.duty.Record().Holder != c.Self.ID || now.Sub(end) > lameTime ||
		!c.members.most(now, c.Self.ID) {
		c.lame.Store(0)
		return
	}
	c.lame.Store(int64(now.Add(lameStep)))
}

// resignTime bounds the write by which a host gives its duty up.
const resignTime = 500 * time.Millisecond

func (c *Control) resign(ctx context.Context, now fleet.Instant) {
	w, ok := c.duty.ResignWrite(now)
	c.duty.Release()
	c.elect(now)
	if !ok {
		return
	}
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resignTime)
		defer cancel()
		_, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Expected, w.Record)
		c.Log.Info().AnErr("Cause", err).Msg("gave the planner's duty up")
	})
}

func isNotFound(err error) bool {
	var missing *platform.NotFoundError
	return errors.As(err, &missing)
}
