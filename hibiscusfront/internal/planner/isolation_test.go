package planner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/view"
)

// isolationTable returns a configuration of an engine service and a cache store, with two
// workspaces of which w may be isolated.
func isolationTable(number fleet.Version, isolated bool, store fleet.Address) *route.Table {
	const gigabit = 1e9 / 8
	return route.NewTable(route.Config{
		Number: number, Workspaces: []route.Workspace{{ID: "w", Isolated: isolated}, {ID: "v"}},
		Services: []route.Service{
			{ID: "lm", Engine: &route.Engine{Slots: 64, CacheCapacity: 110_000, TokenBytes: 327_680, LinkRate: 740 * gigabit}},
			{ID: "kv", Store: &route.Store{Address: store, Capacity: 300_000, Managed: true}},
		},
	})
}

// isolationRequest returns a request that a workspace's host makes under the configuration.
func isolationRequest(workspace fleet.WorkspaceID, table *route.Table) *plan.Request {
	return &plan.Request{
		Service: "lm", Workspace: workspace, Isolation: plan.IsolationOf(table, workspace), Objective: time.Second, Deadline: time.Second,
		Prompt: &prompt.Prompt{Model: "m", Input: 9500, Output: 50, Parts: []prompt.Part{{ID: "file", Tokens: 9000}, {ID: "own", Tokens: 500}}},
	}
}

// TestDeputyFollowsNewerConfiguration guards against a deputy that grants the salt of an older
// configuration than the asking host knows, or than it knows itself.
func TestDeputyFollowsNewerConfiguration(t *testing.T) {
	_, address := startEngine(t)
	older, newer := isolationTable(1, false, "127.0.0.1:1"), isolationTable(2, true, "127.0.0.1:1")
	for _, test := range []struct {
		name         string
		host, deputy *route.Table
	}{{"deputy older", newer, older}, {"host older", older, newer}} {
		for _, workspace := range []fleet.WorkspaceID{"w", "v"} {
			t.Run(test.name+" "+string(workspace), func(t *testing.T) {
				ctx, p, _ := startPlanner(t, new(testPermissions))
				v := &view.View{Table: test.deputy, Targets: []roster.Target{{ID: "e", Service: "lm", Address: address, Models: []roster.Model{{ID: "m", Version: 1}}}}}
				p.SetView(ctx, v.Freeze())
				decision, err := p.Plan(ctx, isolationRequest(workspace, test.host), true)
				require.NoError(t, err)
				require.NotNil(t, decision.Grant)
				require.Equal(t, plan.Salt("m", 1, workspace, plan.IsolationOf(newer, workspace)), decision.Grant.Salt)
				require.Equal(t, newer.Number, decision.Grant.Configuration)
			})
		}
	}
}

// oddParts are parts under salts that are empty, malformed or not known. Null is read as empty.
const oddParts = `["","file",9000,"m"],[null,"file",9000,"m"],["m","file",9000,"m"],["m@","file",9000,"m"],["m@1~","file",9000,"m"],` +
	`["m@1/","file",9000,"m"],["m@1/v","file",9000,"m"],["m@01~x","file",9000,"m"],["m@1~unknown","file",9000,"m"],["%zz@1","file",9000,"m"],["m@1","file",9000,"m"]`

// startCache starts an engine or a cache store that holds parts, reports them as events as well, and
// restarts with other content when its incarnation changes.
func startCache(t *testing.T, incarnation *atomic.Uint64, held func(incarnation uint64) string) fleet.Address {
	t.Helper()
	cache := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		life := incarnation.Load()
		var parts []json.RawMessage
		if err := json.Unmarshal([]byte("["+held(life)+"]"), &parts); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		var events []string
		if since := r.URL.Query().Get("since"); since == "0" {
			for i, part := range parts {
				events = append(events, fmt.Sprintf(`[%d,"+",%s`, i, strings.TrimPrefix(string(part), "[")))
			}
		}
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprintf(w, `{"bootEpoch":%d,"nextToken":%d,"clock_ms":%d,"lost":false,"events":[%s],"held":[%s],"partial":[]}`,
			life, len(parts), time.Now().UnixMilli(), strings.Join(events, ","), held(life))
	}))
	t.Cleanup(cache.Close)
	return fleet.Address(strings.TrimPrefix(cache.URL, "http://"))
}

// TestOddSaltsOfEventsAndListsAreNotUsed guards against requests that are told to fetch parts which
// others have made: parts under odd salts, and parts of a store that restarted without them.
func TestOddSaltsOfEventsAndListsAreNotUsed(t *testing.T) {
	var engineLife, storeLife atomic.Uint64
	engineLife.Store(7)
	storeLife.Store(7)
	shared := isolationTable(2, true, "").Sharing()
	known := fmt.Sprintf(`["m@1~%s","file",9000,"m"]`, shared)
	engine := startCache(t, &engineLife, func(uint64) string { return oddParts })
	store := startCache(t, &storeLife, func(life uint64) string {
		if life == 8 {
			return oddParts + "," + known
		}
		return oddParts
	})
	d := new(testPermissions)
	d.holds.Store(true)
	ctx, p, _ := startPlanner(t, d)
	p.SetPlanning(ctx, 7, true)
	table := isolationTable(2, true, store)
	v := &view.View{Table: table, Targets: []roster.Target{{ID: "e", Service: "lm", Address: engine, Models: []roster.Model{{ID: "m", Version: 1}}}}}
	p.SetView(ctx, v.Freeze())
	awaitList := func(life uint64) {
		t.Helper()
		require.Eventually(t, func() bool {
			ready := make(chan bool, 1)
			p.enqueue(ctx, func(fleet.Instant) {
				s := p.fleet.StoreInventory(store)
				ready <- s != nil && s.Known() && s.Incarnation() == life && s.Contains(cachestore.Part{Salt: "m@1~unknown", ID: "file"}) && p.fleet.StoresAllowed
			})
			return <-ready
		}, 5*time.Second, 10*time.Millisecond)
	}
	fetches := func(workspace fleet.WorkspaceID) bool {
		t.Helper()
		decision, err := p.Plan(ctx, isolationRequest(workspace, table), false)
		require.NoError(t, err)
		require.NotNil(t, decision.Grant)
		stats := make(chan plan.Stats, 1)
		p.enqueue(ctx, func(now fleet.Instant) {
			stats <- p.fleet.Stats()
			p.fleet.Report(now, plan.Report{Number: decision.Grant.Number, Progress: plan.Rejected})
		})
		require.Zero(t, (<-stats).CachedTokens, "found in the engine under another salt")
		return decision.Grant.Fetch != nil
	}
	awaitList(7)
	require.False(t, fetches("w"), "an isolated workspace")
	require.False(t, fetches("v"))
	storeLife.Store(8)
	awaitList(8)
	require.False(t, fetches("w"), "an isolated workspace")
	require.True(t, fetches("v"), "the store holds the part under the salt of the configuration")
	storeLife.Store(9)
	awaitList(9)
	require.False(t, fetches("v"), "the store has restarted without the part")
}
