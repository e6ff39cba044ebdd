package plan_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
)

// limitedFleet plays callers, hosts and engines, some of which name a limit, against
// planners. Engines get requests from hosts that ask the planner and from hosts that ask
// a deputy.
type limitedFleet struct {
	t        *testing.T
	random   *rand.Rand
	entries  []roster.Target
	planner  *plan.Fleet
	deputy   *plan.Fleet // of the hosts with an odd number; nil if all ask the planner
	hosts    [9]limitedHost
	limits   map[fleet.TargetID]intake.Rate
	leaving  map[fleet.TargetID]bool
	pauses   map[fleet.TargetID]time.Duration // that engines ask for as they turn requests away
	deaf     bool                             // hosts keep nothing of what engines say
	events   []timedEvent
	arrivals map[fleet.TargetID][]limitedArrival
	refusals []plan.Decision
	broken   []string // rules that a request broke as it arrived
}

// limitedHost is a host with what it has been told, and since when.
type limitedHost struct {
	ledger  intake.Ledger
	told    map[fleet.TargetID]time.Duration // of a limit
	leaving map[fleet.TargetID]time.Duration
	pauses  map[fleet.TargetID][]*pauseAsked
}

// pauseAsked is a pause that an engine asked a host for, with the requests that reached it
// meanwhile although half a second had passed.
type pauseAsked struct {
	from, to time.Duration
	arrived  int
}

type limitedArrival struct {
	at   time.Duration
	told bool // the host was told of the limit half a second before or earlier
}

func newLimitedFleet(t *testing.T, seed uint64) *limitedFleet {
	l := &limitedFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 28)), limits: make(map[fleet.TargetID]intake.Rate), arrivals: make(map[fleet.TargetID][]limitedArrival),
	}
	for i := range 6 {
		l.entries = append(l.entries, roster.Target{
			ID: fleet.TargetID(fmt.Sprint("i", i)), Service: engineService, Address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)), DataCentre: "a",
			Models: []roster.Model{{ID: model, Version: 1}},
		})
	}
	l.planner = newFleet(t, l.entries)
	for i := range l.hosts {
		l.hosts[i].told, l.hosts[i].leaving = make(map[fleet.TargetID]time.Duration), make(map[fleet.TargetID]time.Duration)
		l.hosts[i].pauses = make(map[fleet.TargetID][]*pauseAsked)
	}
	return l
}

// succeed replaces the planner by one that has granted nothing and knows no limit.
func (l *limitedFleet) succeed(now time.Duration) {
	l.planner = newFleet(l.t, l.entries)
	l.planner.BeginTenure(at(now), 1<<40)
}

func (l *limitedFleet) startDeputy(now time.Duration) {
	l.deputy = newFleet(l.t, l.entries)
	l.deputy.Deputy, l.deputy.StoresAllowed = true, false
	l.deputy.BeginTenure(at(now), 1<<41)
}

func (l *limitedFleet) after(now, delay time.Duration, do func(now time.Duration)) {
	l.events = append(l.events, timedEvent{now + delay, do})
}

// run plays requests for a time, perSecond of them each second.
func (l *limitedFleet) run(from, to time.Duration, perSecond int) {
	const step = 5 * time.Millisecond
	due := 0.0
	for now := from; now < to; now += step {
		for i := 0; i < len(l.events); i++ {
			if e := l.events[i]; e.at <= now {
				l.events = append(l.events[:i], l.events[i+1:]...)
				i--
				e.do(now)
			}
		}
		for due += float64(perSecond) * step.Seconds(); due >= 1; due-- {
			l.submit(now)
		}
		l.tick(now, l.planner)
		if l.deputy != nil {
			l.tick(now, l.deputy)
		}
	}
}

func (l *limitedFleet) tick(now time.Duration, f *plan.Fleet) {
	for _, decision := range f.Tick(at(now)) {
		l.decide(now, f, decision)
	}
}

func (l *limitedFleet) submit(now time.Duration) {
	h := l.random.IntN(len(l.hosts))
	req := newRequest(time.Second, filePrompt(fmt.Sprint("file", l.random.IntN(12)))...)
	req.Host = fleet.HostID(fmt.Sprint(h))
	req.Known = l.hosts[h].ledger.Known(at(now), engineService, noStartTimes)
	req.Avoid, _ = l.hosts[h].ledger.Closed(at(now), engineService, noStartTimes)
	f := l.planner
	if l.deputy != nil && h%2 == 1 {
		f = l.deputy
	}
	if decision, ok := f.Submit(at(now), req); ok {
		l.decide(now, f, decision)
	}
}

func (l *limitedFleet) decide(now time.Duration, f *plan.Fleet, decision plan.Decision) {
	if decision.Refusal != nil {
		l.refusals = append(l.refusals, decision)
		return
	}
	var h int
	_, err := fmt.Sscan(string(decision.Request.Host), &h)
	require.NoError(l.t, err)
	g, host := decision.Grant, &l.hosts[h]
	if closed, _ := host.ledger.Closed(at(now), engineService, noStartTimes); slices.Contains(closed, g.Target) {
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Rejected})
		return
	}
	sent := now
	l.after(now, time.Duration(2+l.random.IntN(30))*time.Millisecond, func(now time.Duration) { l.arrive(now, sent, f, g, host) })
}

