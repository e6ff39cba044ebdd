package control

import (
	"cmp"
	"context"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// members are the hosts of the fleet. Each host has an entry in the store and
// sends heartbeats to the host that plans, which tells the others who lives.
type members struct {
	hosts          map[fleet.HostID]wire.Host // that have an entry
	heartbeats     map[fleet.HostID]heartbeatStatus
	plannerLive    []wire.Host // that the planner has told, with its roll
	plannerVersion wire.MembershipVersion
	plannerLiveAt  fleet.Instant
}

type heartbeatStatus struct {
	at      fleet.Instant
	leaving bool
	alive   bool
}

// pulses is the state of the own heartbeats.
type sentHeartbeats struct {
	last  fleet.Instant
	count uint64
}

// register writes the host's own entry and tries until it is there.
func (c *Control) register(ctx context.Context) {
	name := string(c.Settings.Host)
	for ctx.Err() == nil {
		o, err := c.Store.Read(ctx, platform.KindHosts, name)
		if err == nil {
			_, err = c.Store.Replace(ctx, platform.KindHosts, name, o.Revision, c.Self)
		} else if isNotFound(err) {
			_, err = c.Store.Create(ctx, platform.KindHosts, name, c.Self)
		}
		if err == nil {
			return
		}
		c.Log.Warn().Err(err).Msg("own entry can not be written; trying again")
		if !task.Pause(ctx, maxRetryPause) {
			return
		}
	}
}

// Unregister removes the host's own entry.
func (c *Control) Unregister(ctx context.Context) error {
	o, err := c.Store.Read(ctx, platform.KindHosts, string(c.Settings.Host))
	if err != nil {
		return err
	}
	return c.Store.Delete(ctx, platform.KindHosts, o.Name, o.Revision)
}

// registered takes the hosts' entries. A host that is new counts as alive from
// now on, until it fails to send heartbeats.
func (m *members) applyEntries(now fleet.Instant, c *Control) {
	hosts := make(map[fleet.HostID]wire.Host)
	c.replicas[platform.KindHosts].ForEach(func(o platform.Object) {
		var h wire.Host
		if err := platform.DecodeSpec(o, &h); err != nil || h.ID == "" || h.Peers == "" || h.Callers == "" {
			c.logMalformed(o, err)
			return
		}
		hosts[h.ID] = h
	})
	for id, h := range hosts {
		if old, ok := m.hosts[id]; !ok || old.Incarnation != h.Incarnation || old.Peers != h.Peers {
			m.recordHeartbeat(now, id, false)
		}
	}
	for id := range m.heartbeats {
		if _, ok := hosts[id]; !ok {
			delete(m.heartbeats, id)
		}
	}
	m.hosts = hosts
}

func (m *members) recordHeartbeat(now fleet.Instant, id fleet.HostID, leaving bool) (changed bool) {
	if m.heartbeats == nil {
		m.heartbeats = make(map[fleet.HostID]heartbeatStatus)
	}
	old := m.heartbeats[id]
	m.heartbeats[id] = heartbeatStatus{at: now, leaving: leaving, alive: true}
	return !old.alive || old.leaving != leaving
}

// expire takes hosts whose heartbeats have ceased for dead, if this host plans
// and has therefore had time to hear them all.
func (m *members) expire(now fleet.Instant, c *Control) bool {
	if !c.planning || now.Sub(c.planningSince) < heartbeatTimeout {
		return false
	}
	changed := false
	for id, seen := range m.heartbeats {
		if id != c.Self.ID && seen.alive && now.Sub(seen.at) > heartbeatTimeout {
			seen.alive = false
			m.heartbeats[id] = seen
			changed = true
			c.Log.Warn().Str("Peer", string(id)).Dur("LastBeatAgo", now.Sub(seen.at)).
				Msg("host sends no heartbeats; callers are no longer sent there")
			if c.OnHostLost != nil {
				c.OnHostLost(id)
			}
		}
	}
	return changed
}

// inherit takes the hosts that the last planner told of for alive, when this
// host begins to plan. All others are, too, if nobody has told.
func (m *members) inheritAlive(now fleet.Instant) {
	for id := range m.hosts {
		known := m.plannerLiveAt == 0 || slices.ContainsFunc(m.plannerLive, func(h wire.Host) bool { return h.ID == id })
		switch seen := m.heartbeats[id]; {
		case known:
			m.recordHeartbeat(now, id, seen.leaving)
		case now.Sub(seen.at) > heartbeatTimeout:
			seen.alive = false
			m.heartbeats[id] = seen
		}
	}
}

// most reports whether more than half of the hosts that were alive have sent a
// heartbeat a moment ago, this one included.
func (m *members) hasMajority(now fleet.Instant, self fleet.HostID) bool {
	alive, near := 1, 1
	for id, seen := range m.heartbeats {
		if id == self || !seen.alive {
			continue
		}
		alive++
		if now.Sub(seen.at) < recentHeartbeat {
			near++
		}
	}
	return 2*near > alive
}

// rank is how many live hosts are larger than this one, or as large and before
// it in an order that is the same everywhere.
func (m *members) rank(self wire.Host) int {
	rank := 0
	for id, h := range m.hosts {
		if id != self.ID && m.heartbeats[id].alive && larger(h, self) {
			rank++
		}
	}
	return rank
}

func larger(a, b wire.Host) bool {
	return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(a.Link, b.Link), cmp.Compare(b.ID, a.ID)) > 0
}

// live returns the hosts that callers may be sent to.
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
			if seen := m.heartbeats[id]; id != c.Self.ID && seen.alive && !seen.leaving {
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

// bury removes the entries of hosts that have been dead for long, if this host
// plans.
func (c *Control) removeDeadEntries(ctx context.Context, now fleet.Instant) {
	if !c.duty.Holds(now) || now.Sub(c.planningSince) < deadEntryTimeout {
		return
	}
	for id, seen := range c.members.heartbeats {
		if id == c.Self.ID || now.Sub(seen.at) < deadEntryTimeout {
			continue
		}
		o, ok := c.replicas[platform.KindHosts].Get(string(id))
		if !ok {
			continue
		}
		seen.at = now // tried again later if this fails
		c.members.heartbeats[id] = seen
		c.tasks.Go(ctx, func(ctx context.Context) {
			err := c.Store.Delete(ctx, platform.KindHosts, o.Name, o.Revision)
			c.Log.Info().AnErr("Cause", err).Str("Peer", o.Name).Msg("removed the entry of a host that is gone")
		})
	}
}
