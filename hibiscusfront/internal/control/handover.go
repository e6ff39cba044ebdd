package control

import (
	"context"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// A planner whose host is cut off from the targets knows nothing new of them and can send them no orders.
// It hands its duty over to a host in touch: it resigns, names that host in the record, and tells it.
// Others wait for it, so that it needs no race. A host that is cut off takes a vacant duty only after
// others had the time to. If all hosts are cut off, the planner keeps the duty: another one would do no better.
//
// A host that has tried no target does not know that it is cut off. If all targets are gone, the duty would so pass
// from host to host. It is handed to a host that is known to reach engines at once; to another one that may know no
// better at intervals that grow, as the record counts, until a holder was not cut off for minTenure.
const (
	// handOverConfirm is how long a planner must have been cut off. Within it the other hosts find
	// out whether they are, too, and their heartbeats say so.
	handOverConfirm = heartbeatInterval + 50*time.Millisecond
	// minTenure is the least time for which a host has planned before it hands over for this reason,
	// so that the duty does not go to and fro while cuts change.
	minTenure = 2 * time.Second
	// maxTenure bounds the time that grows with each host to which the duty was passed in vain.
	maxTenure = time.Minute
	// successorDelay is how long other hosts leave a vacant duty to the successor that is named.
	successorDelay = 700 * time.Millisecond
	// cutOffDelay is how long a host that is cut off leaves a vacant duty to others.
	cutOffDelay = 3 * time.Second
)

// cutOff reports whether this host is cut off from the targets.
func (c *Control) cutOff() bool { return c.CutOff != nil && c.CutOff() }

// noteCutOff notes since when this host has been cut off.
func (c *Control) noteCutOff(now fleet.Instant) {
	switch cutOff := c.cutOff(); {
	case cutOff && c.cutOffSince == 0:
		c.cutOffSince = now
		c.Log.Warn().Bool("Planning", c.planning).Msg("this host is cut off from the targets")
	case !cutOff && c.cutOffSince != 0:
		c.Log.Info().Bool("Planning", c.planning).Dur("For", now.Sub(c.cutOffSince)).Msg("this host reaches targets again")
		c.cutOffSince = 0
	}
}

// handOverIfCutOff hands the duty over if this host holds it, has been cut off for long enough, and
// knows a host that is not. It reports whether it did.
func (c *Control) handOverIfCutOff(ctx context.Context, now fleet.Instant) bool {
	if c.cutOffSince == 0 || now.Sub(c.cutOffSince) < handOverConfirm || now.Sub(c.planningSince) < minTenure ||
		c.storeOutage || !c.duty.Holds(now) {
		return false
	}
	successor, known, ok := c.members.successor(now, c.Self.ID, c.InTouch)
	passes := c.duty.Record().Passes
	if !ok || !known && now.Sub(c.planningSince) < leastTenure(passes) {
		return false
	}
	if passes++; known {
		passes = 0
	}
	c.handOvers.Add(1)
	c.Log.Warn().Str("Successor", string(successor.ID)).Dur("For", now.Sub(c.cutOffSince)).Uint64("Epoch", uint64(c.duty.Record().Epoch)).
		Msg("handing the planner's duty over: this host is cut off from the targets, another one is not")
	c.resign(ctx, now, successor, passes)
	return true
}

// leastTenure returns how long a host plans before it hands the duty over to one that may know no better, after the
// given number of such times. The first two hosts take turns at once: the second may have been cut off later.
func leastTenure(passes int) time.Duration {
	tenure := minTenure
	for ; passes > 1 && tenure < maxTenure; passes-- {
		tenure *= 2
	}
	return min(tenure, maxTenure)
}

// isInTouch reports whether this host has planned for so long without being cut off that it reaches targets.
func (c *Control) isInTouch(now fleet.Instant) bool {
	return c.planning && c.cutOffSince == 0 && now.Sub(c.planningSince) >= minTenure
}

// HandOvers returns how often this host has handed the duty over since it was cut off.
func (c *Control) HandOvers() int64 { return c.handOvers.Load() }

// resignTimeout bounds the write by which a host resigns the duty.
const resignTimeout = 500 * time.Millisecond

// resign ends the tenure at once and writes to the store that the duty is vacant. If successor is set,
// that host is to take the duty over, and is told. Passes is what the record counts.
func (c *Control) resign(ctx context.Context, now fleet.Instant, successor wire.Host, passes int) {
	w, ok := c.duty.ResignWrite(now)
	c.duty.Release()
	c.updateTenure(now)
	if !ok {
		return
	}
	w.Record.Successor, w.Record.Passes = successor.ID, passes
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, resignTimeout)
		defer cancel()
		o, err := c.Store.Replace(ctx, platform.KindDuties, DutyName, w.Expected, w.Record)
		if err != nil {
			c.Log.Warn().Err(err).Msg("resigned the planner's duty, but could not record that in the object store; a successor waits for the end of the lease")
			return
		}
		c.Log.Info().Msg("resigned the planner's duty")
		if successor.ID != "" {
			c.tellSuccessor(o.Revision, w.Record, successor)
		}
	})
}

