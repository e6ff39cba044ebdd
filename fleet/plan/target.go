package plan

import (
	"strconv"
	"strings"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
)

// target is what a planner knows of one target.
type target struct {
	roster.Target
	service *service

	coldUntil fleet.Instant
	sent      window // grants, counted while the target may be cold
	evacuated bool
	gone      bool

	flights int
	unread  fleet.Tokens  // of runs whose first piece has not come
	pending int           // runs whose first piece has not come
	memory  fleet.Tokens  // of runs
	readyAt fleet.Instant // when the engine will have read what it was granted
	cache   *cache
	link    lane // for its transfers

	failures float64                  // decaying share of answers that failed
	downTill fleet.Instant            // gets nothing before
	downFor  time.Duration            // the last pause, which doubles
	silent   bool                     // does not answer the calls that wait for events
	loaded   map[fleet.ModelID]uint64 // weights that it is known to have, ahead of its entry

	orders      uint64 // accepted in its life
	ordersKnown bool
	ordersAsked fleet.Instant // the engine was asked for them
}

func newTarget(holders *holders) *target {
	return &target{cache: &cache{holders: holders}}
}

const (
	// readRate is how many prompt tokens an engine reads in a second. It
	// scales estimates alone.
	readRate fleet.TokenRate = 80_000
	// runTime is added to the estimate for each run whose first piece is due.
	runTime = time.Millisecond
	// memoryShare of an engine's memory may be taken by runs, so that they do
	// not push one another out.
	memoryShare = 0.9
	// failureDecay is the weight of the newest answer in the share of
	// failures.
	failureDecay = 0.1
	// firstPause is how long a target that could not be reached gets
	// nothing; the pause doubles up to lastPause.
	firstPause = 200 * time.Millisecond
	lastPause  = 2 * time.Second
)

// enter takes the target's own entry.
func (t *target) enter(now fleet.Instant, entry roster.Target) {
	if entry.ColdFor > 0 && entry.ColdFor != t.ColdFor || entry.ColdFor > 0 && t.coldUntil == 0 {
		t.coldUntil = max(t.coldUntil, now.Add(entry.ColdFor))
	}
	t.Target = entry
}

// leave notes that the target's life is over.
func (t *target) leave() {
	t.gone = true
	t.cache.clear(t)
}

// forgetFlights starts anew as a new planner does.
func (t *target) forgetFlights(now fleet.Instant) {
	t.flights, t.pending, t.unread, t.memory, t.readyAt = 0, 0, 0, 0, now
}

// version is the version of the model's weights at the target.
func (t *target) version(id fleet.ModelID) uint64 { return max(t.Version(id), t.loaded[id]) }

// usable reports whether the target may be given work at all.
func (t *target) usable(now fleet.Instant) bool {
	return !t.Leaving && !t.evacuated && !t.gone && !t.silent && now >= t.downTill && t.service != nil && t.service.spec != nil
}

// coldRoom reports whether a cold target bears one more request now.
func (f *Fleet) coldRoom(now fleet.Instant, t *target) bool {
	rate := t.service.spec.ColdRate
	if rate <= 0 || now >= t.coldUntil {
		return true
	}
	// A new planner does not know what its predecessor has sent, and a deputy
	// not what the planner sends.
	if f.Deputy || now.Sub(f.from) < coldWindow {
		return false
	}
	return t.sent.count(now, coldWindow) < int(rate*coldShare)
}

const (
	// coldWindow is the time over which a cold target's rate is counted.
	coldWindow = time.Second
	// coldShare of the rate is granted, since grants arrive with some delay.
	coldShare = 0.9
)

// engine reports whether the target is a model engine.
func (t *target) engine() bool { return t.service.spec.Engine != nil }

// slots is how many requests the target works on at once.
func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	if e := t.service.spec.Engine; e != nil {
		return e.Slots
	}
	return 1
}

// wait is the estimate until the engine begins to read a new prompt.
func (t *target) wait(now fleet.Instant) time.Duration {
	return max(0, t.readyAt.Sub(now)) + time.Duration(t.pending)*runTime
}

