package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/storeclock"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// HandleHeartbeat records a heartbeat of another host and replies with this
// host's state.
func (c *Control) HandleHeartbeat(ctx context.Context, heartbeat wire.Heartbeat) (wire.HeartbeatReply, error) {
	var reply wire.HeartbeatReply
	if !c.enqueueAndWait(ctx, func(now fleet.Instant) {
		if c.members.hosts == nil {
			c.members.hosts = make(map[fleet.HostID]wire.Host)
		}
		if _, ok := c.members.hosts[heartbeat.Host.ID]; !ok {
			c.members.hosts[heartbeat.Host.ID] = heartbeat.Host // its entry in the store has not been read yet
		}
		if c.members.recordHeartbeat(now, heartbeat.Host.ID, heartbeat.Leaving) {
			c.publish()
		}
		c.members.setCutOff(heartbeat.Host.ID, heartbeat.CutOff)
		c.members.setReady(heartbeat.Host.ID, heartbeat.Revisions)
		if heartbeat.Follows {
			c.lastFollower = now
		}
		reply = wire.HeartbeatReply{
			Revisions: c.revisions(), Follows: c.follows(now), Followed: now.Sub(c.lastFollower) < watcherTimeout,
			Duty: c.duty.Record(), Revision: c.duty.Revision(), Planning: c.planning,
		}
		if sighting := c.storeClock.Last(); sighting.At > 0 {
			reply.Sighted, reply.SightedAgo = sighting.Revision, now.Sub(sighting.At)
		}
		reply.Live = c.membershipUpdate(now, heartbeat.Roll)
		if heartbeat.Revision.Number > 0 {
			c.duty.Observe(now, heartbeat.Revision, heartbeat.Duty)
			c.updateTenure(now)
		}
		c.fetchNewer(heartbeat.Host.Peers, heartbeat.Revisions)
	}) {
		return wire.HeartbeatReply{}, ctx.Err() // the reply may still be written
	}
	return reply, nil
}

// membershipUpdate returns what a host with the given list has to be sent, or nil. A
// planner that knows nothing of the other hosts but their entries sends no list until it
// has waited for their heartbeats: the entry of a dead host stays in the store for a
// while, and the others may know better.
func (c *Control) membershipUpdate(now fleet.Instant, known wire.MembershipVersion) *wire.MembershipUpdate {
	if !c.planning || known == c.live.version {
		return nil
	}
	knowsHosts := c.Settings.FirstStart || c.members.settled || c.members.plannerLiveAt > 0
	if !knowsHosts && now.Sub(c.planningSince) < heartbeatTimeout {
		return nil
	}
	update := c.live.since(known)
	return &update
}

// HandleChanges returns the objects of a kind that changed since the revision
// that another host has.
func (c *Control) HandleChanges(ctx context.Context, request wire.ChangesRequest) (wire.ChangesReply, error) {
	var reply wire.ChangesReply
	var err error
	if !c.enqueueAndWait(ctx, func(now fleet.Instant) {
		replica, ok := c.replicas[request.Kind]
		if !ok {
			c.Log.Warn().Str("Kind", request.Kind).Msg("a peer asked for changes of a kind that this host does not know")
			return
		}
		reply.UncertainFor = c.targets.uncertainFor(now)
		packed := c.packed[request.Kind]
		if packed.content == nil || packed.since != request.Since || packed.revision != replica.Revision() {
			packed, err = packChanges(replica, request.Since)
			c.packed[request.Kind] = packed
		}
		reply.All, reply.Content = packed.all, packed.content
	}) {
		return wire.ChangesReply{}, ctx.Err() // the reply may still be written
	}
	return reply, err
}

// packedReply is a packed reply to a request for changes. Most hosts ask for changes
// since the same revision, so it is encoded once for all of them.
type packedReply struct {
	since, revision fleet.Revision
	all             bool
	content         []byte
}

// packChanges packs the changes since a revision, or all objects if the changes are not
// known.
func packChanges(r *replica.Replica, since fleet.Revision) (packedReply, error) {
	packed := packedReply{since: since, revision: r.Revision()}
	changes, ok := r.ChangesSince(since)
	packed.all = !ok || since.IsZero()
	var content any = changes
	if packed.all {
		content = r.Listing()
	}
	var err error
	packed.content, err = wire.Pack(content)
	return packed, err
}

func (c *Control) revisions() wire.Revisions {
	result := make(wire.Revisions, len(c.replicas))
	for name, replica := range c.replicas {
		result[name] = replica.Revision()
	}
	return result
}

// gossipEvery is the number of heartbeat intervals per heartbeat to a random host.
const gossipEvery = 4

// maxAnswerAge is how old the store's last answer may be for a host to report
// that it follows the store. It covers the wait of a watch and a slow answer.
const maxAnswerAge = time.Second

// sendHeartbeats sends a heartbeat to the planner. Every gossipEvery-th time, and
// always while the planner does not reply, it sends one to a random host as
// well, so that changes also spread between hosts that cannot reach the planner.
func (c *Control) sendHeartbeats(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.sent.last) < heartbeatInterval {
		return
	}
	c.sent.last = now
	heartbeat := c.heartbeat(now)
	record := c.duty.Record()
	if record.Holder != "" && record.Holder != c.Self.ID {
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendHeartbeat(ctx, record.Address, heartbeat) })
	}
	if c.sent.count++; c.sent.count%gossipEvery != 0 && now.Sub(c.lastPlannerReply) < watcherTimeout {
		return
	}
	for _, other := range c.samplePeers(1) {
		if other.ID == record.Holder {
			continue
		}
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendHeartbeat(ctx, other.Peers, heartbeat) })
	}
}

