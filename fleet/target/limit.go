package target

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// recordSuccess counts a completed answer. It doubles the limit once as many
// answers as the limit have completed. Answers do not count while the target is
// cold, or before the first report after a takeover.
func (a *Admission) recordSuccess() {
	if a.cold || a.awaitingReport {
		return
	}
	a.successes++
	if a.successes < a.limit {
		return
	}
	a.successes = 0
	a.limit = min(a.limits.Warm, max(1, 2*a.limit))
}

// resetLimit returns to the cold limit.
func (a *Admission) resetLimit() {
	a.limit = a.limits.Cold
	a.successes = 0
}

// observeIncarnation records the target's incarnation as given by an answer or a
// report. A new incarnation is a new process, which runs none of the requests that
// were sent to the previous one.
func (a *Admission) observeIncarnation(incarnation fleet.Incarnation) {
	if incarnation == a.incarnation || incarnation == 0 {
		return
	}
	if a.incarnation != 0 {
		a.resetLimit()
		clear(a.unconfirmed)
	}
	a.incarnation = incarnation
}

// ApplyReport updates the state from a report and returns the tickets that leave
// the queue.
func (a *Admission) ApplyReport(now fleet.Instant, report Report) QueueChange {
	a.observeIncarnation(report.Incarnation)
	a.cold = report.Cold
	if report.Cold {
		a.resetLimit()
	}
	a.dropEnded(report)
	if a.awaitingReport && report.TakenAt > a.trustReportsAfter {
		a.awaitingReport = false
		a.inherited = a.countInherited(report)
	} else if a.inherited > 0 && report.TakenAt > a.trustReportsAfter {
		a.inherited = min(a.inherited, a.countInherited(report))
	}
	return a.ProcessQueue(now)
}

// dropEnded drops the unconfirmed requests that the target no longer runs, which
// only a report taken after their end can show, and the finished requests that are
// too old to appear in a report.
func (a *Admission) dropEnded(report Report) {
	for run, at := range a.finished {
		if report.TakenAt > at.Add(finishedRetention) {
			delete(a.finished, run)
		}
	}
	for id, request := range a.unconfirmed {
		if report.TakenAt > request.endedAt && !slices.Contains(report.Runs, request.run) {
			delete(a.unconfirmed, id)
		}
	}
}

// finishedRetention is how long the IDs of completed requests are kept. Reports
// are younger than that when they arrive.
const finishedRetention = 5 * time.Second

// countInherited returns how many of the reported runs were sent by a predecessor.
// The IDs are compared because a difference of counts would be too low: a run that has
// ended at the target may still count as sent here.
func (a *Admission) countInherited(report Report) int {
	own := make(map[RunID]bool, len(a.sent)+len(a.unconfirmed))
	for _, r := range a.sent {
		own[r.run] = true
	}
	for _, request := range a.unconfirmed {
		own[request.run] = true
	}
	for run := range a.finished {
		own[run] = true
	}
	inherited := 0
	for _, run := range report.Runs {
		if !own[run] {
			inherited++
		}
	}
	return inherited
}

// movingAverage is an exponential moving average of the time that requests spend
// at the target.
type movingAverage struct{ average time.Duration }

// defaultDuration is used until the first request has completed.
const defaultDuration = 500 * time.Millisecond

func (m *movingAverage) value() time.Duration {
	if m.average == 0 {
		return defaultDuration
	}
	return m.average
}

func (m *movingAverage) add(d time.Duration) {
	if m.average == 0 {
		m.average = d
		return
	}
	m.average += (d - m.average) / 8
}