// grant adds a flight.
func (t *target) grant(now fleet.Instant, fl *flight) {
	t.flights++
	t.pending++
	t.unread += fl.read
	t.memory += fl.size
	t.readyAt = max(now, t.readyAt).Add(readRate.Time(fl.read))
	t.sent.add(now, coldWindow)
	t.cache.grant(t, fl.parts...)
}

// begin notes the first piece of a flight.
func (t *target) begin(now fleet.Instant, fl *flight) {
	if fl.begun {
		return
	}
	fl.begun = true
	t.seen(now)
	t.pending--
	t.unread -= fl.read
	for _, s := range fl.from {
		s.lane.learn(now, fl.fetch, now.Sub(fl.granted)-(fl.first-fl.fetch))
	}
	if t.pending == 0 {
		t.readyAt = now
		return
	}
	// What is still to be read bounds the estimate from below and above.
	t.readyAt = min(max(t.readyAt, now), now.Add(2*readRate.Time(t.unread)))
}

// end removes a flight.
func (t *target) end(now fleet.Instant, fl *flight, how Progress) {
	t.flights--
	t.memory -= fl.size
	if !fl.begun {
		t.pending--
		t.unread -= fl.read
		if t.pending == 0 {
			t.readyAt = now
		}
	}
	failed := 0.0
	switch how {
	case Done, Started:
		t.seen(now)
	case Failed:
		failed = 1
	case Unreachable:
		t.pause(now)
	case Rejected, Mismatched:
		t.cache.forget(t, fl.parts...)
	case Abandoned:
		return
	}
	if how == Done || how == Failed {
		t.failures += failureDecay * (failed - t.failures)
	}
}

// seen notes a sign of life.
func (t *target) seen(now fleet.Instant) {
	t.downFor = 0
	t.downTill = min(t.downTill, now)
}

// pause keeps a target that could not be reached from new work for a while.
func (t *target) pause(now fleet.Instant) {
	if now < t.downTill {
		return // the same failure, seen by several
	}
	t.downFor = min(max(firstPause, 2*t.downFor), lastPause)
	t.downTill = now.Add(t.downFor)
}

// MarkResponsive notes that a target has answered a call that waits for events.
func (f *Fleet) MarkResponsive(now fleet.Instant, id fleet.TargetID) {
	if t, ok := f.targets[id]; ok {
		t.silent = false
		t.seen(now)
	}
}

// MarkUnresponsive notes that a target has not answered a call that waits for events. It
// gets no new work until it answers.
func (f *Fleet) MarkUnresponsive(id fleet.TargetID) {
	if t, ok := f.targets[id]; ok {
		t.silent = true
	}
}

// window counts moments within a time that slides.
type window struct{ moments []fleet.Instant }

// add counts a moment. It forgets those before the span, since a window may be
// added to for long without being asked.
func (w *window) add(now fleet.Instant, span time.Duration) {
	w.count(now, span)
	w.moments = append(w.moments, now)
}

// count returns how many moments lie within the span before now, and forgets
// those before it.
func (w *window) count(now fleet.Instant, span time.Duration) int {
	old := 0
	for old < len(w.moments) && now.Sub(w.moments[old]) > span {
		old++
	}
	w.moments = w.moments[old:]
	return len(w.moments)
}

// saltMark separates the fields of a salt.
const saltMark = "@"

func saltOf(id fleet.ModelID, version uint64) string {
	return string(id) + saltMark + strconv.FormatUint(version, 10)
}

// saltVersion returns the model and version that a salt was made for.
func saltVersion(salt string) (fleet.ModelID, uint64, bool) {
	salt, _, _ = strings.Cut(salt, "/")
	id, text, ok := strings.Cut(salt, saltMark)
	if !ok {
		return "", 0, false
	}
	version, err := strconv.ParseUint(text, 10, 64)
	return fleet.ModelID(id), version, err == nil
}
