package chooser_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/view"
)

// TestHostAloneKeepsToTheStage guards against a host that chooses without a planner and sends requests
// to a version on trial or a rejected one, or to old targets that stop.
func TestHostAloneKeepsToTheStage(t *testing.T) {
	order := rollout.Order{Service: "s", To: "v2", Duration: 12 * time.Second}
	third, back := order, order
	third.To, back.To = "v3", "v1"
	for name, c := range map[string]struct {
		known        rollout.Known
		onlyNew      bool // no old targets
		want, stream fleet.Software
	}{
		"not begun":          {rollout.Known{Order: &order}, false, "v1", ""},
		"canary":             {rollout.Known{Order: &order, Record: &rollout.Record{Order: order}}, false, "v1", ""},
		"promoted":           {rollout.Known{Order: &order, Record: &rollout.Record{Order: order, Stage: rollout.Promoted}}, false, "v2", "v2"},
		"completed":          {rollout.Known{Order: &order, Record: &rollout.Record{Order: order, Stage: rollout.Completed}}, false, "v2", "v2"},
		"rolled back":        {rollout.Known{Order: &order, Record: &rollout.Record{Order: order, Stage: rollout.RolledBack}}, false, "v1", ""},
		"order deleted":      {rollout.Known{Record: &rollout.Record{Order: order, Stage: rollout.RolledBack, Withdrawn: true}}, false, "v1", ""},
		"deleted, new alone": {rollout.Known{Record: &rollout.Record{Order: order, Stage: rollout.RolledBack, Withdrawn: true}}, true, "v2", "v2"},
		"another order":      {rollout.Known{Order: &order, Record: &rollout.Record{Order: rollout.Order{Service: "s", To: "v0"}, Stage: rollout.Completed}}, false, "v1", ""},
		"second order":       {rollout.Known{Order: &third, Record: &rollout.Record{Order: order}}, false, "v1", ""},
		"back":               {rollout.Known{Order: &back, Record: &rollout.Record{Order: order, Stage: rollout.RolledBack}}, false, "v1", ""},
		"ended before":       {rollout.Known{Order: &order, Settled: true, Final: rollout.Completed}, false, "v2", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			v := &view.View{Rollouts: map[route.ServiceID]view.Rollout{"s": {Known: c.known}}}
			for i := range 6 {
				software := fleet.Software(fmt.Sprint("v", 1+i%2))
				if c.onlyNew {
					software = "v2"
				}
				v.Targets = append(v.Targets, roster.Target{ID: fleet.TargetID(fmt.Sprint("t", i)), Service: "s", Software: software})
			}
			v.Freeze()
			for i := range 30 {
				d := chooser.Local{}.Choose(0, v, &plan.Request{ID: fleet.RequestID(fmt.Sprint(i)), Service: "s"})
				require.NotNil(t, d.Grant)
				require.Equal(t, c.want, d.Grant.Software)
			}
			d := chooser.Local{}.Choose(0, v, &plan.Request{Service: "s", Resumption: plan.Resumption{Resumes: true, Known: true, Software: "v2"}})
			if c.stream == "" {
				require.Nil(t, d.Grant, "a stream of the version on trial")
				return
			}
			require.Equal(t, c.stream, d.Grant.Software)
		})
	}
}
