package lease_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
)

func panelOf(n int) lease.Panel {
	var panel lease.Panel
	for i := range n {
		panel = append(panel, lease.MemberID{Host: hostID(i), Incarnation: 1})
	}
	return panel
}

func TestQuorumsOverlap(t *testing.T) {
	for n := range 9 {
		panel := panelOf(n)
		require.Greater(t, panel.HoldQuorum()+panel.EndQuorum(), n, "panel of %d", n)
		if n > 0 {
			require.LessOrEqual(t, panel.HoldQuorum(), n)
			require.LessOrEqual(t, panel.EndQuorum(), n)
		}
	}
}

func ExamplePanel_HoldQuorum() {
	for n := range 5 {
		fmt.Println(n, panelOf(n).HoldQuorum(), panelOf(n).EndQuorum())
	}
	// Output:
	// 0 1 0
	// 1 1 1
	// 2 1 2
	// 3 2 2
	// 4 2 3
}

func activeMember(panel lease.Panel) *lease.Member {
	return &lease.Member{Host: "a", Incarnation: 1, State: lease.Active, Panel: panel}
}

func TestHolderActsDuringPlatformOutage(t *testing.T) {
	panel := panelOf(4)
	h := lease.Holder{Timing: timing, Self: lease.MemberID{Host: "a", Incarnation: 1}}
	h.ConfirmWrite(0, 1, activeMember(panel))
	now := fleet.Instant(0)
	for range 3600 {
		now = now.Add(timing.Length / 5)
		heartbeat := h.NextHeartbeat(now)
		for _, witness := range panel[:panel.HoldQuorum()] {
			h.RecordGrant(lease.Grant{From: witness, Number: heartbeat.Number, Granted: true})
		}
		require.True(t, h.MayAct(now))
	}
	require.False(t, h.MayAct(now.Add(timing.Length)), "the lease must expire in a pause longer than its length")
}

func TestHolderNeedsQuorumOfBothPanelsWhileItsWriteIsInDoubt(t *testing.T) {
	first, second := panelOf(2), lease.Panel{{Host: "x", Incarnation: 1}, {Host: "y", Incarnation: 1}}
	h := lease.Holder{Timing: timing, Self: lease.MemberID{Host: "a", Incarnation: 1}}
	h.ConfirmWrite(0, 1, activeMember(first))
	h.BeginWrite(second)
	now := fleet.Instant(timing.Length)
	heartbeat := h.NextHeartbeat(now)
	h.RecordGrant(lease.Grant{From: first[0], Number: heartbeat.Number, Granted: true})
	require.False(t, h.MayAct(now))
	h.RecordGrant(lease.Grant{From: second[1], Number: heartbeat.Number, Granted: true})
	require.True(t, h.MayAct(now))
}

// TestLaterIncarnationRefusesOnlyAfterEarlierGrantsExpired checks that a witness that
// has restarted, and does not know its earlier grants, waits until they have expired.
func TestLaterIncarnationRefusesOnlyAfterEarlierGrantsExpired(t *testing.T) {
	member := activeMember(lease.Panel{{Host: "w", Incarnation: 1}})
	member.State = lease.Ending
	w := lease.Witness{Timing: timing, Self: lease.MemberID{Host: "w", Incarnation: 2}, Started: 100}
	require.False(t, w.Refuse(w.Started, member, 5))
	require.True(t, w.Refuse(w.Started.Add(timing.ExpiryWait()), member, 5))
	heartbeat := lease.Heartbeat{Seat: lease.MemberID{Host: "a", Incarnation: 1}, Version: 5}
	require.False(t, w.Grant(w.Started.Add(timing.ExpiryWait()), heartbeat).Granted, "a refused version must get no grant")
	heartbeat.Version = 6
	require.True(t, w.Grant(w.Started.Add(timing.ExpiryWait()), heartbeat).Granted, "a newer version proves that the second write failed and must get a grant")
}
