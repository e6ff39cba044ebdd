package fakeplatform

import "time"

// brittle is what a target that may be brittle counts.
type brittle struct {
	named      bool // all answers say that the target is brittle
	withstands int  // rejections within a second
	slots      int  // requests at once, of which others are turned away; zero for any number
	running    int
	rejections []time.Time // within the last second
	falls      int
}

// SetBrittle makes all answers say that the target is brittle and withstands so many rejections
// within a second. If slots is not zero, the target turns away what exceeds them, and calls
// Crash after more rejections than that.
func (t *Target) SetBrittle(withstands, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brittle.named, t.brittle.withstands, t.brittle.slots = true, withstands, slots
}

// EndBrittle makes the target sound again.
func (t *Target) EndBrittle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brittle.named, t.brittle.slots = false, 0
}

// Falls returns how often the target turned more requests away than it withstands.
func (t *Target) Falls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.brittle.falls
}

// enter counts a request that begins, and reports whether there is room for it. The caller
// holds t.mu, and must call leave if there is.
func (t *Target) enter() bool {
	b := &t.brittle
	if b.slots == 0 || b.running < b.slots {
		b.running++
		return true
	}
	now := time.Now()
	for len(b.rejections) > 0 && now.Sub(b.rejections[0]) > time.Second {
		b.rejections = b.rejections[1:]
	}
	b.rejections = append(b.rejections, now)
	if len(b.rejections) > b.withstands {
		b.falls, b.rejections = b.falls+1, nil
		t.Crash()
	}
	return false
}

// leave counts a request that has ended.
func (t *Target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brittle.running--
}
