package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
)

// brittleFleet plays callers, hosts and brittle targets against planners. A target runs as
// many requests as it has slots, lets some wait and turns the others away. While it is brittle
// it lets none wait, and falls over once it has turned too many away within a second; it comes
// back as a new life.
type brittleFleet struct {
	t          *testing.T
	random     *rand.Rand
	service    route.ServiceID
	targets    []*brittleTarget
	hosts      [9]intake.Ledger
	planner    *plan.Fleet
	deputy     *plan.Fleet // of the hosts with an odd number; nil if all ask the planner
	rejections int         // that targets name; negative while they are not brittle
	since      time.Duration
	events     []timedEvent
	falls      int
	done       []time.Duration // when requests were served to their end
	turnedAway int
	refusals   []plan.Decision
	longer     int // how many times as long requests run as usual
}

type brittleTarget struct {
	entry      roster.Target
	down       bool
	running    int
	waiting    []func(now time.Duration)
	rejections []time.Duration
	keeps      bool // goes on with a request whose caller has gone
}

const (
	brittleSlots   = 4
	brittleRunTime = 700 * time.Millisecond // on average
)

func newBrittleFleet(t *testing.T, service route.ServiceID, targets int, seed uint64) *brittleFleet {
	b := &brittleFleet{t: t, random: rand.New(rand.NewPCG(seed, 49)), service: service, rejections: -1, longer: 1}
	for i := range targets {
		entry := roster.Target{
			ID: fleet.TargetID(fmt.Sprint("b", i)), Service: service, Address: fleet.Address(fmt.Sprintf("10.0.%d.1:1", i)), DataCentre: "a",
			Slots: brittleSlots, StartTime: time.Unix(1, 0),
		}
		if service == engineService {
			entry.Models = []roster.Model{{ID: model, Version: 1}}
		}
		b.targets = append(b.targets, &brittleTarget{entry: entry, keeps: i%2 == 0})
	}
	b.planner = newFleet(t, b.entries())
	return b
}

func (b *brittleFleet) entries() []roster.Target {
	var entries []roster.Target
	for _, t := range b.targets {
		entries = append(entries, t.entry)
	}
	return entries
}

// capacity returns the requests per second that all targets can serve.
func (b *brittleFleet) capacity() float64 {
	return float64(len(b.targets)*brittleSlots) / (time.Duration(b.longer) * brittleRunTime).Seconds()
}

// fleets returns the planner and, if there is one, the deputy.
func (b *brittleFleet) fleets() []*plan.Fleet {
	if b.deputy == nil {
		return []*plan.Fleet{b.planner}
	}
	return []*plan.Fleet{b.planner, b.deputy}
}

// succeed replaces the planner by one that has granted nothing and was told nothing.
func (b *brittleFleet) succeed(now time.Duration) {
	b.planner = newFleet(b.t, b.entries())
	b.planner.BeginTenure(at(now), 1<<40)
}

func (b *brittleFleet) startDeputy(now time.Duration) {
	b.deputy = newFleet(b.t, b.entries())
	b.deputy.Deputy, b.deputy.StoresAllowed = true, false
	b.deputy.BeginTenure(at(now), 1<<41)
}

func (b *brittleFleet) after(now, delay time.Duration, do func(now time.Duration)) {
	b.events = append(b.events, timedEvent{now + delay, do})
}

func (b *brittleFleet) delay(from, to int) time.Duration {
	return time.Duration(from+b.random.IntN(to-from)) * time.Millisecond
}

// run plays requests for a time, perSecond of them each second.
func (b *brittleFleet) run(from, to time.Duration, perSecond float64) {
	const step = 5 * time.Millisecond
	due := 0.0
	for now := from; now < to; now += step {
		events := b.events
		b.events = nil
		for _, e := range events {
			if e.at <= now {
				e.do(now)
			} else {
				b.events = append(b.events, e)
			}
		}
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			b.submit(now)
		}
		for _, f := range b.fleets() {
			for _, decision := range f.Tick(at(now)) {
				b.decide(now, f, decision)
			}
		}
	}
}

func (b *brittleFleet) startTime(id fleet.TargetID) (time.Time, bool) {
	return b.target(id).entry.StartTime, true
}

