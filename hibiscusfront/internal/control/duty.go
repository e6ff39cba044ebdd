package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/storeclock"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

const (
	// dutyReadInterval is the time between two reads of the duty's object
	// while the planner does not reply. It is also the shortest time between two
	// writes of that object while calls to the store fail.
	dutyReadInterval = 300 * time.Millisecond
	// fullCoreDutyRead is when a host with one core reads the duty's object after
	// its first start. The time grows with the square of the inverse of the cores, so
	// that the largest host reads first although all start within 0.3 s.
	fullCoreDutyRead = 60 * time.Millisecond
	// maxFirstDutyRead bounds that time.
	maxFirstDutyRead = 400 * time.Millisecond
)

// firstDutyRead returns when a host reads the duty's object after its start. A host with
// unknown cores reads at once. So does one of a fleet that has run before: it needs what
// the object holds to serve its first request.
func firstDutyRead(cores float64, firstStart bool) time.Duration {
	if cores <= 0 || !firstStart {
		return 0
	}
	return min(time.Duration(float64(fullCoreDutyRead)/cores/cores), maxFirstDutyRead)
}

// readDuty reads the duty's object while the planner does not reply, so that this
// host sees the end of the tenure. A host that starts reads it soon, and again until it has an
// answer: it may not serve before.
//
// If a whole fleet starts for the first time, the host that reads first becomes the
// planner. A host with few cores reads later, since it could not answer all others.
func (c *Control) readDuty(ctx context.Context, now fleet.Instant) {
	known, interval := c.duty.Known(), dutyReadInterval
	if !known {
		interval = minRetryPause
	}
	if c.dutyReading || c.leaving || c.planning || now.Sub(c.lastDutyRead) < interval {
		return
	}
	if c.lastDutyRead == 0 && now.Sub(c.lastPlannerReply) < firstDutyRead(c.Self.Cores, c.Settings.FirstStart) {
		return
	}
	if known && (c.storeOutage || c.lastDutyRead > 0 && !c.silent(now, c.lastPlannerReply)) {
		return
	}
	c.dutyReading, c.lastDutyRead = true, now
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.Store.Read(ctx, platform.KindDuties, DutyName)
		c.enqueue(ctx, func(now fleet.Instant) {
			c.dutyReading = false
			switch {
			case err == nil:
				c.applyDuty(now, o)
			case c.recordAbsent(now, err):
			default:
				c.recordStoreFailure(now, platform.KindDuties, err)
			}
		})
	})
}

// applyDuty applies the duty's object as read from the store.
func (c *Control) applyDuty(now fleet.Instant, o platform.Object) {
	var record election.Record
	if err := platform.DecodeSpec(o, &record); err != nil {
		c.logMalformed(o, err)
		return
	}
	c.duty.Observe(now, o.Revision, record)
	c.updateTenure(now)
}

// writeDutyIfDue writes the duty's object to renew the tenure, to take over a
// vacant duty, or to obtain the right to send orders.
func (c *Control) writeDutyIfDue(ctx context.Context, now fleet.Instant) {
	c.updateTenure(now)
	if c.dutyWriting || c.leaving {
		return
	}
	if c.storeOutage && now.Sub(c.lastDutyWrite) < dutyReadInterval {
		return
	}
	if c.handOverIfCutOff(ctx, now) {
		return
	}
	ordering := c.WantsOrders != nil && c.WantsOrders()
	holds := c.duty.Holds(now)
	wantsOrderRight := holds && ordering && !c.duty.Record().Ordering
	if holds && !wantsOrderRight && now < c.duty.LeaseEnd().Add(election.RenewInterval-election.LeaseDuration) {
		return
	}
	w, due := c.duty.NextWrite(now, ordering)
	if !due || !holds && !c.isCandidate(now) {
		return
	}
	if holds && c.mustHandOver(now) {
		c.Log.Info().Msgf("resigning the planner's duty: %d or more live hosts have more cores or a faster link", standbyCount)
		c.resign(ctx, now, wire.Host{}, 0)
		return
	}
	if c.isInTouch(now) {
		w.Record.Passes = 0
	}
	if c.planning && c.Quarantine != nil {
		w.Record.Quarantine = c.Quarantine()
	}
	if c.planning && c.Versions != nil {
		// A planner that does not know all of them keeps what it found.
		if versions := c.Versions(); len(versions) > 0 {
			w.Record.Versions = versions
		}
	}
	c.dutyWriting, c.lastDutyWrite = true, now
	peers := c.samplePeers(maxHedges)
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.writeDuty(ctx, w, peers)
		c.enqueue(ctx, func(now fleet.Instant) { c.dutyWritten(now, w, o, err) })
	})
}

