package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/roster"
)

// target is the state of a target: its roster entry and the planner's estimate of
// its load.
type target struct {
	roster.Target
	service *service

	coldUntil    fleet.Instant
	recentGrants slidingWindow // grants, counted while the target may be cold
	limit        targetLimit
	brittle      brittleState
	saysLeaving  bool // in its answers, maybe before its entry does
	evacuated    bool // its data centre is evacuated
	removed      bool // no longer on the roster

	reservation  reservation
	activeGrants int
	unreadTokens fleet.Tokens  // prompt tokens that pending runs have to read
	pending      int           // runs whose first piece has not been reported
	memory       fleet.Tokens  // occupied by runs
	readyAt      fleet.Instant // when the engine will have read the granted prompts
	cache        *cache
	link         linkEstimate // for its own transfers

	failureShare      float64       // moving average of the share of answers that failed
	pausedUntil       fleet.Instant // gets no requests before
	pauseTime         time.Duration // the last pause; the next is twice as long
	unresponsive      bool          // has not answered a long poll for events, nor a request since
	unresponsiveSince fleet.Instant // first failed poll since the last answer
	crashed           bool          // has crashed since it last answered, at crashedAt, or is not known to be up
	crashedAt         fleet.Instant
	backAt            fleet.Instant // when it was last found to be up after that
	probeDue          bool          // a connection is to be tried
	probedAt          fleet.Instant // when the last one of a target that has crashed was due
	acceptedOnce      bool          // has accepted a connection since it refused one
	refused           bool          // has refused a connection, last at refusedAt
	refusedAt         fleet.Instant
	hidden            hiddenQueue
	lastFirstPiece    fleet.Instant            // when the last first piece was reported
	earlyEnds         []earlyEnd               // of requests, within crashWindow
	witnesses         [2]witness               // its latest successes with two observers
	loadedVersions    map[fleet.ModelID]uint64 // weights that it is known to have before its roster entry shows them

	acceptedOrders  uint64        // number of load orders that the engine has accepted since its start
	ordersKnown     bool          // acceptedOrders is up to date
	queryPauseStart fleet.Instant // the engine may be queried for acceptedOrders queryInterval after this instant
}

func newTarget(enginesByPart *engineIndex) *target {
	return &target{cache: &cache{enginesByPart: enginesByPart}}
}

const (
	// pendingRunTime is added to the estimated wait for each run whose first
	// piece has not been reported.
	pendingRunTime = time.Millisecond
	// maxMemoryShare is the share of an engine's memory that runs may occupy,
	// so that they do not evict each other.
	maxMemoryShare = 0.9
	// failureWeight is the weight of the newest answer in failureShare.
	failureWeight = 0.1
	// minPause is how long a target that could not be reached gets no
	// requests; the pause doubles up to maxPause.
	minPause = 200 * time.Millisecond
	maxPause = 2 * time.Second
)

// update sets the target's roster entry.
func (t *target) update(now fleet.Instant, entry roster.Target) {
	if entry.ColdFor > 0 && entry.ColdFor != t.ColdFor || entry.ColdFor > 0 && t.coldUntil == 0 {
		t.coldUntil = max(t.coldUntil, now.Add(entry.ColdFor))
	}
	t.Target = entry
}

// markRemoved records that the target is no longer on the roster or has restarted.
func (t *target) markRemoved() {
	t.removed = true
	t.cache.clear(t)
}

// resetGrants resets the estimates that depend on active grants.
func (t *target) resetGrants(now fleet.Instant) {
	t.activeGrants, t.pending, t.unreadTokens, t.memory, t.readyAt = 0, 0, 0, 0, now
	if t.service != nil {
		t.hidden = hiddenQueue{until: now.Add(t.service.longestWait)}
	}
	t.limit.bucket = intake.Bucket{}
	t.brittle.limitRoom(now, 0)
}

// version returns the version of the model's weights at the target, or zero.
func (t *target) version(id fleet.ModelID) uint64 { return max(t.Version(id), t.loadedVersions[id]) }

