package target

import (
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
	}
	a.incarnation = incarnation
}

// Report takes a report and returns whose turn it is now.
func (a *Admission) Report(now fleet.Instant, facts Facts) Change {
	a.saw(facts.Incarnation)
	a.cold = facts.Cold
	if facts.Cold {
		a.fall()
	}
	if a.unproved && facts.Taken > a.takeover {
		a.unproved = false
		a.inherited = a.strangers(facts)
	} else if a.inherited > 0 && facts.Taken > a.takeover {
		a.inherited = min(a.inherited, a.strangers(facts))
	}
	return a.Expire(now)
}

// strangers is how many of the running requests may be a predecessor's: all
// but those of our own that were surely running when the report was taken.
func (a *Admission) strangers(facts Facts) int {
	own := 0
	for _, f := range a.flights {
		if f.started != 0 && f.started < facts.Taken {
			own++
		}
	}
	return max(0, facts.Running-own)
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
