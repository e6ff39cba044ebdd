package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/target"
)

const start fleet.Instant = fleet.Instant(time.Hour)

// warm returns an admission whose limit has risen to the warm limit.
func warm(t *testing.T, limits target.Limits) *target.Admission {
	t.Helper()
	a := new(target.Admission)
	a.SetLimits(limits)
	a.ApplyReport(start, target.Report{TakenAt: start, Incarnation: 1})
	for id := target.TicketID(1); a.Limit() < limits.Warm; id++ {
		require.Equal(t, target.ActionAdmit, a.Offer(start, target.Ticket{ID: id}).Action)
		a.Finish(start.Add(100*time.Millisecond), id, target.ResultComplete)
		require.Less(t, id, target.TicketID(1000))
	}
	return a
}

func TestSignOfColdTargetResetsLimit(t *testing.T) {
	limits := target.Limits{Cold: 2, Warm: 16, MaxQueueLen: 8}
	signs := []struct {
		name string
		sign func(*target.Admission)
	}{
		{"report with the Cold flag", func(a *target.Admission) {
			a.ApplyReport(start, target.Report{TakenAt: start, Incarnation: 1, Cold: true})
		}},
		{"report of a new incarnation", func(a *target.Admission) {
			a.ApplyReport(start, target.Report{TakenAt: start, Incarnation: 2})
		}},
		{"answer of a new incarnation", func(a *target.Admission) {
			a.Offer(start, target.Ticket{ID: 5000})
			a.RecordStart(start, 5000, 2)
		}},
		{"incomplete answer", func(a *target.Admission) {
			a.Offer(start, target.Ticket{ID: 5000})
			a.Finish(start, 5000, target.ResultIncomplete)
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

func TestRequestThatCannotMeetDeadlineIsRefused(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 1, MaxQueueLen: 8})
	require.Equal(t, target.ActionAdmit, a.Offer(start, target.Ticket{ID: 5000}).Action)
	late := target.Ticket{ID: 5001, Deadline: start.Add(time.Millisecond)}
	decision := a.Offer(start, late)
	require.Equal(t, target.ActionRefuse, decision.Action)
	require.Equal(t, fleet.ReasonDeadline, decision.Reason)
	require.Positive(t, decision.Wait)
}

func TestUrgentRequestReplacesQueuedRequest(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 1, MaxQueueLen: 1})
	a.Offer(start, target.Ticket{ID: 5000})
	require.Equal(t, target.ActionQueue, a.Offer(start, target.Ticket{ID: 5001, Priority: 9}).Action)
	require.Equal(t, target.ActionQueue, a.Offer(start, target.Ticket{ID: 5002, Priority: 0}).Action)
	change := a.ProcessQueue(start)
	require.Len(t, change.Expired, 1)
	require.Equal(t, target.TicketID(5001), change.Expired[0].ID)
	require.Equal(t, target.ActionRefuse, a.Offer(start, target.Ticket{ID: 5003, Priority: 9}).Action)
}

func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	a := warm(t, target.Limits{Cold: 1, Warm: 2, MaxQueueLen: 8})
	a.Offer(start, target.Ticket{ID: 5000, Workspace: "large"})
	a.Offer(start, target.Ticket{ID: 5001, Workspace: "small"})
	a.Offer(start, target.Ticket{ID: 5002, Workspace: "large"})
	a.Offer(start, target.Ticket{ID: 5003, Workspace: "small"})
	change := a.Finish(start, 5001, target.ResultComplete)
	require.Equal(t, target.TicketID(5003), change.Admitted[0].ID)
}

// TestFinishedRequestsAreNotCountedAsInherited guards against a leak of capacity
// after a change of owner. Reports are old enough to list short requests of the new
// owner that have ended since. When these were counted as requests of the predecessor,
// the inherited count never fell to zero.
func TestFinishedRequestsAreNotCountedAsInherited(t *testing.T) {
	a := new(target.Admission)
	a.SetLimits(target.Limits{Cold: 2, Warm: 2, MaxQueueLen: 8})
	a.TakeOver(start, 0)
	now := start.Add(time.Millisecond)
	a.ApplyReport(now, target.Report{TakenAt: now, Incarnation: 1, Runs: []target.RunID{"predecessor"}})
	require.Equal(t, 1, a.InFlight())
	for i := range 5 {
		id := target.TicketID(i + 1)
		run := target.RunID(rune('a' + i))
		require.Equal(t, target.ActionAdmit, a.Offer(now, target.Ticket{ID: id, Run: run}).Action)
		taken := now.Add(time.Millisecond)
		now = now.Add(100 * time.Millisecond)
		a.Finish(now, id, target.ResultComplete)
		a.ApplyReport(now, target.Report{TakenAt: taken, Incarnation: 1, Runs: []target.RunID{run}})
	}
	require.Zero(t, a.InFlight(), "the request of the predecessor has ended")
}
