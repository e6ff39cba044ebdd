package control

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/hibiscusd/internal/wire"
)

// Names of the calls that concern this host's own member object.
const (
	callOwnMember     callName = "member"  // registration, and writes of the object
	callReadOwnMember callName = "refresh" // readOwnMember
)

// resetIncarnation discards an incarnation that other hosts have ended. The next
// tick registers the process as a new incarnation.
func (c *Control) resetIncarnation() {
	c.Log.Warn().Stringer("Incarnation", c.holder.Self.Incarnation).Msg("incarnation was ended by other hosts; registering as a new one")
	c.registered = false
	c.holder = lease.Holder{}
	c.viewOutdated = true
}

// register makes this process a member. If the member object shows an earlier
// incarnation of the host that has not ended, that is ended first, in the same way
// as the incarnation of another host.
func (c *Control) register(ctx context.Context) {
	if c.endAttempts[c.Host.ID] != nil {
		return
	}
	c.startCall(ctx, callOwnMember, func(ctx context.Context) event {
		object, err := c.Platform.Read(ctx, MemberObjectName(c.Host.ID))
		var absent *objectstore.NotFoundError
		if err != nil && !errors.As(err, &absent) {
			return nil
		}
		return ownMemberRead{object}
	})
}

// ownMemberRead carries this host's member object as read before registration. Its
// version is zero if there is none.
type ownMemberRead struct{ object objectstore.Object }

func (e ownMemberRead) handle(ctx context.Context, c *Control) {
	var old lease.Member
	if e.object.Version != 0 {
		if err := cbor.Unmarshal(e.object.Value, &old); err != nil {
			c.Log.Error().Err(err).Msg("member object of this host cannot be decoded; not registered")
			return
		}
		c.applyMember(e.object.Version, &old)
		if old.Process == c.processName && old.Incarnation == c.holder.Self.Incarnation && old.Serves() {
			// An earlier attempt to register succeeded, but its answer was lost.
			c.registered = true
			c.member = old
			c.holder.Observe(e.object.Version, &old)
			return
		}
		if old.State != lease.Ended {
			c.witness.Self.Incarnation = old.Incarnation + 1
			c.beginEnding(ctx, old.Host)
			return
		}
	}
	self := lease.MemberID{Host: c.Host.ID, Incarnation: old.Incarnation + 1}
	c.holder = lease.Holder{Timing: c.Timing, Self: self}
	c.witness.Self = self
	member := lease.Member{
		Host: self.Host, Incarnation: self.Incarnation, Process: c.processName, State: lease.Active,
		DataCentre: c.Host.DataCentre, Region: c.Host.Region,
		CallerAddr: c.Host.CallerAddr, PeerAddr: c.Host.PeerAddr, OperateAddr: c.Host.OperatorAddr,
		Panel: c.choosePanel(),
	}
	c.writeOwnMember(ctx, e.object.Version, member)
}

// writeOwnMember writes this host's member object on condition that it still has
// the expected version.
func (c *Control) writeOwnMember(ctx context.Context, expected fleet.Version, member lease.Member) {
	value, err := cbor.Marshal(member)
	if err != nil {
		c.Log.Error().Err(err).Msg("member object of this host cannot be encoded; not written")
		return
	}
	c.holder.BeginWrite(member.Panel)
	sent := c.Clock()
	c.startCall(ctx, callOwnMember, func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, MemberObjectName(member.Host), value, expected)
		return ownMemberWritten{sent, version, member, err}
	})
}

// ownMemberWritten reports the result of a write of this host's member object,
// sent at the given instant.
type ownMemberWritten struct {
	sent    fleet.Instant
	version fleet.Version
	member  lease.Member
	err     error
}

func (e ownMemberWritten) handle(ctx context.Context, c *Control) {
	if e.err != nil {
		c.Log.Warn().Err(e.err).Msg("write of this host's member object is not confirmed")
		if c.registered {
			c.readOwnMember(ctx)
		}
		return
	}
	c.registered = true
	c.holder.ConfirmWrite(e.sent, e.version, &e.member)
	c.member = e.member
	c.applyMember(e.version, &e.member)
}

// readOwnMember reads this host's member object back: after a write that failed or
// got no answer, or when a witness refuses a grant.
func (c *Control) readOwnMember(ctx context.Context) {
	c.startCall(ctx, callReadOwnMember, func(ctx context.Context) event {
		object, err := c.Platform.Read(ctx, MemberObjectName(c.Host.ID))
		if err != nil {
			return nil
		}
		return objectsRead{objectstore.Listing{Objects: []objectstore.Object{object}}}
	})
}

