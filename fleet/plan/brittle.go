package plan

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
)

// Brittle targets.
//
// At times the targets of a service are brittle: they let fewer requests wait, and one that has
// to turn away more than a number of requests within a second, which its answers name, falls over
// and is gone for some seconds. This handles bursts beyond the capacity of such a service: each
// request that was sent on the chance of room brings a target nearer to its fall, and each fall
// leaves the same burst to fewer targets.
//
// The planner therefore sends a brittle target only what can run at once: as many requests as it
// has slots, and prompts that fit into its memory. All else waits in the planner's queue, as long
// as usual, or is refused with the time to come back. Requests whose callers have gone count for
// a while, since some targets go on with them. A target that withstands no rejection can't tell of
// them, so there they count as long as the longest requests of the service take.
//
// The planner may still be wrong about the room, since others have sent requests of which it
// doesn't know: the planner before it, a deputy, or a host that chose alone. After it took over,
// or after a target has turned a request away, it therefore allows the target no more than it
// surely holds, and a little more with time or as requests find room, and counts what was turned away in the last second
// together with what is on the way and may be turned away. A rejection of an engine that should
// have had room may also mean that it counts requests as waiting whose prompts it reads. From then
// on what is on the way to the service's engines is limited in the same way.
//
// The targets of a service are brittle together. From the first answer that says so, those
// that have not answered since are taken for brittle as well.
const (
	// brittleShare is the share of the rejections that a target withstands up to which the
	// planner risks some, and deputyBrittleShare that of a deputy. The rest is for
	// hosts that choose alone and for the time that reports take.
	brittleShare       = 0.6
	deputyBrittleShare = 0.15
	// rejectionWindow is the time over which rejections are counted: a second, and the
	// time by which some reports are later than others.
	rejectionWindow = 1200 * time.Millisecond
	// rejectionTime is the time from the grant within which a target that has no room
	// usually says so.
	rejectionTime = 300 * time.Millisecond
	// brittleRampTime is the time over which all of a target's slots are allowed again.
	brittleRampTime = 4 * time.Second
	// goneCallerTime is how long a request counts whose caller has gone, if a rejection can tell that it runs on.
	goneCallerTime = time.Second
)

// brittleState is what is known of a target that may be brittle. The zero value is that of a
// target of which nothing was heard, and whose requests all came from this planner.
type brittleState struct {
	said       intake.Brittle
	heard      fleet.Instant // when the answer came that said it
	rejections slidingWindow // of requests while it was brittle
	risked     []*activeGrant
	gone       []goneCaller

	// The room is limited to known requests since knownAt, until brittleRampTime later.
	limited bool
	known   int
	knownAt fleet.Instant
}

// goneCaller is a request that may still run although its caller has gone.
type goneCaller struct {
	until  fleet.Instant
	memory fleet.Tokens
}

// brittleService is what the targets of a service say together.
type brittleService struct {
	intake.Brittle
	since      fleet.Instant // the first answer that said it
	distrusted bool          // an engine turned a request away that should have had room
}

// knowsBrittle reports whether a host knows brittle targets, so that it would have said if a target were: it does
// so now, or has done so before. Hosts of earlier builds say of brittle targets what they say of sound ones.
func (f *Fleet) knowsBrittle(host fleet.HostID, said intake.Brittle) bool {
	if said.Named {
		if f.namedBrittle == nil {
			f.namedBrittle = make(map[fleet.HostID]bool)
		}
		f.namedBrittle[host] = true
	}
	return f.namedBrittle[host]
}

// learnBrittle records what an answer of a target said that came at an instant. Answers that
// came before the newest one say nothing new.
func (f *Fleet) learnBrittle(heard fleet.Instant, t *target, brittle intake.Brittle) {
	if heard < t.brittle.heard {
		return
	}
	before := t.brittle.said
	t.brittle.heard, t.brittle.said = heard, brittle
	s := t.service
	switch {
	case s == nil:
	case brittle.Named && !s.brittle.Named:
		s.brittle = brittleService{Brittle: brittle, since: heard}
	case brittle.Named:
		s.brittle.Rejections = min(s.brittle.Rejections, brittle.Rejections)
	case s.brittle.Named && (before.Named || heard > s.brittle.since) && !f.anyBrittle(s):
		s.brittle = brittleService{}
	}
}

// anyBrittle reports whether the newest answer of some target of a service says that it is
// brittle.
func (f *Fleet) anyBrittle(s *service) bool {
	for _, t := range f.targets {
		if t.service == s && t.brittle.said.Named {
			return true
		}
	}
	return false
}

// brittleness returns how brittle the target is, as it says or as the others of its service say
// from which it has not differed since. It is zero while the target's entry names an unknown service:
// then the target gets no requests, and it isn't known how many it processes at once.
func (t *target) brittleness() intake.Brittle {
	s := t.service
	switch {
	case s == nil:
		return intake.Brittle{}
	case t.brittle.said.Named || !s.brittle.Named || t.brittle.heard > s.brittle.since:
		return t.brittle.said
	}
	return s.brittle.Brittle
}

// risk returns how many requests may be turned away within a second, or be on the way to a
// target whose room isn't sure. A planner tries one at a time at least, else it would
// never learn that there is room. A deputy tries one if the target withstands that two
// deputies and the planner do so at once.
func (f *Fleet) risk(brittle intake.Brittle) int {
	if f.Deputy {
		const planners = 3
		return max(min(1, brittle.Rejections/planners), int(deputyBrittleShare*float64(brittle.Rejections)))
	}
	return max(1, int(brittleShare*float64(brittle.Rejections)))
}

