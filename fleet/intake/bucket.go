package intake

import (
	"time"

	"hibiscuslb/fleet"
)

// A Bucket counts what may still be sent to a target that names a limit. It fills at a
// rate and loses one with each request. It starts empty, as it is not known what others
// have sent before. The zero value is ready for use.
type Bucket struct {
	tokens float64
	filled fleet.Instant
	used   bool // filled is set
}

// burstTime is the time whose requests a full bucket holds, but at least one.
const burstTime = 500 * time.Millisecond

// Wait returns how long it takes until the bucket holds a request.
func (b *Bucket) Wait(now fleet.Instant, rate Rate) time.Duration {
	if !b.used {
		b.filled, b.used = now, true
	}
	if passed := now.Sub(b.filled); passed > 0 {
		most := max(1, float64(rate)*burstTime.Seconds())
		b.tokens = min(most, b.tokens+float64(rate)*passed.Seconds())
		b.filled = now
	}
	return time.Duration((1 - min(1, b.tokens)) / float64(rate) * float64(time.Second))
}

// Take takes a request out of the bucket.
func (b *Bucket) Take() { b.tokens-- }
