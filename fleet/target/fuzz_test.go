package target_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/proptest"
	"hibiscuslb/fleet/target"
)

// simulation is the true state of one target and of the requests that its current and
// former owners sent.
type simulation struct {
	now          fleet.Instant
	limits       target.Limits
	incarnation  fleet.Incarnation
	cold         bool
	running      map[target.TicketID]bool // at the target, sent by any owner
	unnotified   map[target.TicketID]bool // completed; the current owner has not been notified yet
	own          map[target.TicketID]bool // admitted by the current owner
	waiting      map[target.TicketID]bool
	started      map[target.TicketID]bool // the answer has started
	next         target.TicketID
	admission    *target.Admission
	reports      []target.Report // taken but not delivered yet
	reportedCold bool            // the last delivered report has the Cold flag
}

func (s *simulation) check(t *rapid.T) {
	if len(s.own) > 0 && s.admission.InFlight() < len(s.own) {
		t.Fatalf("InFlight is %d, want at least %d", s.admission.InFlight(), len(s.own))
	}
	if s.admission.QueueLen() != len(s.waiting) {
		t.Fatalf("QueueLen is %d, want %d", s.admission.QueueLen(), len(s.waiting))
	}
	if s.admission.QueueLen() > s.limits.MaxQueueLen {
		t.Fatalf("QueueLen is %d, want at most %d", s.admission.QueueLen(), s.limits.MaxQueueLen)
	}
}

// recordAdmission records an admission and checks the limits at that moment: the number
// of requests at the target, of all owners, must not exceed the limit.
func (s *simulation) recordAdmission(t *rapid.T, id target.TicketID) {
	s.running[id] = true
	s.own[id] = true
	if len(s.running) > s.limits.Warm {
		t.Fatalf("%d requests at a target with the warm limit %d", len(s.running), s.limits.Warm)
	}
	unstarted := 0
	for id := range s.own {
		if !s.started[id] {
			unstarted++
		}
	}
	if unstarted > s.limits.MaxUnstarted {
		t.Fatalf("%d sent requests have not started, want at most %d", unstarted, s.limits.MaxUnstarted)
	}
	if s.reportedCold && len(s.running) > s.limits.Cold {
		t.Fatalf("%d requests at a target that reported cold, want at most %d", len(s.running), s.limits.Cold)
	}
	if s.admission.AtColdLimit() && len(s.running) > s.limits.Cold {
		t.Fatalf("%d requests at a cold target, want at most %d", len(s.running), s.limits.Cold)
	}
}

func (s *simulation) applyChange(t *rapid.T, change target.QueueChange) {
	for _, ticket := range change.Expired {
		if !s.waiting[ticket.ID] || ticket.Deadline == 0 {
			t.Fatalf("ticket %d expired, but it was not queued or has no deadline", ticket.ID)
		}
		delete(s.waiting, ticket.ID)
	}
	for _, ticket := range change.Admitted {
		if !s.waiting[ticket.ID] {
			t.Fatalf("ticket %d was admitted from the queue, but it was not queued", ticket.ID)
		}
		delete(s.waiting, ticket.ID)
		s.recordAdmission(t, ticket.ID)
	}
}

