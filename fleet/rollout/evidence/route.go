// Package evidence holds the responses of two versions of a service on a route, and tells whether the new one is
// worse.
//
// The responses are counted in slices of time. A sequential probability ratio test
// (Wald 1945) compares two hypotheses: the new version has the rate of bad responses of the old
// one in the same slices, or in addition a fraction of its other responses is bad. The version is worse
// if that holds for some fraction since the begin of some slice, since a version may become bad
// after many good responses.
//
// Invariants: a single bad target makes no bad version, since the test must also hold without the target that has
// the most bad responses; and the counts do not grow with time, other than by target of a slice.
//
// Load patterns: failures and slowness at once or after some seconds, under load only; an outage of both versions;
// targets that crash with requests under way.
//
// The zero Route is empty and ready for use. It is not safe for concurrent use.
package evidence

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

const (
	errorRate = 0.001 // of either kind
	// sliceCount is the number of slices of the order's duration, and minSlice the shortest one.
	sliceCount = 24
	minSlice   = 250 * time.Millisecond
	// quantile is that of the old version's first chunks above which a response is bad, for
	// either version. It is known from minTimes responses on, and follows the last maxTimes.
	// slowFactor allows for the error of the quantile of few responses.
	quantile   = 0.99
	minTimes   = 30
	maxTimes   = 400
	slowFactor = 1.5
	// minSlow is the shortest such time, since the old version may take less than any clock error.
	minSlow = 10 * time.Millisecond
	// minRate is the lowest rate of bad responses that the old version is taken to have, and
	// priorWeight the number of responses for which its rate over all slices counts.
	minRate     = 0.01
	priorWeight = 10
	// lossWindow is the time before the loss of a target in which its failures are no evidence.
	lossWindow = time.Second
)

// Tally counts responses.
type Tally struct{ N, Bad int }

// Plus returns the sum of the counts.
func (t Tally) Plus(other Tally) Tally { return Tally{t.N + other.N, t.Bad + other.Bad} }

// Minus returns the difference of the counts.
func (t Tally) Minus(other Tally) Tally { return Tally{t.N - other.N, t.Bad - other.Bad} }

// slice counts the responses in a slice of time.
type slice struct {
	start fleet.Instant
	old   Tally
	new   map[fleet.TargetID]Tally
}

// failure is a failed response of a new target, which is no evidence if the target is lost.
type failure struct {
	at     fleet.Instant
	target fleet.TargetID
	slice  *slice
}

// Route is the evidence of a route.
type Route struct {
	slices   []*slice
	times    []time.Duration // of the first chunks of old targets, a ring
	next     int             // in times
	slow     time.Duration   // above which a response is bad; zero if not known
	failures []failure
}

// Record records a response that came at an instant, in slices of a length. First is the time to its first chunk, if it
// did not fail. Record reports whether the response counts as bad.
func (e *Route) Record(now fleet.Instant, length time.Duration, target fleet.TargetID, isNew, failed bool, first time.Duration) (bad bool) {
	bad = failed || e.Slow(first)
	one := Tally{N: 1}
	if bad {
		one.Bad = 1
	}
	s := e.slice(now, max(minSlice, length/sliceCount))
	if !isNew {
		s.old = s.old.Plus(one)
		if !failed {
			e.observe(first)
		}
		return bad
	}
	s.new[target] = s.new[target].Plus(one)
	if failed {
		e.failures = slices.DeleteFunc(e.failures, func(f failure) bool { return now.Sub(f.at) > lossWindow })
		e.failures = append(e.failures, failure{now, target, s})
	}
	return bad
}

// Slow reports whether the first chunk of a response that took so long counts as bad.
func (e *Route) Slow(first time.Duration) bool { return e.slow > 0 && first > e.slow }

// slice returns the present slice.
func (e *Route) slice(now fleet.Instant, length time.Duration) *slice {
	if n := len(e.slices); n > 0 && now.Sub(e.slices[n-1].start) < length {
		return e.slices[n-1]
	}
	s := &slice{start: now, new: make(map[fleet.TargetID]Tally)}
	e.slices = append(e.slices, s)
	if len(e.slices) > 2*sliceCount {
		e.slices = e.slices[1:]
	}
	return s
}

// observe records the time to the first chunk of an old target's response.
func (e *Route) observe(first time.Duration) {
	if len(e.times) < maxTimes {
		e.times = append(e.times, first)
	} else {
		e.times[e.next] = first
	}
	e.next = (e.next + 1) % maxTimes
	if len(e.times) < minTimes || e.next%10 != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(e.times))
	e.slow = max(minSlow, time.Duration(slowFactor*float64(sorted[int(quantile*float64(len(sorted)-1))])))
}

// TargetLost records that a target is gone. Its last failures are no evidence; it returns their number.
func (e *Route) TargetLost(now fleet.Instant, target fleet.TargetID) (failures int) {
	e.failures = slices.DeleteFunc(e.failures, func(f failure) bool {
		if f.target != target || now.Sub(f.at) > lossWindow {
			return false
		}
		f.slice.new[target] = f.slice.new[target].Minus(Tally{1, 1})
		failures++
		return true
	})
	return failures
}

// String describes the responses, for the log.
func (e *Route) String() string {
	all, old := e.New(), e.Old()
	return fmt.Sprintf("new %d of %d bad, old %d of %d", all.Bad, all.N, old.Bad, old.N)
}

// Describe describes the responses by route, for the log.
func Describe[R fmt.Stringer](routes map[string]R) string {
	var list []string
	for name, e := range routes {
		list = append(list, name+": "+e.String())
	}
	slices.Sort(list)
	return strings.Join(list, "; ")
}
