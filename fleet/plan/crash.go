package plan

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/quarantine"
)

// Crashes of targets.
//
// A prompt may crash each engine that begins to write an answer on it, and a request each
// target that begins to run it. If such requests went from target to target, all requests
// beside them would fail, too. The plan therefore notes which requests were on a target that
// crashed, and withholds what comes again, see package quarantine.
//
// A crash shows in two ways, in any order: answers of the target end early, as hosts report,
// and the target is gone: it refuses connections. Requests may avoid it, so the planner tries a
// connection itself, once after an early end. An engine, which is polled for events, must have
// left a poll unanswered, too. An early end alone may be a fault of the answer or of a link, and
// a target that stops to answer may be slow, silent for a moment or cut off.
//
// A target may come back with the same entry. Until it is known to be up, a further crash of it
// can't be told from what goes on to end requests in its place. The planner therefore tries
// connections to a target of a plain service that has crashed until it accepts two in a row, and no
// request that may have crashed targets is sent there meanwhile. The same holds at the start of a
// tenure if requests are suspects: an earlier planner may have seen the crash that they are
// suspected of.
const (
	// crashWindow is the longest time between the early end of an answer and the first
	// poll or connection that fails. A poll fails at once if its connection is closed; a new one
	// starts after a pause and waits for a connection.
	crashWindow = time.Second
	// crashSettleTime is how long reports of failed requests are awaited after a crash was
	// noticed. Hosts send them within some ten milliseconds.
	crashSettleTime = 200 * time.Millisecond
	// crashProbeInterval is the time between two connections that are tried to a target which
	// has crashed.
	crashProbeInterval = 200 * time.Millisecond
	// soundAfter is how long a request's answer must have been under way for its prompt
	// not to be a suspect.
	soundAfter = 500 * time.Millisecond
)

// earlyEnd is a request whose answer ended early.
type earlyEnd struct {
	quarantine.Suspect
	suspect bool         // its answer had not begun, or had just begun
	host    fleet.HostID // that has met it
}

// crash is an engine's crash whose suspects are to be recorded.
type crash struct {
	target *target
	at     fleet.Instant // when it was noticed, or suspected
}

// recordEarlyEnd notes that the answer to a grant's request ended early, as an observer has met.
func (f *Fleet) recordEarlyEnd(now fleet.Instant, ag *activeGrant, observer fleet.HostID) {
	t, req := ag.target, ag.req
	t.earlyEnds = slices.DeleteFunc(t.earlyEnds, func(e earlyEnd) bool { return now.Sub(e.Ended) > crashWindow })
	t.earlyEnds = append(t.earlyEnds, earlyEnd{
		quarantine.Suspect{Prompt: req.Prompt, Request: req.Fingerprint, Workspace: req.Workspace, Sent: ag.grantedAt, Ended: now},
		!ag.started || now.Sub(ag.startedAt) < soundAfter, observer,
	})
	if t.service != nil && !t.isEngine() {
		t.probeDue, f.probesDue = true, true
	}
	if t.refused && now.Sub(t.refusedAt) <= crashWindow {
		f.noteCrash(now, t)
	}
	f.probeSuspect(t)
}

// probeSuspect has a connection tried to an engine that may have crashed.
func (f *Fleet) probeSuspect(t *target) {
	if _, suspect := t.suspectSince(); suspect && !t.crashed {
		t.probeDue, f.probesDue = true, true
	}
}

// suspectSince reports whether an engine has left a poll unanswered and broken an answer off within
// crashWindow, and the later of both instants.
func (t *target) suspectSince() (since fleet.Instant, suspect bool) {
	if !t.unresponsive || len(t.earlyEnds) == 0 {
		return 0, false
	}
	ended := t.earlyEnds[len(t.earlyEnds)-1].Ended
	since = max(ended, t.unresponsiveSince)
	return since, since.Sub(min(ended, t.unresponsiveSince)) <= crashWindow
}

// recordRefusal notes that a target refused a connection.
func (f *Fleet) recordRefusal(now fleet.Instant, t *target) {
	if t.service == nil {
		return
	}
	if t.isEngine() {
		if since, suspect := t.suspectSince(); suspect {
			f.noteCrash(since, t)
		}
		return
	}
	t.refused, t.refusedAt = true, now
	if t.endedEarly(now) {
		f.noteCrash(now, t)
	}
}

// A Probe is a connection that the planner has to try, to learn whether a target has crashed.
type Probe struct {
	Target  fleet.TargetID
	Address fleet.Address
}

// DueProbes returns the connections to try now, each once. RecordProbe must be called with
// the results.
func (f *Fleet) DueProbes() []Probe {
	if !f.probesDue {
		return nil
	}
	f.probesDue = false
	var probes []Probe
	for _, t := range f.targets {
		if t.probeDue {
			t.probeDue = false
			probes = append(probes, Probe{t.ID, t.Address})
		}
	}
	return probes
}

