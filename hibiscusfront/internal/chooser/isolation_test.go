package chooser_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
)

// TestHostThatChoosesAloneIsolates guards against a host without planner and deputy that lets a
// request use parts of an isolated workspace, or whose grant does not name the configuration by
// which the gateway tells that it was replaced while the others were asked.
func TestHostThatChoosesAloneIsolates(t *testing.T) {
	table := route.NewTable(route.Config{Number: 5, Workspaces: []route.Workspace{{ID: "w", Isolated: true}, {ID: "v"}}})
	for _, workspace := range []fleet.WorkspaceID{"w", "v", "removed"} {
		ctx, c, v := startChooser(t)
		v.Targets = []roster.Target{{ID: "e", Service: "s", Address: "127.0.0.1:3", Models: []roster.Model{{ID: "m", Version: 1}}}}
		v.Freeze()
		req := newRequest()
		req.Workspace, req.Isolation = workspace, plan.IsolationOf(table, workspace)
		req.Prompt = &prompt.Prompt{Model: "m", Parts: []prompt.Part{{ID: "file", Tokens: 100}, {ID: "own", Tokens: 10}}}
		decision := c.Choose(ctx, v, req)
		require.NotNil(t, decision.Grant)
		require.Empty(t, decision.Grant.By, "not chosen alone")
		require.Equal(t, plan.Salt("m", 1, workspace, req.Isolation), decision.Grant.Salt)
		require.NotEqual(t, plan.Salt("m", 1, workspace, plan.Isolation{}), decision.Grant.Salt)
		require.Equal(t, fleet.Version(5), decision.Grant.Configuration)
		require.Empty(t, decision.Grant.Fetch)
		require.Empty(t, decision.Grant.Save)
		isolating := table.Config
		isolating.Number, isolating.Workspaces = 6, []route.Workspace{{ID: "w"}, {ID: "v", Isolated: true}}
		require.Equal(t, workspace == "removed", decision.Grant.AllowedUnder(route.NewTable(isolating), "m", workspace))
	}
}