const (
	// standbyCount is the number of hosts, the first in the order of members.rank,
	// that stand by to succeed the planner. More would only add calls and write
	// conflicts.
	standbyCount = 6
	// nonStandbyDelay is how long other hosts wait for a standby to act.
	nonStandbyDelay = 1500 * time.Millisecond
	// handOverDelay is how long a planner that is smaller than the standbys plans
	// before it resigns so that one of them can take over.
	handOverDelay = time.Second
)

// mustHandOver reports whether this host, the planner, has to resign so that a larger one
// can take over.
func (c *Control) mustHandOver(now fleet.Instant) bool {
	return c.members.larger(c.Self) >= standbyCount && now.Sub(c.planningSince) > handOverDelay
}

// silent reports whether the last reply is so old that this host has to act itself.
func (c *Control) silent(now, lastReply fleet.Instant) bool {
	silence := now.Sub(lastReply)
	// The delay is computed only if it matters: it depends on all hosts.
	return silence > watcherTimeout && silence > watcherTimeout+c.standbyDelay()
}

// standbyDelay returns how long this host waits for others to act when the
// planner has failed.
func (c *Control) standbyDelay() time.Duration {
	if c.members.rank(c.Self) < standbyCount {
		return 0
	}
	return nonStandbyDelay
}

// isCandidate reports whether this host should try to become the planner: it
// knows a configuration, targets and what restricts their use, without which it could not decide, and has
// given the standbys time to act first.
func (c *Control) isCandidate(now fleet.Instant) bool {
	if c.table == nil || len(c.targets.entries) == 0 || !c.knowsRestrictions() {
		c.vacantSince = 0
		return false
	}
	// Each holder writes the record, so a vacancy belongs to one revision of it.
	if revision := c.duty.Revision(); c.vacantSince == 0 || c.vacantRevision != revision {
		c.vacantSince, c.vacantRevision = now, revision
	}
	return now.Sub(c.vacantSince) >= c.takeoverDelay()
}

const (
	// hedgeDelay is how long the store, or a peer, may take before the next
	// peer is asked to make the same write.
	hedgeDelay = 200 * time.Millisecond
	// maxHedges is the largest number of peers that are asked.
	maxHedges = 3
)

// writeResult is the result of a write of the duty's object.
type writeResult struct {
	object platform.Object
	err    error
}

// writeDuty writes the record, and hedges the write through peers if the call of
// this host fails or gets no answer within hedgeDelay. At most one of the writes
// takes effect, because each replaces the same revision; the others return a
// conflict with its result. A write that creates the object is not hedged.
func (c *Control) writeDuty(ctx context.Context, w election.Write, peers []wire.Host) (platform.Object, error) {
	if w.Expected.Number == 0 {
		return c.Store.CreateInEra(ctx, platform.KindDuties, DutyName, w.Expected.Era, w.Record)
	}
	results := make(chan writeResult, 1+len(peers))
	c.tasks.Go(ctx, func(ctx context.Context) {
		o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Expected, w.Record)
		results <- writeResult{o, err}
	})
	outstanding, last := 1, writeResult{err: ctx.Err()}
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for outstanding > 0 {
		select {
		case last = <-results:
			outstanding--
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
			outstanding++
			c.tasks.Go(ctx, func(ctx context.Context) { results <- c.writeViaPeer(ctx, address, w) })
			timer.Reset(hedgeDelay)
		}
	}
	return last.object, last.err
}

// writeViaPeer asks a peer to make the write.
func (c *Control) writeViaPeer(ctx context.Context, address fleet.Address, w election.Write) writeResult {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer wire.RenewReply
	if err := c.Peers.Call(ctx, address, wire.KindRenew, wire.RenewRequest{Seen: w.Expected, Record: w.Record}, &answer); err != nil {
		return writeResult{err: err}
	}
	if answer.Conflict {
		return writeResult{err: &platform.ConflictError{Current: answer.Object}}
	}
	return writeResult{object: answer.Object}
}

// HandleRenew writes the record on behalf of a host that renews or takes over the
// duty and whose own call to the store failed or got no answer in time.
func (c *Control) HandleRenew(ctx context.Context, request wire.RenewRequest) (wire.RenewReply, error) {
	o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, request.Seen, request.Record)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return wire.RenewReply{Object: conflict.Current, Conflict: true}, nil
	}
	return wire.RenewReply{Object: o}, err
}

