// Package reach tells from a host's own connections to which targets it has a way.
//
// Whether a target can be reached is a relation between a host and a target, not a state of the
// target. A link, a switch or a rule of a firewall can part some hosts from some targets, or from
// all, while callers, the object store and other hosts still reach both sides. To the host that is
// parted each target then looks dead, and what it would tell others of these targets is wrong.
// A host that finds no way to a target therefore asks another host to send its request, and a host
// that finds no way to nearly all targets is cut off itself.
//
// A Ledger keeps, for each target, when the host last reached it and when it last failed to. The way
// to a target is lost from a failure to the next success. Requests don't look for it meanwhile, since
// each would wait for the time limit of a dial: Probes names the targets to which the owner tries a
// connection instead, often while the loss is fresh or the host is cut off, so that a cut that heals
// ends the detour soon, and at longer intervals for a single target, which has probably ended.
//
// A connection that was opened before a cut can live on while new ones are refused. An answer on it
// shows that the host is not cut off, but not that the next connection opens: it is recorded by
// Answered.
//
// The host is cut off if the ways to at least cutOffTargets targets are lost, or to all if there are
// fewer, and hardly any was reached lately. Before that is said, the owner has tried the targets
// of which nothing is known: Probes names them as soon as that many ways are lost.
//
// Load patterns:
//   - One engine crashes. Its way is lost for all hosts; none of them is cut off, and it is tried
//     once in maxProbeInterval.
//   - A host is parted from all targets for 12 s. The first dials fail, the others are tried, and
//     within a second the host is cut off. The first probe that succeeds ends that, and makes
//     the others due.
//   - A host is parted from some targets only. Requests for these take the detour.
//   - All engines crash at once. Each host is cut off as far as it can tell; that no other host
//     reaches the targets either is for those to say which it asks (Relayed).
//   - A path flaps. Each success restores the way to its target, each failure loses it.
package reach

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

const (
	// cutOffTargets is how many ways must be lost for a host to be cut off, if it has as many.
	cutOffTargets = 3
	// lostShare is the least share of lost ways among those tried lately.
	lostShare = 0.9
	// reachedWindow is how long a success counts as one of late, failedWindow a failure.
	reachedWindow = 600 * time.Millisecond
	failedWindow  = 3 * time.Second
	// confirmTime is how long enough ways must have been lost, in which the other targets are
	// tried.
	confirmTime = 150 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes of a target.
	// While the host is cut off it is the shorter one.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = time.Second
	// freshTime is how long after its loss a way is probed at the shorter interval.
	freshTime = 2 * time.Second
	// maxProbes is the number of probes that Probes names at once.
	maxProbes = 16
)

// A Ledger is what a host knows of its ways to targets. The zero value is empty: all ways are taken
// to be open. It is not safe for concurrent use.
type Ledger struct {
	ways  map[fleet.TargetID]*way
	known int // targets that the owner named last
}

// A way is what is known of the direct way to a target. Times are zero if there was no such event.
type way struct {
	reached  fleet.Instant // last connection that was opened
	answered fleet.Instant // last answer or success on any connection
	failed   fleet.Instant // last failure
	relayed  fleet.Instant // last time that another host reached the target
	lost     bool
	lostAt   fleet.Instant // when the way was lost, while lost is set
	probed   fleet.Instant // last probe named
}

func (l *Ledger) way(target fleet.TargetID) *way {
	w := l.ways[target]
	if w == nil {
		if l.ways == nil {
			l.ways = make(map[fleet.TargetID]*way)
		}
		w = new(way)
		l.ways[target] = w
	}
	return w
}

// Reached records that a connection to the target was opened. It restores a lost way. If the
// host was cut off, the other lost ways are due to be probed.
func (l *Ledger) Reached(now fleet.Instant, target fleet.TargetID) {
	w := l.way(target)
	if w.lost && l.CutOff(now) {
		for _, other := range l.ways {
			other.probed = 0
		}
	}
	w.lost, w.reached, w.answered = false, now, now
}

// Answered records that an answer of the target arrived, on a connection of any age.
func (l *Ledger) Answered(now fleet.Instant, target fleet.TargetID) { l.way(target).answered = now }

// Failed records that a connection to the target could not be opened, or that a call got no answer.
func (l *Ledger) Failed(now fleet.Instant, target fleet.TargetID) {
	w := l.way(target)
	if !w.lost {
		w.lost, w.lostAt = true, now
	}
	w.failed = now
}

// Relayed records that another host reached the target.
func (l *Ledger) Relayed(now fleet.Instant, target fleet.TargetID) { l.way(target).relayed = now }

// Direct reports whether a request should first be sent directly to the target.
func (l *Ledger) Direct(_ fleet.Instant, target fleet.TargetID) bool {
	w := l.ways[target]
	return w == nil || !w.lost
}