// usable reports whether the target may be given new requests.
func (t *target) usable(now fleet.Instant) bool {
	return !t.unresponsive && t.open(now)
}

// open reports whether the target may be given new requests, as far as is known but from polls.
func (t *target) open(now fleet.Instant) bool {
	return !t.leaves() && !t.evacuated && !t.removed && now >= t.pausedUntil && t.service != nil && t.service.spec != nil
}

// leaves reports whether the target leaves, as its entry or its answers say.
func (t *target) leaves() bool { return t.Leaving || t.saysLeaving }

// withinColdRate reports whether the rate limit of a cold target allows one more
// request now. A target that is not cold has no such limit.
func (f *Fleet) withinColdRate(now fleet.Instant, t *target) bool {
	rate := t.service.spec.ColdRate
	if rate <= 0 || now >= t.coldUntil {
		return true
	}
	// A new planner does not know which requests its predecessor has granted,
	// and a deputy does not know those of the planner.
	if f.Deputy || now.Sub(f.tenureStart) < coldWindow {
		return false
	}
	return t.recentGrants.count(now, coldWindow) < int(rate*coldRateShare)
}

const (
	// coldWindow is the time over which a cold target's rate is counted.
	coldWindow = time.Second
	// coldRateShare is the share of the rate that is granted, since requests
	// arrive with some delay after their grants.
	coldRateShare = 0.9
)

// isEngine reports whether the target is a model engine. It is not while its entry names
// an unknown service.
func (t *target) isEngine() bool { return t.service != nil && t.service.spec.Engine != nil }

// pace returns the estimate of the engines of the target's service.
func (t *target) pace() *pace {
	if t.service == nil {
		return new(pace) // the entry names an unknown service since the grant
	}
	return &t.service.pace
}

// slots returns how many requests the target processes at once.
func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	if e := t.service.spec.Engine; e != nil {
		return e.Slots
	}
	return 1
}

// wait returns the estimated time until the engine starts to read a new prompt.
func (t *target) wait(now fleet.Instant) time.Duration {
	return max(0, t.readyAt.Sub(now)) + time.Duration(t.pending)*pendingRunTime
}

// addGrant adds an active grant to the estimates.
func (t *target) addGrant(now fleet.Instant, ag *activeGrant) {
	ag.idleEngine = t.pending == 0
	t.activeGrants++
	t.pending++
	t.unreadTokens += ag.readTokens
	t.memory += ag.memory
	if t.isEngine() {
		t.readyAt = max(now, t.readyAt).Add(t.pace().readTime(ag.readTokens))
	}
	t.recentGrants.add(now, coldWindow)
	t.limit.recordGrant()
	t.recordBrittleGrant(now, ag)
	t.cache.markGranted(t, ag.parts...)
}

// startGrant records the first piece of a grant.
func (t *target) startGrant(now fleet.Instant, ag *activeGrant) {
	if ag.started {
		return
	}
	ag.started, ag.startedAt = true, now
	t.markReachable(now)
	t.hidden.recordStart(now, t.pace().readTime(ag.readTokens), now.Sub(ag.grantedAt)-ag.firstPiece, ag.leastUrgent)
	t.pending--
	t.unreadTokens -= ag.readTokens
	for _, s := range ag.fetchStores {
		s.link.observe(now, ag.transfer+transferNoise, ag.transferTook(now)+transferNoise)
	}
	if ag.fetchTime == 0 && t.isEngine() && !ag.onTrial {
		switch {
		case ag.idleEngine:
			t.pace().observe(ag.readTokens, now.Sub(ag.grantedAt))
		case t.lastFirstPiece > ag.grantedAt:
			t.pace().observeNext(ag.readTokens, now.Sub(t.lastFirstPiece))
		}
	}
	t.lastFirstPiece = now
	if t.pending == 0 {
		t.readyAt = now
		return
	}
	// The engine reads one prompt after another, so the unread tokens come after
	// this answer's, which it had read one firstStep ago. Fetches may delay it further.
	unread := t.pace().readTime(t.unreadTokens)
	t.readyAt = min(max(t.readyAt, now.Add(unread-t.pace().firstStep()), now), now.Add(2*unread))
}

