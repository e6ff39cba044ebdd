package plan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
)

// cutFleet plays hosts that ask a planner for engines, and the planner's polls. A host that is
// parted from an engine reports after dialLimit that it found no connection, and a poll fails
// after pollLimit. Other answers begin after 30 ms and take 200 ms.
type cutFleet struct {
	*crashingFleet
	parted                  func(now time.Duration, host fleet.HostID, engine int) bool // host is empty for the polls
	requests                int                                                         // that reached an engine
	refused, served, failed map[fleet.HostID]int
}

const (
	dialLimit = 400 * time.Millisecond
	pollLimit = 450 * time.Millisecond
)

// newCutFleet returns a fleet whose requests, and with them their files, are numbered from first on,
// whatever other tests have asked for.
func newCutFleet(t *testing.T, first int, parted func(now time.Duration, host fleet.HostID, engine int) bool) *cutFleet {
	requestCount = first
	c := &cutFleet{
		crashingFleet: newCrashingFleet(t, 1), parted: parted,
		refused: make(map[fleet.HostID]int), served: make(map[fleet.HostID]int), failed: make(map[fleet.HostID]int),
	}
	for i := range c.entries {
		c.after(0, time.Duration(i)*20*time.Millisecond, func(now time.Duration) { c.poll(now, i) })
	}
	for i := range 4 {
		c.entries = append(c.entries, roster.Target{ID: fleet.TargetID(fmt.Sprint("desk", i)), Service: plainService, Address: "10.0.1.1:1", DataCentre: "a", Slots: 8})
	}
	c.plan.SetTargets(at(0), c.entries, nil)
	return c
}

func (c *cutFleet) poll(now time.Duration, engine int) {
	id := c.entries[engine].ID
	if c.parted(now, "", engine) {
		c.after(now, pollLimit, func(now time.Duration) {
			c.plan.RecordFailedPoll(at(now), id)
			c.after(now, 200*time.Millisecond, func(now time.Duration) { c.poll(now, engine) })
		})
		return
	}
	c.after(now, 100*time.Millisecond, func(now time.Duration) {
		if !c.parted(now, "", engine) {
			c.plan.MarkResponsive(at(now), id)
		}
		c.poll(now, engine)
	})
}

func (c *cutFleet) ask(now time.Duration, host fleet.HostID) {
	requestCount++
	req := newRequest(800*time.Millisecond, filePrompt(fmt.Sprint("f", requestCount%100))...)
	req.Host = host
	if decision, ok := c.plan.Submit(at(now), req); ok {
		c.answer(now, decision)
	}
}

func (c *cutFleet) answer(now time.Duration, decision plan.Decision) {
	host := decision.Request.Host
	if decision.Grant == nil {
		c.refused[host]++
		return
	}
	g, engine := decision.Grant, 0
	for i, e := range c.entries {
		if e.ID == g.Target {
			engine = i
		}
	}
	report := func(progress plan.Progress) func(time.Duration) {
		return func(now time.Duration) { c.plan.Report(at(now), plan.Report{Number: g.Number, Progress: progress}) }
	}
	if c.parted(now, host, engine) {
		c.failed[host]++
		c.after(now, dialLimit, report(plan.Unreachable))
		return
	}
	if c.requests++; c.requests%40 == 0 {
		c.after(now, 20*time.Millisecond, report(plan.Failed)) // a fault of the answer
		return
	}
	c.served[host]++
	c.after(now, 30*time.Millisecond, report(plan.Started))
	c.after(now, 230*time.Millisecond, func(now time.Duration) {
		if c.parted(now, host, engine) {
			report(plan.Failed)(now)
			return
		}
		report(plan.Done)(now)
	})
}

// askPlain asks for a target of another service, which all hosts reach.
func (c *cutFleet) askPlain(now time.Duration, host fleet.HostID) {
	requestCount++
	decision, ok := c.plan.Submit(at(now), &plan.Request{
		ID: fleet.RequestID(fmt.Sprint(requestCount)), Host: host, Near: "a", Service: plainService, Objective: second, Deadline: second,
	})
	if ok && decision.Grant != nil {
		c.after(now, 30*time.Millisecond, func(now time.Duration) {
			c.plan.Report(at(now), plan.Report{Number: decision.Grant.Number, Progress: plan.Done})
		})
	}
}

// run plays nine hosts of which each asks every 40 ms, and calls see every 10 ms.
func (c *cutFleet) run(end time.Duration, see func(now time.Duration)) {
	for now := time.Duration(0); now < end; now += 10 * time.Millisecond {
		due := c.events
		c.events = nil
		for _, e := range due {
			if e.at <= now {
				e.do(now)
			} else {
				c.events = append(c.events, e)
			}
		}
		c.probe(now)
		for i := range 9 {
			if now%(40*time.Millisecond) == time.Duration(i%4)*10*time.Millisecond {
				c.ask(now, fleet.HostID(fmt.Sprint("h", i)))
				c.askPlain(now, fleet.HostID(fmt.Sprint("h", i)))
			}
		}
		for _, decision := range c.plan.Tick(at(now)) {
			c.answer(now, decision)
		}
		see(now)
	}
}

