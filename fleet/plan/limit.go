package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
)

// Limits that targets name.
//
// A target in need names the requests per second that it takes from all hosts together.
// The planner learns it from the hosts: at once from the one that got the answer, and with
// each request from all that have been told, so that a successor or a deputy knows it
// before it grants. It counts its grants and gives the rest of the requests to other
// targets. This handles engines that attract more prompts by what they have cached than
// they can serve.
//
// In the same way it learns that a target leaves, before the target's entry says so.
//
// The limit ends with an answer that names none. So that there are answers, a target gets
// requests at minLimitedRate even if it asks for fewer.
const (
	// limitShare is the share of the limit that the planner grants, since requests
	// arrive with some delay after their grants.
	limitShare = 0.9
	// deputyLimitShare is the share that a deputy grants, which does not know what the
	// planner and other deputies grant.
	deputyLimitShare = 0.15
	// minLimitedRate is one request in four seconds.
	minLimitedRate = intake.Rate(0.25)
)

// targetLimit is the limit that a target has named. The zero value is none.
type targetLimit struct {
	intake.Limit
	heard  fleet.Instant // when the answer came that named it, or that named none
	bucket intake.Bucket
}

// learn records what an answer said that came at an instant. Answers that came before the
// newest one say nothing new.
func (l *targetLimit) learn(heard fleet.Instant, limit intake.Limit) {
	if heard < l.heard {
		return
	}
	l.heard, l.Limit = heard, limit
	if !limit.Named {
		l.bucket = intake.Bucket{}
	}
}

// recordGrant counts a grant.
func (l *targetLimit) recordGrant() {
	if l.Named {
		l.bucket.Take()
	}
}

// learn records what an answer of the target said that came at an instant.
func (t *target) learn(heard fleet.Instant, limit intake.Limit, leaving bool) {
	t.limit.learn(heard, limit)
	t.saysLeaving = t.saysLeaving || leaving
}

// learnKnown records what targets have said to the host of the request.
func (f *Fleet) learnKnown(now fleet.Instant, req *Request) {
	for _, known := range req.Known {
		if t, ok := f.targets[known.Target]; ok {
			t.learn(now.Add(-known.Age), known.Limit, known.Leaving)
			if f.knowsBrittle(req.Host, known.Brittle) {
				f.learnBrittle(now.Add(-known.Age), t, known.Brittle)
			}
		}
	}
}

// limitWait returns how long it takes until the target's limit allows one more request.
func (f *Fleet) limitWait(now fleet.Instant, t *target) time.Duration {
	if !t.limit.Named {
		return 0
	}
	share := limitShare
	if f.Deputy {
		share = deputyLimitShare
	}
	return t.limit.bucket.Wait(now, max(minLimitedRate, intake.Rate(share)*t.limit.Rate))
}

// soonestWithinLimit returns how long it takes until a usable target's limit, and what it turned
// away if it is brittle, allow one more request of the service. It is zero if none is usable: that is no matter of limits.
func (f *Fleet) soonestWithinLimit(now fleet.Instant, req *Request) time.Duration {
	soonest, found := time.Duration(0), false
	for _, t := range f.targets {
		if t.Service != req.Service || !t.usable(now) {
			continue
		}
		wait := max(f.limitWait(now, t), f.brittleWait(now, t))
		if wait == 0 {
			return 0
		}
		if !found || wait < soonest {
			soonest, found = wait, true
		}
	}
	return soonest
}
