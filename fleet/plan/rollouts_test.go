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

// TestRetriesAreNotExposed guards against requests that fail on one new target and go to the next.
func TestRetriesAreNotExposed(t *testing.T) {
	s := newSite(t, plainService, plainTargets(2, 2), 1)
	s.tick(0)
	for i := range 50 {
		decision, ok := s.f.Submit(at(time.Duration(i)*50*time.Millisecond), &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Repeat: true, Deadline: second})
		require.True(t, ok)
		if decision.Grant != nil {
			require.Equal(t, fleet.Software("v1"), decision.Grant.Software)
			reportDone(s.f, at(0), decision.Grant)
		}
		s.tick(time.Duration(i) * 50 * time.Millisecond)
	}
}

// TestStreamOfVersionOnTrial guards against a stream that goes on at another version, and one that
// goes on at a version that was rejected.
func TestStreamOfVersionOnTrial(t *testing.T) {
	s := newSite(t, engineService, versionedEngines(4, "v1", "v2"), 1)
	resumed := func(now time.Duration, software fleet.Software) (plan.Decision, bool) {
		req := newStream()
		req.Resumption = plan.Resumption{Resumes: true, Known: true, Software: software}
		return s.f.Submit(at(now), req)
	}
	d, ok := resumed(0, "v2")
	require.False(t, ok && d.Grant != nil, "before exposure is reserved")
	s.f.Tick(at(2 * second)) // the stream has left the queue
	s.tick(2 * second)
	before := s.f.Rollouts()[0].Exposure
	d, ok = resumed(2*second, "v2")
	require.True(t, ok)
	require.NotNil(t, d.Grant, "%v", d.Refusal)
	require.Equal(t, fleet.Software("v2"), d.Grant.Software)
	require.Equal(t, before+1, s.f.Rollouts()[0].Exposure, "it counts as exposure")
	d, _ = resumed(2*second, "v1")
	require.Equal(t, fleet.Software("v1"), d.Grant.Software)
	s.publish(3*second, false)
	s.tick(3 * second)
	require.Equal(t, rollout.RolledBack, s.stage())
	d, ok = resumed(3*second, "v2")
	require.True(t, ok)
	require.Nil(t, d.Grant)
	d, _ = resumed(3*second, "v1")
	require.NotNil(t, d.Grant)
}

// TestColdTargetsKeepTheirRate guards against a share that exceeds the rate of cold targets.
func TestColdTargetsKeepTheirRate(t *testing.T) {
	entries := versionedEngines(2, "v1", "v2")
	for i := range entries {
		if entries[i].Software == "v2" {
			entries[i].ColdFor = 3 * second
		}
	}
	s := newSite(t, engineService, entries, 1)
	s.f.SetTargets(at(0), entries, nil)
	counts := make(map[fleet.TargetID]int)
	for i := range 200 {
		now := time.Duration(i) * 5 * time.Millisecond
		if d, ok := s.f.Submit(at(now), shortRequest()); ok && d.Grant != nil {
			counts[d.Grant.Target]++
			reportDone(s.f, at(now), d.Grant)
		}
		s.tick(now)
	}
	for _, e := range entries {
		if e.Software == "v2" {
			require.LessOrEqual(t, counts[e.ID], 14)
		}
	}
}

// TestVerdictAcknowledgedBeforeRestoreIsWrittenAgain guards against a verdict that the store has lost and nobody writes
// again: the planner learned that the store was restored before it handled the acknowledgement of its write.
func TestVerdictAcknowledgedBeforeRestoreIsWrittenAgain(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 300*time.Millisecond, 100, func(*plan.Grant) bool { return false })
	copied, copiedAt := s.record, s.revision
	require.NotNil(t, copied)
	var verdict plan.RolloutWrite
	for now := 300 * time.Millisecond; verdict.Record.Stage != rollout.RolledBack; now += 5 * time.Millisecond {
		require.Less(t, now, 10*second)
		if g := s.request(now, "desk", 0); g != nil {
			delete(s.running, g.Number)
			progress := plan.Done
			if g.Software == s.order.To {
				progress = plan.ServerError
			}
			s.f.Report(at(now), plan.Report{Number: g.Number, Progress: progress})
		}
		for _, verdict = range s.f.DueRollouts(at(now)) {
			s.revision.Number++
			if verdict.Record.Stage == rollout.Canary {
				s.f.RecordRollout(at(now), verdict, true, nil, s.revision)
			}
		}
	}
	lost := s.revision
	s.record, s.revision = copied, fleet.Revision{Era: 2, Number: copiedAt.Number}
	s.publish(10*second, true)
	s.f.RecordRollout(at(10*second), verdict, true, nil, lost)
	s.tick(10 * second)
	require.Equal(t, rollout.RolledBack, s.record.Stage)
	require.Empty(t, s.f.DueRollouts(at(11*second)))
}

