package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
)

// TestWriteOfActiveCountsAsHeartbeat guards against an endless exchange of writes
// between a live member and a witness that has missed some of its heartbeats. The
// witness refuses the heartbeats of the versions before its write of Ending. If
// the member's next write of Active did not count like a heartbeat, the witness
// would write Ending again at once, several times a second.
func TestWriteOfActiveCountsAsHeartbeat(t *testing.T) {
	timing := lease.Timing{Length: 2 * time.Second, Margin: 500 * time.Millisecond, Drift: 0.01}
	var now fleet.Instant
	c := &Control{Host: Host{ID: "witness"}, Timing: timing, Clock: func() fleet.Instant { return now }}
	c.init()
	memberID := lease.MemberID{Host: "member", Incarnation: 1}
	write := func(version fleet.Version, state lease.State) *lease.Member {
		member := &lease.Member{
			Host: memberID.Host, Incarnation: memberID.Incarnation, State: state, Panel: lease.Panel{{Host: "witness", Incarnation: 1}},
		}
		c.applyMember(version, member)
		return member
	}
	c.witness.Self.Incarnation = 1
	write(1, lease.Active)
	require.True(t, c.witness.Grant(now, lease.Heartbeat{Seat: memberID, Version: 1}).Granted)

	now = now.Add(c.suspectTimeout() + c.heartbeatInterval())
	require.True(t, c.shouldEnd(now, c.members["member"]), "no heartbeat for longer than suspectTimeout")
	ending := write(2, lease.Ending)
	c.witness.Refuse(now, ending, 2)

	now = now.Add(c.heartbeatInterval())
	active := write(3, lease.Active)
	require.False(t, c.shouldEnd(now, active), "the member has just written its own object")
	require.False(t, c.shouldEnd(now.Add(c.suspectTimeout()), active), "a write counts for as long as a heartbeat")

	now = now.Add(c.suspectTimeout() + c.heartbeatInterval())
	require.True(t, c.shouldEnd(now, active), "neither heartbeat nor write")
}
