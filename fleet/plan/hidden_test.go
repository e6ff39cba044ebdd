package plan_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/weightupdate"
)

// queuedRun is a request that waits at a queueEngine.
type queuedRun struct {
	by    *plan.Fleet
	host  fleet.HostID
	grant *plan.Grant
	rank  int
	took  time.Duration // to read it
}

// A queueEngine reads the most urgent request that it holds first, one at a time, and drops none.
type queueEngine struct {
	waiting []queuedRun
	reading *queuedRun
	ready   time.Duration // when it has read that
	latest  time.Duration // start of a run
}

// run lets the engine work until the instant, and reports each start to who has granted it.
func (e *queueEngine) run(until time.Duration) {
	for {
		if e.reading != nil {
			if e.ready > until {
				return
			}
			e.latest = e.ready
			reportDone(e.reading.by, at(e.ready), e.reading.grant)
			e.reading = nil
		}
		if len(e.waiting) == 0 {
			e.ready = max(e.ready, until)
			return
		}
		slices.SortStableFunc(e.waiting, func(a, b queuedRun) int { return cmp.Compare(a.rank, b.rank) })
		next := e.waiting[0]
		e.reading, e.waiting, e.ready = &next, e.waiting[1:], e.ready+next.took
	}
}

// held returns what the host reports to the chooser of the engine.
func (e *queueEngine) held(host fleet.HostID, chooser *plan.Fleet) []plan.Waiting {
	w := plan.Waiting{}
	add := func(r *queuedRun) {
		if r.host == host && r.by != chooser {
			w.Target, w.Tokens = r.grant.Target, w.Tokens+r.grant.Read
		}
	}
	for i := range e.waiting {
		add(&e.waiting[i])
	}
	if e.reading != nil {
		add(e.reading)
	}
	if w.Tokens == 0 {
		return nil
	}
	return []plan.Waiting{w}
}

// TestEngineWithUnknownQueueStartsNothingLateOnOldWeights guards against hosts that expect runs to start too
// early, since they do not know what others have sent to the engine.
//
// Load pattern: new weights are announced, and the only engine does not get them. Two prompts arrive in the time
// in which it reads one. From some moment on another host decides on them: the next planner, a deputy instead of
// the planner, or one beside it. That moment brings a burst.
func TestEngineWithUnknownQueueStartsNothingLateOnOldWeights(t *testing.T) {
	const (
		callers   = 8  // hosts
		burst     = 30 // requests when the other host begins
		tokens    = 3_000
		readTime  = 50 * time.Millisecond // at the pace that the plan assumes
		objective = 800 * time.Millisecond
	)
	for _, test := range []struct {
		name         string
		deputy, both bool
		ranks        []int
		reports      bool // hosts tell what waits at the engine
	}{
		{"next planner", false, false, []int{0}, false},
		{"next planner, ranks", false, false, []int{0, 0, 2}, false},
		{"next planner, hosts report", false, false, []int{0, 0, 2}, true},
		{"deputy", true, false, []int{0}, false},
		{"deputy, hosts report", true, false, []int{0, 0, 2}, true},
		{"deputy beside the planner", true, true, []int{0}, false},
		{"deputy beside the planner, ranks", true, true, []int{0, 2, 0, 1}, false},
		{"deputy beside the planner, hosts report", true, true, []int{0, 2, 0, 1}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := route.NewTable(route.Config{Number: 1, Services: services(), Routes: []route.Route{{
				Prefix: "/", Rank: slices.Max(test.ranks), LatencyObjective: objective, Splits: []route.Split{{Service: engineService, Weight: 1}},
			}}})
			for changed := -second; changed < 5*second; changed += 250 * time.Millisecond {
				announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0))
				var hosts [2]*plan.Fleet
				for i := range hosts {
					f := newFleet(t, engines(1)) // with a bound of 6 s
					f.SetConfiguration(at(-time.Minute), table)
					if test.reports {
						f.Hosts = callers
					}
					hosts[i] = f
				}
				begin := changed - 3*second
				engine := queueEngine{ready: begin}
				granted := 0
				for i := range 400 {
					now := begin + time.Duration(i)*readTime/2
					engine.run(now)
					if now == max(0, begin) {
						for _, f := range hosts {
							f.SetWeights(model, announced)
						}
					}
					chooser, arrive := hosts[0], 1
					if now >= changed && (!test.both || i%2 > 0) {
						chooser = hosts[1]
					}
					if now == changed {
						hosts[1].Deputy = test.deputy
						hosts[1].BeginTenure(at(now), 1<<40)
						arrive = burst
					}
					for range arrive {
						requestCount++
						req := newRequest(objective, prompt.Part{ID: prompt.PartID(newStream().ID), Tokens: tokens})
						req.Rank = test.ranks[requestCount%len(test.ranks)]
						caller := requestCount % callers
						if test.both && now >= changed {
							caller = i%2*callers/2 + requestCount%(callers/2) // asks one of both
						}
						req.Host = fleet.HostID(fmt.Sprint("h", caller))
						if test.reports {
							req.Waiting = engine.held(req.Host, chooser)
						}
						decision, ok := chooser.Submit(at(now), req)
						if !ok {
							chooser.Cancel(req)
						}
						if ok && decision.Grant != nil {
							granted++
							engine.waiting = append(engine.waiting, queuedRun{chooser, req.Host, decision.Grant, req.Rank, readTime})
						}
					}
				}
				engine.run(time.Minute)
				require.Positive(t, granted)
				require.LessOrEqual(t, engine.latest, 6*second, "%d requests; another host decides from %v on", granted, changed)
			}
		})
	}
}

