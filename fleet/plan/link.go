package plan

import (
	"math"
	"time"

	"hibiscuslb/fleet"
)

// linkEstimate is the planner's estimate of a network link: how long the granted
// transfers occupy it, and how much slower it is than its nominal rate. The zero
// value is an idle link at its nominal rate.
//
// It handles a cache store whose link slows down. Without it, all requests that fetch
// from the store would queue for the link, while an engine could compute the same
// parts in a tenth of a second or fetch them from elsewhere.
type linkEstimate struct {
	busyUntil fleet.Instant
	excess    float64       // transfer time beyond the nominal time, as a multiple of it
	updated   fleet.Instant // when excess was last changed
}

const (
	// excessWeight is the weight of the newest transfer in the moving average.
	excessWeight = 0.25
	// maxExcess bounds the excess measured by one transfer, since a first
	// piece may be late for other reasons.
	maxExcess = 15.0
	// excessDecay is the time constant with which the excess decays, so that
	// a link that is not used because it was slow is tried again.
	excessDecay = 3 * time.Second
)

// wait returns how long a new transfer waits for the transfers before it.
func (l *linkEstimate) wait(now fleet.Instant) time.Duration { return max(0, l.busyUntil.Sub(now)) }

// slowdown returns the expected transfer time as a multiple of the nominal time.
func (l *linkEstimate) slowdown(now fleet.Instant) float64 {
	if l.excess == 0 {
		return 1
	}
	return 1 + l.excess*math.Exp(-float64(now.Sub(l.updated))/float64(excessDecay))
}

// reserve adds a transfer of the given nominal time.
func (l *linkEstimate) reserve(now fleet.Instant, nominal time.Duration) {
	l.busyUntil = max(now, l.busyUntil).Add(time.Duration(float64(nominal) * l.slowdown(now)))
}

// observe updates the estimate with the actual time of a transfer.
func (l *linkEstimate) observe(now fleet.Instant, nominal, actual time.Duration) {
	if nominal <= 0 {
		return
	}
	measured := min(max(0, float64(actual)/float64(nominal)-1), maxExcess)
	l.excess = l.slowdown(now) - 1
	l.excess += excessWeight * (measured - l.excess)
	l.updated = now
	l.busyUntil = min(l.busyUntil, now.Add(maxLinkWait))
}

// maxLinkWait bounds the estimated wait for a link after a transfer has completed:
// engines start no transfer that would wait for longer.
const maxLinkWait = 2 * time.Second
