package weightupdate

import (
	"time"

	"hibiscuslb/fleet"
)

// An Announcement records the last instant at which, as this host knows, a version of the weights
// had not been announced. At is zero if the version was announced before the host started,
// at an unknown time; it then counts as announced long ago.
type Announcement struct {
	Version uint64
	At      fleet.Instant
}

// Announcements lists the announced versions of one model's weights, oldest
// first. It is immutable; Add returns a copy.
type Announcements []Announcement

// Newest returns the newest version, or zero if there is none.
func (a Announcements) Newest() uint64 {
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1].Version
}

// Add appends a version. It returns a unchanged unless the version is newer
// than all others. The oldest version of a long list takes the instant of the one before it, which is
// dropped: engines may still have weights that this one replaced.
func (a Announcements) Add(version uint64, at fleet.Instant) Announcements {
	if version <= a.Newest() {
		return a
	}
	const length = 8 // versions that engines may still be running
	from := max(0, len(a)+1-length)
	kept := append(append(Announcements(nil), a[from:]...), Announcement{version, at})
	if from > 0 {
		kept[0].At = a[from-1].At
	}
	return kept
}

// startMargin is how much later than expected a run may start: a sound engine may be silent for a
// second. Closing the connection of a request withdraws it only if the engine notices that in time.
const startMargin = 1200 * time.Millisecond

// Allows reports whether a request may be sent to an engine that has the given
// version and is expected to start a run on them at the given instant. A run may start on older weights
// until bound after the first newer version was announced; a zero bound means without limit. Since
// a run may start up to startMargin (1.2 s) later than expected, no request is allowed that would start
// in that last part of the bound.
func (a Announcements) Allows(start fleet.Instant, version uint64, bound time.Duration) bool {
	for _, announcement := range a {
		if announcement.Version > version {
			return bound == 0 || start.Sub(announcement.At) < bound-startMargin
		}
	}
	return true
}

// startLateness is how long a request and its withdrawal may be under way to the engine.
const startLateness = 600 * time.Millisecond

// MaxAge bounds how long before the store was seen to have it an announcement counts as made. It covers the
// time until a planner that stands still has a successor.
const MaxAge = 3500 * time.Millisecond

// LatestStart returns until when a run that this host has sent may start on the given version,
// and whether there is a limit: only once a newer version was announced, and with a bound. If
// that was at an unknown time, it returns zero: as far as this host knows, the time is over.
func (a Announcements) LatestStart(version uint64, bound time.Duration) (latest fleet.Instant, limited bool) {
	at, superseded := a.SupersededAt(version)
	switch {
	case !superseded || bound == 0:
		return 0, false
	case at == 0:
		return 0, true
	}
	return at.Add(bound - startLateness), true
}

// LatestSend returns until when a request may be sent whose run may start until latest, and is expected to
// start the given time after the sending. It leaves the margin of Allows.
func LatestSend(latest fleet.Instant, wait time.Duration) fleet.Instant {
	return latest.Add(startLateness - startMargin - wait)
}

// EarliestLimit returns the earliest latest start that an announcement can set of which a host
// learns from now on, unless it learns of it later than the store was seen to have it.
func EarliestLimit(now fleet.Instant, bound time.Duration) fleet.Instant {
	return now.Add(bound - startLateness - MaxAge)
}

// SupersededAt returns when the first version newer than the given one was
// announced, and whether there is one.
func (a Announcements) SupersededAt(version uint64) (fleet.Instant, bool) {
	for _, announcement := range a {
		if announcement.Version > version {
			return announcement.At, true
		}
	}
	return 0, false
}
