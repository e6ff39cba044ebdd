package chooser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/view"
)

// Load pattern: hosts choose alone while callers take up streams that broke off with the
// planner. A host that is out of step may have missed that engines of another version joined and
// began them, and names no version but that of a stream which it resumes itself.
func TestLocalChoiceKeepsStreamsAtTheirVersion(t *testing.T) {
	_, c, _ := startChooser(t)
	one := origin.Versions{{Service: "other", Software: "v3"}, {Service: "s", Software: "v1"}}
	two := append(origin.Versions{{Service: "s", Software: "v2"}}, one...)
	for _, test := range []struct {
		name       string
		versions   origin.Versions
		targets    []fleet.Software
		resumption plan.Resumption
		want       fleet.Software // empty if the request must be refused
	}{
		{"one version", one, []fleet.Software{"v1", "v1"}, plan.Resumption{Resumes: true}, ""},
		{"one version, and an attempt", one, []fleet.Software{"v1", "v1"}, plan.Resumption{Resumes: true, Attempt: "a"}, ""},
		{"a version that the planner does not know yet", one, []fleet.Software{"v1", "v2"}, plan.Resumption{Resumes: true}, ""},
		{"the old version has just left", two, []fleet.Software{"v2"}, plan.Resumption{Resumes: true}, ""},
		{"nothing known of the past", nil, []fleet.Software{"v1"}, plan.Resumption{Resumes: true}, ""},
		{"resumed by this host", two, []fleet.Software{"v1", "v2", "v1"}, plan.Resumption{Resumes: true, Known: true, Software: "v2"}, "v2"},
		{"resumed by this host, its version has left", two, []fleet.Software{"v1"}, plan.Resumption{Resumes: true, Known: true, Software: "v2"}, ""},
		{"a new stream", nil, []fleet.Software{"v1"}, plan.Resumption{}, "v1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := &view.View{Duty: election.Record{Versions: test.versions}}
			for i, software := range test.targets {
				v.Targets = append(v.Targets, roster.Target{ID: fleet.TargetID(rune('a' + i)), Service: "s", Address: "127.0.0.1:3", Software: software})
			}
			v.Freeze()
			req := newRequest()
			req.Resumption = test.resumption
			decision := c.Local.Choose(c.Clock(), v, req)
			if test.want == "" {
				require.NotNil(t, decision.Refusal)
				require.Equal(t, fleet.OutcomeNotRun, decision.Refusal.Outcome)
				require.Positive(t, decision.Refusal.RetryAfter)
				return
			}
			require.NotNil(t, decision.Grant)
			require.Equal(t, test.want, decision.Grant.Software)
		})
	}
}

// planning are the permissions of the planner.
type planning struct{ noPermissions }

func (planning) MayPlan() bool { return true }

// TestPlannerLearnsStreamsThatItHasNotGranted begins a stream while no planner answers. The next
// planner must be told which version began it, or it could not be taken up.
func TestPlannerLearnsStreamsThatItHasNotGranted(t *testing.T) {
	ctx, c, v := startChooserWith(t, planning{})
	req := newRequest()
	req.ID, req.Workspace, req.Resumable = "begun", "w", true
	decision := c.Choose(ctx, v, req)
	require.NotNil(t, decision.Grant)
	require.Empty(t, decision.Grant.By)
	c.Report(decision.Grant, plan.Started)
	time.Sleep(300 * time.Millisecond) // in which no planner can be told

	next := *v
	next.Duty = election.Record{Holder: "self", Address: self, Epoch: 4}
	c.Planner.SetPlanning(ctx, 4, true)
	require.Eventually(t, func() bool {
		again := newRequest()
		again.ID, again.Workspace, again.Resumable, again.Resumption = "again", "w", true, plan.Resumption{Resumes: true, Attempt: "begun"}
		decision := c.Choose(ctx, &next, again)
		return decision.Grant != nil && decision.Grant.By == self
	}, 3*time.Second, 50*time.Millisecond)
}