func (b *brittleFleet) target(id fleet.TargetID) *brittleTarget {
	var i int
	_, err := fmt.Sscanf(string(id), "b%d", &i)
	require.NoError(b.t, err)
	return b.targets[i]
}

func (b *brittleFleet) submit(now time.Duration) {
	h := b.random.IntN(len(b.hosts))
	var req *plan.Request
	if b.service == engineService {
		req = newRequest(time.Second, filePrompt(fmt.Sprint("file", b.random.IntN(12)))...)
	} else {
		requestCount++
		req = &plan.Request{ID: fleet.RequestID(fmt.Sprint(requestCount)), Near: "a", Service: b.service, Objective: time.Second, Deadline: 10 * time.Second}
	}
	req.Host = fleet.HostID(fmt.Sprint(h))
	req.Known = b.hosts[h].Known(at(now), b.service, b.startTime)
	f := b.planner
	if b.deputy != nil && h%2 == 1 {
		f = b.deputy
	}
	if decision, ok := f.Submit(at(now), req); ok {
		b.decide(now, f, decision)
	}
}

func (b *brittleFleet) decide(now time.Duration, f *plan.Fleet, decision plan.Decision) {
	if decision.Refusal != nil {
		b.refusals = append(b.refusals, decision)
		return
	}
	var h int
	_, err := fmt.Sscan(string(decision.Request.Host), &h)
	require.NoError(b.t, err)
	g, ledger := decision.Grant, &b.hosts[h]
	b.after(now, b.delay(2, 30), func(now time.Duration) { b.arrive(now, f, g, ledger) })
}

func (b *brittleFleet) report(now time.Duration, f *plan.Fleet, g *plan.Grant, progress plan.Progress) {
	b.after(now, b.delay(2, 20), func(now time.Duration) {
		f.Report(at(now), plan.Report{Number: g.Number, Progress: progress})
	})
}

// observe plays the header of an answer at its host.
func (b *brittleFleet) observe(now time.Duration, f *plan.Fleet, g *plan.Grant, ledger *intake.Ledger) {
	notice := intake.Notice{Brittle: intake.Brittle{Named: b.rejections >= 0, Rejections: max(0, b.rejections)}}
	before := ledger.Observe(at(now), intake.Life{Target: g.Target, Service: b.service, StartTime: b.target(g.Target).entry.StartTime}, notice)
	if notice.Brittle.Named || before.Brittle.Named || g.Limited {
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Answered, Notice: notice})
	}
}

// arrive plays a request at its target.
func (b *brittleFleet) arrive(now time.Duration, f *plan.Fleet, g *plan.Grant, ledger *intake.Ledger) {
	const stableWindow, usualRoom = 3 * time.Second, 4
	t := b.target(g.Target)
	if t.down {
		b.report(now, f, g, plan.Unreachable)
		return
	}
	born := t.entry.StartTime
	alive := func() bool { return !t.down && t.entry.StartTime.Equal(born) }
	start := func(now time.Duration) {
		t.running++
		ended, dropped := false, false
		end := func(now time.Duration) {
			if ended || !alive() {
				return
			}
			ended = true
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next(now)
			}
		}
		b.after(now, b.delay(30, 150), func(now time.Duration) {
			if !alive() {
				b.report(now, f, g, plan.Failed)
				return
			}
			b.observe(now, f, g, ledger)
			b.report(now, f, g, plan.Started)
			if b.random.IntN(20) == 0 { // the caller goes
				dropped = true
				b.report(now, f, g, plan.Abandoned)
				if !t.keeps {
					b.after(now, b.delay(10, 50), end)
				}
			}
		})
		b.after(now, b.delay(200*b.longer, 1200*b.longer), func(now time.Duration) {
			if !dropped && alive() {
				b.report(now, f, g, plan.Done)
				b.done = append(b.done, now)
			} else if !dropped {
				b.report(now, f, g, plan.Failed)
			}
			end(now)
		})
	}
	room := usualRoom
	if b.rejections >= 0 && now >= b.since+stableWindow {
		room = 0
	}
	switch {
	case t.running < brittleSlots:
		start(now)
	case len(t.waiting) < room:
		t.waiting = append(t.waiting, start)
	default:
		b.turnAway(now, t)
		b.turnedAway++
		b.after(now, b.delay(2, 15), func(now time.Duration) {
			b.observe(now, f, g, ledger)
			f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Rejected})
		})
	}
}

