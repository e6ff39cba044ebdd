// Package departure decides what a host does with its callers' requests and connections while
// it makes a planned stop, so that no request is lost by it.
//
// A host cannot know whether a caller has just sent a request on a connection that is idle. A
// connection that it closes on its own account may therefore take a request with it. The host
// closes a connection only after an answer that says so, and keeps the others until no caller
// has its address any more.
//
// A departure has these phases, in this order:
//
//   - Serving: there is no stop.
//   - Leaving: the host is no longer named to callers, and each answer ends its connection.
//     All requests are passed on.
//   - Draining: only requests whose time ends before the cut are passed on. The others
//     could be cut, and are refused as not run.
//   - Closing: callers no longer have the address. Once no request has come for a moment, idle
//     connections are closed, and the process ends when the last request has been answered.
//
// At the cut, shortly before the process must end, requests that still run are answered with the
// outcome unknown. Streams that have begun break off there.
//
// Load patterns:
//   - Callers keep connections open and send at the moment of the signal. These requests are
//     answered, and the callers go to other hosts.
//   - Some callers keep an address for three times as long as they were told. Their
//     requests come while the host drains.
//   - The host is busy, and acts on the signal some hundred milliseconds late.
//   - Requests without a short deadline run at a slow target when the stop begins.
package departure

import (
	"fmt"
	"sync/atomic"
	"time"
)

// Phase is a phase of a planned stop.
type Phase uint8

// The phases in their order.
const (
	Serving Phase = iota
	Leaving
	Draining
	Closing
)

func (p Phase) String() string {
	names := [...]string{"serving", "leaving", "draining", "closing"}
	if int(p) < len(names) {
		return names[p]
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Settings are the times that a planned stop depends on.
type Settings struct {
	// Grace is the time from the signal until the process is killed.
	Grace time.Duration
	// AddressTTL is how long callers may keep the addresses of hosts.
	AddressTTL time.Duration
}

const (
	// noticeTime is how long it takes until no host names a host that leaves: two heartbeat
	// intervals, first the planner and then the other hosts learn it.
	noticeTime = 600 * time.Millisecond
	// addressTTLFactor times the TTL is how long some callers keep an address.
	addressTTLFactor = 3
	// lookUpMargin covers lost heartbeats, and the time in which callers look up other
	// addresses and go on with the old ones.
	lookUpMargin = 800 * time.Millisecond
	// quietTime is how long no request may have come when idle connections are closed.
	quietTime = 500 * time.Millisecond
	// maxQuietWait is how long idle connections are kept for that. If all hosts stop, callers
	// have no other address, and requests come until the end.
	maxQuietWait = time.Second
	// longRequestTime is how long after the signal a caller may send a request that is cut
	// at the end of the grace period.
	longRequestTime = 3 * time.Second
	// lateness is how late a busy host may act on the signal.
	lateness = 600 * time.Millisecond
	// exitTime is the part of the grace period that is kept for the exit of the process, and
	// answerTime the part before it that is kept for answers to requests that are cut.
	exitTime   = 500 * time.Millisecond
	answerTime = 100 * time.Millisecond
	// minGrace is the grace period if the settings have none or a shorter one.
	minGrace = 5 * time.Second
)

// A Schedule holds the times at which the phases of a planned stop begin.
type Schedule struct {
	Leave time.Time
	Drain time.Time
	Close time.Time
	Cut   time.Time // requests that still run are given up
	End   time.Time // the process must end
}

// NewSchedule returns the schedule of a stop that begins now.
func NewSchedule(now time.Time, s Settings) Schedule {
	grace := max(s.Grace, minGrace)
	end := now.Add(grace - exitTime)
	cut := end.Add(-answerTime)
	closeAt := now.Add(noticeTime + addressTTLFactor*s.AddressTTL + lookUpMargin)
	if closeAt.After(cut) {
		closeAt = cut
	}
	drain := now.Add(min(longRequestTime-lateness, grace/2))
	if drain.After(closeAt) {
		drain = closeAt
	}
	return Schedule{Leave: now, Drain: drain, Close: closeAt, Cut: cut, End: end}
}

// Phase returns the phase at a time.
func (s *Schedule) Phase(now time.Time) Phase {
	switch {
	case now.Before(s.Leave):
		return Serving
	case now.Before(s.Drain):
		return Leaving
	case now.Before(s.Close):
		return Draining
	}
	return Closing
}

// Admit reports whether a request whose time ends at expires is passed on, and until when it
// may then run.
func (s *Schedule) Admit(now, expires time.Time) (until time.Time, ok bool) {
	if !expires.After(s.Cut) {
		return expires, true
	}
	phase := s.Phase(now)
	if phase == Serving {
		return expires, true
	}
	return s.Cut, phase == Leaving
}

// A CutError ends requests that still run at the cut.
type CutError struct {
	Since time.Time // begin of the stop
}

func (e *CutError) Error() string {
	return fmt.Sprintf("the planned stop that began at %s leaves no more time", e.Since.Format(time.TimeOnly))
}

// A Departure is the state of a host: whether it makes a planned stop. The zero value serves. It
// is safe for concurrent use.
type Departure struct {
	schedule    atomic.Pointer[Schedule]
	lastRequest atomic.Int64 // Unix time in nanoseconds of the last one that came in a stop
	closed      atomic.Bool
}

// CloseIdle records that idle connections are closed from now on. A request that was being read
// on one of them then is not passed on, since its answer would be lost.
func (d *Departure) CloseIdle() { d.closed.Store(true) }

// recordRequest records that a request has come.
func (d *Departure) recordRequest(now time.Time) {
	if d.Leaving() {
		d.lastRequest.Store(now.UnixNano())
	}
}

// QuietFor returns how long idle connections must still be kept if no request comes: zero once
// none has come for quietTime, later than maxQuietWait after the phase Closing has begun, or at the
// cut. The stop must have begun.
func (d *Departure) QuietFor(now time.Time) time.Duration {
	schedule := d.schedule.Load()
	quiet := time.Unix(0, d.lastRequest.Load()).Add(quietTime)
	for _, latest := range []time.Time{schedule.Close.Add(maxQuietWait), schedule.Cut} {
		if quiet.After(latest) {
			quiet = latest
		}
	}
	return max(0, quiet.Sub(now))
}

// Begin begins a planned stop. A stop that has begun keeps its schedule.
func (d *Departure) Begin(now time.Time, settings Settings) Schedule {
	s := NewSchedule(now, settings)
	d.schedule.CompareAndSwap(nil, &s)
	return *d.schedule.Load()
}

// Phase returns the phase at a time.
func (d *Departure) Phase(now time.Time) Phase {
	if s := d.schedule.Load(); s != nil {
		return s.Phase(now)
	}
	return Serving
}

// Leaving reports whether a planned stop has begun.
func (d *Departure) Leaving() bool { return d.schedule.Load() != nil }

// Admit reports whether a request whose time ends at expires is passed on, and until when it
// may then run.
func (d *Departure) Admit(now, expires time.Time) (until time.Time, ok bool) {
	if s := d.schedule.Load(); s != nil {
		until, ok = s.Admit(now, expires)
		return until, ok && !d.closed.Load()
	}
	return expires, true
}