// transferNoise is added to both times of a transfer. A first piece may be some ten
// milliseconds early or late for other reasons, which must not make a link look slow
// whose transfers take less than that.
const transferNoise = 20 * time.Millisecond

// transferTook returns how long the bytes of a grant's fetches took if its first piece
// arrived now and everything else took as long as expected.
func (ag *activeGrant) transferTook(now fleet.Instant) time.Duration {
	expected := time.Duration(float64(ag.transfer) * ag.slowdown)
	return now.Sub(ag.grantedAt) - (ag.firstPiece - expected)
}

// endGrant removes an active grant from the estimates.
func (t *target) endGrant(now fleet.Instant, ag *activeGrant, progress Progress) {
	t.activeGrants--
	t.memory -= ag.memory
	if !ag.started {
		t.pending--
		t.unreadTokens -= ag.readTokens
		if t.pending == 0 {
			t.readyAt = now
		}
	}
	failed := 0.0
	switch progress {
	case Done, Started:
		t.markReachable(now)
		if ag.grantedAt > t.crashedAt {
			t.markBack(now)
		}
		t.refused = t.refused && ag.grantedAt <= t.refusedAt
	case Failed, ServerError:
		failed = 1
	case Unreachable:
		t.pause(now)
	case Rejected, Mismatched:
		t.cache.remove(t, ag.parts...)
	case Abandoned:
		return
	}
	if progress == Done || failed > 0 {
		t.failureShare += failureWeight * (failed - t.failureShare)
	}
}

// markReachable ends a pause, since the target has answered.
func (t *target) markReachable(now fleet.Instant) {
	t.pauseTime = 0
	t.pausedUntil = min(t.pausedUntil, now)
}

// pause excludes a target that could not be reached from new requests for a while.
func (t *target) pause(now fleet.Instant) {
	if now < t.pausedUntil {
		return // the same failure, reported for several requests
	}
	t.pauseTime = min(max(minPause, 2*t.pauseTime), maxPause)
	t.pausedUntil = now.Add(t.pauseTime)
}

// MarkResponsive records that a target has answered a long poll for events.
func (f *Fleet) MarkResponsive(now fleet.Instant, id fleet.TargetID) {
	if t, ok := f.targets[id]; ok {
		t.unresponsive = false
		t.markBack(now)
		t.markReachable(now)
		f.recordReached(now, polls, t)
	}
}

// recordAnswered records that an engine has answered a request. If it was silent it goes on, unless the
// report may have crossed the poll that failed. Of an engine among many that do not answer polls,
// observers decide.
func (f *Fleet) recordAnswered(now fleet.Instant, t *target) {
	if !t.unresponsive || t.crashed || now.Sub(t.unresponsiveSince) <= reportSpread {
		return
	}
	if o := f.observers[polls]; o == nil || len(o.failed) < cutOffTargets {
		t.unresponsive = false
	}
}

// MarkUnresponsive records that a target has not answered a long poll for events.
// It gets no new requests until it answers a poll or a request.
func (f *Fleet) MarkUnresponsive(now fleet.Instant, id fleet.TargetID) {
	t, ok := f.targets[id]
	if !ok || t.unresponsive {
		return
	}
	t.unresponsive, t.unresponsiveSince = true, now
	f.recordLoss(now, t)
	f.confirmFailures(t)
	f.probeSuspect(t)
}

// slidingWindow counts events within a time span that ends now.
type slidingWindow struct{ times []fleet.Instant }

// add adds an event. It also drops the events before the span, since a window may
// grow for a long time without a call of count.
func (w *slidingWindow) add(now fleet.Instant, span time.Duration) {
	w.count(now, span)
	w.times = append(w.times, now)
}

// count returns the number of events within the span before now, and drops those
// before it.
func (w *slidingWindow) count(now fleet.Instant, span time.Duration) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > span {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}
