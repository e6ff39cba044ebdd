package intake

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// A Life is one life of a target.
type Life struct {
	Target    fleet.TargetID
	Service   route.ServiceID
	StartTime time.Time // zero if unknown
}

// A Roster returns the start of a target's present life, and whether the target is on the
// roster.
type Roster func(fleet.TargetID) (startTime time.Time, listed bool)

// A Ledger holds what targets have said to one host. The zero value is empty. It is not
// safe for concurrent use.
type Ledger struct {
	// MaxPause is the longest pause that is believed; zero for any.
	MaxPause time.Duration

	records map[fleet.TargetID]record
	sound   map[route.ServiceID]fleet.Instant // latest answer that did not name how brittle its target is
}

// record is what a target has said in one life.
type record struct {
	life    Life
	limit   Limit
	leaving bool
	brittle Brittle
	heard   fleet.Instant // last answer
	resume  fleet.Instant // end of the pause; zero if there was none
}

// Observe records what an answer says, and returns what the ones before it said. The Pause
// of the result is what was left of it.
func (l *Ledger) Observe(now fleet.Instant, life Life, notice Notice) (before Notice) {
	r, ok := l.records[life.Target]
	if !ok || !life.StartTime.IsZero() && !life.StartTime.Equal(r.life.StartTime) {
		r = record{life: life}
	}
	before = Notice{Limit: r.limit, Leaving: r.leaving, Pause: max(0, r.resume.Sub(now)), Brittle: r.brittle}
	r.heard, r.limit, r.leaving, r.brittle = now, notice.Limit, r.leaving || notice.Leaving, notice.Brittle
	if !notice.Brittle.Named {
		if l.sound == nil {
			l.sound = make(map[route.ServiceID]fleet.Instant)
		}
		l.sound[life.Service] = now
	}
	if notice.Pause > 0 {
		pause := notice.Pause
		if l.MaxPause > 0 {
			pause = min(pause, l.MaxPause)
		}
		r.resume = max(r.resume, now.Add(pause))
	}
	if !r.limit.Named && !r.leaving && !r.brittle.Named && r.resume <= now {
		delete(l.records, life.Target)
		return before
	}
	if l.records == nil {
		l.records = make(map[fleet.TargetID]record)
	}
	l.records[life.Target] = r
	return before
}

// Known returns the limits of a service's targets, and which of them leave or are brittle.
func (l *Ledger) Known(now fleet.Instant, service route.ServiceID, roster Roster) []Known {
	var known []Known
	for id, r := range l.current(now, service, roster) {
		if r.limit.Named || r.leaving || r.brittle.Named {
			known = append(known, Known{id, r.limit, r.leaving, now.Sub(r.heard), r.brittle})
		}
	}
	slices.SortFunc(known, func(a, b Known) int { return cmp.Compare(a.Target, b.Target) })
	return known
}

// Brittle reports whether the targets of a service are brittle, as far as this host was told: they are
// together, so the latest answer of any of them tells.
func (l *Ledger) Brittle(now fleet.Instant, service route.ServiceID, roster Roster) bool {
	sound, ok := l.sound[service]
	for _, r := range l.current(now, service, roster) {
		if r.brittle.Named && (!ok || r.heard > sound) {
			return true
		}
	}
	return false
}

// Closed returns the targets of a service to which this host must send nothing, as they
// leave or have asked for a pause, and how long it is until the first pause ends; zero if
// none of them has asked for one.
func (l *Ledger) Closed(now fleet.Instant, service route.ServiceID, roster Roster) (closed []fleet.TargetID, soonest time.Duration) {
	for id, r := range l.current(now, service, roster) {
		left := r.resume.Sub(now)
		if !r.leaving && left <= 0 {
			continue
		}
		closed = append(closed, id)
		if !r.leaving && (soonest == 0 || left < soonest) {
			soonest = left
		}
	}
	slices.Sort(closed)
	return closed, soonest
}

// current returns the records of a service's targets on the roster, and drops those of
// earlier lives.
func (l *Ledger) current(now fleet.Instant, service route.ServiceID, roster Roster) map[fleet.TargetID]record {
	var current map[fleet.TargetID]record
	for id, r := range l.records {
		start, listed := roster(id)
		switch {
		case listed && !start.Equal(r.life.StartTime), !listed && now.Sub(r.heard) > retention:
			delete(l.records, id)
		case listed && r.life.Service == service:
			if current == nil {
				current = make(map[fleet.TargetID]record)
			}
			current[id] = r
		}
	}
	return current
}

// retention is how long the record of a target is kept that is not on the roster: entries
// may lapse while the object store does not answer, and come back.
const retention = time.Minute