// follows reports whether this host watches the store and reaches it.
func (c *Control) follows(now fleet.Instant) bool {
	return c.watching.Load() && !c.storeOutage && now.Sub(c.lastStoreAnswer) < maxAnswerAge
}

func (c *Control) heartbeat(now fleet.Instant) wire.Heartbeat {
	return wire.Heartbeat{
		Host: c.Self, Leaving: c.leaving, Follows: c.follows(now), Revisions: c.revisions(), Duty: c.duty.Record(), Revision: c.duty.Revision(),
		Roll: c.members.plannerVersion, CutOff: c.cutOff(),
	}
}

// nonStandbyFanout is how many hosts a host that is no standby tells of a change.
const nonStandbyFanout = 4

// broadcastHeartbeat sends a heartbeat to all live hosts at once, so that they
// learn this host's revisions before the next heartbeat is due. Only the planner and
// the standbys do so: when others watch the store, all hosts do, and heartbeats from
// each to each would grow with the square of the hosts. They tell a few that may be
// cut off from the store.
func (c *Control) broadcastHeartbeat() {
	heartbeat := c.heartbeat(c.Clock())
	count := len(c.members.hosts)
	if !c.planning && c.members.rank(c.Self) >= standbyCount {
		count = nonStandbyFanout
	}
	for _, h := range c.samplePeers(count) {
		c.tasks.Go(c.runCtx, func(ctx context.Context) { c.sendHeartbeat(ctx, h.Peers, heartbeat) })
	}
}

// samplePeers returns up to n random other hosts that are not known to be dead.
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
	called := c.Clock()
	var reply wire.HeartbeatReply
	if err := c.Peers.Call(ctx, address, wire.KindHeartbeat, heartbeat, &reply); err != nil {
		return // the receiver detects missing heartbeats by its own timeout
	}
	c.enqueue(ctx, func(now fleet.Instant) {
		c.storeClock.Observe(storeclock.Sighting{At: called.Add(-reply.SightedAgo), Revision: reply.Sighted})
		c.handleReply(now, address, reply)
	})
}

// handleReply applies the reply to a heartbeat.
func (c *Control) handleReply(now fleet.Instant, from fleet.Address, reply wire.HeartbeatReply) {
	switch {
	case reply.Follows:
		c.lastWatcherReply = now
	case reply.Planning && reply.Followed && c.members.rank(c.Self) >= standbyCount:
		// A standby watches the store for the planner, which does not reach it.
		// This host gets the changes from either. The standbys themselves do not
		// rely on this, or they would all stop.
		c.lastWatcherReply = now
	case reply.Planning:
		// The planner does not reach the store. If this host waited for
		// watcherTimeout first, a change could arrive later than allowed.
		c.lastWatcherReply = min(c.lastWatcherReply, now.Add(-watcherTimeout))
	}
	if reply.Revision.Number > 0 {
		c.duty.Observe(now, reply.Revision, reply.Duty)
		c.updateTenure(now)
	}
	if reply.Planning && reply.Duty.Epoch >= c.duty.Record().Epoch {
		c.lastPlannerReply = now
		listChanged := c.members.applyUpdate(reply.Live)
		if c.members.plannerVersion != (wire.MembershipVersion{}) {
			c.members.plannerLiveAt = now
		}
		if listChanged {
			c.publish()
		}
	}
	c.fetchNewer(from, reply.Revisions)
}

// applyChangesReply applies the objects that another host returned.
func (c *Control) applyChangesReply(now fleet.Instant, request wire.ChangesRequest, reply wire.ChangesReply) {
	if reply.All {
		var listing platform.Listing
		if err := wire.Unpack(reply.Content, &listing); err != nil {
			c.Log.Warn().Err(err).Str("Kind", request.Kind).Msg("ignored objects that a peer sent")
			return
		}
		c.applyListing(now, request.Kind, listing, reply.UncertainFor)
		return
	}
	replica := c.replicas[request.Kind]
	if replica.Revision() != request.Since {
		return // the replica has changed meanwhile; the next heartbeat triggers a new request
	}
	var changes platform.Changes
	if err := wire.Unpack(reply.Content, &changes); err != nil {
		c.Log.Warn().Err(err).Str("Kind", request.Kind).Msg("ignored changes that a peer sent")
		return
	}
	if replica.ApplyChanges(changes) {
		c.objectsChanged(now, request.Kind, reply.UncertainFor)
	}
}

// fetchNewer requests the changes of each kind of which another host has a newer
// revision.
func (c *Control) fetchNewer(from fleet.Address, theirs wire.Revisions) {
	for name, replica := range c.replicas {
		if !theirs[name].After(replica.Revision()) || replica.ThrottleFetch(c.Clock()) {
			continue
		}
		request := wire.ChangesRequest{Kind: name, Since: replica.Revision()}
		c.tasks.Go(c.runCtx, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			var reply wire.ChangesReply
			if err := c.Peers.Call(ctx, from, wire.KindChanges, request, &reply); err != nil {
				c.Log.Debug().Err(err).Str("From", string(from)).Str("Kind", name).Msg("could not fetch changes from a peer")
				return
			}
			c.enqueue(ctx, func(now fleet.Instant) { c.applyChangesReply(now, request, reply) })
		})
	}
}
