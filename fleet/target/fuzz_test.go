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

// model is the true state of one target with its present and former keepers.
type model struct {
	now         fleet.Instant
	limits      target.Limits
	incarnation fleet.Incarnation
	cold        bool
	running     map[target.TicketID]bool // at the target, of any keeper
	unheard     map[target.TicketID]bool // ended well; the present keeper has not heard it
	ours        map[target.TicketID]bool // admitted by the present keeper
	waiting     map[target.TicketID]bool
	started     map[target.TicketID]bool // has begun to be answered
	next        target.TicketID
	admission   *target.Admission
	reports     []target.Report // taken and not yet delivered
	toldCold    bool            // the last report that was delivered says cold
}

func (m *model) check(t *rapid.T) {
	if len(m.ours) > 0 && m.admission.InFlight() < len(m.ours) {
		t.Fatalf("counts %d in flight, %d are", m.admission.InFlight(), len(m.ours))
	}
	if m.admission.QueueLen() != len(m.waiting) {
		t.Fatalf("%d wait, the oracle has %d", m.admission.QueueLen(), len(m.waiting))
	}
	if m.admission.QueueLen() > m.limits.MaxQueueLen {
		t.Fatalf("queue of %d", m.admission.QueueLen())
	}
}

// admitted checks the bound at the moment of an admission: counted at the
// target, over all keepers, it bears no more than the limit.
func (m *model) admitted(t *rapid.T, id target.TicketID) {
	m.running[id] = true
	m.ours[id] = true
	if len(m.running) > m.limits.Warm {
		t.Fatalf("%d at a target that bears %d", len(m.running), m.limits.Warm)
	}
	unstarted := 0
	for id := range m.ours {
		if !m.started[id] {
			unstarted++
		}
	}
	if unstarted > m.limits.MaxUnstarted {
		t.Fatalf("%d were sent and not begun, the bound is %d", unstarted, m.limits.MaxUnstarted)
	}
	if m.toldCold && len(m.running) > m.limits.Cold {
		t.Fatalf("%d at a target that has reported cold and bears %d", len(m.running), m.limits.Cold)
	}
	if m.admission.Cold() && len(m.running) > m.limits.Cold {
		t.Fatalf("%d at a cold target that bears %d", len(m.running), m.limits.Cold)
	}
}

func (m *model) take(t *rapid.T, change target.QueueChange) {
	for _, ticket := range change.Expired {
		if !m.waiting[ticket.ID] || ticket.Deadline == 0 {
			t.Fatalf("dropped ticket %d, which was not due", ticket.ID)
		}
		delete(m.waiting, ticket.ID)
	}
	for _, ticket := range change.Admitted {
		if !m.waiting[ticket.ID] {
			t.Fatalf("admitted ticket %d, which did not wait", ticket.ID)
		}
		delete(m.waiting, ticket.ID)
		m.admitted(t, ticket.ID)
	}
}

func (m *model) offer(t *rapid.T) {
	m.next++
	ticket := target.Ticket{
		ID: m.next, Run: runOf(m.next), Workspace: fleet.WorkspaceID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "workspace"))),
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
	m.take(t, m.admission.ProcessQueue(m.now))
}

func runOf(id target.TicketID) target.RunID { return target.RunID(fmt.Sprint(id)) }

// runs is what the target reports to run.
func (m *model) runs() []target.RunID {
	var runs []target.RunID
	for id := range m.running {
		runs = append(runs, runOf(id))
	}
	return runs
}

func (m *model) draw(t *rapid.T, from map[target.TicketID]bool) (target.TicketID, bool) {
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
			if id, ok := m.draw(t, m.running); ok {
				delete(m.running, id)
				if m.ours[id] {
					m.unheard[id] = true
				}
			}
		},
		"hear": func(t *rapid.T) {
			if id, ok := m.draw(t, m.unheard); ok {
				delete(m.unheard, id)
				delete(m.ours, id)
				result := rapid.SampledFrom([]target.Result{target.ResultComplete, target.ResultComplete, target.ResultIncomplete}).Draw(t, "result")
				m.take(t, m.admission.Finish(m.now, id, result))
			}
		},
		// The target has not noticed yet that nobody waits for the answer, or
		// that its connection is broken.
		"leave": func(t *rapid.T) {
			if id, ok := m.draw(t, m.ours); ok && !m.unheard[id] {
				delete(m.ours, id)
				result := rapid.SampledFrom([]target.Result{target.ResultCancelled, target.ResultIncomplete}).Draw(t, "result")
				m.take(t, m.admission.Finish(m.now, id, result))
			}
		},
		"giveUp": func(t *rapid.T) {
			if id, ok := m.draw(t, m.waiting); ok {
				delete(m.waiting, id)
				m.take(t, m.admission.Finish(m.now, id, target.ResultCancelled))
			}
		},
		"start": func(t *rapid.T) {
			if id, ok := m.draw(t, m.ours); ok {
				m.started[id] = true
				m.take(t, m.admission.RecordStart(m.now, id, m.incarnation))
			}
		},
		"takeReport": func(*rapid.T) {
			m.reports = append(m.reports, target.Report{
				TakenAt: m.now, Incarnation: m.incarnation, Cold: m.cold, Runs: m.runs(),
			})
		},
		"deliverReport": func(t *rapid.T) {
			if len(m.reports) > 0 {
				facts := m.reports[0]
				m.reports = m.reports[1:]
				m.toldCold = facts.Cold
				m.take(t, m.admission.ApplyReport(m.now, facts))
			}
		},
		"pass": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			m.take(t, m.admission.ProcessQueue(m.now))
		},
		"newKeeper": func(*rapid.T) {
			// What the old keeper sent runs on. Nobody waits at the new one.
			m.ours = make(map[target.TicketID]bool)
			m.unheard = make(map[target.TicketID]bool)
			m.waiting = make(map[target.TicketID]bool)
			m.toldCold = false
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

func TestTargetGetsNoMoreThanItBears(t *testing.T) {
	fuzzing.Check(t, 3000, 120, func(t *rapid.T) {
		cold := rapid.IntRange(1, 3).Draw(t, "cold")
		m := &model{
			now: 1000, limits: target.Limits{Cold: cold, Warm: cold + rapid.IntRange(0, 6).Draw(t, "more"), MaxQueueLen: 4, MaxUnstarted: 2},
			incarnation: 1, running: make(map[target.TicketID]bool),
			unheard: make(map[target.TicketID]bool),
			ours:    make(map[target.TicketID]bool), waiting: make(map[target.TicketID]bool),
			started:   make(map[target.TicketID]bool),
			admission: new(target.Admission),
		}
		m.admission.SetLimits(m.limits)
		t.Repeat(m.actions())
	})
}
