package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
	"hibiscuslb/standin/fakeplatform"
)

// rolloutSite is a planner of a service with an order to move to v2.
type rolloutSite struct {
	t     *testing.T
	ctx   context.Context
	p     *Planner
	d     *testPermissions
	store *fakeplatform.Store
	lines *testlog.Lines
	since fleet.Instant
	era   uint64
}

func startRollout(t *testing.T, durationS float64) *rolloutSite {
	t.Helper()
	store := new(fakeplatform.Store)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	s := &rolloutSite{t: t, d: new(testPermissions), store: store, era: 1}
	s.ctx, s.p, s.lines = startPlanner(t, s.d)
	client := &platform.Store{Address: fleet.Address(strings.TrimPrefix(server.URL, "http://")), Timeout: time.Second}
	begun := make(chan fleet.Instant)
	s.p.enqueue(s.ctx, func(now fleet.Instant) {
		s.p.Rollouts = client
		s.p.fleet.RolloutBounds = rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
		begun <- now
	})
	s.since = <-begun
	store.Put("rollouts", "s", map[string]any{"service": "s", "to": "v2", "durationS": durationS})
	s.publish()
	s.d.holds.Store(true)
	s.p.SetPlanning(s.ctx, 7, true)
	return s
}

// publish passes what the store holds to the planner, as package control does.
func (s *rolloutSite) publish() {
	v := testView()
	v.Targets = nil
	for i := range 6 {
		v.Targets = append(v.Targets, roster.Target{
			ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s", Address: "127.0.0.1:1", Slots: 100, Software: fleet.Software(fmt.Sprintf(`"v%d"`, 1+i%2)),
		})
	}
	r := view.Rollout{Known: rollout.Known{Since: s.since, Revision: fleet.Revision{Era: s.era}}}
	if o, ok := s.store.Get("rollouts", "s"); ok {
		r.Object = platform.Object{Kind: platform.KindRollouts, Name: "s", Revision: fleet.Revision{Era: s.era, Number: fleet.Version(o.Metadata.Revision)}, Spec: o.Spec, Status: o.Status}
		decoded, err := platform.DecodeRollout(r.Object)
		require.NoError(s.t, err)
		r.Order, r.Status = &decoded.Order, decoded.Status
	}
	if o, ok := s.store.Get("rolloutstates", "s"); ok {
		record := s.record()
		r.Record, r.Revision.Number = &record, fleet.Version(o.Metadata.Revision)
	}
	v.Rollouts = map[route.ServiceID]view.Rollout{"s": r}
	s.p.SetView(s.ctx, v.Freeze())
}

func (s *rolloutSite) record() (record rollout.Record) {
	if o, ok := s.store.Get("rolloutstates", "s"); ok {
		require.NoError(s.t, json.Unmarshal(o.Spec, &record))
	}
	return record
}

func (s *rolloutSite) status() string {
	o, _ := s.store.Get("rollouts", "s")
	return string(o.Status)
}

// send sends requests until the condition holds, and returns how many went to which version.
func (s *rolloutSite) send(progress func(*plan.Grant) plan.Progress, until func() bool) map[fleet.Software]int {
	s.t.Helper()
	counts := make(map[fleet.Software]int)
	for end := time.Now().Add(10 * time.Second); !until(); {
		require.True(s.t, time.Now().Before(end), "record %+v, status %s, requests %v", s.record(), s.status(), counts)
		req := newRequest()
		req.Route = "r"
		decision, err := s.p.Plan(s.ctx, req, false)
		require.NoError(s.t, err)
		if decision.Grant != nil {
			counts[decision.Grant.Software]++
			s.p.Report(s.ctx, []plan.Report{{Number: decision.Grant.Number, Progress: progress(decision.Grant)}})
		}
		time.Sleep(3 * time.Millisecond)
	}
	return counts
}

func done(*plan.Grant) plan.Progress { return plan.Done }

// TestRolloutIsWritten guards against a roll-out whose outcome the platform does not learn.
func TestRolloutIsWritten(t *testing.T) {
	s := startRollout(t, 3)
	s.send(done, func() bool { return s.status() == `{"state":"running","to":"v2"}` })
	before := s.store.Counts().Writes
	counts := s.send(done, func() bool { return s.status() == `{"state":"completed","to":"v2"}` })
	require.Greater(t, counts[`"v2"`], 20)
	require.Equal(t, rollout.Completed, s.record().Stage)
	require.Equal(t, fleet.Epoch(7), s.record().Epoch)
	require.Less(t, s.store.Counts().Writes-before, int64(10))
	s.lines.Require(t, "roll-out", testlog.Line{"Service": "s", "Stage": "Canary"})
	lines := s.lines.WithMessage("roll-out")
	require.Equal(t, "Completed", lines[len(lines)-1]["Stage"])
	require.NotEmpty(t, lines[len(lines)-1]["Evidence"])
}