// probe answers the planner's probes of engines. A planner that is cut off makes none.
func (c *cutFleet) probe(now time.Duration) {
	for _, probe := range c.plan.DueProbes() {
		engine := slices.IndexFunc(c.entries, func(e roster.Target) bool { return e.ID == probe.Target })
		if c.plan.PollsCutOff() || c.entries[engine].Service != engineService {
			continue
		}
		accepted := !c.parted(now, "", engine)
		c.after(now, 5*time.Millisecond, func(now time.Duration) { c.plan.RecordProbe(at(now), probe.Target, accepted) })
	}
}

func hostIndex(host fleet.HostID) int {
	i := -1
	_, _ = fmt.Sscanf(string(host), "h%d", &i)
	return i
}

// Load pattern: some hosts are parted from all engines for 8 s, and report failures at each engine
// that they are given. The others reach the engines, and so does the planner, or it doesn't. Which engines the
// first failures pause depends on the files that are asked for.
func TestHostThatIsCutOffPausesNoTargetForOthers(t *testing.T) {
	const begin, end = 2 * time.Second, 10 * time.Second
	for name, test := range map[string]struct {
		hosts   int
		planner bool // is cut off as well
	}{
		"one host":                   {1, false},
		"half of the hosts":          {4, false},
		"one host and the planner":   {1, true},
		"the planner alone":          {0, true},
		"most hosts and the planner": {7, true},
	} {
		t.Run(name, func(t *testing.T) {
			for first := 0; first < 100; first += 5 {
				c := newCutFleet(t, first, func(now time.Duration, host fleet.HostID, _ int) bool {
					return now >= begin && now < end && (host == "" && test.planner || host != "" && hostIndex(host) < test.hosts)
				})
				least, most := 18, 18
				c.run(end+2*time.Second, func(now time.Duration) {
					usable := c.plan.UsableTargets(at(now), engineService)
					switch {
					case now > begin+pollLimit+250*time.Millisecond && now < end:
						least = min(least, usable)
					case now > end+1500*time.Millisecond:
						most = min(most, usable)
					}
				})
				require.GreaterOrEqual(t, least, 15, "usable engines while the hosts are cut off, requests from %d on", first)
				require.Equal(t, 18, most, "usable engines afterwards, requests from %d on", first)
				require.Zero(t, c.plan.Stats().Crashes)
				for host, n := range c.refused {
					require.Less(t, n, 25, "host %s, requests from %d on", host, first)
				}
			}
		})
	}
}

// Load pattern: engines end for good, some of them or all, and each host fails at them.
func TestDeadEnginesAreExcludedForAllHosts(t *testing.T) {
	const begin = 2 * time.Second
	for _, dead := range []int{1, 6, 16, 18} {
		t.Run(fmt.Sprint(dead), func(t *testing.T) {
			c := newCutFleet(t, 0, func(now time.Duration, _ fleet.HostID, engine int) bool { return now >= begin && engine < dead })
			excludedAt := time.Duration(0)
			c.run(8*time.Second, func(now time.Duration) {
				usable := c.plan.UsableTargets(at(now), engineService)
				if usable <= 18-dead && excludedAt == 0 {
					excludedAt = now
				}
				if excludedAt > 0 {
					require.LessOrEqual(t, usable, 18-dead, "at %v", now)
				}
				if now == begin+time.Second {
					c.failed = make(map[fleet.HostID]int)
				}
			})
			require.Positive(t, excludedAt)
			require.LessOrEqual(t, excludedAt, begin+pollLimit+110*time.Millisecond)
			require.False(t, c.plan.PollsCutOff())
			for host, n := range c.failed {
				require.LessOrEqual(t, n, 6, "requests of host %s that were sent to dead engines later than a second after the end", host)
			}
		})
	}
}

// Load pattern: a host that is cut off begins to plan. Its polls are refused at once, and it knows nothing of what
// its predecessor granted. Five of nine hosts are cut off.
func TestNewPlannerThatIsCutOffFindsHostsInTouch(t *testing.T) {
	const end = 6 * time.Second
	c := newCutFleet(t, 0, func(_ time.Duration, host fleet.HostID, _ int) bool { return host == "" || hostIndex(host) < 5 })
	for _, e := range c.entries {
		c.plan.RecordFailedPoll(at(0), e.ID)
	}
	least := 18
	c.run(end, func(now time.Duration) {
		if now > time.Second {
			least = min(least, c.plan.UsableTargets(at(now), engineService))
		}
	})
	require.GreaterOrEqual(t, least, 15)
	require.True(t, c.plan.PollsCutOff())
	inTouch := c.plan.InTouch()
	require.NotEmpty(t, inTouch)
	for host := range inTouch {
		require.GreaterOrEqual(t, hostIndex(host), 5, "host %s", host)
	}
}
