package chooser_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// noPermissions are the permissions of a host that is not the planner.
type noPermissions struct{}

func (noPermissions) MayPlan() bool            { return false }
func (noPermissions) HoldsDuty() bool          { return false }
func (noPermissions) MayOrder() bool           { return false }
func (noPermissions) TenureEnd() fleet.Instant { return 0 }
func (noPermissions) RosterCurrent() bool      { return true }

const (
	unreachable fleet.Address = "127.0.0.1:1" // without a listener
	self        fleet.Address = "127.0.0.1:2"
)

func startChooser(t *testing.T) (context.Context, *chooser.Chooser, *view.View) {
	t.Helper()
	return startChooserWith(t, noPermissions{})
}

func startChooserWith(t *testing.T, permissions planner.Permissions) (context.Context, *chooser.Chooser, *view.View) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := planner.New("self", platform.Bounds{}, platform.NewTargetClient(), permissions, clock.BootTime(), zerolog.Nop())
	peers := new(peer.Pool)
	c := chooser.New("self", self, p, peers, clock.BootTime(), zerolog.Nop())
	ended := make(chan struct{}, 3)
	for _, run := range []func(context.Context){p.Run, peers.Run, c.Run} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
	})
	table := route.NewTable(route.Config{Number: 1, Services: []route.Service{{ID: "s"}}})
	v := &view.View{
		Table: table, Duty: election.Record{Holder: "planner", Address: unreachable, Epoch: 3},
		Targets: []roster.Target{{ID: "t", Service: "s", Address: "127.0.0.1:3", Slots: 4}},
	}
	published := *v // tests change v
	published.Targets = append([]roster.Target(nil), v.Targets...)
	p.SetView(ctx, published.Freeze())
	return ctx, c, v.Freeze()
}

func newRequest() *plan.Request {
	return &plan.Request{Service: "s", Objective: time.Second, Deadline: time.Second}
}

// TestDeputyIsAskedWhenPlannerDoesNotAnswer checks the choice while neither the
// planner nor the first deputy answers: the first request is decided locally,
// the next one by the next deputy.
func TestDeputyIsAskedWhenPlannerDoesNotAnswer(t *testing.T) {
	ctx, c, v := startChooser(t)
	v.Hosts = []wire.Host{
		{ID: "planner", Peers: unreachable, Cores: 9},
		{ID: "unreachable", Peers: "127.0.0.1:4", Cores: 8},
		{ID: "self", Peers: self, Cores: 1},
	}
	first := c.Choose(ctx, v, newRequest())
	require.NotNil(t, first.Grant)
	require.Empty(t, first.Grant.By, "neither the planner nor the deputy answers, so the choice is local")
	second := c.Choose(ctx, v, newRequest())
	require.NotNil(t, second.Grant)
	require.Equal(t, self, second.Grant.By, "hosts that did not answer are skipped, and the next deputy is asked")
}

func TestHostChoosesLocallyWhenPlannerDoesNotAnswer(t *testing.T) {
	ctx, c, v := startChooser(t)
	decision := c.Choose(ctx, v, newRequest())
	require.NotNil(t, decision.Grant)
	require.Empty(t, decision.Grant.By)
}

func TestHostsAgreeOnDeputy(t *testing.T) {
	hosts := []wire.Host{{ID: "a", Cores: 1}, {ID: "b", Cores: 2}, {ID: "c", Cores: 2}, {ID: "d", Cores: 2}}
	all := func(wire.Host) bool { return true }
	chosen := make(map[fleet.HostID]bool)
	for epoch := range fleet.Epoch(50) {
		v := &view.View{Hosts: hosts, Duty: election.Record{Epoch: epoch}}
		reversed := &view.View{Hosts: []wire.Host{hosts[3], hosts[2], hosts[1], hosts[0]}, Duty: v.Duty}
		deputy := v.Deputy(all)
		require.Equal(t, deputy, reversed.Deputy(all))
		require.Equal(t, 2.0, deputy.Cores)
		chosen[deputy.ID] = true
	}
	require.Len(t, chosen, 3, "different epochs pick different deputies among equals, which spreads the load")
	require.Empty(t, new(view.View).Deputy(all).ID)
}

// ownsDuty are the permissions of the planner.
type ownsDuty struct{ noPermissions }

func (ownsDuty) MayPlan() bool { return true }