// noStartTimes is a roster that has all targets and does not know when they started.
func noStartTimes(fleet.TargetID) (time.Time, bool) { return time.Time{}, true }

// arrive plays a request at its engine: a first piece, whose header names the limit, and
// the end of the answer, or an answer that turns it away.
func (l *limitedFleet) arrive(now, sent time.Duration, f *plan.Fleet, g *plan.Grant, host *limitedHost) {
	const drainTime, slack = 2 * time.Second, 500 * time.Millisecond
	if since, ok := host.leaving[g.Target]; ok && sent > since+drainTime {
		l.broken = append(l.broken, fmt.Sprintf("DRAIN: %s at %v", g.Target, now))
	}
	for _, p := range host.pauses[g.Target] {
		if now > p.from+slack && now < p.to {
			if p.arrived++; p.arrived == 3 {
				l.broken = append(l.broken, fmt.Sprintf("BUDGET: %s at %v", g.Target, now))
			}
		}
	}
	since, told := host.told[g.Target]
	l.arrivals[g.Target] = append(l.arrivals[g.Target], limitedArrival{now, told && now-since >= 500*time.Millisecond})
	l.after(now, time.Duration(30+l.random.IntN(120))*time.Millisecond, func(now time.Duration) {
		rate, limited := l.limits[g.Target]
		notice := intake.Notice{Limit: intake.Limit{Named: limited, Rate: rate}, Leaving: l.leaving[g.Target], Pause: l.pauses[g.Target]}
		var before intake.Notice
		if !l.deaf {
			before = host.ledger.Observe(at(now), intake.Life{Target: g.Target, Service: engineService}, notice)
		}
		if _, ok := host.told[g.Target]; limited && !ok {
			host.told[g.Target] = now
		}
		if _, ok := host.leaving[g.Target]; notice.Leaving && !ok {
			host.leaving[g.Target] = now
		}
		if !l.deaf && (limited || before.Limit.Named || g.Limited || notice.Leaving && !before.Leaving) {
			f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Answered, Notice: notice})
		}
		if notice.Pause > 0 {
			host.pauses[g.Target] = append(host.pauses[g.Target], &pauseAsked{from: now, to: now + notice.Pause})
			f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Rejected})
			return
		}
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Started})
		l.after(now, time.Duration(200+l.random.IntN(400))*time.Millisecond, func(now time.Duration) {
			f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Done})
		})
	})
}

// most returns the most requests that an engine got within 4 s, from hosts that it had
// told, in windows that end later than from.
func (l *limitedFleet) most(id fleet.TargetID, from time.Duration) int {
	const span = 4 * time.Second
	most := 0
	var window []time.Duration
	for _, a := range l.arrivals[id] {
		if !a.told {
			continue
		}
		window = append(window, a.at)
		for window[0] < a.at-span {
			window = window[1:]
		}
		if a.at >= from {
			most = max(most, len(window))
		}
	}
	return most
}

// allowed is how many requests an engine may get in 4 s: one and a half times what its
// limit allows, and 5 more.
func allowed(rate intake.Rate) int { return int(1.5*4*float64(rate)) + 5 }

// got returns how many requests an engine got in a time.
func (l *limitedFleet) got(id fleet.TargetID, from, to time.Duration) int {
	n := 0
	for _, a := range l.arrivals[id] {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}

// Load pattern: engines name a limit far below what their share of the prompts brings
// them, beside engines that take all. Planners change, and a deputy decides for half of
// the hosts.
func TestEnginesGetNoMoreThanTheLimitThatTheyNamed(t *testing.T) {
	for name, change := range map[string]func(l *limitedFleet, now time.Duration){
		"one planner":       func(*limitedFleet, time.Duration) {},
		"successor":         func(l *limitedFleet, now time.Duration) { l.succeed(now) },
		"deputy":            func(l *limitedFleet, now time.Duration) { l.startDeputy(now) },
		"deputy, successor": func(l *limitedFleet, now time.Duration) { l.startDeputy(now); l.succeed(now) },
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				l := newLimitedFleet(t, seed)
				l.run(0, 8*time.Second, 60)
				l.limits = map[fleet.TargetID]intake.Rate{"i0": 3.5, "i1": 1.6, "i2": 0}
				l.run(8*time.Second, 16*time.Second, 60)
				change(l, 16*time.Second)
				l.run(16*time.Second, 20*time.Second, 60)
				change(l, 20*time.Second)
				l.run(20*time.Second, 26*time.Second, 60)
				for id, rate := range l.limits {
					require.LessOrEqual(t, l.most(id, 11*time.Second), allowed(rate), "%s named a limit of %v", id, rate)
					require.NotZero(t, l.got(id, 16*time.Second, 26*time.Second), "%s is given no chance to say that its limit has ended", id)
				}
			})
		}
	}
}

