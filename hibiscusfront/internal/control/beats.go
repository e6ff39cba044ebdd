package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// Beat serves another host's heartbeat.
func (c *Control) HandleHeartbeat(ctx context.Context, heartbeat wire.Heartbeat) (wire.HeartbeatReply, error) {
	var reply wire.HeartbeatReply
	if !c.ask(ctx, func(now fleet.Instant) {
		if c.members.hosts == nil {
			c.members.hosts = make(map[fleet.HostID]wire.Host)
		}
		if _, ok := c.members.hosts[heartbeat.Host.ID]; !ok {
			c.members.hosts[heartbeat.Host.ID] = heartbeat.Host // its entry is still to come
		}
		if c.members.recordHeartbeat(now, heartbeat.Host.ID, heartbeat.Leaving) {
			c.publish()
		}
		reply = wire.HeartbeatReply{
			Revisions: c.revisions(), Follows: c.watching.Load() && !c.outage && now.Sub(c.lastStoreAnswer) < maxAnswerAge,
			Duty: c.duty.Record(), Revision: c.duty.Revision(), Planning: c.planning,
		}
		if reply.Planning {
			reply.Roll = c.liveVersion
			if heartbeat.Roll != c.liveVersion {
				reply.Live = c.liveHosts
			}
		}
		if heartbeat.Revision > 0 {
			c.duty.Observe(now, heartbeat.Revision, heartbeat.Duty)
			c.updateTenure(now)
		}
		c.fetchNewer(heartbeat.Host.Peers, heartbeat.Revisions)
	}) {
		return reply, ctx.Err()
	}
	return reply, nil
}

// Snapshot serves another host's question for the objects of a kind.
func (c *Control) HandleChanges(ctx context.Context, request wire.ChangesRequest) (wire.ChangesReply, error) {
	var reply wire.ChangesReply
	if !c.ask(ctx, func(fleet.Instant) {
		kind, ok := c.replicas[request.Kind]
		if !ok {
			return
		}
		if changes, ok := kind.ChangesSince(request.Since); ok && request.Since > 0 {
			reply.Changes = changes
			return
		}
		reply.All, reply.Listing = true, kind.Listing()
	}) {
		return reply, ctx.Err()
	}
	return reply, nil
}

func (c *Control) revisions() wire.Revisions {
	result := make(wire.Revisions, len(c.replicas))
	for name, kind := range c.replicas {
		result[name] = kind.Revision()
	}
	return result
}

// gossipEvery is how many heartbeats go to the planner for each that goes to
// another host, too.
const gossipEvery = 4

// maxAnswerAge is how old the store's last answer may be at a host that others
// rely on: the wait of a watch, and the time of a slow answer.
const maxAnswerAge = time.Second

// beat sends a heartbeat to the host that plans, and one to a host drawn at
// random, so that news travels also where the planner is out of reach.
func (c *Control) sendHeartbeats(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.sent.last) < heartbeatInterval {
		return
	}
	c.sent.last = now
	heartbeat := c.heartbeat()
	holder := c.duty.Record()
	if holder.Holder != "" && holder.Holder != c.Self.ID {
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendHeartbeat(ctx, holder.Address, heartbeat) })
	}
	if c.sent.count++; c.sent.count%gossipEvery != 0 && now.Sub(c.lastPlannerReply) < watcherTimeout {
		return
	}
	for _, other := range c.samplePeers(1) {
		if other.ID == holder.Holder {
			continue
		}
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendHeartbeat(ctx, other.Peers, heartbeat) })
	}
}

func (c *Control) heartbeat() wire.Heartbeat {
	return wire.Heartbeat{
		Host: c.Self, Leaving: c.leaving, Revisions: c.revisions(), Duty: c.duty.Record(), Revision: c.duty.Revision(),
		Roll: c.members.plannerVersion,
	}
}

// announce tells all hosts at once what this one knows.
func (c *Control) broadcastHeartbeat() {
	heartbeat := c.heartbeat()
	for _, h := range c.samplePeers(len(c.members.hosts)) {
		c.tasks.Go(c.runCtx, func(ctx context.Context) { c.sendHeartbeat(ctx, h.Peers, heartbeat) })
	}
}

// drawPeers draws up to n other hosts that are not known to be dead.
func (c *Control) samplePeers(n int) []wire.Host {
	var others []wire.Host
	for id, h := range c.members.hosts {
		if id != c.Self.ID && c.members.heartbeats[id].alive {
			others = append(others, h)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

func (c *Control) sendHeartbeat(ctx context.Context, address fleet.Address, heartbeat wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply wire.HeartbeatReply
	if err := c.Peers.Ask(ctx, address, wire.KindHeartbeat, heartbeat, &reply); err != nil {
		return // whoever misses heartbeats notices it by their absence
	}
	c.do(ctx, func(now fleet.Instant) { c.handleReply(now, address, reply) })
}

// reply takes the answer to a heartbeat.
func (c *Control) handleReply(now fleet.Instant, from fleet.Address, reply wire.HeartbeatReply) {
	switch {
	case reply.Follows:
		c.lastWatcherReply = now
	case reply.Planning:
		// The planner has lost the store. Waiting for others would leave a
		// change unseen for longer than it may take.
		c.lastWatcherReply = min(c.lastWatcherReply, now.Add(-watcherTimeout))
	}
	if reply.Revision > 0 {
		c.duty.Observe(now, reply.Revision, reply.Duty)
		c.updateTenure(now)
	}
	if reply.Planning && reply.Duty.Epoch >= c.duty.Record().Epoch {
		c.lastPlannerReply = now
		c.members.plannerLiveAt = now
		if c.members.plannerVersion != reply.Roll && reply.Live != nil {
			c.members.plannerVersion, c.members.plannerLive = reply.Roll, reply.Live
			c.publish()
		}
	}
	c.fetchNewer(from, reply.Revisions)
}

// takeNews takes another host's reply of a kind.
func (c *Control) applyChangesReply(now fleet.Instant, request wire.ChangesRequest, reply wire.ChangesReply) {
	if reply.All {
		c.applyListing(now, request.Kind, reply.Listing)
		return
	}
	kind := c.replicas[request.Kind]
	if kind.Revision() != request.Since {
		return // something else has come in between; the next heartbeat asks again
	}
	if kind.ApplyChanges(reply.Changes) {
		c.objectsChanged(now, request.Kind)
	}
}

// catchUp asks another host for the kinds that it knows a newer revision of.
func (c *Control) fetchNewer(from fleet.Address, theirs wire.Revisions) {
	for name, kind := range c.replicas {
		if theirs[name] <= kind.Revision() || kind.ThrottleFetch(c.Clock()) {
			continue
		}
		request := wire.ChangesRequest{Kind: name, Since: kind.Revision()}
		c.tasks.Go(c.runCtx, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			var reply wire.ChangesReply
			if err := c.Peers.Ask(ctx, from, wire.KindChanges, request, &reply); err != nil {
				c.Log.Debug().Err(err).Str("From", string(from)).Str("Kind", name).Msg("no reply from a peer")
				return
			}
			c.do(ctx, func(now fleet.Instant) { c.applyChangesReply(now, request, reply) })
		})
	}
}
