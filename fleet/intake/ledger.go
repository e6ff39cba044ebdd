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

// A Ledger holds the limits that targets have named to one host. The zero value is
// empty. It is not safe for concurrent use.
type Ledger struct {
	limits map[fleet.TargetID]record
}

// record is a limit with the answer that named it.
type record struct {
	life  Life
	limit Limit
	heard fleet.Instant
}

// Observe records what an answer says, and returns what the one before it said.
func (l *Ledger) Observe(now fleet.Instant, life Life, limit Limit) (before Limit) {
	before = l.limits[life.Target].limit
	if !limit.Named {
		delete(l.limits, life.Target)
		return before
	}
	if l.limits == nil {
		l.limits = make(map[fleet.TargetID]record)
	}
	l.limits[life.Target] = record{life, limit, now}
	return before
}

// Known returns the limits of a service's targets. StartTime returns the start of the
// target's present life, and whether the target is on the roster.
func (l *Ledger) Known(now fleet.Instant, service route.ServiceID, startTime func(fleet.TargetID) (time.Time, bool)) []Known {
	var known []Known
	for id, r := range l.limits {
		start, listed := startTime(id)
		switch {
		case listed && !start.Equal(r.life.StartTime):
			delete(l.limits, id)
		case listed && r.life.Service == service:
			known = append(known, Known{id, r.limit, now.Sub(r.heard)})
		case !listed && now.Sub(r.heard) > retention:
			delete(l.limits, id)
		}
	}
	slices.SortFunc(known, func(a, b Known) int { return cmp.Compare(a.Target, b.Target) })
	return known
}

// retention is how long the limit of a target is kept that is not on the roster: entries
// may lapse while the object store does not answer, and come back.
const retention = time.Minute
