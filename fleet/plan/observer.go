package plan

import (
	"maps"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// Observers.
//
// Some hosts may be parted from the targets, while the others, callers and the object store still
// reach them. What such a host meets at a target says nothing of the target. The plan therefore
// notes who failed at a target: a host, by its reports, or the planner itself, by its polls. An
// observer is cut off if it fails at several targets, at most of those that it tries, and others
// reach them meanwhile. From then on its failures do not count, and what the latest of them caused
// is taken back: pauses, targets that get no new work, and suspected crashes.
//
// Load patterns:
//   - One host of many is cut off. Its failures pause some targets, for the time until it is known.
//   - Half of the hosts are cut off. The same, as long as another host or the planner reaches the
//     targets.
//   - The planner is cut off. All its polls fail, while other hosts report pieces of answers.
//   - The planner and most hosts are cut off. Its polls fail at engines just as the hosts' requests
//     do, and only two hosts show that the engines are up.
//   - The planner is cut off, and nothing is under way that could tell. A host at a time tries the
//     engines, a few requests each.
//   - All targets are gone, or all hosts are cut off. Nobody reaches them, so each failure counts.
//   - Engines crash in a burst. The planner's polls find that they are gone; the hosts that failed
//     at them reach the others.
const (
	// polls is the observer whose failures are the planner's own polls and probes.
	polls fleet.HostID = ""
	// cutOffTargets is the least number of targets at which an observer fails if it is cut off.
	cutOffTargets = 3
	// cutOffRatio is the least ratio of these to the targets that it has reached meanwhile.
	cutOffRatio = 2
	// minContradicted is at how many of these targets others must have succeeded.
	minContradicted = 2
	// observerMemory is how long failures and successes count. It exceeds the time between two
	// failed polls of an engine.
	observerMemory = 2 * time.Second
	// minCheckInterval is the least time between two checks of an observer that goes on failing,
	// since a check takes a time that grows with the targets. maxCheckInterval is that of one which
	// does not.
	minCheckInterval = 10 * time.Millisecond
	maxCheckInterval = 100 * time.Millisecond
	// doubtfulSettleTime is longer than the polls of all engines need to fail after the first.
	doubtfulSettleTime = 500 * time.Millisecond
	// reportSpread is how late a report of an earlier success may arrive after one of a
	// failure.
	reportSpread = 50 * time.Millisecond
)

// failure is what an observer met at a target, without a success since.
type failure struct {
	first, last fleet.Instant
	share       float64 // added to the failureShare of the target
}

// observer is what one observer that fails at targets has met.
type observer struct {
	failed map[*target]failure
	// confirmed are failures at targets that the planner has found gone, too. They count again
	// if it turns out that the planner itself is cut off.
	confirmed map[*target]failure
	reached   map[*target]fleet.Instant // since it first failed at some target
	checked   fleet.Instant             // when cutOff and undecided were found
	cutOff    bool
	// undecided is set if it fails like one that is cut off, and it is not known whether others
	// reach the targets.
	undecided bool
	inTouch   map[fleet.HostID]bool // the others that reach them, if it is cut off
}

// witness is a success of an observer at a target.
type witness struct {
	observer fleet.HostID
	at       fleet.Instant
}

// addWitness notes a success at the target. The latest ones of two observers are kept, so
// that one of them is of another than any given observer.
func (t *target) addWitness(now fleet.Instant, id fleet.HostID) {
	if t.witnesses[0].observer != id || t.witnesses[0].at == 0 {
		t.witnesses[1] = t.witnesses[0]
	}
	t.witnesses[0] = witness{id, now}
}

// reachedByOthers returns the other observers that have reached the target lately, after the
// instant, as far as the witnesses tell.
func (t *target) reachedByOthers(now fleet.Instant, id fleet.HostID, after fleet.Instant) []fleet.HostID {
	var others []fleet.HostID
	for _, w := range t.witnesses {
		if w.at > 0 && w.observer != id && w.at.Sub(after) > reportSpread && now.Sub(w.at) <= observerMemory {
			others = append(others, w.observer)
		}
	}
	return others
}

// recordReached records a success of an observer at a target.
func (f *Fleet) recordReached(now fleet.Instant, id fleet.HostID, t *target) {
	t.addWitness(now, id)
	if o := f.observers[id]; o != nil {
		delete(o.failed, t)
		delete(o.confirmed, t)
		o.reached[t] = now
	}
}

// recordFailed records that an observer failed at a target, and reports whether that counts
// for the state of the target.
func (f *Fleet) recordFailed(now fleet.Instant, id fleet.HostID, t *target) bool {
	o := f.observers[id]
	if o == nil {
		o = &observer{failed: make(map[*target]failure), confirmed: make(map[*target]failure), reached: make(map[*target]fleet.Instant)}
		if f.observers == nil {
			f.observers = make(map[fleet.HostID]*observer)
		}
		f.observers[id] = o
	}
	fl, ok := o.failed[t]
	if !ok {
		fl.first = now
	}
	fl.last = now
	o.failed[t] = fl
	delete(o.reached, t)
	if now.Sub(o.checked) >= minCheckInterval {
		f.checkObserver(now, id, o)
	}
	if o.cutOff {
		f.stats.Uncounted++
	}
	return !o.cutOff
}

// noteShare notes by how much a failure of an observer raised the failureShare of a target.
func (f *Fleet) noteShare(id fleet.HostID, t *target, share float64) {
	if o := f.observers[id]; o != nil {
		if fl, ok := o.failed[t]; ok {
			fl.share += share
			o.failed[t] = fl
		}
	}
}

// checkObserver finds out whether an observer is cut off.
func (f *Fleet) checkObserver(now fleet.Instant, id fleet.HostID, o *observer) {
	old := func(t *target, fl failure) bool { return t.removed || now.Sub(fl.last) > observerMemory }
	maps.DeleteFunc(o.failed, old)
	maps.DeleteFunc(o.confirmed, old)
	maps.DeleteFunc(o.reached, func(t *target, at fleet.Instant) bool { return t.removed || now.Sub(at) > observerMemory })
	before := o.cutOff
	o.checked, o.cutOff, o.undecided, o.inTouch = now, false, false, nil
	if len(o.failed) >= cutOffTargets && len(o.failed) >= cutOffRatio*o.reachedBeside() {
		contradicted := 0
		for t, fl := range o.failed {
			others := t.reachedByOthers(now, id, fl.first)
			if len(others) > 0 {
				contradicted++
			}
			for _, other := range others {
				if o.inTouch == nil {
					o.inTouch = make(map[fleet.HostID]bool)
				}
				o.inTouch[other] = true
			}
		}
		o.cutOff = contradicted >= minContradicted || id != polls && (before || f.PollsCutOff()) && f.othersReach(now, id, o)
		o.undecided = !o.cutOff
	}
	if o.cutOff != before {
		f.cutOffChanges = append(f.cutOffChanges, CutOffChange{Host: id, CutOff: o.cutOff, Targets: len(o.failed)})
	}
	if o.cutOff && !before {
		f.takeBack(now, id, o)
	}
}

// othersReach reports whether others have reached targets of the services at whose targets the observer
// fails since it does. For a host that is enough if it was cut off before, since the others may have no
// requests for the very targets at which it fails, and if the planner is cut off, too: then the host's own
// failures keep the others away from these targets, and no poll tells of them.
func (f *Fleet) othersReach(now fleet.Instant, id fleet.HostID, o *observer) bool {
	services := make(map[*service]bool)
	since := now
	for t, fl := range o.failed {
		services[t.service] = true
		since = min(since, fl.first)
	}
	reached := 0
	for _, t := range f.targets {
		if services[t.service] && len(t.reachedByOthers(now, id, since)) > 0 {
			reached++
		}
	}
	return reached >= minContradicted
}

// reachedBeside returns how many targets the observer has reached since it fails at cutOffTargets or more, of
// the services of these. It may be parted from the targets of some services only.
func (o *observer) reachedBeside() int {
	services := make(map[*service]bool)
	var firsts []fleet.Instant
	for t, fl := range o.failed {
		services[t.service] = true
		firsts = append(firsts, fl.first)
	}
	slices.Sort(firsts)
	since := firsts[cutOffTargets-1]
	n := 0
	for t, at := range o.reached {
		if services[t.service] && at > since {
			n++
		}
	}
	return n
}

// takeBack undoes what the latest failures of an observer caused.
func (f *Fleet) takeBack(now fleet.Instant, id fleet.HostID, o *observer) {
	if id == polls {
		f.restoreConfirmed(now)
	}
	for t, fl := range o.failed {
		t.failureShare = max(0, t.failureShare-fl.share)
		if id == polls {
			t.unresponsive, t.refused = false, false
		}
		t.earlyEnds = slices.DeleteFunc(t.earlyEnds, func(e earlyEnd) bool { return e.host == id })
		if t.crashed && t.crashedAt >= fl.first && (id == polls || len(t.earlyEnds) == 0) {
			t.crashed = false
			f.crashes = slices.DeleteFunc(f.crashes, func(c crash) bool { return c.target == t })
		}
		if !f.failsForOthers(id, t) {
			t.markReachable(now)
		}
	}
}

// failsForOthers reports whether another observer whose failures count has failed at the
// target.
func (f *Fleet) failsForOthers(id fleet.HostID, t *target) bool {
	for other, o := range f.observers {
		if _, failed := o.failed[t]; failed && other != id && !o.cutOff {
			return true
		}
	}
	return false
}

// confirmFailures records that the planner found a target gone: hosts that failed at it are no
// more likely to be cut off for that.
func (f *Fleet) confirmFailures(t *target) {
	for id, o := range f.observers {
		if fl, failed := o.failed[t]; failed && id != polls && !o.cutOff {
			delete(o.failed, t)
			o.confirmed[t] = fl
		}
	}
}

// restoreConfirmed makes failures count again that only the planner confirmed, which is cut off,
// and finds out which hosts are cut off as well.
func (f *Fleet) restoreConfirmed(now fleet.Instant) {
	for _, id := range slices.Sorted(maps.Keys(f.observers)) {
		o := f.observers[id]
		if len(o.confirmed) == 0 {
			continue
		}
		for t, earlier := range o.confirmed {
			fl, again := o.failed[t]
			if !again {
				fl.last = earlier.last
			}
			fl.first = earlier.first
			fl.share += earlier.share
			o.failed[t] = fl
		}
		clear(o.confirmed)
		f.checkObserver(now, id, o)
	}
}

// forgetObservers forgets observers that have not failed for a while.
func (f *Fleet) forgetObservers(now fleet.Instant) {
	for _, id := range slices.Sorted(maps.Keys(f.observers)) {
		o := f.observers[id]
		if now.Sub(o.checked) < maxCheckInterval {
			continue
		}
		if f.checkObserver(now, id, o); len(o.failed) == 0 && len(o.confirmed) == 0 {
			delete(f.observers, id)
		}
	}
	maps.DeleteFunc(f.trials, func(_ fleet.HostID, w *slidingWindow) bool { return w.count(now, observerMemory) == 0 })
}

// A CutOffChange tells that an observer has been found to be cut off from the targets, or no
// longer.
type CutOffChange struct {
	Host    fleet.HostID // empty for the planner's own polls
	CutOff  bool
	Targets int // at which it fails
}

// CutOffChanges returns the changes since the last call.
func (f *Fleet) CutOffChanges() []CutOffChange {
	changes := f.cutOffChanges
	f.cutOffChanges = nil
	return changes
}

// crashSettle returns how long the suspects of a crash are awaited: longer while so many polls
// fail that the planner may be found to be cut off.
func (f *Fleet) crashSettle() time.Duration {
	if o := f.observers[polls]; o != nil && len(o.failed) >= cutOffTargets {
		return doubtfulSettleTime
	}
	return crashSettleTime
}

// PollsCutOff reports whether the planner's own polls fail while other hosts reach the engines.
func (f *Fleet) PollsCutOff() bool {
	o := f.observers[polls]
	return o != nil && o.cutOff
}

// InTouch returns the hosts that reach engines which do not answer the planner's polls, if it is cut
// off, except those that are known to be cut off themselves.
func (f *Fleet) InTouch() map[fleet.HostID]bool {
	if !f.PollsCutOff() {
		return nil
	}
	hosts := make(map[fleet.HostID]bool)
	for id := range f.observers[polls].inTouch {
		if o := f.observers[id]; o == nil || !o.cutOff {
			hosts[id] = true
		}
	}
	return hosts
}

const (
	// trialCost is the cost of an engine that does not answer the planner's polls: it is tried if there
	// is no other one.
	trialCost = 10 * time.Second
	// maxTrials is how many of them a host tries within observerMemory.
	maxTrials = minContradicted
)

// mayTry reports whether a request of the host may be sent to an engine that does not answer the
// planner's polls: they fail at nearly all engines, and it is not known whether the engines or the
// planner's ways are the cause. A host that fails there itself tries no more.
func (f *Fleet) mayTry(now fleet.Instant, t *target, host fleet.HostID) bool {
	o := f.observers[polls]
	if o == nil || !o.undecided || !t.unresponsive || !t.open(now) {
		return false
	}
	if _, failed := o.failed[t]; !failed {
		return false
	}
	if h := f.observers[host]; h != nil && len(h.failed) > 0 {
		return false
	}
	trials := f.trials[host]
	return trials == nil || trials.count(now, observerMemory) < maxTrials
}

// recordTrial records a grant of an engine that does not answer the planner's polls.
func (f *Fleet) recordTrial(now fleet.Instant, host fleet.HostID) {
	if f.trials == nil {
		f.trials = make(map[fleet.HostID]*slidingWindow)
	}
	if f.trials[host] == nil {
		f.trials[host] = new(slidingWindow)
	}
	f.trials[host].add(now, observerMemory)
}

// RecordFailedPoll records that an engine has not answered a long poll for events, and reports
// whether that counts: it gets no new requests until it answers, unless the planner is cut off.
func (f *Fleet) RecordFailedPoll(now fleet.Instant, id fleet.TargetID) bool {
	t, ok := f.targets[id]
	if !ok || !f.recordFailed(now, polls, t) {
		return false
	}
	f.MarkUnresponsive(now, id)
	return true
}
