package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/roster"
)

// stableWindow is the time after which a fleet must have learnt from what it saw.
const stableWindow = 3 * second

// crashingFleet plays callers and engines against a plan. An engine crashes a moment
// after it begins to write an answer to a prompt with a bad part. All its answers then
// end early, it stops to answer the planner and refuses connections, its entry goes three
// heartbeats later, and another engine starts at its address.
type crashingFleet struct {
	t       *testing.T
	random  *rand.Rand
	plan    *plan.Fleet
	entries []roster.Target
	started int // engines so far
	events  []timedEvent
	running map[fleet.TargetID]map[*run]bool
	ended   map[fleet.TargetID]bool // engines that refuse connections
	bad     map[prompt.PartID]*badPart
	sound   []soundRequest
}

type timedEvent struct {
	at time.Duration
	do func(now time.Duration)
}

type run struct {
	grant *plan.Grant
	ended bool
}

// badPart counts the engines that ended under a part, and when requests with it reached
// engines.
type badPart struct {
	crashes []time.Duration
	sent    []time.Duration
}

type soundRequest struct {
	at     time.Duration
	served bool
}

func newCrashingFleet(t *testing.T, seed uint64) *crashingFleet {
	c := &crashingFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 25)), running: make(map[fleet.TargetID]map[*run]bool), ended: make(map[fleet.TargetID]bool),
		bad: make(map[prompt.PartID]*badPart),
	}
	for range 18 {
		c.start(fleet.Address(fmt.Sprintf("10.0.0.%d:1", c.started)), 0)
	}
	c.plan = newFleet(t, c.entries)
	return c
}

func (c *crashingFleet) start(address fleet.Address, coldFor time.Duration) {
	c.started++
	c.entries = append(c.entries, roster.Target{
		ID: fleet.TargetID(fmt.Sprint("i", c.started)), Service: engineService, Address: address, DataCentre: "a", ColdFor: coldFor,
		Models: []roster.Model{{ID: model, Version: 1}},
	})
}

func (c *crashingFleet) after(now, delay time.Duration, do func(now time.Duration)) {
	c.events = append(c.events, timedEvent{now + delay, do})
}

