package control

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/record"
	"hibiscuslb/hibiscusd/internal/wire"
)

// The calls about membership that can be under way.
const (
	callOwnMember     callName = "member"
	callReadOwnMember callName = "refresh"
)

// reset gives up an incarnation that was ended by others. The process goes on
// as a new one.
func (c *Control) resetIncarnation() {
	c.Log.Warn().Stringer("Incarnation", c.holder.Self.Incarnation).Msg("this incarnation was ended by others")
	c.registered = false
	c.holder = lease.Holder{}
	c.viewOutdated = true
}

// register makes this process a member. An earlier incarnation of the host has
// to be ended first, like that of any other host.
func (c *Control) register(ctx context.Context) {
	if c.takeovers[c.Host.ID] != nil {
		return
	}
	c.startCall(ctx, callOwnMember, func(ctx context.Context) event {
		object, err := c.Platform.Read(ctx, MemberObjectName(c.Host.ID))
		var absent *record.NotFoundError
		if err != nil && !errors.As(err, &absent) {
			return nil
		}
		return ownMemberRead{object}
	})
}

// memberRead is the own member object as it is before registration.
type ownMemberRead struct{ object record.Object }

func (e ownMemberRead) handle(ctx context.Context, c *Control) {
	var old lease.Member
	if e.object.Version != 0 {
		if err := cbor.Unmarshal(e.object.Value, &old); err != nil {
			c.Log.Error().Err(err).Msg("bad member object of this host")
			return
		}
		c.applyMember(e.object.Version, &old)
		if old.Process == c.processName && old.Incarnation == c.holder.Self.Incarnation && old.Serves() {
			// The write of an earlier try took effect and its answer was lost.
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
	c.holder = lease.Holder{Timing: c.Terms, Self: self}
	c.witness.Self = self
	member := lease.Member{
		Host: self.Host, Incarnation: self.Incarnation, Process: c.processName, State: lease.Active,
		DataCentre: c.Host.DataCentre, Region: c.Host.Region,
		CallerAddr: c.Host.CallerAddr, PeerAddr: c.Host.PeerAddr, OperateAddr: c.Host.OperatorAddr,
		Panel: c.choosePanel(),
	}
	c.writeOwnMember(ctx, e.object.Version, member)
}

// writeMember writes the own member object.
func (c *Control) writeOwnMember(ctx context.Context, seen fleet.Version, member lease.Member) {
	value, err := cbor.Marshal(member)
	if err != nil {
		c.Log.Error().Err(err).Msg("member object can not be coded")
		return
	}
	c.holder.BeginWrite(member.Panel)
	sent := c.Clock()
	c.startCall(ctx, callOwnMember, func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, MemberObjectName(member.Host), value, seen)
		return ownMemberWritten{sent, version, member, err}
	})
}

// memberWritten is the end of a write of the own member object.
type ownMemberWritten struct {
	sent    fleet.Instant
	version fleet.Version
	member  lease.Member
	err     error
}

func (e ownMemberWritten) handle(ctx context.Context, c *Control) {
	if e.err != nil {
		c.Log.Warn().Err(e.err).Msg("member object not written")
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

// refresh reads the own member object back, after a write that failed or got
// no answer, or when it is under suspicion.
func (c *Control) readOwnMember(ctx context.Context) {
	c.startCall(ctx, callReadOwnMember, func(ctx context.Context) event {
		object, err := c.Platform.Read(ctx, MemberObjectName(c.Host.ID))
		if err != nil {
			return nil
		}
		return objectsRead{record.Listing{Objects: []record.Object{object}}}
	})
}

// renew keeps the own member object as it should be: active, with a full
// panel, and renewed when the panel's grants run low.
func (c *Control) renewMembership(ctx context.Context, now fleet.Instant) {
	if c.activeCalls[callOwnMember] || c.activeCalls[callReadOwnMember] || c.holder.Ended() {
		return
	}
	member := c.member
	needs := c.holder.NeedsRenewal(now)
	if member.State == lease.Ending {
		needs = true
		member.State = lease.Active
	}
	if c.leaving && member.State == lease.Active {
		needs = true
		member.State = lease.Leaving
	}
	if !c.panelComplete(now) {
		needs = true
		member.Panel = c.choosePanel()
	}
	if !needs {
		return
	}
	member.Renewal++
	c.writeOwnMember(ctx, c.holder.Version(), member)
}

// panelStands reports whether the panel needs no repair: all its seats are
// members, and it has as many as it can.
func (c *Control) panelComplete(now fleet.Instant) bool {
	for _, seat := range c.holder.Panel() {
		member, ok := c.members[seat.Host]
		if !ok || member.Incarnation != seat.Incarnation || !member.Serves() {
			return false
		}
	}
	size := len(c.holder.Panel())
	// A fleet that starts gains members one by one. One witness is needed at
	// once, to outlive an outage of the platform; the others can wait until
	// those who start now have come.
	if size >= panelSize || (size > 0 && now.Sub(c.started) < c.suspectTimeout()) {
		return true
	}
	return len(c.choosePanel()) <= size
}

// beat asks the panel for grants.
func (c *Control) sendBeats(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.lastBeat) < c.beatInterval() {
		return
	}
	c.lastBeat = now
	beat := c.holder.NextHeartbeat(now)
	beat.Declaration = c.edition.Number
	for _, seat := range c.holder.Panel() {
		member, ok := c.members[seat.Host]
		if !ok {
			continue
		}
		address := member.PeerAddr
		c.startCall(ctx, callName("beat "+seat.Host), func(ctx context.Context) event {
			ctx, cancel := context.WithTimeout(ctx, c.Terms.Length/2)
			defer cancel()
			var grant lease.Grant
			if err := c.Pool.Call(ctx, address, wire.KindBeat, beat, &grant); err != nil {
				return nil
			}
			return grantReceived{grant}
		})
	}
}

// granted is a witness's answer to a heartbeat.
type grantReceived struct{ grant lease.Grant }

func (e grantReceived) handle(ctx context.Context, c *Control) {
	c.holder.RecordGrant(e.grant)
	if !e.grant.Granted {
		// The witness has refused this version, so the object says Ending.
		c.readOwnMember(ctx)
	}
	c.fetchIfNewer(ctx, e.grant.Declaration)
}

// hear takes the version of the configuration that another host has. This host
// fetches a newer one itself when its own watch has not brought it.
func (c *Control) fetchIfNewer(ctx context.Context, number fleet.Version) {
	if number <= c.edition.Number {
		return
	}
	c.startCall(ctx, "head", func(ctx context.Context) event {
		c.readHead(ctx)
		return nil
	})
}

// Beat answers another host's heartbeat. It is called by traffic.
func (c *Control) HandleBeat(ctx context.Context, beat lease.Heartbeat) lease.Grant {
	reply := make(chan lease.Grant, 1)
	c.post(ctx, beatReceived{beat, reply})
	select {
	case grant := <-reply:
		return grant
	case <-ctx.Done():
		return lease.Grant{Number: beat.Number}
	}
}

// beaten is another host's heartbeat.
type beatReceived struct {
	beat  lease.Heartbeat
	reply chan<- lease.Grant
}

func (e beatReceived) handle(ctx context.Context, c *Control) {
	grant := lease.Grant{From: c.witness.Self, Number: e.beat.Number}
	if c.registered {
		grant = c.witness.Grant(c.Clock(), e.beat)
	}
	grant.Declaration = c.edition.Number
	e.reply <- grant
	c.fetchIfNewer(ctx, e.beat.Declaration)
}
