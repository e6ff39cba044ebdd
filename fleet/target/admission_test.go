package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/target"
)

const start fleet.Instant = fleet.Instant(time.Hour)

// warm returns an admission whose limit has risen to the warm one.
func warm(t *testing.T, limits target.Limits) *target.Admission {
	t.Helper()
	a := new(target.Admission)
	a.SetLimits(limits)
	a.Report(start, target.Facts{Taken: start, Incarnation: 1})
	for id := target.TicketID(1); a.Limit() < limits.Warm; id++ {
		require.Equal(t, target.Admitted, a.Offer(start, target.Ticket{ID: id}).Verdict)
		a.Done(start.Add(100*time.Millisecond), id, target.Whole)
		require.Less(t, id, target.TicketID(1000))
	}
	return a
}

func TestSignsOfColdLowerTheLimit(t *testing.T) {
	limits := target.Limits{Cold: 2, Warm: 16, Queue: 8}
	signs := []struct {
		name string
		sign func(*target.Admission)
	}{
		{"report says cold", func(a *target.Admission) {
			a.Report(start, target.Facts{Taken: start, Incarnation: 1, Cold: true})
		}},
		{"report of a new incarnation", func(a *target.Admission) {
			a.Report(start, target.Facts{Taken: start, Incarnation: 2})
		}},
		{"answer of a new incarnation", func(a *target.Admission) {
			a.Offer(start, target.Ticket{ID: 5000})
			a.Started(start, 5000, 2)
		}},
		{"broken answer", func(a *target.Admission) {
			a.Offer(start, target.Ticket{ID: 5000})
			a.Done(start, 5000, target.Broken)
		}},
	}
	for _, sign := range signs {
		t.Run(sign.name, func(t *testing.T) {
			a := warm(t, limits)
			require.Equal(t, limits.Warm, a.Limit())
			sign.sign(a)
			require.Equal(t, limits.Cold, a.Limit())
		})
	}
}

func TestLateNudgeIsRefusedAtOnce(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 1, Queue: 8})
	require.Equal(t, target.Admitted, a.Offer(start, target.Ticket{ID: 5000}).Verdict)
	nudge := target.Ticket{ID: 5001, Deadline: start.Add(time.Millisecond)}
	decision := a.Offer(start, nudge)
	require.Equal(t, target.Refused, decision.Verdict)
	require.Equal(t, fleet.ReasonDeadline, decision.Reason)
	require.Positive(t, decision.Wait)
}

func TestReflectionYieldsToNudge(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 1, Queue: 1})
	a.Offer(start, target.Ticket{ID: 5000})
	require.Equal(t, target.Queued, a.Offer(start, target.Ticket{ID: 5001, Priority: 9}).Verdict)
	require.Equal(t, target.Queued, a.Offer(start, target.Ticket{ID: 5002, Priority: 0}).Verdict)
	change := a.Expire(start)
	require.Len(t, change.Dropped, 1)
	require.Equal(t, target.TicketID(5001), change.Dropped[0].ID)
	require.Equal(t, target.Refused, a.Offer(start, target.Ticket{ID: 5003, Priority: 9}).Verdict)
}

func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 2, Queue: 8})
	a.Offer(start, target.Ticket{ID: 5000, Workspace: "large"})
	a.Offer(start, target.Ticket{ID: 5001, Workspace: "small"})
	a.Offer(start, target.Ticket{ID: 5002, Workspace: "large"})
	a.Offer(start, target.Ticket{ID: 5003, Workspace: "small"})
	change := a.Done(start, 5001, target.Whole)
	require.Equal(t, target.TicketID(5003), change.Admitted[0].ID)
}

// Load pattern: a keeper is replaced, and its successor's own short requests come
// and go. Reports are old enough to name some that have ended since; taken for the
// predecessor's, they kept the target's room from ever being given back.
func TestOwnRequestsThatEndedAreNotAPredecessors(t *testing.T) {
	a := new(target.Admission)
	a.SetLimits(target.Limits{Cold: 2, Warm: 2, Queue: 8})
	a.TakeOver(start, 0)
	now := start.Add(time.Millisecond)
	a.Report(now, target.Facts{Taken: now, Incarnation: 1, Runs: []target.RunID{"predecessor"}})
	require.Equal(t, 1, a.InFlight())
	for i := range 5 {
		id := target.TicketID(i + 1)
		run := target.RunID(rune('a' + i))
		require.Equal(t, target.Admitted, a.Offer(now, target.Ticket{ID: id, Run: run}).Verdict)
		taken := now.Add(time.Millisecond)
		now = now.Add(100 * time.Millisecond)
		a.Done(now, id, target.Whole)
		a.Report(now, target.Facts{Taken: taken, Incarnation: 1, Runs: []target.RunID{run}})
	}
	require.Zero(t, a.InFlight(), "the predecessor's request has ended")
}