// Load pattern: the planner cannot reach the store, and grants a target that has left,
// or one in an evacuated data centre, as this host knows.
func TestGrantOfExcludedTargetIsGivenBack(t *testing.T) {
	for name, exclude := range map[string]func(v *view.View){
		"left":      func(v *view.View) { v.Targets, v.Removed = v.Targets[:1], map[fleet.TargetID]bool{"gone": true} },
		"leaving":   func(v *view.View) { v.Targets[1].Leaving = true },
		"evacuated": func(v *view.View) { v.Evacuated = map[fleet.DataCentreID]bool{"z": true} },
	} {
		t.Run(name, func(t *testing.T) {
			ctx, c, _ := startChooser(t)
			c.Planner.Permissions = ownsDuty{}
			targets := func() []roster.Target {
				return []roster.Target{
					{ID: "stays", Service: "s", Address: "127.0.0.1:3", Slots: 100},
					{ID: "gone", Service: "s", Address: "127.0.0.1:4", DataCentre: "z", Slots: 100},
				}
			}
			table := route.NewTable(route.Config{Number: 2, Services: []route.Service{{ID: "s"}}})
			duty := election.Record{Holder: "self", Address: self, Epoch: 1}
			c.Planner.SetView(ctx, (&view.View{Table: table, Duty: duty, Targets: targets()}).Freeze())
			c.Planner.SetPlanning(ctx, 1, true)
			v := &view.View{Table: table, Duty: duty, Targets: targets()}
			exclude(v)
			v.Freeze()
			for i := range 40 {
				req := newRequest()
				req.ID = fleet.RequestID(fmt.Sprint(i))
				decision := c.Choose(ctx, v, req)
				require.NotNil(t, decision.Grant)
				require.Equal(t, fleet.TargetID("stays"), decision.Grant.Target)
			}
		})
	}
}

// TestLocalChoiceKeepsToQuarantine guards against hosts that, cut off from the planner, send
// on what it withholds.
func TestLocalChoiceKeepsToQuarantine(t *testing.T) {
	_, c, _ := startChooser(t)
	v := &view.View{
		Duty:    election.Record{Quarantine: quarantine.List{{Part: "bad", Crashes: 3}, {Request: "bad", Workspace: "w", Crashes: 3}, {Request: "suspect", Crashes: 2}}},
		Targets: []roster.Target{{ID: "t", Service: "s", Address: "127.0.0.1:3", Slots: 4, Models: []roster.Model{{ID: "m", Version: 1}}}},
	}
	v.Freeze()
	choose := func(id prompt.PartID) plan.Decision {
		req := newRequest()
		req.Prompt = &prompt.Prompt{Model: "m", Parts: []prompt.Part{{ID: "system"}, {ID: id}, {ID: "own"}}}
		return c.Local.Choose(c.Clock(), v, req)
	}
	require.NotNil(t, choose("sound").Grant)
	decision := choose("bad")
	require.NotNil(t, decision.Refusal, "the request was sent to an engine")
	require.Equal(t, fleet.ReasonWithheld, decision.Refusal.Reason)
	require.Positive(t, decision.Refusal.RetryAfter)
	require.NotNil(t, c.Local.Choose(c.Clock(), v, newRequest()).Grant)
	for request, withheld := range map[quarantine.Fingerprint]bool{"bad": true, "suspect": false} {
		req := newRequest()
		req.Fingerprint = request
		require.Equal(t, withheld, c.Local.Choose(c.Clock(), v, req).Refusal != nil, request)
	}
}

// Load pattern: neither the planner nor a deputy answers while a target is in need. All
// hosts that choose alone would send it what its hash brings.
func TestHostThatChoosesAloneSparesLimitedTarget(t *testing.T) {
	ctx, c, v := startChooser(t)
	v.Targets = append(v.Targets, roster.Target{ID: "limited", Service: "s", Address: "127.0.0.1:4", Slots: 4})
	v.Freeze()
	grant := &plan.Grant{Target: "limited", Service: "s"}
	chosen := func() map[fleet.TargetID]int {
		counts := make(map[fleet.TargetID]int)
		for i := range 40 {
			req := newRequest()
			req.ID = fleet.RequestID(fmt.Sprint(i))
			decision := c.Choose(ctx, v, req)
			require.NotNil(t, decision.Grant)
			require.Empty(t, decision.Grant.By)
			counts[decision.Grant.Target]++
		}
		return counts
	}
	require.NotZero(t, chosen()["limited"])
	c.ObserveNotice(v, grant, intake.Notice{Limit: intake.Limit{Named: true, Rate: 2}})
	require.Equal(t, map[fleet.TargetID]int{"t": 40}, chosen())
	c.ObserveNotice(v, &plan.Grant{Target: "t", Service: "s"}, intake.Notice{Limit: intake.Limit{Named: true, Rate: 2}})
	decision := c.Choose(ctx, v, newRequest())
	require.NotNil(t, decision.Refusal, "all targets have named limits")
	require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
	require.Positive(t, decision.Refusal.RetryAfter)
	c.ObserveNotice(v, grant, intake.Notice{})
	require.Equal(t, map[fleet.TargetID]int{"limited": 40}, chosen(), "its answers name no limit any more")
}