// RecordProbe records whether a target accepted the connection of a probe. It returns false if
// the target was known to be gone, and still is or has yet to accept another connection.
func (f *Fleet) RecordProbe(now fleet.Instant, id fleet.TargetID, accepted bool) (news bool) {
	t, ok := f.targets[id]
	switch {
	case !ok:
	case accepted && !t.acceptedOnce && t.crashed && t.refused && now.Sub(t.refusedAt) <= crashWindow:
		t.acceptedOnce = true // what stands before the target may close it later
		return false
	case accepted:
		if t.crashed && !t.isEngine() {
			t.markReachable(now)
		}
		t.markBack(now)
		t.refused, t.acceptedOnce = false, false
		f.recordReached(now, polls, t)
	case t.crashed && !t.isEngine():
		if t.endedEarly(now) {
			t.pause(now)
		}
		t.refused, t.refusedAt, t.acceptedOnce = true, now, false
		return false // and tells nothing of the planner's ways
	case f.recordFailed(now, polls, t):
		t.pause(now)
		f.recordRefusal(now, t)
	}
	return true
}

// endedEarly reports whether an answer of the target ended early within crashWindow.
func (t *target) endedEarly(now fleet.Instant) bool {
	return len(t.earlyEnds) > 0 && now.Sub(t.earlyEnds[len(t.earlyEnds)-1].Ended) <= crashWindow
}

// noteCrash notes that a target has crashed, once until it answers again. What stands before
// a target that is gone may accept requests and end them early, too.
func (f *Fleet) noteCrash(now fleet.Instant, t *target) {
	if !t.crashed {
		f.recordLoss(now, t)
		f.confirmFailures(t)
		t.crashed, t.crashedAt, t.probedAt = true, now, now
		f.crashes = append(f.crashes, crash{t, now})
		if !t.isEngine() && !slices.Contains(f.gone, t) {
			f.gone = append(f.gone, t)
		}
	}
}

// distrustTargets makes targets of plain services count as gone until they answer or accept a
// connection, if there are suspects that could be charged with an earlier crash once more.
func (f *Fleet) distrustTargets(now fleet.Instant) {
	f.gone = nil
	if !f.quarantine.HasSuspects() {
		return
	}
	for _, t := range f.targets {
		if t.service != nil && !t.isEngine() {
			t.crashed, t.crashedAt = true, now
			t.refused, t.refusedAt = true, now
			t.probeDue, t.probedAt, f.probesDue = true, now, true
			f.gone = append(f.gone, t)
		}
	}
}

// probeGone has connections tried to targets of plain services that have crashed, until they are
// back or no longer on the roster.
func (f *Fleet) probeGone(now fleet.Instant) {
	f.gone = slices.DeleteFunc(f.gone, func(t *target) bool { return !t.crashed || t.removed })
	for _, t := range f.gone {
		if now.Sub(t.probedAt) >= crashProbeInterval {
			t.probeDue, t.probedAt, f.probesDue = true, now, true
		}
	}
}

// spares reports whether a target that has crashed, and still refused a connection within
// crashWindow, is to be spared a request that may have crashed targets.
func (f *Fleet) spares(now fleet.Instant, t *target, req *Request) bool {
	return t.crashed && t.refused && now.Sub(t.refusedAt) <= crashWindow && f.quarantine.Suspects(req.Fingerprint)
}

// markBack records that a target is up. What ended early before is not charged with its next
// crash.
func (t *target) markBack(now fleet.Instant) {
	if t.crashed {
		t.crashed, t.backAt = false, now
	}
}

// settleCrashes records the suspects of the crashes for which all reports have arrived.
func (f *Fleet) settleCrashes(now fleet.Instant) {
	if len(f.crashes) == 0 {
		return
	}
	var unsettled []crash
	settle := f.crashSettle()
	for _, c := range f.crashes {
		if now.Sub(c.at) < settle {
			unsettled = append(unsettled, c)
			continue
		}
		var suspects []quarantine.Suspect
		for _, e := range c.target.earlyEnds {
			goneBefore := e.Ended <= c.target.backAt && c.target.backAt <= c.at
			if e.suspect && c.at.Sub(e.Ended) <= crashWindow && !goneBefore {
				suspects = append(suspects, e.Suspect)
			}
		}
		f.stats.Crashes++
		f.quarantine.RecordCrash(now, suspects)
	}
	f.crashes = unsettled
}

// checkQuarantine returns a refusal if the request or a part of its prompt is withheld. Trial
// is set if the request is to be sent as a trial. Deputies start none, since they would
// not know of each other's.
func (f *Fleet) checkQuarantine(now fleet.Instant, req *Request) (refusal *fleet.RefusalError, trial bool) {
	verdict, after := f.quarantine.Check(now, req.Fingerprint, req.Prompt)
	switch {
	case verdict == quarantine.Allowed:
		return nil, false
	case verdict == quarantine.Trial && !f.Deputy:
		return nil, true
	}
	f.stats.Withheld++
	return fleet.RefuseWithRetryAfter(fleet.ReasonWithheld, max(after, minRetryAfter)), false
}

// Quarantine returns the suspected and withheld parts and requests, for other hosts.
func (f *Fleet) Quarantine() quarantine.List { return f.quarantine.List() }

// RestoreQuarantine replaces the suspected and withheld parts and requests by those of another
// host.
func (f *Fleet) RestoreQuarantine(now fleet.Instant, list quarantine.List) {
	f.quarantine.Restore(now, list)
}
