package control

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// members holds the hosts of the fleet. Each host has an entry in the store and
// sends heartbeats to the planner, which sends the list of live hosts to the
// others.
type members struct {
	hosts          map[fleet.HostID]wire.Host // with an entry in the store, or a heartbeat
	heartbeats     map[fleet.HostID]heartbeatStatus
	plannerLive    []wire.Host            // live hosts that callers may be sent to, as last received from the planner
	plannerVersion wire.MembershipVersion // of plannerLive
	plannerLiveAt  fleet.Instant          // last reply of a planner; zero if it has sent no list yet
	// settled is set once this host knows which hosts are alive: as the planner it has
	// waited for the heartbeats of all.
	settled bool

	era     uint64                         // of the store from which the entries were read; zero before the first
	missing map[fleet.HostID]fleet.Instant // hosts whose entries a copy of the store lacked, and when that was seen
}

// heartbeatStatus is the state of a host according to its heartbeats.
type heartbeatStatus struct {
	at      fleet.Instant
	leaving bool
	alive   bool
	cutOff  bool // from the targets
	ready   bool // to plan
}

// sentHeartbeats records the heartbeats that this host has sent.
type sentHeartbeats struct {
	last  fleet.Instant
	count uint64
}

// register writes this host's entry and retries until it succeeds. It runs at the start of
// the host, and again if the store has come back from a copy without the entry.
func (c *Control) register(ctx context.Context) {
	name := string(c.Settings.Host)
	for ctx.Err() == nil {
		o, err := c.Store.Create(ctx, platform.KindHosts, name, c.Self)
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			// The entry is that of an earlier process of this host.
			o, err = c.Store.Replace(ctx, platform.KindHosts, name, conflict.Current.Revision, c.Self)
		}
		if err == nil {
			c.enqueue(ctx, func(fleet.Instant) {
				c.registeredIn = o.Revision.Era
				if c.registeredIn < c.members.era {
					c.registerAgain()
				}
			})
			return
		}
		c.Log.Warn().Err(err).Msgf("could not write this host's entry to the object store; retrying in %v", maxRetryPause)
		if !task.Sleep(ctx, maxRetryPause) {
			return
		}
	}
}

// registerAgain writes this host's entry again, unless that is under way.
func (c *Control) registerAgain() {
	if c.registeredIn == 0 || c.leaving {
		return
	}
	c.registeredIn = 0
	c.Log.Info().Uint64("Era", c.members.era).Msg("writing this host's entry again: the restored object store lacks it")
	c.tasks.Go(c.runCtx, c.register)
}

// Unregister removes this host's entry.
func (c *Control) Unregister(ctx context.Context) error {
	o, err := c.Store.Read(ctx, platform.KindHosts, string(c.Settings.Host))
	if err != nil {
		return err
	}
	return c.Store.Delete(ctx, platform.KindHosts, o.Name, o.Revision)
}

// errIncompleteHost is logged as the cause if a host's entry lacks a required field.
var errIncompleteHost = errors.New("entry of a host: ID, Peers or Callers is missing or empty")

// applyEntries applies the hosts' entries. A new or restarted host counts as
// alive until it misses its heartbeats.
//
// If the store has come back from a copy, entries may be those of hosts that were removed
// since, or of earlier processes, and others are missing until their hosts have written
// them again. A host whose entry appears with the copy counts as alive once it sends a
// heartbeat, and one whose entry is missing is kept for a while.
func (m *members) applyEntries(now fleet.Instant, c *Control) {
	era := c.replicas[platform.KindHosts].Revision().Era
	restored := m.era > 0 && era > m.era
	m.era = era
	hosts := make(map[fleet.HostID]wire.Host)
	ownListed := false
	c.replicas[platform.KindHosts].ForEach(func(o platform.Object) {
		var h wire.Host
		err := platform.DecodeSpec(o, &h)
		if err == nil && (h.ID == "" || h.Peers == "" || h.Callers == "") {
			err = errIncompleteHost
		}
		if err != nil {
			c.logMalformed(o, err)
			return
		}
		if h.ID == c.Self.ID {
			ownListed = h.Incarnation == c.Self.Incarnation
		}
		if old, ok := m.hosts[h.ID]; ok && old.Incarnation > h.Incarnation {
			h = old
		}
		hosts[h.ID] = h
	})
	for id, h := range hosts {
		delete(m.missing, id)
		switch old, ok := m.hosts[id]; {
		case ok && old.Incarnation == h.Incarnation && old.Peers == h.Peers:
		case restored && !ok:
			m.heartbeats[id] = heartbeatStatus{at: now}
		default:
			m.recordHeartbeat(now, id, false)
		}
	}
	for id, h := range m.hosts {
		if _, ok := hosts[id]; ok {
			continue
		}
		if restored {
			if m.missing == nil {
				m.missing = make(map[fleet.HostID]fleet.Instant)
			}
			m.missing[id] = now
		}
		if _, ok := m.missing[id]; ok {
			hosts[id] = h
		}
	}
	for id := range m.heartbeats {
		if _, ok := hosts[id]; !ok {
			delete(m.heartbeats, id)
		}
	}
	m.hosts = hosts
	if restored && !ownListed {
		c.registerAgain()
	}
}

// dropMissing forgets hosts that have not written the entries again that a copy of the
// store lacked.
func (m *members) dropMissing(now fleet.Instant) {
	for id, since := range m.missing {
		if now.Sub(since) >= deadEntryTimeout {
			delete(m.missing, id)
			delete(m.hosts, id)
			delete(m.heartbeats, id)
		}
	}
}

