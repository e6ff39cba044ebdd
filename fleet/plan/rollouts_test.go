package plan_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
)

// site is a service under a roll-out to v2, with the store that holds the planner's record.
type site struct {
	t        *testing.T
	f        *plan.Fleet
	entries  []roster.Target
	order    rollout.Order
	record   *rollout.Record
	revision fleet.Revision
	random   *rand.Rand
	running  map[plan.GrantNumber]*running
	arrived  int
	onNew    map[fleet.TargetID]int
	exposed  int
}

type running struct {
	*plan.Grant
	ends time.Duration
}

func newSite(t *testing.T, service route.ServiceID, entries []roster.Target, seed uint64) *site {
	t.Helper()
	s := &site{
		t: t, entries: entries, random: rand.New(rand.NewPCG(seed, 73)), running: make(map[plan.GrantNumber]*running), onNew: make(map[fleet.TargetID]int),
		order: rollout.Order{Service: service, To: "v2", Duration: 12 * second}, revision: fleet.Revision{Era: 1},
	}
	s.f = newFleet(t, entries)
	s.f.RolloutBounds, s.f.Epoch = rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * second}, 7
	s.publish(0, true)
	return s
}

// publish passes what the object store holds to the planner.
func (s *site) publish(now time.Duration, ordered bool) {
	known := rollout.Known{Since: at(0), Record: s.record, Revision: s.revision}
	if ordered {
		known.Order = &s.order
	}
	s.f.SetRollouts(at(now), map[route.ServiceID]rollout.Known{s.order.Service: known})
}

// tick writes what is due and passes the result.
func (s *site) tick(now time.Duration) {
	for _, w := range s.f.DueRollouts(at(now)) {
		require.Equal(s.t, s.revision, w.Revision)
		s.revision.Number++
		s.record = &w.Record
		s.f.RecordRollout(at(now), w, true, nil, s.revision)
	}
	s.f.Tick(at(now))
}

func (s *site) stage() rollout.Stage {
	if s.record == nil {
		return rollout.Canary
	}
	return s.record.Stage
}

// request submits a request to a plain service that takes a while.
func (s *site) request(now time.Duration, route string, took time.Duration) *plan.Grant {
	requestCount++
	s.arrived++
	decision, ok := s.f.Submit(at(now), &plan.Request{
		ID: fleet.RequestID(fmt.Sprint(requestCount)), Host: "h", Near: "a", Service: s.order.Service, Route: route, Objective: second, Deadline: 10 * second,
	})
	if !ok || decision.Grant == nil {
		return nil
	}
	if decision.Grant.Software == s.order.To {
		s.onNew[decision.Grant.Target]++
		if s.stage() == rollout.Canary {
			s.exposed++
		}
	}
	s.running[decision.Grant.Number] = &running{decision.Grant, now + took}
	return decision.Grant
}

// play runs requests until the end, of which those that fail reports are reported so.
func (s *site) play(from, to time.Duration, perSecond float64, fails func(g *plan.Grant) bool) {
	const step = 5 * time.Millisecond
	for now := from; now < to; now += step {
		for number, r := range s.running {
			if now < r.ends {
				continue
			}
			delete(s.running, number)
			progress := plan.Done
			if fails(r.Grant) {
				progress = plan.ServerError
			}
			s.f.Report(at(now), plan.Report{Number: number, Progress: progress})
		}
		if s.random.Float64() < perSecond*step.Seconds() {
			s.request(now, "desk", 20*time.Millisecond+time.Duration(s.random.Int64N(int64(20*time.Millisecond))))
		}
		s.tick(now)
		if s.stage() != rollout.Promoted {
			continue
		}
		for _, r := range s.running {
			require.True(s.t, r.Software != "v2" || s.stage() != rollout.RolledBack)
		}
	}
}