// Doubtful reports whether what the host meets at the target says nothing of the target's state: the
// host seems to be cut off, or it has lost the way while another host reaches the target.
func (l *Ledger) Doubtful(now fleet.Instant, target fleet.TargetID) bool {
	if l.Suspects(now) {
		return true
	}
	w := l.ways[target]
	return w != nil && w.lost && w.relayed >= w.lostAt
}

// Silent reports whether the way to the target is lost, as a probe has confirmed, and nothing has come from
// it since. A target that only stands still for a moment accepts the probe.
func (l *Ledger) Silent(target fleet.TargetID) bool {
	w := l.ways[target]
	return w != nil && w.lost && w.failed > w.lostAt && w.answered < w.lostAt
}

// Kept reports whether the way to the target is lost for new connections only: answers have arrived since on
// one that was open.
func (l *Ledger) Kept(target fleet.TargetID) bool {
	w := l.ways[target]
	return w != nil && w.lost && w.answered > w.lostAt
}

// LostAt returns when the way to the target was lost, if it is.
func (l *Ledger) LostAt(target fleet.TargetID) (at fleet.Instant, lost bool) {
	if w := l.ways[target]; w != nil && w.lost {
		return w.lostAt, true
	}
	return 0, false
}

// Lost returns the number of targets without a direct way, and how many of these another
// host has reached since the way was lost.
func (l *Ledger) Lost() (lost, witnessed int) {
	for _, w := range l.ways {
		if w.lost {
			lost++
			if w.relayed >= w.lostAt && w.relayed > 0 {
				witnessed++
			}
		}
	}
	return lost, witnessed
}

// Suspects reports whether the host seems to be cut off, though it may not have tried all targets yet.
func (l *Ledger) Suspects(now fleet.Instant) bool {
	suspected, _ := l.suspected(now)
	return suspected
}

// AnsweredSince reports whether any target has answered or accepted a connection since the instant.
func (l *Ledger) AnsweredSince(since fleet.Instant) bool {
	for _, w := range l.ways {
		if w.answered >= since {
			return true
		}
	}
	return false
}

// CutOff reports whether the host has no way to nearly all targets that it tried lately.
func (l *Ledger) CutOff(now fleet.Instant) bool {
	suspected, since := l.suspected(now)
	return suspected && now.Sub(since) >= confirmTime
}

// suspected reports whether the host seems to be cut off, and since when enough ways are lost.
func (l *Ledger) suspected(now fleet.Instant) (suspected bool, since fleet.Instant) {
	var lostAt []fleet.Instant
	reached := 0
	for _, w := range l.ways {
		switch {
		case w.answered > w.failed && now.Sub(w.answered) <= reachedWindow:
			reached++
		case w.lost && now.Sub(w.failed) <= failedWindow:
			lostAt = append(lostAt, w.lostAt)
		}
	}
	enough := min(cutOffTargets, max(l.known, len(l.ways)))
	if enough == 0 || len(lostAt) < enough || float64(len(lostAt)) < lostShare*float64(len(lostAt)+reached) {
		return false, 0
	}
	slices.Sort(lostAt)
	return true, lostAt[enough-1]
}

// Probes returns the targets among the known ones to which a connection should be tried now, those
// first that were not tried for the longest time. The owner reports the results by Reached and
// Failed.
func (l *Ledger) Probes(now fleet.Instant, known []fleet.TargetID) []fleet.TargetID {
	l.retain(known)
	l.known = len(known)
	losses := 0
	for _, w := range l.ways {
		if w.lost {
			losses++
		}
	}
	suspicious := losses > 0 && losses >= min(cutOffTargets, len(known))
	cutOff := l.CutOff(now)
	var due []fleet.TargetID
	for _, target := range known {
		w := l.ways[target]
		switch {
		case w == nil && !suspicious:
		case w == nil:
			l.way(target)
			due = append(due, target)
		case w.lost && (w.probed == 0 || now.Sub(w.probed) >= w.interval(now, cutOff)):
			due = append(due, target)
		case !w.lost && suspicious && now.Sub(w.answered) > reachedWindow/2 && now.Sub(w.probed) >= minProbeInterval:
			due = append(due, target)
		}
	}
	slices.SortStableFunc(due, func(a, b fleet.TargetID) int { return cmp.Compare(l.ways[a].probed, l.ways[b].probed) })
	due = due[:min(len(due), maxProbes)]
	for _, target := range due {
		l.ways[target].probed = now
	}
	return due
}

// interval returns the time between two probes of a lost way.
func (w *way) interval(now fleet.Instant, cutOff bool) time.Duration {
	if cutOff || now.Sub(w.lostAt) < freshTime {
		return minProbeInterval
	}
	return maxProbeInterval
}

// retain forgets targets that are no longer known.
func (l *Ledger) retain(known []fleet.TargetID) {
	if len(l.ways) == 0 {
		return
	}
	kept := make(map[fleet.TargetID]bool, len(known))
	for _, target := range known {
		kept[target] = true
	}
	for target := range l.ways {
		if !kept[target] {
			delete(l.ways, target)
		}
	}
}