// renewMembership writes this host's member object when it needs a change: to
// return from Ending to Active, to announce a planned stop, to replace an
// incomplete panel, or to renew the lease when the panel's grants are about to
// expire.
func (c *Control) renewMembership(ctx context.Context, now fleet.Instant) {
	if c.activeCalls[callOwnMember] || c.activeCalls[callReadOwnMember] || c.holder.Ended() {
		return
	}
	member := c.member
	needsWrite := c.holder.NeedsRenewal(now)
	if member.State == lease.Ending {
		needsWrite = true
		member.State = lease.Active
	}
	if c.leaving && member.State == lease.Active {
		needsWrite = true
		member.State = lease.Leaving
	}
	if !c.panelComplete(now) {
		needsWrite = true
		member.Panel = c.choosePanel()
	}
	if !needsWrite {
		return
	}
	member.Renewal++
	c.writeOwnMember(ctx, c.holder.Version(), member)
}

// panelComplete reports whether the panel needs no change: all its witnesses are
// serving members, and it has as many as are available, up to panelSize.
func (c *Control) panelComplete(now fleet.Instant) bool {
	for _, witness := range c.holder.Panel() {
		member, ok := c.members[witness.Host]
		if !ok || member.Incarnation != witness.Incarnation || !member.Serves() {
			return false
		}
	}
	size := len(c.holder.Panel())
	// When a fleet starts, members register one by one. One witness is needed at
	// once, so that the lease survives an outage of the platform. The panel is
	// filled up only after suspectTimeout, when the other hosts have registered.
	if size >= panelSize || (size > 0 && now.Sub(c.started) < c.suspectTimeout()) {
		return true
	}
	return len(c.choosePanel()) <= size
}

// sendHeartbeats sends a heartbeat to each witness of the panel, which answers with a
// grant, once per heartbeatInterval.
func (c *Control) sendHeartbeats(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.lastHeartbeat) < c.heartbeatInterval() {
		return
	}
	c.lastHeartbeat = now
	heartbeat := c.holder.NextHeartbeat(now)
	heartbeat.Declaration = c.revision.Number
	for _, witness := range c.holder.Panel() {
		member, ok := c.members[witness.Host]
		if !ok {
			continue
		}
		address := member.PeerAddr
		c.startCall(ctx, callName("beat "+witness.Host), func(ctx context.Context) event {
			ctx, cancel := context.WithTimeout(ctx, c.Timing.Length/2)
			defer cancel()
			var grant lease.Grant
			if err := c.Pool.Call(ctx, address, wire.KindHeartbeat, heartbeat, &grant); err != nil {
				return nil
			}
			return grantReceived{grant}
		})
	}
}

// grantReceived carries a witness's answer to a heartbeat.
type grantReceived struct{ grant lease.Grant }

func (e grantReceived) handle(ctx context.Context, c *Control) {
	c.holder.RecordGrant(e.grant)
	if !e.grant.Granted {
		// Either the witness has refused this version of the member object, since
		// another host has written Ending to it, or the witness is not registered.
		c.readOwnMember(ctx)
	}
	c.fetchIfNewer(ctx, e.grant.Declaration)
}

// fetchIfNewer reads the declaration from the platform if another host has a
// newer version, in case this host's watch has not delivered it.
func (c *Control) fetchIfNewer(ctx context.Context, number fleet.Version) {
	if number <= c.revision.Number {
		return
	}
	c.startCall(ctx, "head", func(ctx context.Context) event {
		c.readHead(ctx)
		return nil
	})
}

// HandleHeartbeat answers another host's heartbeat. It may be called from any
// goroutine, and grants nothing if the context ends first.
func (c *Control) HandleHeartbeat(ctx context.Context, heartbeat lease.Heartbeat) lease.Grant {
	reply := make(chan lease.Grant, 1)
	c.post(ctx, heartbeatReceived{heartbeat, reply})
	select {
	case grant := <-reply:
		return grant
	case <-ctx.Done():
		return lease.Grant{Number: heartbeat.Number}
	}
}

// heartbeatReceived is the event of HandleHeartbeat.
type heartbeatReceived struct {
	heartbeat lease.Heartbeat
	reply     chan<- lease.Grant
}

func (e heartbeatReceived) handle(ctx context.Context, c *Control) {
	grant := lease.Grant{From: c.witness.Self, Number: e.heartbeat.Number}
	if c.registered {
		grant = c.witness.Grant(c.Clock(), e.heartbeat)
	}
	grant.Declaration = c.revision.Number
	e.reply <- grant
	c.fetchIfNewer(ctx, e.heartbeat.Declaration)
}