// TestSuccessorContinues guards against a planner that uses the new version before it has written
// its own record, or that promotes on the evidence of nobody.
func TestSuccessorContinues(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 5*second, 120, never)
	exposed, reserved := s.exposed, s.record.Reserved
	require.GreaterOrEqual(t, reserved, exposed)
	successor := newFleet(t, s.entries)
	successor.RolloutBounds, successor.Epoch = s.f.RolloutBounds, 8
	s.f, s.running = successor, make(map[plan.GrantNumber]*running)
	s.publish(5*second, true)
	for range 100 {
		s.request(5*second, "desk", second)
	}
	require.Equal(t, exposed, s.exposed, "before the successor has written")
	s.running = make(map[plan.GrantNumber]*running)
	s.play(5*second, 12*second, 120, never)
	require.Equal(t, rollout.Completed, s.stage())
	require.LessOrEqual(t, float64(s.exposed), 0.1*float64(s.arrived)+50)
}

// TestDeputyFollowsTheStage guards against a deputy that sends requests to a version on trial, or to the
// old one after the completion.
func TestDeputyFollowsTheStage(t *testing.T) {
	for stage, want := range map[rollout.Stage]fleet.Software{rollout.Canary: "v1", rollout.Promoted: "v2", rollout.Completed: "v2", rollout.RolledBack: "v1"} {
		f := newFleet(t, plainTargets(2, 2))
		f.RolloutBounds, f.Deputy = rollout.Bounds{Share: 0.1, Slack: 50}, true
		order := rollout.Order{Service: plainService, To: "v2", Duration: 12 * second}
		f.SetRollouts(at(0), map[route.ServiceID]rollout.Known{plainService: {Order: &order, Record: &rollout.Record{Order: order, Stage: stage}}})
		for i := range 20 {
			g := mustGrant(t, f, at(0), &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Deadline: second})
			require.Equal(t, want, g.Software, "%v", stage)
			reportDone(f, at(0), g)
		}
	}
}

// TestWithoutBoundsNothingChanges guards against roll-outs on hosts whose settings have none.
func TestWithoutBoundsNothingChanges(t *testing.T) {
	f := newFleet(t, plainTargets(1, 1))
	order := rollout.Order{Service: plainService, To: "v2", Duration: 12 * second}
	f.SetRollouts(at(0), map[route.ServiceID]rollout.Known{plainService: {Order: &order}})
	seen := make(map[fleet.Software]bool)
	for i := range 50 {
		g := mustGrant(t, f, at(0), &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Deadline: second})
		seen[g.Software] = true
		reportDone(f, at(0), g)
	}
	require.Len(t, seen, 2)
	require.Empty(t, f.DueRollouts(at(0)))
	require.Empty(t, f.Rollouts())
}

// TestOrderToPresentVersion guards against a service that gets nothing since all of its targets
// are of the version that is ordered.
func TestOrderToPresentVersion(t *testing.T) {
	s := newSite(t, plainService, plainTargets(0, 3), 1)
	s.tick(0)
	require.Equal(t, rollout.Completed, s.stage())
	require.NotNil(t, s.request(0, "desk", second))
}

// TestEndedOrderStaysEnded guards against an order that begins anew since there is no record of how it ended.
func TestEndedOrderStaysEnded(t *testing.T) {
	for _, stage := range []rollout.Stage{rollout.Completed, rollout.RolledBack} {
		f := newFleet(t, plainTargets(2, 2))
		f.RolloutBounds, f.Epoch = rollout.Bounds{Share: 0.1, Slack: 50}, 7
		order := rollout.Order{Service: plainService, To: "v2", Duration: 12 * second}
		f.SetRollouts(at(0), map[route.ServiceID]rollout.Known{plainService: {Order: &order, Since: at(0), Settled: true, Final: stage}})
		due := f.DueRollouts(at(0))
		require.Len(t, due, 1)
		require.Equal(t, stage, due[0].Record.Stage)
	}
}

