package control

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/hibiscusd/internal/wire"
)

// Refuse answers a host that ends a member. It is called by traffic.
func (c *Control) HandleRefuse(ctx context.Context, ask wire.RefuseRequest) bool {
	reply := make(chan bool, 1)
	c.post(ctx, refuseReceived{ask, reply})
	select {
	case refused := <-reply:
		return refused
	case <-ctx.Done():
		return false
	}
}

type refuseReceived struct {
	ask   wire.RefuseRequest
	reply chan<- bool
}

func (e refuseReceived) handle(_ context.Context, c *Control) {
	e.reply <- c.witness.Refuse(c.Clock(), &e.ask.Member, e.ask.Version)
}

// endSilent begins to end the members that this host witnesses and has not
// heard for a while.
func (c *Control) endSilentMembers(ctx context.Context, now fleet.Instant) {
	if now.Sub(c.started) < c.suspectTimeout() {
		return
	}
	for host, member := range c.members {
		if host != c.Host.ID && member.State != lease.Ended && c.shouldEnd(now, member) {
			c.beginEnding(ctx, host)
		}
	}
	c.witness.Forget(c.members.HasEnded)
}

// silent reports whether a member gives cause to end it.
func (c *Control) shouldEnd(now fleet.Instant, member *lease.Member) bool {
	unchanged := now.Sub(c.memberChangedAt[member.Host])
	switch {
	case member.State == lease.Ending:
		// Somebody else has begun and may have gone since.
		return unchanged > 2*c.Terms.ExpiryWait()
	case len(member.Panel) == 0:
		// It renews in the platform, and would have chosen a panel by now.
		return unchanged > c.Terms.ExpiryWait()
	case member.Panel.Index(c.Host.ID) < 0:
		return false
	}
	heard, _ := c.witness.LastGrant(lease.MemberID{Host: member.Host, Incarnation: member.Incarnation})
	// A state other than Ending was written by the member itself, which shows
	// it alive as a heartbeat does. Without that, a witness that has refused a
	// member's heartbeats would end it again before it could hear the next one.
	heard = max(heard, c.started, c.memberChangedAt[member.Host])
	return now.Sub(heard) > c.suspectTimeout()
}

// beginEnd writes Ending into a member's object.
func (c *Control) beginEnding(ctx context.Context, host fleet.HostID) {
	member := *c.members[host]
	if member.State == lease.Ended || c.takeovers[host] != nil {
		return
	}
	member.State = lease.Ending
	c.writeMemberState(ctx, member, c.memberVersions[host], func(version fleet.Version) event { return endingWritten{member, version} })
}

// writeState writes the object of a member that is being ended. A write that
// fails or gets no answer is made again when the member still gives cause.
func (c *Control) writeMemberState(ctx context.Context, member lease.Member, seen fleet.Version, written func(fleet.Version) event) {
	value, err := cbor.Marshal(member)
	if err != nil {
		c.Log.Error().Err(err).Msg("member object can not be coded")
		return
	}
	c.startCall(ctx, callName("end "+member.Host), func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, MemberObjectName(member.Host), value, seen)
		if err != nil {
			return nil
		}
		return written(version)
	})
}

type endingWritten struct {
	member  lease.Member
	version fleet.Version
}

func (e endingWritten) handle(_ context.Context, c *Control) {
	if c.memberVersions[e.member.Host] > e.version {
		return // the object has moved on, so this end can not be finished
	}
	c.Log.Warn().Str("Host", string(e.member.Host)).Msg("host is silent; ending it")
	c.applyMember(e.version, &e.member)
	c.takeovers[e.member.Host] = &lease.Takeover{
		Timing: c.Terms, Member: e.member, Version: e.version, StartTime: c.Clock(),
	}
}

// pursue collects refusals and writes Ended when it may.
func (c *Control) advanceTakeovers(ctx context.Context, now fleet.Instant) {
	for host, takeover := range c.takeovers {
		if c.witness.Refuse(now, &takeover.Member, takeover.Version) {
			takeover.RecordRefusal(c.Host.ID)
		}
		if takeover.Ready(now) {
			c.finishEnding(ctx, takeover)
			continue
		}
		if now.Sub(takeover.StartTime) < c.Terms.Length {
			continue // nobody can refuse yet
		}
		for _, seat := range takeover.Member.Panel {
			if member, ok := c.members[seat.Host]; ok && seat.Host != c.Host.ID {
				c.requestRefusal(ctx, host, takeover, member)
			}
		}
	}
}

func (c *Control) requestRefusal(ctx context.Context, host fleet.HostID, takeover *lease.Takeover, witness *lease.Member) {
	ask := wire.RefuseRequest{Member: takeover.Member, Version: takeover.Version}
	name := callName(fmt.Sprintf("refuse %s %s", host, witness.Host))
	c.startCall(ctx, name, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		var answer wire.RefuseResponse
		if err := c.Pool.Call(ctx, witness.PeerAddr, wire.KindRefuse, ask, &answer); err != nil || !answer.Refused {
			return nil
		}
		return refusalReceived{takeover, witness.Host}
	})
}

type refusalReceived struct {
	takeover *lease.Takeover
	by       fleet.HostID
}

func (e refusalReceived) handle(context.Context, *Control) { e.takeover.RecordRefusal(e.by) }

func (c *Control) finishEnding(ctx context.Context, takeover *lease.Takeover) {
	member := takeover.Member
	member.State = lease.Ended
	c.writeMemberState(ctx, member, takeover.Version, func(version fleet.Version) event { return endedWritten{member, version} })
}

type endedWritten struct {
	member  lease.Member
	version fleet.Version
}

func (e endedWritten) handle(_ context.Context, c *Control) {
	c.Log.Warn().Str("Host", string(e.member.Host)).Msg("host is ended")
	c.applyMember(e.version, &e.member)
}