// recordHeartbeat marks a host as alive and reports whether its alive or leaving
// state has changed.
func (m *members) recordHeartbeat(now fleet.Instant, id fleet.HostID, leaving bool) (changed bool) {
	if m.heartbeats == nil {
		m.heartbeats = make(map[fleet.HostID]heartbeatStatus)
	}
	old := m.heartbeats[id]
	m.heartbeats[id] = heartbeatStatus{at: now, leaving: leaving, alive: true}
	return !old.alive || old.leaving != leaving
}

// expire marks hosts without a recent heartbeat as dead, and reports whether it
// marked any. Only a planner does so, and only after heartbeatTimeout, in which every
// live host has sent it a heartbeat.
func (m *members) expire(now fleet.Instant, c *Control) bool {
	if !c.planning || now.Sub(c.planningSince) < heartbeatTimeout {
		return false
	}
	m.settled = true
	changed := false
	for id, status := range m.heartbeats {
		if id != c.Self.ID && status.alive && now.Sub(status.at) > heartbeatTimeout {
			status.alive = false
			m.heartbeats[id] = status
			changed = true
			c.Log.Warn().Str("Peer", string(id)).Dur("LastBeatAgo", now.Sub(status.at)).
				Msg("host missed its heartbeats; callers are no longer sent to it")
			if c.OnHostLost != nil {
				c.OnHostLost(id)
			}
		}
	}
	return changed
}

// initLiveness sets which hosts are alive when this host becomes the planner: those
// that the last planner reported as alive and those with a recent heartbeat, or all
// hosts if this one knows nothing of them but their entries.
func (m *members) initLiveness(now fleet.Instant) {
	for id := range m.hosts {
		known := m.plannerLiveAt == 0 && !m.settled || slices.ContainsFunc(m.plannerLive, func(h wire.Host) bool { return h.ID == id })
		switch status := m.heartbeats[id]; {
		case known:
			m.recordHeartbeat(now, id, status.leaving)
		case now.Sub(status.at) > heartbeatTimeout:
			status.alive = false
			m.heartbeats[id] = status
		}
	}
}

// applyUpdate applies what the planner has sent of its list of live hosts, which may be
// nil, and reports whether that changed the list.
func (m *members) applyUpdate(update *wire.MembershipUpdate) bool {
	if update == nil || m.plannerVersion == update.Version {
		return false
	}
	hosts, ok := applyMembership(m.plannerLive, m.plannerVersion, *update)
	if ok {
		m.plannerVersion, m.plannerLive = update.Version, hosts
	}
	return ok
}

// hasMajority reports whether more than half of the hosts that are marked as
// alive, counting this one, have sent a heartbeat within recentHeartbeat.
func (m *members) hasMajority(now fleet.Instant, self fleet.HostID) bool {
	alive, recent := 1, 1
	for id, status := range m.heartbeats {
		if id == self || !status.alive {
			continue
		}
		alive++
		if now.Sub(status.at) < recentHeartbeat {
			recent++
		}
	}
	return 2*recent > alive
}

// rank returns the number of live hosts that precede this one. All hosts compute
// the same order.
func (m *members) rank(self wire.Host) int { return m.count(self, precedes) }

// larger returns the number of live hosts that are larger than this one and not cut off from the targets.
func (m *members) larger(self wire.Host) int {
	return m.count(self, func(a, b wire.Host) bool { return !m.heartbeats[a.ID].cutOff && compareSize(a, b) > 0 })
}

// count returns the number of other live hosts for which is, called with the host and this
// one, is true.
func (m *members) count(self wire.Host, is func(a, b wire.Host) bool) int {
	n := 0
	for id, h := range m.hosts {
		if id != self.ID && m.heartbeats[id].alive && is(h, self) {
			n++
		}
	}
	return n
}

// compareSize compares two hosts by Cores, then Link.
func compareSize(a, b wire.Host) int {
	return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Link, b.Link))
}

// precedes reports whether a comes before b in the order by size, the largest first, then
// ID, the smallest first.
func precedes(a, b wire.Host) bool {
	return cmp.Or(compareSize(a, b), cmp.Compare(b.ID, a.ID)) > 0
}

// callerHosts returns the hosts that callers may be sent to, sorted by ID.
func (c *Control) callerHosts() []wire.Host {
	m := &c.members
	var result []wire.Host
	if !c.planning && m.plannerLiveAt > 0 {
		for _, h := range m.plannerLive {
			if h.ID != c.Self.ID {
				result = append(result, h)
			}
		}
	} else {
		for id, h := range m.hosts {
			if status := m.heartbeats[id]; id != c.Self.ID && status.alive && !status.leaving {
				result = append(result, h)
			}
		}
	}
	if !c.leaving {
		result = append(result, c.Self)
	}
	slices.SortFunc(result, func(a, b wire.Host) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// removeDeadEntries removes the entries of hosts without a heartbeat for
// deadEntryTimeout, if this host holds the duty.
func (c *Control) removeDeadEntries(ctx context.Context, now fleet.Instant) {
	if !c.duty.Holds(now) || now.Sub(c.planningSince) < deadEntryTimeout {
		return
	}
	for id, status := range c.members.heartbeats {
		if id == c.Self.ID || now.Sub(status.at) < deadEntryTimeout {
			continue
		}
		o, ok := c.replicas[platform.KindHosts].Get(string(id))
		if !ok {
			continue
		}
		status.at = now // retried after another deadEntryTimeout if this fails
		c.members.heartbeats[id] = status
		c.tasks.Go(ctx, func(ctx context.Context) {
			if err := c.Store.Delete(ctx, platform.KindHosts, o.Name, o.Revision); err != nil {
				c.Log.Warn().Err(err).Str("Peer", o.Name).Msgf("could not remove the entry of a dead host from the object store; retrying in %v", deadEntryTimeout)
				return
			}
			c.Log.Info().Str("Peer", o.Name).Msg("removed the entry of a dead host from the object store")
		})
	}
}
