package target_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/target"
)

// model is the oracle: the true state of one target and of the requests that its
// current and former keepers sent.
type model struct {
	now          fleet.Instant
	limits       target.Limits
	incarnation  fleet.Incarnation
	cold         bool
	running      map[target.TicketID]bool // at the target, sent by any keeper
	unnotified   map[target.TicketID]bool // completed; the current keeper has not been notified yet
	own          map[target.TicketID]bool // admitted by the current keeper
	waiting      map[target.TicketID]bool
	started      map[target.TicketID]bool // the answer has started
	next         target.TicketID
	admission    *target.Admission
	reports      []target.Report // taken but not delivered yet
	reportedCold bool            // the last delivered report has the Cold flag
}

func (m *model) check(t *rapid.T) {
	if len(m.own) > 0 && m.admission.InFlight() < len(m.own) {
		t.Fatalf("InFlight is %d, want at least %d", m.admission.InFlight(), len(m.own))
	}
	if m.admission.QueueLen() != len(m.waiting) {
		t.Fatalf("QueueLen is %d, want %d", m.admission.QueueLen(), len(m.waiting))
	}
	if m.admission.QueueLen() > m.limits.MaxQueueLen {
		t.Fatalf("QueueLen is %d, want at most %d", m.admission.QueueLen(), m.limits.MaxQueueLen)
	}
}

// admitted records an admission and checks the limits at that moment: the number
// of requests at the target, of all keepers, must not exceed the limit.
func (m *model) admitted(t *rapid.T, id target.TicketID) {
	m.running[id] = true
	m.own[id] = true
	if len(m.running) > m.limits.Warm {
		t.Fatalf("%d requests at a target with the warm limit %d", len(m.running), m.limits.Warm)
	}
	unstarted := 0
	for id := range m.own {
		if !m.started[id] {
			unstarted++
		}
	}
	if unstarted > m.limits.MaxUnstarted {
		t.Fatalf("%d sent requests have not started, want at most %d", unstarted, m.limits.MaxUnstarted)
	}
	if m.reportedCold && len(m.running) > m.limits.Cold {
		t.Fatalf("%d requests at a target that reported cold, want at most %d", len(m.running), m.limits.Cold)
	}
	if m.admission.Cold() && len(m.running) > m.limits.Cold {
		t.Fatalf("%d requests at a cold target, want at most %d", len(m.running), m.limits.Cold)
	}
}

func (m *model) apply(t *rapid.T, change target.QueueChange) {
	for _, ticket := range change.Expired {
		if !m.waiting[ticket.ID] || ticket.Deadline == 0 {
			t.Fatalf("ticket %d expired, but it was not queued or has no deadline", ticket.ID)
		}
		delete(m.waiting, ticket.ID)
	}
	for _, ticket := range change.Admitted {
		if !m.waiting[ticket.ID] {
			t.Fatalf("ticket %d was admitted from the queue, but it was not queued", ticket.ID)
		}
		delete(m.waiting, ticket.ID)
		m.admitted(t, ticket.ID)
	}
}

func (m *model) offer(t *rapid.T) {
	m.next++
	ticket := target.Ticket{
		ID: m.next, Run: runID(m.next), Workspace: fleet.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace"))),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
	}
	if rapid.Bool().Draw(t, "deadline") {
		ticket.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
	}
	decision := m.admission.Offer(m.now, ticket)
	switch decision.Action {
	case target.ActionAdmit:
		m.admitted(t, ticket.ID)
	case target.ActionQueue:
		m.waiting[ticket.ID] = true
	}
	m.apply(t, m.admission.ProcessQueue(m.now))
}

func runID(id target.TicketID) target.RunID { return target.RunID(fmt.Sprint(id)) }

// runs returns the runs that the target reports.
func (m *model) runs() []target.RunID {
	var runs []target.RunID
	for id := range m.running {
		runs = append(runs, runID(id))
	}
	return runs
}

