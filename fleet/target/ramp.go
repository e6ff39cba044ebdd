package target

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// prove counts an answer that ended well and raises the limit when there were
// as many as it allows.
func (a *Admission) prove() {
	if a.cold || a.unproved {
		return
	}
	a.proved++
	if a.proved < a.limit {
		return
	}
	a.proved = 0
	a.limit = min(a.limits.Warm, max(1, 2*a.limit))
}

// fall goes back to the cold limit.
func (a *Admission) fall() {
	a.limit = a.limits.Cold
	a.proved = 0
}

// saw takes the target's incarnation from an answer or a report. A new one is
// a fresh process, so nothing of a predecessor's is left in it.
func (a *Admission) saw(incarnation fleet.Incarnation) {
	if incarnation == a.incarnation || incarnation == 0 {
		return
	}
	if a.incarnation != 0 {
		a.fall()
		clear(a.left)
	}
	a.incarnation = incarnation
}

// ApplyReport takes a report and returns whose turn it is now.
func (a *Admission) ApplyReport(now fleet.Instant, facts Report) QueueChange {
	a.saw(facts.Incarnation)
	a.cold = facts.Cold
	if facts.Cold {
		a.fall()
	}
	a.settle(facts)
	if a.unproved && facts.TakenAt > a.takeover {
		a.unproved = false
		a.inherited = a.strangers(facts)
	} else if a.inherited > 0 && facts.TakenAt > a.takeover {
		a.inherited = min(a.inherited, a.strangers(facts))
	}
	return a.ProcessQueue(now)
}

// settle gives back the room of what was left behind and runs no more, and
// forgets the names of requests that ended long ago.
func (a *Admission) settle(facts Report) {
	for run, at := range a.past {
		if facts.TakenAt > at.Add(pastTime) {
			delete(a.past, run)
		}
	}
	for id, left := range a.left {
		if facts.TakenAt > left.at && !slices.Contains(facts.Runs, left.run) {
			delete(a.left, id)
		}
	}
}

// pastTime is how long the names of own requests that ended are kept. Reports
// are younger than that.
const pastTime = 5 * time.Second

// strangers is how many of the running requests are a predecessor's. Runs are
// told apart by their names: their number says nothing, since a run that has
// ended at the target may still be a flight here.
func (a *Admission) strangers(facts Report) int {
	own := make(map[RunID]bool, len(a.flights)+len(a.left))
	for _, f := range a.flights {
		own[f.run] = true
	}
	for _, left := range a.left {
		own[left.run] = true
	}
	for run := range a.past {
		own[run] = true
	}
	strangers := 0
	for _, run := range facts.Runs {
		if !own[run] {
			strangers++
		}
	}
	return strangers
}

// pace is a moving average of how long requests stay at the target.
type pace struct{ average time.Duration }

// firstGuess stands in until a request has ended.
const firstGuess = 500 * time.Millisecond

func (p *pace) perRequest() time.Duration {
	if p.average == 0 {
		return firstGuess
	}
	return p.average
}

func (p *pace) note(d time.Duration) {
	if p.average == 0 {
		p.average = d
		return
	}
	p.average += (d - p.average) / 8
}
