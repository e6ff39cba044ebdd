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

// HandleRefuse answers another host that is ending a member. It reports whether
// this host, as a witness, has refused all further grants to the member for versions
// of its object up to that of the request. It may be called from any goroutine, and
// returns false if the context ends first.
func (c *Control) HandleRefuse(ctx context.Context, request wire.RefuseRequest) bool {
	reply := make(chan bool, 1)
	c.post(ctx, refuseReceived{request, reply})
	select {
	case refused := <-reply:
		return refused
	case <-ctx.Done():
		return false
	}
}

// refuseReceived is the event of HandleRefuse.
type refuseReceived struct {
	request wire.RefuseRequest
	reply   chan<- bool
}

func (e refuseReceived) handle(_ context.Context, c *Control) {
	e.reply <- c.witness.Refuse(c.Clock(), &e.request.Member, e.request.Version)
}

// endSilentMembers begins to end each member for which shouldEnd holds. It does
// nothing until this process has run for suspectTimeout, the time after which a
// member counts as silent. It also discards what the witness stores about ended
// incarnations.
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

// shouldEnd reports whether this host should begin to end the member: as its
// witness, because the member is silent, or because its object has not changed for
// longer than its state allows.
func (c *Control) shouldEnd(now fleet.Instant, member *lease.Member) bool {
	unchanged := now.Sub(c.memberChangedAt[member.Host])
	switch {
	case member.State == lease.Ending:
		// Another host has begun to end the member and may have failed since.
		return unchanged > 2*c.Timing.ExpiryWait()
	case len(member.Panel) == 0:
		// Without a panel, the member renews its lease by writing its object. It
		// would also have chosen a panel by now.
		return unchanged > c.Timing.ExpiryWait()
	case member.Panel.Index(c.Host.ID) < 0:
		return false
	}
	heard, _ := c.witness.LastGrant(lease.MemberID{Host: member.Host, Incarnation: member.Incarnation})
	// A state other than Ending was written by the member itself and so proves it
	// alive, as a heartbeat does. Without this rule, a witness that has refused
	// the member's heartbeats would end it again before the next heartbeat.
	heard = max(heard, c.started, c.memberChangedAt[member.Host])
	return now.Sub(heard) > c.suspectTimeout()
}

// beginEnding writes the state Ending to a member's object, unless the member has
// ended or this host is ending it already.
func (c *Control) beginEnding(ctx context.Context, host fleet.HostID) {
	member := *c.members[host]
	if member.State == lease.Ended || c.endAttempts[host] != nil {
		return
	}
	member.State = lease.Ending
	c.writeMemberState(ctx, member, c.memberVersions[host], func(version fleet.Version) event { return endingWritten{member, version} })
}

// writeMemberState writes the object of a member that is being ended, on condition
// that it still has the expected version, and posts the event returned by written. A
// write that fails or gets no answer is not repeated here: the next tick begins
// anew if the reason still exists.
func (c *Control) writeMemberState(ctx context.Context, member lease.Member, expected fleet.Version, written func(fleet.Version) event) {
	value, err := cbor.Marshal(member)
	if err != nil {
		c.Log.Error().Err(err).Str("Object", string(MemberObjectName(member.Host))).Msg("member object cannot be encoded; not written")
		return
	}
	c.startCall(ctx, callName("end "+member.Host), func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, MemberObjectName(member.Host), value, expected)
		if err != nil {
			return nil
		}
		return written(version)
	})
}

// endingWritten reports that the state Ending was written to a member's object.
type endingWritten struct {
	member  lease.Member
	version fleet.Version
}

func (e endingWritten) handle(_ context.Context, c *Control) {
	if c.memberVersions[e.member.Host] > e.version {
		return // the object has changed since, so the write of Ended would fail
	}
	c.Log.Warn().Str("Host", string(e.member.Host)).Msg("wrote Ending to the member object: the member is silent, its object has not changed for too long, or it is an earlier incarnation of this host")
	c.applyMember(e.version, &e.member)
	c.endAttempts[e.member.Host] = &lease.EndAttempt{
		Timing: c.Timing, Member: e.member, Version: e.version, StartTime: c.Clock(),
	}
}

// advanceEndAttempts requests refusals from the panel of each member that this
// host is ending, and writes the state Ended once the attempt to end it is ready.
func (c *Control) advanceEndAttempts(ctx context.Context, now fleet.Instant) {
	for host, attempt := range c.endAttempts {
		if c.witness.Refuse(now, &attempt.Member, attempt.Version) {
			attempt.RecordRefusal(c.Host.ID)
		}
		if attempt.Ready(now) {
			c.finishEnding(ctx, attempt)
			continue
		}
		if now.Sub(attempt.StartTime) < c.Timing.Length {
			continue // grants from before the write of Ending are still valid, so their witnesses cannot refuse yet
		}
		for _, witness := range attempt.Member.Panel {
			if member, ok := c.members[witness.Host]; ok && witness.Host != c.Host.ID {
				c.requestRefusal(ctx, host, attempt, member)
			}
		}
	}
}

// refusalTimeout bounds one request for a refusal.
const refusalTimeout = time.Second

// requestRefusal asks a witness to refuse the member that the attempt ends.
func (c *Control) requestRefusal(ctx context.Context, host fleet.HostID, attempt *lease.EndAttempt, witness *lease.Member) {
	request := wire.RefuseRequest{Member: attempt.Member, Version: attempt.Version}
	name := callName(fmt.Sprintf("refuse %s %s", host, witness.Host))
	c.startCall(ctx, name, func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
		defer cancel()
		var response wire.RefuseResponse
		if err := c.Pool.Call(ctx, witness.PeerAddr, wire.KindRefuse, request, &response); err != nil || !response.Refused {
			return nil
		}
		return refusalReceived{attempt, witness.Host}
	})
}

// refusalReceived reports that a witness has refused the member of an attempt.
type refusalReceived struct {
	attempt *lease.EndAttempt
	by      fleet.HostID
}

func (e refusalReceived) handle(context.Context, *Control) { e.attempt.RecordRefusal(e.by) }

// finishEnding writes the state Ended to the member's object.
func (c *Control) finishEnding(ctx context.Context, attempt *lease.EndAttempt) {
	member := attempt.Member
	member.State = lease.Ended
	c.writeMemberState(ctx, member, attempt.Version, func(version fleet.Version) event { return endedWritten{member, version} })
}

// endedWritten reports that the state Ended was written to a member's object.
type endedWritten struct {
	member  lease.Member
	version fleet.Version
}

func (e endedWritten) handle(_ context.Context, c *Control) {
	c.Log.Warn().Str("Host", string(e.member.Host)).Msg("member ended; other hosts may take its duties over")
	c.applyMember(e.version, &e.member)
}
