package plan

import (
	"math"
	"time"

	"hibiscuslb/fleet"
)

// lane is what a planner takes a link to be: how long it is taken by transfers
// that were granted, and how much slower it is than said. The zero value is idle
// and as fast as said.
//
// The pattern that it answers: the link of a store slows down, and everybody
// who fetches from it waits in a row while the same parts could be read in a
// tenth of a second, or fetched from elsewhere.
type lane struct {
	busyUntil fleet.Instant
	excess    float64 // of the time that transfers take, over what is said; 0 if none
	seen      fleet.Instant
}

const (
	// excessWeight is the weight of the newest transfer.
	excessWeight = 0.25
	// excessLimit bounds what one transfer may show, since a first piece may
	// be late for other reasons.
	excessLimit = 15.0
	// excessTime is how fast what was seen is forgotten, so that a link that
	// nobody uses is tried again.
	excessTime = 3 * time.Second
)

// wait is how long a new transfer waits for those before it.
func (l *lane) wait(now fleet.Instant) time.Duration { return max(0, l.busyUntil.Sub(now)) }

// factor is how many times as long as said a transfer takes.
func (l *lane) factor(now fleet.Instant) float64 {
	if l.excess == 0 {
		return 1
	}
	return 1 + l.excess*math.Exp(-float64(now.Sub(l.seen))/float64(excessTime))
}

// take adds a transfer of the given time, as said.
func (l *lane) take(now fleet.Instant, said time.Duration) {
	l.busyUntil = max(now, l.busyUntil).Add(time.Duration(float64(said) * l.factor(now)))
}

// learn notes that a transfer which was said to take so long took another time.
func (l *lane) learn(now fleet.Instant, said, took time.Duration) {
	if said <= 0 {
		return
	}
	shown := min(max(0, float64(took)/float64(said)-1), excessLimit)
	l.excess = l.factor(now) - 1
	l.excess += excessWeight * (shown - l.excess)
	l.seen = now
	l.busyUntil = min(l.busyUntil, now.Add(longestLane))
}

// longestLane bounds the wait that is assumed for a link: engines start no
// transfer that would wait for longer.
const longestLane = 2 * time.Second