// TestLostHostMayStillRunRequests guards against a completion while a host that the planner has lost still runs
// requests on old targets.
func TestLostHostMayStillRunRequests(t *testing.T) {
	s := newSite(t, plainService, plainTargets(6, 6), 1)
	s.play(0, 8*second, 120, never)
	require.Equal(t, fleet.Software("v1"), s.request(8*second, "desk", 3500*time.Millisecond).Software)
	s.play(8*second, 10500*time.Millisecond, 120, never)
	require.Equal(t, rollout.Promoted, s.stage())
	s.f.ReleaseHost(at(10500*time.Millisecond), "h")
	s.play(10500*time.Millisecond, 11*second, 120, never)
	require.Equal(t, rollout.Promoted, s.stage())
	s.play(11*second, 12*second, 120, never)
	require.Equal(t, rollout.Completed, s.stage())
}

// versionsUsed returns the versions of the targets that get n requests.
func (s *site) versionsUsed(now time.Duration, n int) map[fleet.Software]int {
	counts := make(map[fleet.Software]int)
	for i := range n {
		at := now + time.Duration(i)*5*time.Millisecond
		if g := s.request(at, "desk", second); g != nil {
			counts[g.Software]++
			delete(s.running, g.Number)
			reportDone(s.f, fleet.Instant(time.Hour+at), g)
		}
		s.tick(at)
	}
	return counts
}

// TestVersionOfEarlierOrderStaysOut guards against a version that was rejected, or was still on trial, and gets the
// traffic of old targets once there is an order to another version.
func TestVersionOfEarlierOrderStaysOut(t *testing.T) {
	for name, c := range map[string]struct {
		fails   func(*plan.Grant) bool
		during  time.Duration // of the first order
		deleted bool
		next    fleet.Software
		want    []fleet.Software
		stage   rollout.Stage
	}{
		"rejected":             {func(g *plan.Grant) bool { return g.Software == "v2" }, 8 * second, false, "v3", []fleet.Software{"v1", "v3"}, rollout.Canary},
		"rejected and deleted": {func(g *plan.Grant) bool { return g.Software == "v2" }, 8 * second, true, "v3", []fleet.Software{"v1", "v3"}, rollout.Canary},
		"on trial":             {never, 3 * second, false, "v3", []fleet.Software{"v1", "v3"}, rollout.Canary},
		"back":                 {never, 3 * second, false, "v1", []fleet.Software{"v1"}, rollout.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			entries := plainTargets(4, 8)
			for i := range entries[8:] {
				entries[8+i].Software = "v3"
			}
			if c.next == "v1" {
				entries = entries[:8]
			}
			s := newSite(t, plainService, entries, 1)
			s.play(0, c.during, 120, c.fails)
			s.publish(c.during, !c.deleted)
			s.tick(c.during)
			s.order.To = c.next
			first := s.record
			s.publish(c.during, true)
			for software := range s.versionsUsed(c.during, 100) {
				require.Contains(t, c.want, software)
			}
			require.Equal(t, c.stage, s.stage())

			deputy := newFleet(t, entries)
			deputy.RolloutBounds, deputy.Deputy = s.f.RolloutBounds, true
			for _, record := range []*rollout.Record{first, s.record} {
				deputy.SetRollouts(at(0), map[route.ServiceID]rollout.Known{plainService: {Order: &s.order, Record: record}})
				for i := range 20 {
					g := mustGrant(t, deputy, at(0), &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: plainService, Objective: second, Deadline: second})
					require.Equal(t, fleet.Software("v1"), g.Software, "a deputy")
					reportDone(deputy, at(0), g)
				}
			}
		})
	}
}

// TestVersionOfEarlierOrderServesAlone guards against a service that gets nothing since the only targets that are
// left are of a version that an earlier order had on trial.
func TestVersionOfEarlierOrderServesAlone(t *testing.T) {
	s := newSite(t, plainService, plainTargets(4, 4), 1)
	s.play(0, 3*second, 120, never)
	s.order.To = "v3"
	s.publish(3*second, true)
	s.f.SetTargets(at(3*second), s.entries[4:], nil)
	require.NotNil(t, s.request(3*second, "desk", second))
}

// TestOnlyVersionServesAtOnce guards against a service that gets nothing until the store has the completion of an
// order to the version of all of its targets.
func TestOnlyVersionServesAtOnce(t *testing.T) {
	s := newSite(t, plainService, plainTargets(0, 3), 1)
	require.NotNil(t, s.request(0, "desk", second))
}