func (s *simulation) offer(t *rapid.T) {
	s.next++
	ticket := target.Ticket{
		ID: s.next, Run: runID(s.next), Workspace: fleet.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace"))),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}
	if rapid.Bool().Draw(t, "deadline") {
		ticket.Deadline = s.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
	}
	decision := s.admission.Offer(s.now, ticket)
	switch decision.Action {
	case target.ActionAdmit:
		s.recordAdmission(t, ticket.ID)
	case target.ActionQueue:
		s.waiting[ticket.ID] = true
	}
	s.applyChange(t, s.admission.ProcessQueue(s.now))
}

func runID(id target.TicketID) target.RunID { return target.RunID(fmt.Sprint(id)) }

// runs returns the runs that the target reports.
func (s *simulation) runs() []target.RunID {
	var runs []target.RunID
	for id := range s.running {
		runs = append(runs, runID(id))
	}
	return runs
}

func (s *simulation) drawTicket(t *rapid.T, from map[target.TicketID]bool) (target.TicketID, bool) {
	var ids []target.TicketID
	for id := target.TicketID(1); id <= s.next; id++ {
		if from[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "ticket"), true
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": s.check,
		"end": func(t *rapid.T) {
			if id, ok := s.drawTicket(t, s.running); ok {
				delete(s.running, id)
				if s.own[id] {
					s.unnotified[id] = true
				}
			}
		},
		"finish": func(t *rapid.T) {
			if id, ok := s.drawTicket(t, s.unnotified); ok {
				delete(s.unnotified, id)
				delete(s.own, id)
				result := rapid.SampledFrom([]target.Result{target.ResultComplete, target.ResultComplete, target.ResultIncomplete}).Draw(t, "result")
				s.applyChange(t, s.admission.Finish(s.now, id, result))
			}
		},
		// The owner stops reading an answer. The target has not noticed yet
		// that the caller has disconnected or that the connection broke.
		"leaveUnconfirmed": func(t *rapid.T) {
			if id, ok := s.drawTicket(t, s.own); ok && !s.unnotified[id] {
				delete(s.own, id)
				result := rapid.SampledFrom([]target.Result{target.ResultCancelled, target.ResultIncomplete}).Draw(t, "result")
				s.applyChange(t, s.admission.Finish(s.now, id, result))
			}
		},
		"endQueued": func(t *rapid.T) {
			if id, ok := s.drawTicket(t, s.waiting); ok {
				delete(s.waiting, id)
				s.applyChange(t, s.admission.Finish(s.now, id, target.ResultCancelled))
			}
		},
		"start": func(t *rapid.T) {
			if id, ok := s.drawTicket(t, s.own); ok {
				s.started[id] = true
				s.applyChange(t, s.admission.RecordStart(s.now, id, s.incarnation))
			}
		},
		"takeReport": func(*rapid.T) {
			s.reports = append(s.reports, target.Report{
				TakenAt: s.now, Incarnation: s.incarnation, Cold: s.cold, Runs: s.runs(),
			})
		},
		"deliverReport": func(t *rapid.T) {
			if len(s.reports) > 0 {
				report := s.reports[0]
				s.reports = s.reports[1:]
				s.reportedCold = report.Cold
				s.applyChange(t, s.admission.ApplyReport(s.now, report))
			}
		},
		"passTime": func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			s.applyChange(t, s.admission.ProcessQueue(s.now))
		},
		"newOwner": func(*rapid.T) {
			// The old owner's requests keep running. The new queue is empty.
			s.own = make(map[target.TicketID]bool)
			s.unnotified = make(map[target.TicketID]bool)
			s.waiting = make(map[target.TicketID]bool)
			s.reportedCold = false
			s.admission = new(target.Admission)
			s.admission.SetLimits(s.limits)
			s.admission.TakeOver(s.now, 0)
		},
		"turnCold": func(*rapid.T) { s.cold = !s.cold },
	}
	for n := range 4 {
		actions[fmt.Sprintf("offer%d", n)] = s.offer
	}
	return actions
}

// TestRequestsAtTargetStayWithinLimit runs an admission while the owner changes, the
// target turns cold, reports arrive late, and answers are no longer read. It guards
// against an admission that sends more requests than the limit, because it does not
// count requests of an earlier owner or requests that the target has not ended yet.
func TestRequestsAtTargetStayWithinLimit(t *testing.T) {
	proptest.Check(t, 3000, 120, func(t *rapid.T) {
		cold := rapid.IntRange(1, 3).Draw(t, "cold")
		s := &simulation{
			now: 1000, limits: target.Limits{Cold: cold, Warm: cold + rapid.IntRange(0, 6).Draw(t, "more"), MaxQueueLen: 4, MaxUnstarted: 2},
			incarnation: 1, running: make(map[target.TicketID]bool),
			unnotified: make(map[target.TicketID]bool),
			own:        make(map[target.TicketID]bool), waiting: make(map[target.TicketID]bool),
			started:   make(map[target.TicketID]bool),
			admission: new(target.Admission),
		}
		s.admission.SetLimits(s.limits)
		t.Repeat(s.actions())
	})
}