// hasBrittleRoom reports whether a target, if it is brittle, has room for one more request.
func (f *Fleet) hasBrittleRoom(now fleet.Instant, t *target, req *Request) bool {
	brittle := t.brittleness()
	if !brittle.Named {
		return true
	}
	b := &t.brittle
	gone, goneMemory := b.countGone(now)
	room, sure := t.brittleRoom(now, brittle)
	if t.activeGrants+gone >= room {
		return false
	}
	if req.Prompt != nil && t.isEngine() {
		size, capacity := req.Prompt.Input+req.Prompt.Output, t.service.spec.Engine.CacheCapacity
		idle := t.activeGrants+gone == 0 && size <= capacity
		if !idle && t.memory+goneMemory+size > fleet.Tokens(maxMemoryShare*float64(capacity)) {
			return false
		}
	}
	sure = sure && !f.Deputy && !(t.isEngine() && t.service.brittle.distrusted)
	return sure || b.rejections.count(now, rejectionWindow)+b.countRisked(now) < f.risk(brittle)
}

// brittleWait returns how long it takes until a brittle target's rejections are long enough ago
// for one more request; zero if they are.
func (f *Fleet) brittleWait(now fleet.Instant, t *target) time.Duration {
	brittle := t.brittleness()
	if !brittle.Named {
		return 0
	}
	risk := f.risk(brittle)
	if risk == 0 {
		return rejectionWindow
	}
	rejected := t.brittle.rejections.count(now, rejectionWindow)
	if rejected < risk {
		return 0
	}
	return max(0, t.brittle.rejections.times[rejected-risk].Add(rejectionWindow).Sub(now))
}

// recordBrittleGrant counts a grant that a brittle target may turn away.
func (t *target) recordBrittleGrant(now fleet.Instant, ag *activeGrant) {
	if t.brittleness().Named {
		t.brittle.countRisked(now)
		t.brittle.risked = append(t.brittle.risked, ag)
	}
}

// recordBrittleEnd records the end of a grant at a target that may be brittle.
func (f *Fleet) recordBrittleEnd(now fleet.Instant, ag *activeGrant, progress Progress) {
	turnedAway := ag.answered && progress == Rejected
	ag.ended = true
	t := ag.target
	brittle := t.brittleness()
	if !brittle.Named {
		return
	}
	b := &t.brittle
	switch {
	case turnedAway:
		gone, _ := b.countGone(now)
		if _, sure := t.brittleRoom(now, brittle); sure && t.activeGrants+gone < t.slots() {
			t.service.brittle.distrusted = true
		}
		b.limitRoom(now, t.activeGrants)
		b.rejections.add(now, rejectionWindow)
		f.stats.BrittleRejections++
		if b.rejections.count(now, time.Second) == brittle.Rejections+1 {
			f.stats.BrittleFalls++
		}
	case progress == Abandoned || progress == Failed:
		until := ag.grantedAt.Add(ag.req.Deadline)
		if brittle.Rejections > 0 {
			until = min(until, now.Add(goneCallerTime))
		} else if longest, known := t.service.runs.longest(now); known {
			until = min(until, ag.grantedAt.Add(longest))
		}
		if until > now {
			b.gone = append(b.gone, goneCaller{until, ag.memory})
		}
	}
}

// runTimes is how long requests of a service took lately, from the grant to the end. The zero value is
// that of a service of which none has ended.
type runTimes struct {
	since             fleet.Instant // when the current period began
	current, previous time.Duration // the longest of the period
}

// runTimesPeriod is the time after which a new period begins.
const runTimesPeriod = 10 * time.Second

// add records that a request has ended.
func (r *runTimes) add(now fleet.Instant, took time.Duration) {
	r.longest(now)
	r.current = max(r.current, took)
}

// longest returns the longest time of two periods. It reports false if no request has ended in them.
func (r *runTimes) longest(now fleet.Instant) (time.Duration, bool) {
	if now.Sub(r.since) >= runTimesPeriod {
		if now.Sub(r.since) >= 2*runTimesPeriod {
			r.current = 0
		}
		r.since, r.current, r.previous = now, 0, r.current
	}
	longest := max(r.current, r.previous)
	return longest, longest > 0
}

// limitRoom limits the room to known requests, which the target holds.
func (b *brittleState) limitRoom(now fleet.Instant, known int) {
	b.limited, b.known, b.knownAt = true, known, now
}

// brittleRoom returns how many requests a brittle target has room for, and whether that is
// sure. One that withstands rejections is given one more than have found room, unless it has
// just turned one away.
func (t *target) brittleRoom(now fleet.Instant, brittle intake.Brittle) (room int, sure bool) {
	b, slots := &t.brittle, t.slots()
	since := now.Sub(b.knownAt)
	if b.limited && since >= brittleRampTime {
		b.limited = false
	}
	if !b.limited {
		return slots, true
	}
	room = b.known + int(float64(slots)*since.Seconds()/brittleRampTime.Seconds())
	if brittle.Rejections > 0 {
		room = max(room, t.activeGrants-b.countRisked(now))
		if b.rejections.count(now, rejectionWindow) == 0 || since > rejectionTime {
			room++
		}
	}
	return min(slots, room), false
}

// countGone returns how many requests may still run although their callers have gone, and the
// memory that they occupy.
func (b *brittleState) countGone(now fleet.Instant) (n int, memory fleet.Tokens) {
	b.gone = slices.DeleteFunc(b.gone, func(g goneCaller) bool { return g.until <= now })
	for _, g := range b.gone {
		memory += g.memory
	}
	return len(b.gone), memory
}

// countRisked returns how many requests are on the way and may be turned away.
func (b *brittleState) countRisked(now fleet.Instant) int {
	b.risked = slices.DeleteFunc(b.risked, func(ag *activeGrant) bool { return ag.started || ag.ended || now.Sub(ag.grantedAt) > rejectionTime })
	return len(b.risked)
}