// Load pattern: all engines of a service name a limit at once, and callers go on.
func TestCallersAreRefusedAtOnceWhenAllEnginesAreLimited(t *testing.T) {
	l := newLimitedFleet(t, 1)
	l.limits = make(map[fleet.TargetID]intake.Rate)
	for _, e := range l.entries {
		l.limits[e.ID] = 0.5
	}
	l.run(0, 12*time.Second, 60)
	l.refusals = nil
	l.run(12*time.Second, 20*time.Second, 60)
	for id, rate := range l.limits {
		require.LessOrEqual(t, l.most(id, 3*time.Second), allowed(rate), "%s named a limit of %v", id, rate)
	}
	require.NotEmpty(t, l.refusals)
	times := make(map[time.Duration]bool)
	for _, r := range l.refusals {
		require.Equal(t, fleet.OutcomeNotRun, r.Refusal.Outcome)
		require.Positive(t, r.Refusal.RetryAfter)
		times[r.Refusal.RetryAfter.Truncate(10*time.Millisecond)] = true
	}
	require.Greater(t, len(times), 10, "return times are spread")
}

// Load pattern: an engine names a limit for some seconds and takes all again.
func TestLimitEndsWithTheAnswersThatNameIt(t *testing.T) {
	l := newLimitedFleet(t, 2)
	l.run(0, 6*time.Second, 60)
	l.limits = map[fleet.TargetID]intake.Rate{"i0": 1}
	l.run(6*time.Second, 14*time.Second, 60)
	l.limits = nil
	l.run(14*time.Second, 24*time.Second, 60)
	require.LessOrEqual(t, l.most("i0", 9*time.Second), allowed(1)+l.got("i0", 14*time.Second, 24*time.Second))
	require.Greater(t, l.got("i0", 18*time.Second, 24*time.Second), l.got("i0", 0, 6*time.Second)/2)
}

// Load pattern: an engine says in its answers that it leaves, before its entry does. One host
// was told; requests of all hosts go elsewhere, also at a successor that the host asks first.
func TestEngineThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	entries := newLimitedFleet(t, 1).entries[:2]
	submit := func(f *plan.Fleet, host fleet.HostID, known ...intake.Known) *plan.Grant {
		req := newRequest(second, filePrompt("file")...)
		req.Host, req.Known = host, known
		return mustGrant(t, f, at(second), req)
	}
	f := newFleet(t, entries)
	g := submit(f, "told")
	f.Report(at(second), plan.Report{Number: g.Number, Progress: plan.Answered, Notice: intake.Notice{Leaving: true}})
	for range 3 {
		require.NotEqual(t, g.Target, submit(f, "another").Target)
	}
	successor := newFleet(t, entries)
	require.NotEqual(t, g.Target, submit(successor, "told", intake.Known{Target: g.Target, Leaving: true}).Target)
	for range 3 {
		require.NotEqual(t, g.Target, submit(successor, "another").Target)
	}
	again := entries[0]
	if again.ID != g.Target {
		again = entries[1]
	}
	again.StartTime = time.Unix(2, 0)
	before := again
	before.StartTime = time.Unix(1, 0)
	f = newFleet(t, []roster.Target{before})
	g = submit(f, "told")
	f.Report(at(second), plan.Report{Number: g.Number, Progress: plan.Answered, Notice: intake.Notice{Leaving: true}})
	f.SetTargets(at(second), []roster.Target{again}, nil)
	require.Equal(t, again.ID, submit(f, "another").Target, "its next life has said nothing")
}

// Load pattern: engines of one service name limits, turn requests away and leave, all in the
// same seconds, while the planner changes and a deputy decides for half of the hosts. Hosts
// that keep nothing of what they are told show that each rule is checked.
func TestEnginesThatAskForLessAtOnce(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint("deaf ", deaf, " ", seed), func(t *testing.T) {
				l := newLimitedFleet(t, seed)
				l.deaf = deaf
				l.run(0, 4*time.Second, 40)
				l.limits = map[fleet.TargetID]intake.Rate{"i0": 3.5, "i1": 1.6}
				l.leaving = map[fleet.TargetID]bool{"i2": true}
				l.pauses = map[fleet.TargetID]time.Duration{"i3": 2 * time.Second, "i4": 5 * time.Second}
				l.run(4*time.Second, 10*time.Second, 40)
				l.succeed(10 * time.Second)
				l.startDeputy(10 * time.Second)
				l.run(10*time.Second, 14*time.Second, 40)
				delete(l.pauses, "i3")
				l.run(14*time.Second, 22*time.Second, 40)
				for id, rate := range l.limits {
					if most := l.most(id, 7*time.Second); most > allowed(rate) {
						l.broken = append(l.broken, fmt.Sprintf("LIMIT: %s got %d", id, most))
					}
				}
				if !deaf {
					require.Empty(t, l.broken)
					require.NotZero(t, l.got("i3", 17*time.Second, 22*time.Second), "its pauses are over")
					return
				}
				for _, rule := range []string{"LIMIT", "DRAIN", "BUDGET"} {
					require.True(t, slices.ContainsFunc(l.broken, func(b string) bool { return strings.HasPrefix(b, rule) }), "%s is not broken: %v", rule, l.broken)
				}
			})
		}
	}
}