// between returns a random time in an interval.
func (c *crashingFleet) between(least, most time.Duration) time.Duration {
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// play advances the time in steps of a tick. Arrive submits the requests of a step.
func (c *crashingFleet) play(end time.Duration, arrive func(now time.Duration)) {
	const step = 10 * time.Millisecond
	for now := time.Duration(0); now < end; now += step {
		due := c.events
		c.events = nil
		for _, e := range due {
			if e.at <= now {
				e.do(now)
			} else {
				c.events = append(c.events, e)
			}
		}
		for _, probe := range c.plan.DueProbes() {
			c.after(now, 5*time.Millisecond, func(now time.Duration) { c.plan.RecordProbe(at(now), probe.Target, !c.ended[probe.Target]) })
		}
		arrive(now)
		for _, decision := range c.plan.Tick(at(now)) {
			c.decided(now, decision)
		}
	}
}

// submit submits a request with the given shared parts.
func (c *crashingFleet) submit(now time.Duration, shared ...prompt.Part) {
	requestCount++
	own := fmt.Sprint("own", requestCount)
	c.submitAs(now, quarantine.Fingerprint(own), append(shared, prompt.Part{ID: prompt.PartID(own), Tokens: 177})...)
}

// submitAs submits a request with a fingerprint and all parts of its prompt.
func (c *crashingFleet) submitAs(now time.Duration, fingerprint quarantine.Fingerprint, parts ...prompt.Part) {
	req := newRequest(800*time.Millisecond, parts...)
	req.Fingerprint = fingerprint
	if decision, ok := c.plan.Submit(at(now), req); ok {
		c.decided(now, decision)
	}
}

func (c *crashingFleet) decided(now time.Duration, decision plan.Decision) {
	var bad []*badPart
	for _, part := range decision.Request.Prompt.Parts {
		if b, ok := c.bad[part.ID]; ok {
			bad = append(bad, b)
		}
	}
	if len(bad) == 0 {
		c.sound = append(c.sound, soundRequest{at: now})
	}
	if decision.Grant == nil {
		return
	}
	r, number := &run{grant: decision.Grant}, len(c.sound)-1
	id := r.grant.Target
	if c.ended[id] {
		c.after(now, 10*time.Millisecond, func(now time.Duration) {
			c.plan.Report(at(now), plan.Report{Number: r.grant.Number, Progress: plan.Unreachable})
		})
		return
	}
	if c.running[id] == nil {
		c.running[id] = make(map[*run]bool)
	}
	c.running[id][r] = true
	for _, b := range bad {
		b.sent = append(b.sent, now)
	}
	c.after(now, c.between(20*time.Millisecond, 100*time.Millisecond), func(now time.Duration) {
		switch {
		case r.ended:
		case len(bad) > 0:
			c.after(now, 60*time.Millisecond, func(now time.Duration) { c.crash(now, r, bad) })
		default:
			c.plan.Report(at(now), plan.Report{Number: r.grant.Number, Progress: plan.Started})
			c.after(now, c.between(300*time.Millisecond, 1500*time.Millisecond), func(now time.Duration) {
				if !r.ended {
					c.sound[number].served = true
					c.end(now, r, plan.Done)
				}
			})
		}
	})
}

func (c *crashingFleet) end(now time.Duration, r *run, progress plan.Progress) {
	r.ended = true
	delete(c.running[r.grant.Target], r)
	c.plan.Report(at(now), plan.Report{Number: r.grant.Number, Progress: progress})
}

// crash ends the engine of a run.
func (c *crashingFleet) crash(now time.Duration, r *run, bad []*badPart) {
	if r.ended {
		return // the engine has crashed before
	}
	for _, b := range bad {
		b.crashes = append(b.crashes, now)
	}
	c.endEngine(now, r.grant.Target)
}

// endEngine ends an engine and starts another one at its address. The planner learns of
// the end from its own poll and from the hosts, in any order.
func (c *crashingFleet) endEngine(now time.Duration, id fleet.TargetID) {
	c.ended[id] = true
	for r := range c.running[id] {
		r.ended = true
		c.after(now, c.between(0, 40*time.Millisecond), func(now time.Duration) { c.end(now, r, plan.Failed) })
	}
	c.after(now, c.between(0, 40*time.Millisecond), func(now time.Duration) { c.plan.RecordFailedPoll(at(now), id) })
	var address fleet.Address
	for _, entry := range c.entries {
		if entry.ID == id {
			address = entry.Address
		}
	}
	c.after(now, 3*second, func(now time.Duration) {
		c.start(address, 3*second)
		c.plan.SetTargets(at(now), c.entries, nil)
	})
	c.after(now, 3600*time.Millisecond, func(now time.Duration) {
		for i, entry := range c.entries {
			if entry.ID == id {
				c.entries = append(c.entries[:i:i], c.entries[i+1:]...)
				break
			}
		}
		c.plan.SetTargets(at(now), c.entries, nil)
	})
}

// share returns the share of the sound requests of an interval that were served.
func (c *crashingFleet) share(from, until time.Duration) float64 {
	served, all := 0.0, 0.0
	for _, s := range c.sound {
		if s.at >= from && s.at < until {
			all++
			if s.served {
				served++
			}
		}
	}
	return served / all
}

// system and file return the two shared parts of a sound prompt.
func (c *crashingFleet) system() prompt.Part {
	return prompt.Part{ID: prompt.PartID(fmt.Sprint("system", c.random.IntN(10))), Tokens: 150}
}

func (c *crashingFleet) file() prompt.Part {
	return prompt.Part{ID: prompt.PartID(fmt.Sprint("file", c.random.IntN(60))), Tokens: 500}
}

// TestPartThatCrashesEnginesIsWithheld guards against second1: requests with one part in
// their prompts crashed engine after engine.
//
// Load pattern: 100 sound requests/s of ten workspaces, and from 8 s on three requests/s
// with a part that crashes the engine, in place of the first or the second shared part.
func TestPartThatCrashesEnginesIsWithheld(t *testing.T) {
	const (
		begin = 8 * second
		end   = 60 * second
	)
	for position, name := range []string{"first part", "second part"} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				c := newCrashingFleet(t, seed)
				bad := &badPart{}
				c.bad["bad"] = bad
				c.play(end, func(now time.Duration) {
					c.submit(now, c.system(), c.file())
					if now >= begin && c.random.Float64() < 0.03 {
						parts := []prompt.Part{c.system(), c.file()}
						parts[position].ID = "bad"
						c.submit(now, parts...)
					}
				})
				require.GreaterOrEqual(t, len(bad.crashes), 1)
				if len(bad.crashes) >= 5 {
					late := 0
					for _, sent := range bad.sent {
						if sent > bad.crashes[4]+stableWindow {
							late++
						}
					}
					require.LessOrEqual(t, late, 3, "seed %d: requests with the part were sent on, and %d engines ended", seed, len(bad.crashes))
				}
				learnt := bad.crashes[min(4, len(bad.crashes)-1)] + 2*stableWindow
				require.GreaterOrEqual(t, c.share(learnt, end-3*second), c.share(0, begin)/2, "seed %d: sound requests", seed)
			}
		})
	}
}