// turnAway counts a rejection, under which a brittle target may fall over.
func (b *brittleFleet) turnAway(now time.Duration, t *brittleTarget) {
	const timeAway = 3 * time.Second
	for len(t.rejections) > 0 && t.rejections[0] < now-time.Second {
		t.rejections = t.rejections[1:]
	}
	t.rejections = append(t.rejections, now)
	if b.rejections < 0 || len(t.rejections) <= b.rejections {
		return
	}
	b.falls++
	t.down, t.running, t.waiting, t.rejections = true, 0, nil, nil
	b.after(now, 50*time.Millisecond, func(now time.Duration) {
		for _, f := range b.fleets() {
			if b.service == engineService {
				f.MarkUnresponsive(at(now), t.entry.ID)
			}
		}
	})
	b.after(now, timeAway, func(now time.Duration) {
		t.down, t.entry.StartTime = false, t.entry.StartTime.Add(timeAway)
		for _, f := range b.fleets() {
			f.SetTargets(at(now), b.entries(), nil)
			f.MarkResponsive(at(now), t.entry.ID)
		}
	})
}

// served returns how many requests were served to their end in a time, as a share of what the
// targets can serve.
func (b *brittleFleet) served(from, to time.Duration) float64 {
	n := 0
	for _, at := range b.done {
		if at >= from && at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds() / b.capacity()
}

// Load pattern: callers send twice what a service can serve while its targets are brittle.
// Engines and plain targets, few and many of them, withstand few rejections or none. Some
// callers go, and some targets don't notice. Planners change, and a deputy decides for half of
// the hosts. What has room is served all the same, but for the time that a successor needs to
// learn what its predecessor has sent.
func TestBrittleTargetsDoNotFallOver(t *testing.T) {
	const begin, change, end = 3 * time.Second, 7 * time.Second, 11 * time.Second
	for name, c := range map[string]struct {
		change func(b *brittleFleet, now time.Duration)
		served float64 // after the change, at least
	}{
		"one planner": {func(*brittleFleet, time.Duration) {}, 0.75},
		"successor":   {func(b *brittleFleet, now time.Duration) { b.succeed(now) }, 0.35},
		"deputy":      {func(b *brittleFleet, now time.Duration) { b.startDeputy(now) }, 0.65},
	} {
		for _, service := range []route.ServiceID{engineService, plainService} {
			for targets, seeds := range map[int]uint64{3: 10, 18: 3, 90: 1} {
				for _, rejections := range []int{0, 1, 3, 12} {
					if targets == 90 && rejections > 0 && rejections < 12 {
						continue // the extremes show it, in less time
					}
					t.Run(fmt.Sprint(name, " ", service, " ", targets, " ", rejections), func(t *testing.T) {
						before, after := 0.0, 0.0
						for seed := range seeds {
							b := newBrittleFleet(t, service, targets, seed)
							load := 2 * b.capacity()
							b.run(0, begin, load)
							b.since, b.rejections = begin, rejections
							b.run(begin, change, load)
							c.change(b, change)
							b.run(change, end, load)
							require.LessOrEqual(t, 10*b.falls, 20+targets, "%d falls, seed %d", b.falls, seed)
							for _, r := range b.refusals {
								require.Equal(t, fleet.OutcomeNotRun, r.Refusal.Outcome)
								require.Positive(t, r.Refusal.RetryAfter)
							}
							before, after = before+b.served(begin, change), after+b.served(change, end)
						}
						require.Greater(t, before/float64(seeds), 0.8, "served share of what has room, before the change")
						require.Greater(t, after/float64(seeds), c.served, "after it")
					})
				}
			}
		}
	}
}

// Load pattern: targets are brittle for some seconds and take all again, as their answers say.
func TestBrittleTimeEndsWithTheAnswersThatNameIt(t *testing.T) {
	b := newBrittleFleet(t, plainService, 3, 1)
	b.run(0, 2*time.Second, 2*b.capacity())
	b.since, b.rejections = 2*time.Second, 1
	b.run(2*time.Second, 6*time.Second, 2*b.capacity())
	b.rejections = -1
	b.run(6*time.Second, 8*time.Second, 2*b.capacity())
	waiting := 0
	for _, t := range b.targets {
		waiting += len(t.waiting)
	}
	require.Positive(t, waiting, "targets get what waits there, as usual")
}

// Load pattern: one engine has said that it is brittle, to one host. All engines of the service
// are, so the others get no more than they can run either, and no prompt that exceeds their memory.
func TestOneAnswerMakesAllTargetsOfItsServiceBrittle(t *testing.T) {
	entries := newBrittleFleet(t, plainService, 3, 1).entries()
	f := newFleet(t, entries)
	submit := func(known ...intake.Known) *plan.Grant {
		requestCount++
		decision, _ := f.Submit(at(second), &plan.Request{
			ID: fleet.RequestID(fmt.Sprint(requestCount)), Host: "h", Near: "a", Service: plainService, Objective: second, Deadline: second, Known: known,
		})
		return decision.Grant
	}
	require.NotNil(t, submit(intake.Known{Target: "b0", Brittle: intake.Brittle{Named: true, Rejections: 2}}))
	for range 3*brittleSlots - 1 {
		g := submit()
		require.NotNil(t, g)
		require.True(t, g.Limited, "its answer tells whether it is brittle")
	}
	require.Nil(t, submit(), "all slots are taken")
	f = newFleet(t, engines(1))
	req := newRequest(second, filePrompt("a")...)
	req.Known = []intake.Known{{Target: engineID(0), Brittle: intake.Brittle{Named: true}}}
	req.Prompt.Output = 200_000
	_, ok := f.Submit(at(second), req)
	require.False(t, ok, "it would be turned away at any time")
}

// TestBrittleTargetOfUnknownService guards against a planner that ends: the entry of a brittle target came to name
// a service that is not configured, and then a request was reported as turned away there.
func TestBrittleTargetOfUnknownService(t *testing.T) {
	entries := newBrittleFleet(t, plainService, 1, 1).entries()
	entries[0].Slots = 0 // as many as the service says
	f := newFleet(t, entries)
	requestCount++
	decision, _ := f.Submit(at(second), &plan.Request{
		ID: fleet.RequestID(fmt.Sprint(requestCount)), Host: "h", Near: "a", Service: plainService, Objective: second, Deadline: second,
	})
	require.NotNil(t, decision.Grant)
	entries[0].Service = "unknown"
	f.SetTargets(at(2*second), entries, nil)
	f.Report(at(2*second), plan.Report{Number: decision.Grant.Number, Progress: plan.Answered, Notice: intake.Notice{Brittle: intake.Brittle{Named: true}}})
	f.Report(at(2*second), plan.Report{Number: decision.Grant.Number, Progress: plan.Rejected})
	require.Zero(t, f.UsableTargets(at(2*second), plainService))
}

// Load pattern: callers send twice what a service can serve, requests run for some seconds, some callers go, and
// some targets don't notice. The targets withstand no rejection, so that none tells of the requests that run on.
func TestRequestsThatRunOnAreNoRoomAtTargetsThatWithstandNoRejection(t *testing.T) {
	const begin, change, end = 6 * time.Second, 12 * time.Second, 24 * time.Second
	for _, service := range []route.ServiceID{engineService, plainService} {
		for _, deputy := range []bool{false, true} {
			t.Run(fmt.Sprint(service, ", deputy ", deputy), func(t *testing.T) {
				served := 0.0
				for seed := range uint64(3) {
					b := newBrittleFleet(t, service, 18, seed)
					b.longer = 5
					load := 2 * b.capacity()
					b.run(0, begin, load)
					b.since, b.rejections = begin, 0
					b.run(begin, change, load)
					if deputy {
						b.startDeputy(change)
					}
					b.run(change, end, load)
					require.LessOrEqual(t, 10*b.falls, 20+len(b.targets), "%d falls, seed %d", b.falls, seed)
					served += b.served(change, end) / 3
				}
				require.Greater(t, served, 0.7, "served share of what has room")
			})
		}
	}
}