// Load pattern: no planner answers, and the targets of a service are brittle. Requests that other hosts send
// there can't be counted, so a host that was told by one sends none to any, until an answer no longer says so.
func TestHostThatChoosesAloneSparesBrittleTargets(t *testing.T) {
	ctx, c, v := startChooser(t)
	v.Targets = append(v.Targets,
		roster.Target{ID: "told", Service: "s", Address: "127.0.0.1:4"}, roster.Target{ID: "other", Service: "another", Address: "127.0.0.1:5"})
	v.Freeze()
	choose := func(service route.ServiceID) map[fleet.TargetID]bool {
		chosen := make(map[fleet.TargetID]bool)
		for i := range 40 {
			req := newRequest()
			req.ID, req.Service = fleet.RequestID(fmt.Sprint(i)), service
			decision := c.Choose(ctx, v, req)
			if decision.Grant != nil {
				chosen[decision.Grant.Target] = true
				continue
			}
			require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
			require.Positive(t, decision.Refusal.RetryAfter)
		}
		return chosen
	}
	brittle := intake.Notice{Brittle: intake.Brittle{Named: true, Rejections: 9}}
	c.ObserveNotice(v, &plan.Grant{Target: "t", Service: "s"}, intake.Notice{})
	c.ObserveNotice(v, &plan.Grant{Target: "told", Service: "s"}, brittle)
	require.Empty(t, choose("s"), "the targets of a service are brittle together")
	require.Equal(t, map[fleet.TargetID]bool{"other": true}, choose("another"))
	c.ObserveNotice(v, &plan.Grant{Target: "t", Service: "s"}, intake.Notice{})
	require.Equal(t, map[fleet.TargetID]bool{"t": true}, choose("s"), "an answer says no longer so, but not of the target that was told")
	c.ObserveNotice(v, &plan.Grant{Target: "told", Service: "s"}, brittle)
	require.Empty(t, choose("s"))
	c.ObserveNotice(v, &plan.Grant{Target: "told", Service: "s"}, intake.Notice{})
	require.Equal(t, map[fleet.TargetID]bool{"t": true, "told": true}, choose("s"))
}

// Load pattern: a target turns requests of one host away and asks it for a pause, or says in
// its answers that it leaves. Neither the planner nor this host alone may choose it.
func TestTargetThatClosedItselfIsNotChosen(t *testing.T) {
	for name, notice := range map[string]intake.Notice{"pause": {Pause: 3 * time.Second}, "leaving": {Leaving: true}} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", alone ", alone), func(t *testing.T) {
				ctx, c, v := startChooser(t)
				v.Targets = append(v.Targets, roster.Target{ID: "closed", Service: "s", Address: "127.0.0.1:4", Slots: 100})
				v.Targets[0].Slots = 100
				if !alone {
					c.Planner.Permissions = ownsDuty{}
					v.Duty = election.Record{Holder: "self", Address: self, Epoch: 1}
				}
				v.Freeze()
				c.Planner.SetView(ctx, v)
				if !alone {
					c.Planner.SetPlanning(ctx, 1, true)
				}
				c.ObserveNotice(v, &plan.Grant{Target: "closed", Service: "s"}, notice)
				for i := range 40 {
					req := newRequest()
					req.ID = fleet.RequestID(fmt.Sprint(i))
					decision := c.Choose(ctx, v, req)
					require.NotNil(t, decision.Grant)
					require.Equal(t, fleet.TargetID("t"), decision.Grant.Target)
				}
				// All targets ask for a pause: requests come back when the first one ends.
				c.ObserveNotice(v, &plan.Grant{Target: "t", Service: "s"}, intake.Notice{Pause: 2 * time.Second})
				times := make(map[time.Duration]bool)
				for range 10 {
					decision := c.Choose(ctx, v, newRequest())
					require.NotNil(t, decision.Refusal)
					require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
					require.InDelta(t, 2.5, decision.Refusal.RetryAfter.Seconds(), 0.6)
					times[decision.Refusal.RetryAfter.Truncate(time.Millisecond)] = true
				}
				require.Greater(t, len(times), 3, "return times are spread")
			})
		}
	}
}

// Load pattern: a request waits for the only target of its service, which asks this host for a
// pause meanwhile, as another request of the host was turned away.
func TestGrantOfTargetThatClosedItselfMeanwhileIsGivenBack(t *testing.T) {
	ctx, c, v := startChooser(t)
	c.Planner.Permissions = ownsDuty{}
	v.Duty = election.Record{Holder: "self", Address: self, Epoch: 1}
	v.Targets[0].Slots = 1
	v.Freeze()
	c.Planner.SetView(ctx, v)
	c.Planner.SetPlanning(ctx, 1, true)
	first := c.Choose(ctx, v, newRequest())
	require.NotNil(t, first.Grant)
	require.NotNil(t, c.Choose(ctx, v, newRequest()).Grant, "one request may queue at the target")
	waiting := make(chan plan.Decision)
	go func() {
		req := newRequest()
		req.Objective, req.Deadline = 8*time.Second, 8*time.Second
		waiting <- c.Choose(ctx, v, req)
	}()
	time.Sleep(50 * time.Millisecond)
	c.ObserveNotice(v, first.Grant, intake.Notice{Pause: 3 * time.Second})
	c.Report(first.Grant, plan.Rejected)
	decision := <-waiting
	require.Nil(t, decision.Grant)
	require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
	require.Greater(t, decision.Refusal.RetryAfter, 2*time.Second)
}