func (m *model) drawTicket(t *rapid.T, from map[target.TicketID]bool) (target.TicketID, bool) {
	var ids []target.TicketID
	for id := target.TicketID(1); id <= m.next; id++ {
		if from[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "ticket"), true
}

func (m *model) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"": m.check,
		"end": func(t *rapid.T) {
			if id, ok := m.drawTicket(t, m.running); ok {
				delete(m.running, id)
				if m.own[id] {
					m.unnotified[id] = true
				}
			}
		},
		"finish": func(t *rapid.T) {
			if id, ok := m.drawTicket(t, m.unnotified); ok {
				delete(m.unnotified, id)
				delete(m.own, id)
				result := rapid.SampledFrom([]target.Result{target.ResultComplete, target.ResultComplete, target.ResultIncomplete}).Draw(t, "result")
				m.apply(t, m.admission.Finish(m.now, id, result))
			}
		},
		// The keeper stops reading an answer. The target has not noticed yet
		// that the caller has disconnected or that the connection broke.
		"leaveUnconfirmed": func(t *rapid.T) {
			if id, ok := m.drawTicket(t, m.own); ok && !m.unnotified[id] {
				delete(m.own, id)
				result := rapid.SampledFrom([]target.Result{target.ResultCancelled, target.ResultIncomplete}).Draw(t, "result")
				m.apply(t, m.admission.Finish(m.now, id, result))
			}
		},
		"endQueued": func(t *rapid.T) {
			if id, ok := m.drawTicket(t, m.waiting); ok {
				delete(m.waiting, id)
				m.apply(t, m.admission.Finish(m.now, id, target.ResultCancelled))
			}
		},
		"start": func(t *rapid.T) {
			if id, ok := m.drawTicket(t, m.own); ok {
				m.started[id] = true
				m.apply(t, m.admission.RecordStart(m.now, id, m.incarnation))
			}
		},
		"takeReport": func(*rapid.T) {
			m.reports = append(m.reports, target.Report{
				TakenAt: m.now, Incarnation: m.incarnation, Cold: m.cold, Runs: m.runs(),
			})
		},
		"deliverReport": func(t *rapid.T) {
			if len(m.reports) > 0 {
				report := m.reports[0]
				m.reports = m.reports[1:]
				m.reportedCold = report.Cold
				m.apply(t, m.admission.ApplyReport(m.now, report))
			}
		},
		"passTime": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, m.admission.ProcessQueue(m.now))
		},
		"newKeeper": func(*rapid.T) {
			// The old keeper's requests keep running. The new queue is empty.
			m.own = make(map[target.TicketID]bool)
			m.unnotified = make(map[target.TicketID]bool)
			m.waiting = make(map[target.TicketID]bool)
			m.reportedCold = false
			m.admission = new(target.Admission)
			m.admission.SetLimits(m.limits)
			m.admission.TakeOver(m.now, 0)
		},
		"turnCold": func(*rapid.T) { m.cold = !m.cold },
	}
	for n := range 4 {
		actions[fmt.Sprintf("offer%d", n)] = m.offer
	}
	return actions
}

func TestRequestsAtTargetStayWithinLimit(t *testing.T) {
	fuzzing.Check(t, 3000, 120, func(t *rapid.T) {
		cold := rapid.IntRange(1, 3).Draw(t, "cold")
		m := &model{
			now: 1000, limits: target.Limits{Cold: cold, Warm: cold + rapid.IntRange(0, 6).Draw(t, "more"), MaxQueueLen: 4, MaxUnstarted: 2},
			incarnation: 1, running: make(map[target.TicketID]bool),
			unnotified: make(map[target.TicketID]bool),
			own:        make(map[target.TicketID]bool), waiting: make(map[target.TicketID]bool),
			started:   make(map[target.TicketID]bool),
			admission: new(target.Admission),
		}
		m.admission.SetLimits(m.limits)
		t.Repeat(m.actions())
	})
}