// TestBadRolloutIsWritten guards against a bad version that stays in use.
func TestBadRolloutIsWritten(t *testing.T) {
	s := startRollout(t, 6)
	fails := func(g *plan.Grant) plan.Progress {
		if g.Software == `"v2"` {
			return plan.ServerError
		}
		return plan.Done
	}
	s.send(fails, func() bool { return s.status() == `{"state":"rolled_back","to":"v2"}` })
	require.Equal(t, rollout.RolledBack, s.record().Stage)
	s.publish()
	n := 0
	require.Zero(t, s.send(done, func() bool { n++; return n > 100 })[`"v2"`])
}

// TestNothingIsExposedWithoutTheStore guards against exposure that nobody else can know of, and
// against writes of a host that does not hold the duty.
func TestNothingIsExposedWithoutTheStore(t *testing.T) {
	s := startRollout(t, 6)
	s.store.SetFault(fakeplatform.Down)
	n := 0
	require.Zero(t, s.send(done, func() bool { n++; return n > 200 })[`"v2"`])
	require.Less(t, s.store.Counts().Writes, int64(20), "writes are paced")
	s.store.SetFault(fakeplatform.LoseAnswers)
	s.send(done, func() bool { return s.record().Reserved > 0 })
	s.store.SetFault(fakeplatform.Healthy)
	s.send(done, func() bool { return s.status() != "" })
	s.p.SetPlanning(s.ctx, 7, false)
	s.d.holds.Store(false)
	time.Sleep(50 * time.Millisecond)
	writes := s.store.Counts().Writes
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, writes, s.store.Counts().Writes)
}

// TestPlannerYieldsToAnotherRecord guards against a planner that overwrites the record of its successor.
func TestPlannerYieldsToAnotherRecord(t *testing.T) {
	s := startRollout(t, 6)
	s.send(done, func() bool { return s.record().Reserved > 0 })
	verdict := s.record()
	verdict.Epoch, verdict.Stage, verdict.Sequence = 8, rollout.RolledBack, verdict.Sequence+1
	s.store.Put("rolloutstates", "s", verdict)
	s.send(done, func() bool { return s.status() == `{"state":"rolled_back","to":"v2"}` })
	require.Equal(t, rollout.RolledBack, s.record().Stage)
}

// TestRestoredStoreGetsTheVerdictAgain guards against a verdict that is reversed by a copy of the
// store.
func TestRestoredStoreGetsTheVerdictAgain(t *testing.T) {
	s := startRollout(t, 6)
	s.send(done, func() bool { return s.record().Reserved > 0 && s.status() != "" })
	saved := s.store.Copy()
	fails := func(g *plan.Grant) plan.Progress {
		if g.Software == `"v2"` {
			return plan.ServerError
		}
		return plan.Done
	}
	s.send(fails, func() bool { return s.record().Stage == rollout.RolledBack })
	s.store.Restore(saved)
	s.era++
	s.publish()
	s.send(done, func() bool {
		return s.record().Stage == rollout.RolledBack && s.status() == `{"state":"rolled_back","to":"v2"}`
	})
}

// TestNewOrderReplacesTheRunningOne guards against an order that is ignored.
func TestNewOrderReplacesTheRunningOne(t *testing.T) {
	s := startRollout(t, 6)
	s.send(done, func() bool { return s.status() != "" && s.record().Reserved > 0 })
	s.store.Put("rollouts", "s", map[string]any{"service": "s", "to": "v1", "durationS": 3})
	s.publish()
	s.send(done, func() bool { return s.status() == `{"state":"completed","to":"v1"}` })
	require.Equal(t, fleet.Software(`"v1"`), s.record().Order.To)
	s.store.Remove("rollouts", "s")
	s.publish()
	s.send(done, func() bool { return s.record().Withdrawn })
}

// TestReloadedSettingsKeepRollouts guards against a planner that ends its roll-outs when the settings are read again
// without exposeShare, and sends requests to the version on trial like to any other. Other hosts would go on.
func TestReloadedSettingsKeepRollouts(t *testing.T) {
	s := startRollout(t, 60)
	s.send(done, func() bool { return s.status() == `{"state":"running","to":"v2"}` })
	s.p.SetBounds(s.ctx, platform.Bounds{})
	s.publish()
	n := 0
	counts := s.send(done, func() bool { n++; return n > 200 })
	require.Less(t, counts[`"v2"`], 60, "%v", counts)
	require.NotEmpty(t, s.p.RolloutList())
}