func (c *Control) dutyWritten(now fleet.Instant, w election.Write, o platform.Object, err error) {
	c.dutyWriting = false
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		c.storeClock.Observe(storeclock.Sighting{At: c.lastDutyWrite, Revision: o.Revision})
		c.duty.WriteSucceeded(now, w, o.Revision, c.bounds.Lease)
	case errors.As(err, &conflict):
		var record election.Record
		if platform.DecodeSpec(conflict.Current, &record) == nil && w.Wrote(record) && conflict.Current.Revision.Era == w.Expected.Era {
			// The conflicting object is the result of this write: it took
			// effect, but its answer was lost.
			c.duty.WriteSucceeded(now, w, conflict.Current.Revision, c.bounds.Lease)
			break
		}
		c.Log.Info().Uint64("Epoch", uint64(w.Record.Epoch)).Uint64("Expected", uint64(w.Expected.Number)).
			Uint64("Revision", uint64(conflict.Current.Revision.Number)).Uint64("Found", uint64(record.Epoch)).Str("Holder", string(record.Holder)).
			Msg("the record of the planner's duty was not written: the object store holds another one")
		c.applyDuty(now, conflict.Current)
	case c.recordAbsent(now, err):
	default:
		c.Log.Warn().Err(err).Uint64("Epoch", uint64(w.Record.Epoch)).Msg("could not write the record of the planner's duty")
	}
	c.updateTenure(now)
}

// updateTenure publishes the state of the tenure to other goroutines, and calls
// OnPlanningChange when this host begins or stops planning or its epoch changes. Before, it
// publishes a change of the record that concerns requests: that it is known, who plans, and what a planner
// passes on.
func (c *Control) updateTenure(now fleet.Instant) {
	record, published := c.duty.Record(), c.View().Duty
	mayServe := c.table != nil && !c.serving && c.knowsRestrictions()
	if mayServe || record.Epoch != published.Epoch || record.Holder != published.Holder || !slices.Equal(record.Quarantine, published.Quarantine) ||
		!slices.Equal(record.Versions, published.Versions) {
		c.publish()
	}
	holds := c.duty.Holds(now)
	if holds {
		c.tenureEnd.Store(int64(c.duty.LeaseEnd()))
		from, until := c.duty.OrderWindow()
		c.orderFrom.Store(int64(from))
		c.orderUntil.Store(int64(until))
		c.planWithoutLeaseUntil.Store(0)
	} else {
		c.tenureEnd.Store(0)
		c.updatePlanWithoutLease(now)
	}
	plans := holds || now < fleet.Instant(c.planWithoutLeaseUntil.Load())
	if plans == c.planning && (!plans || c.duty.Record().Epoch == c.reportedEpoch) {
		return
	}
	c.planning, c.reportedEpoch = plans, c.duty.Record().Epoch
	c.Log.Info().Bool("Planning", plans).Uint64("Epoch", uint64(c.duty.Record().Epoch)).
		Str("Holder", string(c.duty.Record().Holder)).Msg("tenure changed")
	if plans {
		c.startPlanning(now, c.duty.Record().Epoch)
	}
	if c.OnPlanningChange != nil {
		c.OnPlanningChange(c.duty.Record().Epoch, plans)
	}
	c.publish()
	if plans {
		c.broadcastHeartbeat()
	}
}

// startPlanning prepares the list of live hosts of a planner.
func (c *Control) startPlanning(now fleet.Instant, epoch fleet.Epoch) {
	c.planning, c.planningSince = true, now
	c.live.restart(epoch)
	c.members.initLiveness(now)
}

const (
	// maxPlanWithoutLease is how long a planner may continue to plan after its
	// lease ended without a known successor.
	maxPlanWithoutLease = 15 * time.Second
	// planWithoutLeaseStep is how long one check of the other hosts permits it
	// to plan.
	planWithoutLeaseStep = 150 * time.Millisecond
	// recentHeartbeat is the greatest age of a heartbeat that shows a host to be
	// reachable.
	recentHeartbeat = 700 * time.Millisecond
)

// updatePlanWithoutLease lets a planner continue to plan after its lease ended, as
// long as no successor is known, so that requests are still planned in one place.
// The usual cause is that no host can write to the store, but the store's state
// is not checked: no host can succeed the planner without the store, and a
// successor sends heartbeats to all hosts at once. The planner therefore
// continues while it receives heartbeats from most hosts and none of them knows a
// successor. It sends no orders and frees nothing.
func (c *Control) updatePlanWithoutLease(now fleet.Instant) {
	end := c.duty.LeaseEnd()
	if c.leaving || !c.planning || end == 0 || c.duty.Record().Holder != c.Self.ID || now.Sub(end) > maxPlanWithoutLease ||
		!c.members.hasMajority(now, c.Self.ID) {
		c.planWithoutLeaseUntil.Store(0)
		return
	}
	c.planWithoutLeaseUntil.Store(int64(now.Add(planWithoutLeaseStep)))
}

// recordAbsent records that the store has no record of the duty, if that is what the error
// of a call says, and reports whether it is.
func (c *Control) recordAbsent(now fleet.Instant, err error) bool {
	var missing *platform.NotFoundError
	if !errors.As(err, &missing) {
		return false
	}
	c.duty.ObserveAbsent(now, missing.Era)
	c.updateTenure(now)
	return true
}