// TestChangeOfPlannersCostsLittleWhileWeightsAreAnnounced guards against planners that refuse what engines
// with replaced weights could start in time.
//
// Load pattern: new weights are announced, and no engine gets them. The planner dies; a deputy decides for 1.9 s,
// then the next planner. Hosts tell them what waits at engines.
func TestChangeOfPlannersCostsLittleWhileWeightsAreAnnounced(t *testing.T) {
	const (
		count, callers = 18, 7
		tokens         = 3_000
		readTime       = 50 * time.Millisecond
		objective      = 800 * time.Millisecond
	)
	table := route.NewTable(route.Config{Number: 1, Services: services(), Routes: []route.Route{{
		Prefix: "/", LatencyObjective: objective, Splits: []route.Split{{Service: engineService, Weight: 1}},
	}}})
	for _, load := range []float64{0.3, 0.9} {
		for died := -second; died < 4*second; died += second {
			var choosers [3]*plan.Fleet
			for i := range choosers {
				f := newFleet(t, engines(count)) // with a bound of 6 s
				f.SetConfiguration(at(-time.Minute), table)
				f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0).Add(2, at(0)))
				f.Hosts = callers
				choosers[i] = f
			}
			queues := make(map[fleet.TargetID]*queueEngine)
			for i := range count {
				queues[engineID(i)] = &queueEngine{ready: -3 * second}
			}
			stage, granted, offered := 0, 0, 0
			for now := -3 * second; now < 4700*time.Millisecond; now += time.Duration(float64(readTime) / load / count) {
				switch {
				case stage == 0 && now >= died:
					stage = 1
					choosers[1].Deputy = true
					choosers[1].BeginTenure(at(now), 1<<40)
				case stage == 1 && now >= died+1900*time.Millisecond:
					stage = 2
					choosers[2].BeginTenure(at(now), 1<<41)
				}
				chooser := choosers[stage]
				requestCount++
				req := newRequest(objective, prompt.Part{ID: prompt.PartID(newStream().ID), Tokens: tokens})
				req.Host = fleet.HostID(fmt.Sprint("h", requestCount%callers))
				for _, q := range queues {
					q.run(now)
					req.Waiting = append(req.Waiting, q.held(req.Host, chooser)...)
				}
				decision, ok := chooser.Submit(at(now), req)
				if now >= 0 {
					offered++
				}
				switch {
				case !ok:
					chooser.Cancel(req)
				case decision.Grant != nil:
					q := queues[decision.Grant.Target]
					q.waiting = append(q.waiting, queuedRun{chooser, req.Host, decision.Grant, 0, readTime})
					if now >= 0 {
						granted++
					}
				}
			}
			require.GreaterOrEqual(t, float64(granted), 0.98*float64(offered), "load %v, died %v", load, died)
		}
	}
}