// TestPromptThatComesAgainIsWithheld guards against inc1 at engines: one request came again
// unchanged, and all of its shared parts are those of sound requests.
//
// Load pattern: 100 sound requests/s, and from 8 s on one request three times a second that
// crashes the engine. Its last part is its own.
func TestPromptThatComesAgainIsWithheld(t *testing.T) {
	const (
		begin = 8 * second
		end   = 60 * second
	)
	for seed := range uint64(10) {
		c := newCrashingFleet(t, seed)
		bad := &badPart{}
		c.bad["bad own"] = bad
		system, file := c.system(), c.file()
		c.play(end, func(now time.Duration) {
			c.submit(now, c.system(), c.file())
			if now >= begin && c.random.Float64() < 0.03 {
				c.submitAs(now, badRequest, system, file, prompt.Part{ID: "bad own", Tokens: 177})
			}
		})
		require.GreaterOrEqual(t, len(bad.crashes), 3)
		late := 0
		for _, sent := range bad.sent {
			if sent > bad.crashes[2]+stableWindow {
				late++
			}
		}
		require.LessOrEqual(t, late, 3, "seed %d: %d engines ended", seed, len(bad.crashes))
		learnt := bad.crashes[2] + 2*stableWindow
		require.GreaterOrEqual(t, c.share(learnt, end-3*second), c.share(0, begin)*0.9, "seed %d: sound requests", seed)
	}
}

// Load pattern: a rack of engines ends every four seconds, three times in a row, without a
// bad part. No sound request may be withheld for it.
func TestCrashesTogetherWithholdNoPart(t *testing.T) {
	const end = 20 * second
	for seed := range uint64(10) {
		c := newCrashingFleet(t, seed)
		c.play(end, func(now time.Duration) {
			c.submit(now, c.system(), c.file())
			if now > 0 && now <= 12*second && now%(4*second) == 0 {
				for _, entry := range append([]roster.Target(nil), c.entries...)[:5] {
					c.endEngine(now, entry.ID)
				}
			}
		})
		require.Greater(t, c.share(17*second, end-2*second), 0.98, "seed %d", seed)
	}
}

// Load pattern: all engines of a service crash within seconds, at the start of answers, so
// that no answer is complete until they are back. All prompts share their first part.
func TestCrashOfAllEnginesWithholdsNoPart(t *testing.T) {
	for seed := range uint64(10) {
		c := newCrashingFleet(t, seed)
		c.play(12*second, func(now time.Duration) {
			c.submit(now, prompt.Part{ID: "system", Tokens: 150}, c.file())
			if now < 2*second || now >= 2*second+5400*time.Millisecond || now%(300*time.Millisecond) != 0 {
				return
			}
			crashed := fleet.TargetID(fmt.Sprint("i", 1+int((now-2*second)/(300*time.Millisecond))))
			for id, runs := range c.running {
				for r := range runs {
					if id != crashed {
						c.end(now, r, plan.Abandoned) // its caller leaves
					}
				}
			}
			c.endEngine(now, crashed)
		})
		require.Zero(t, c.plan.Stats().Withheld, "seed %d", seed)
	}
}

// Load pattern: an engine crashes again and again while it writes long answers. What a request
// asks for shows when its answer begins, so one that was under way for long is no suspect.
func TestAnswerUnderWayForLongIsNotChargedWithCrash(t *testing.T) {
	f := newFleet(t, []roster.Target{{ID: "i", Service: engineService, Address: "10.0.0.1:1", DataCentre: "a", Models: []roster.Model{{ID: model, Version: 1}}}})
	serve := func(now time.Duration, part string) {
		g := mustGrant(t, f, at(now), newRequest(second, filePrompt(part)...))
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Done})
	}
	for i := range 5 {
		now := time.Duration(i) * 10 * second
		for n := range 10 {
			serve(now, fmt.Sprint("other", n))
		}
		g := mustGrant(t, f, at(now), newRequest(second, filePrompt("long")...))
		f.Report(at(now+50*time.Millisecond), plan.Report{Number: g.Number, Progress: plan.Started})
		now += second
		f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Failed})
		f.MarkUnresponsive(at(now), "i")
		require.Len(t, f.DueProbes(), 1)
		f.RecordProbe(at(now), "i", false)
		f.Tick(at(now + second))
		f.MarkResponsive(at(now+second), "i")
	}
	require.Equal(t, uint64(5), uint64(f.Stats().Crashes))
	require.Empty(t, f.Quarantine())
}

// Load pattern: the time of a part's next trial comes while hosts can't reach the planner.
// Each of several deputies would end an engine with a trial of its own.
func TestDeputyStartsNoTrialOfWithheldPart(t *testing.T) {
	list := quarantine.List{{Part: "bad", Crashes: 3}}
	for _, deputy := range []bool{true, false} {
		f := newFleet(t, []roster.Target{{ID: "i", Service: engineService, Address: "10.0.0.1:1", DataCentre: "a", Models: []roster.Model{{ID: model, Version: 1}}}})
		f.Deputy = deputy
		f.RestoreQuarantine(at(0), list)
		decision, ok := f.Submit(at(quarantine.FirstTrial+second), newRequest(second, filePrompt("bad")...))
		require.True(t, ok)
		if !deputy {
			require.NotNil(t, decision.Grant, "the planner's trial is due")
			continue
		}
		require.NotNil(t, decision.Refusal)
		require.Equal(t, fleet.ReasonWithheld, decision.Refusal.Reason)
	}
}