// plainTargets returns targets of the plain service of two versions.
func plainTargets(old, new int) []roster.Target {
	var entries []roster.Target
	for i := range old + new {
		t := roster.Target{ID: fleet.TargetID(fmt.Sprintf("p%02d", i)), Service: plainService, Address: fleet.Address(fmt.Sprintf("10.0.0.%d:1", i)), DataCentre: "a", Slots: 8, Software: "v1"}
		if i >= old {
			t.Software = "v2"
		}
		entries = append(entries, t)
	}
	return entries
}

func never(*plan.Grant) bool { return false }

// TestGoodVersionTakesOver guards against a roll-out that is not completed in its time, and against
// old targets that are stopped while they run requests.
func TestGoodVersionTakesOver(t *testing.T) {
	for seed := range uint64(3) {
		s := newSite(t, plainService, plainTargets(6, 6), seed)
		s.play(0, 6*second, 120, never)
		require.Equal(t, rollout.Canary, s.stage(), "seed %d", seed)
		require.Greater(t, s.exposed, 20)
		require.LessOrEqual(t, float64(s.exposed), 0.1*float64(s.arrived)+50)
		s.play(6*second, 12*second, 120, never)
		require.Equal(t, rollout.Completed, s.stage(), "seed %d: %v", seed, s.record)
		for _, r := range s.running {
			require.Equal(t, fleet.Software("v2"), r.Software, "an old target runs a request")
		}
	}
}

// TestBadVersionGetsNothingMore guards against requests to a version that was found to be bad.
func TestBadVersionGetsNothingMore(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 8*second, 120, func(g *plan.Grant) bool { return g.Software == "v2" })
	require.Equal(t, rollout.RolledBack, s.stage())
	before := s.exposed
	s.publish(8*second, true)
	s.play(8*second, 12*second, 120, never)
	require.Equal(t, before, s.exposed)
	require.Less(t, before, 50)
	s.publish(12*second, false)
	s.play(12*second, 13*second, 120, never)
	require.Equal(t, before, s.exposed, "after the order was deleted")
}

// TestCanaryUsesFewTargets guards against a share that is spread over all new targets, so that
// none gets the load of an old one.
func TestCanaryUsesFewTargets(t *testing.T) {
	s := newSite(t, plainService, plainTargets(20, 20), 1)
	s.play(0, 4*second, 200, never)
	require.Greater(t, s.exposed, 20)
	require.Len(t, s.onNew, 2)
}

// TestOldTargetsFinishFirst guards against a completion while an old target runs a request.
func TestOldTargetsFinishFirst(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 8*second, 120, never)
	long := s.request(8*second, "desk", 4*second-time.Second/2)
	require.Equal(t, fleet.Software("v1"), long.Software)
	s.play(8*second, 11*second, 120, never)
	require.Equal(t, rollout.Promoted, s.stage())
	s.play(11*second, 12*second, 120, never)
	require.Equal(t, rollout.Completed, s.stage(), "at the latest shortly before the end")
}

// TestLossOfNewTargetsIsNoEvidence guards against a good version that is rejected because of crashes
// or of targets that can't be reached.
func TestLossOfNewTargetsIsNoEvidence(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 3*second, 120, never)
	progress := []plan.Progress{plan.Unreachable, plan.Rejected, plan.Mismatched, plan.Abandoned}
	for i := range 400 {
		now := 3*second + time.Duration(i)*5*time.Millisecond
		if g := s.request(now, "desk", second); g != nil {
			delete(s.running, g.Number)
			report := plan.Done
			if g.Software == "v2" {
				report = progress[i%len(progress)]
			}
			s.f.Report(at(now), plan.Report{Number: g.Number, Progress: report})
		}
		s.tick(now)
	}
	require.Equal(t, rollout.Canary, s.stage())
	require.Zero(t, s.f.Rollouts()[0].Bad)
	for i := range 100 {
		now := 5*second + time.Duration(i)*5*time.Millisecond
		if g := s.request(now, "desk", second); g != nil && g.Software == "v2" {
			s.f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Failed})
			s.f.MarkUnresponsive(at(now), g.Target)
			break
		}
		s.tick(now)
	}
	require.Zero(t, s.f.Rollouts()[0].Bad, "a target that failed a request and then did not answer")
	for i := range 200 {
		now := 6*second + time.Duration(i)*5*time.Millisecond
		if g := s.request(now, "desk", second); g != nil && g.Software == "v2" {
			s.f.SetTargets(at(now), slices.DeleteFunc(slices.Clone(s.entries), func(e roster.Target) bool { return e.ID == g.Target }), nil)
			s.f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Failed})
			break
		}
		s.tick(now)
	}
	require.Zero(t, s.f.Rollouts()[0].Bad, "a target that has left, and whose failure was reported later")
}

