package control

import (
	"context"
	"math/rand/v2"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// Beat serves another host's heartbeat.
func (c *Control) HandleHeartbeat(ctx context.Context, beat wire.Heartbeat) (wire.HeartbeatReply, error) {
	var pulse wire.HeartbeatReply
	if !c.ask(ctx, func(now fleet.Instant) {
		if c.members.hosts == nil {
			c.members.hosts = make(map[fleet.HostID]wire.Host)
		}
		if _, ok := c.members.hosts[beat.Host.ID]; !ok {
			c.members.hosts[beat.Host.ID] = beat.Host // its entry is still to come
		}
		if c.members.note(now, beat.Host.ID, beat.Leaving) {
			c.publish()
		}
		pulse = wire.HeartbeatReply{
			Revisions: c.revisions(), Follows: c.follows.Load() && !c.outage && now.Sub(c.contact) < freshTime,
			Duty: c.duty.Record(), Revision: c.duty.Revision(), Planning: c.planned,
		}
		if pulse.Planning {
			pulse.Roll = c.roll
			if beat.Roll != c.roll {
				pulse.Live = c.rollHosts
			}
		}
		if beat.Revision > 0 {
			c.duty.Observe(now, beat.Revision, beat.Duty)
			c.elect(now)
		}
		c.catchUp(beat.Host.Peers, beat.Revisions)
	}) {
		return pulse, ctx.Err()
	}
	return pulse, nil
}

// Snapshot serves another host's question for the objects of a kind.
func (c *Control) HandleChanges(ctx context.Context, ask wire.ChangesRequest) (wire.ChangesReply, error) {
	var news wire.ChangesReply
	if !c.ask(ctx, func(fleet.Instant) {
		kind, ok := c.replicas[ask.Kind]
		if !ok {
			return
		}
		if changes, ok := kind.ChangesSince(ask.Since); ok && ask.Since > 0 {
			news.Changes = changes
			return
		}
		news.All, news.Listing = true, kind.Listing()
	}) {
		return news, ctx.Err()
	}
	return news, nil
}

func (c *Control) revisions() wire.Revisions {
	result := make(wire.Revisions, len(c.replicas))
	for name, kind := range c.replicas {
		result[name] = kind.Revision()
	}
	return result
}

// gossipShare is how many heartbeats go to the planner for each that goes to
// another host, too.
const gossipShare = 4

// freshTime is how old the store's last answer may be at a host that others
// rely on: the wait of a watch, and the time of a slow answer.
const freshTime = time.Second

// beat sends a heartbeat to the host that plans, and one to a host drawn at
// random, so that news travels also where the planner is out of reach.
func (c *Control) beat(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.pulses.last) < beatTime {
		return
	}
	c.pulses.last = now
	beat := c.ownBeat()
	holder := c.duty.Record()
	if holder.Holder != "" && holder.Holder != c.Self.ID {
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendBeat(ctx, holder.Address, beat) })
	}
	if c.pulses.count++; c.pulses.count%gossipShare != 0 && now.Sub(c.planner) < quietTime {
		return
	}
	for _, other := range c.drawPeers(1) {
		if other.ID == holder.Holder {
			continue
		}
		c.tasks.Go(ctx, func(ctx context.Context) { c.sendBeat(ctx, other.Peers, beat) })
	}
}

func (c *Control) ownBeat() wire.Heartbeat {
	return wire.Heartbeat{
		Host: c.Self, Leaving: c.leaving, Revisions: c.revisions(), Duty: c.duty.Record(), Revision: c.duty.Revision(),
		Roll: c.members.roll,
	}
}

// announce tells all hosts at once what this one knows.
func (c *Control) announce() {
	beat := c.ownBeat()
	for _, h := range c.drawPeers(len(c.members.hosts)) {
		c.tasks.Go(c.life, func(ctx context.Context) { c.sendBeat(ctx, h.Peers, beat) })
	}
}

// drawPeers draws up to n other hosts that are not known to be dead.
func (c *Control) drawPeers(n int) []wire.Host {
	var others []wire.Host
	for id, h := range c.members.hosts {
		if id != c.Self.ID && c.members.beats[id].alive {
			others = append(others, h)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

func (c *Control) sendBeat(ctx context.Context, address fleet.Address, beat wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, aliveTime)
	defer cancel()
	var pulse wire.HeartbeatReply
	if err := c.Peers.Ask(ctx, address, wire.KindHeartbeat, beat, &pulse); err != nil {
		return // whoever misses heartbeats notices it by their absence
	}
	c.do(ctx, func(now fleet.Instant) { c.pulse(now, address, pulse) })
}

// pulse takes the answer to a heartbeat.
func (c *Control) pulse(now fleet.Instant, from fleet.Address, pulse wire.HeartbeatReply) {
	switch {
	case pulse.Follows:
		c.heard = now
	case pulse.Planning:
		// The planner has lost the store. Waiting for others would leave a
		// change unseen for longer than it may take.
		c.heard = min(c.heard, now.Add(-quietTime))
	}
	if pulse.Revision > 0 {
		c.duty.Observe(now, pulse.Revision, pulse.Duty)
		c.elect(now)
	}
	if pulse.Planning && pulse.Duty.Epoch >= c.duty.Record().Epoch {
		c.planner = now
		c.members.toldAt = now
		if c.members.roll != pulse.Roll && pulse.Live != nil {
			c.members.roll, c.members.told = pulse.Roll, pulse.Live
			c.publish()
		}
	}
	c.catchUp(from, pulse.Revisions)
}

// takeNews takes another host's news of a kind.
func (c *Control) takeNews(now fleet.Instant, ask wire.ChangesRequest, news wire.ChangesReply) {
	if news.All {
		c.listed(now, ask.Kind, news.Listing)
		return
	}
	kind := c.replicas[ask.Kind]
	if kind.Revision() != ask.Since {
		return // something else has come in between; the next heartbeat asks again
	}
	if kind.ApplyChanges(news.Changes) {
		c.changed(now, ask.Kind)
	}
}

// catchUp asks another host for the kinds that it knows a newer revision of.
func (c *Control) catchUp(from fleet.Address, theirs wire.Revisions) {
	for name, kind := range c.replicas {
		if theirs[name] <= kind.Revision() || kind.ThrottleFetch(c.Clock()) {
			continue
		}
		ask := wire.ChangesRequest{Kind: name, Since: kind.Revision()}
		c.tasks.Go(c.life, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, aliveTime)
			defer cancel()
			var news wire.ChangesReply
			if err := c.Peers.Ask(ctx, from, wire.KindChanges, ask, &news); err != nil {
				c.Log.Debug().Err(err).Str("From", string(from)).Str("Kind", name).Msg("no news from a peer")
				return
			}
			c.do(ctx, func(now fleet.Instant) { c.takeNews(now, ask, news) })
		})
	}
}