// tellSuccessor sends the vacant record to the host that is to take the duty over.
func (c *Control) tellSuccessor(revision fleet.Revision, record election.Record, successor wire.Host) {
	c.enqueue(c.runCtx, func(now fleet.Instant) {
		c.duty.Observe(now, revision, record)
		c.updateTenure(now)
		heartbeat := c.heartbeat(now)
		c.tasks.Go(c.runCtx, func(ctx context.Context) { c.sendHeartbeat(ctx, successor.Peers, heartbeat) })
	})
}

// takeoverDelay returns how long this host leaves a vacant duty to others.
func (c *Control) takeoverDelay() time.Duration {
	delay := c.standbyDelay()
	if record := c.duty.Record(); record.Holder == "" && record.Successor != "" {
		delay += successorDelay
		if record.Successor == c.Self.ID {
			delay = 0
		}
	}
	if c.cutOff() {
		delay += cutOffDelay
	}
	return delay
}

// setCutOff records whether a host says that it is cut off from the targets.
func (m *members) setCutOff(id fleet.HostID, cutOff bool) {
	status := m.heartbeats[id]
	status.cutOff = cutOff
	m.heartbeats[id] = status
}

// successor returns the first host in the order of rank that is not cut off, as its heartbeats say, of those
// that are known to be in touch, if there are any, and whether it is one of these. InTouch may be nil.
func (m *members) successor(now fleet.Instant, self fleet.HostID, inTouch func(fleet.HostID) bool) (first wire.Host, firstInTouch, ok bool) {
	for id, h := range m.hosts {
		status := m.heartbeats[id]
		if id == self || !status.alive || status.leaving || status.cutOff || now.Sub(status.at) >= recentHeartbeat {
			continue
		}
		known := inTouch != nil && inTouch(id)
		if first.ID == "" || known && !firstInTouch || known == firstInTouch && precedes(h, first) {
			first, firstInTouch = h, known
		}
	}
	return first, firstInTouch, first.ID != ""
}

// setReady records whether a host knows what it needs to plan, as the revisions in its heartbeat say.
func (m *members) setReady(id fleet.HostID, known wire.Revisions) {
	status := m.heartbeats[id]
	status.ready = !slices.ContainsFunc(planningKinds, func(kind string) bool { return known[kind].IsZero() })
	m.heartbeats[id] = status
}

// heir returns the host to which a planner that is stopped hands its duty: of those that are ready and do not have to
// hand it over in turn, the one whose process started last. Its ID is empty if there is none.
//
// This handles restarts of all hosts, one after the other, as for an upgrade: a host that has been replaced
// already stays, so that the duty changes hands twice at most. Without an heir, the other hosts learn only
// after a while that the duty is vacant, and the first in the order of rank takes it, which may be the next to stop.
func (m *members) heir(now fleet.Instant, self fleet.HostID) wire.Host {
	var last wire.Host
	for id, h := range m.hosts {
		status := m.heartbeats[id]
		if id == self || !status.alive || status.leaving || status.cutOff || !status.ready || now.Sub(status.at) >= recentHeartbeat || m.larger(h) >= standbyCount {
			continue
		}
		if last.ID == "" || h.Incarnation > last.Incarnation || h.Incarnation == last.Incarnation && precedes(h, last) {
			last = h
		}
	}
	return last
}