// TestRequestsThatWereNotRunDoNotCount guards against exposure for requests that reached no target.
func TestRequestsThatWereNotRunDoNotCount(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.tick(0)
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		if g := s.request(now, "desk", second); g != nil {
			s.f.Report(at(now), plan.Report{Number: g.Number, Progress: plan.Rejected})
		}
		s.tick(now)
	}
	require.Zero(t, s.record.Seen)
	require.LessOrEqual(t, s.record.Reserved, 50)
}

// playEngines plays a roll-out of engines whose old version has the prompts cached, and returns how many requests the
// new version got. Its engines take slower times as long as old ones.
func (s *site) playEngines(entries []roster.Target, slower time.Duration) (onNew int) {
	s.order.Duration = 120 * second
	s.publish(0, true)
	cached := make(map[string]bool)
	type run struct {
		number plan.GrantNumber
		begins time.Duration
	}
	var runs []run
	for now := time.Duration(0); now < 60*second; now += 10 * time.Millisecond {
		if now == 30*second {
			s.f.SetTargets(at(now), entries, nil)
		}
		for len(runs) > 0 && runs[0].begins <= now {
			reportDone(s.f, at(now), &plan.Grant{Number: runs[0].number})
			runs = runs[1:]
		}
		s.tick(now)
		if s.random.IntN(3) > 0 || len(runs) > 0 {
			continue
		}
		file := fmt.Sprint("file", s.random.IntN(8))
		req := newRequest(second, filePrompt(file)...)
		req.Route = "talk"
		d, ok := s.f.Submit(at(now), req)
		if !ok || d.Grant == nil {
			continue
		}
		took := 40 * time.Millisecond
		if key := string(d.Grant.Target) + file; !cached[key] {
			cached[key] = true
			took = 250 * time.Millisecond
			if slices.ContainsFunc(d.Grant.Fetch, func(a fleet.Address) bool { return a != "" }) {
				took = 80 * time.Millisecond // from an engine
			}
		}
		if d.Grant.Software == "v2" {
			onNew++
			took *= slower
		}
		runs = append(runs, run{d.Grant.Number, now + took})
	}
	return onNew
}

// newEngineSite returns a site whose roster has only old engines at first, and the later roster.
func newEngineSite(t *testing.T) (*site, []roster.Target) {
	t.Helper()
	entries := versionedEngines(4, "v1", "v2")
	return newSite(t, engineService, slices.DeleteFunc(slices.Clone(entries), func(e roster.Target) bool { return e.Software == "v2" }), 1), entries
}

// TestColdCachesAreNoFault guards against a good version that is rejected since its engines have to read the
// prompts that old ones have cached.
func TestColdCachesAreNoFault(t *testing.T) {
	s, entries := newEngineSite(t)
	require.Greater(t, s.playEngines(entries, 1), 30)
	require.Equal(t, rollout.Canary, s.stage(), "%v", s.record)
	require.LessOrEqual(t, s.f.Rollouts()[0].Bad, 2, s.f.RolloutEvidence(engineService))
}

// TestSlowEnginesAreFound guards against a version whose slowness is taken for that of cold caches.
func TestSlowEnginesAreFound(t *testing.T) {
	s, entries := newEngineSite(t)
	require.Less(t, s.playEngines(entries, 4), 50)
	require.Equal(t, rollout.RolledBack, s.stage(), "%v", s.f.RolloutEvidence(engineService))
}
