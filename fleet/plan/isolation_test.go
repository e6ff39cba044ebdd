package plan_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
)

// configurationOf returns a configuration of the engine service in which the workspaces from w0
// on exist and those that are set are isolated.
func configurationOf(number fleet.Version, isolated ...bool) *route.Table {
	config := route.Config{Number: number, Services: services()}
	for i, set := range isolated {
		config.Workspaces = append(config.Workspaces, route.Workspace{ID: fleet.WorkspaceID(fmt.Sprint("w", i)), Isolated: set})
	}
	return route.NewTable(config)
}

// TestIsolatedWorkspaceSharesNothingThatItMade guards against a workspace that a configuration
// isolates and whose earlier parts others go on to use.
//
// Load pattern: four workspaces ask on the same parts. Configurations isolate some of them, end
// that, and isolate them again.
func TestIsolatedWorkspaceSharesNothingThatItMade(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		makers := make(map[string]map[fleet.WorkspaceID]bool) // of the parts under a salt
		isolated := make([]bool, 4)
		for number := range fleet.Version(40) {
			table := configurationOf(number+1, isolated...)
			for range 20 {
				w := table.Workspaces[random.IntN(len(isolated))]
				salt := plan.Salt(model, 1, w.ID, plan.IsolationOf(table, w.ID))
				for maker := range makers[salt] {
					if maker != w.ID {
						require.False(t, w.Isolated, "seed %d: isolated %s uses parts of %s", seed, w.ID, maker)
						require.False(t, table.WorkspaceByID(maker).Isolated, "seed %d: %s uses parts of isolated %s", seed, w.ID, maker)
					}
				}
				if makers[salt] == nil {
					makers[salt] = make(map[fleet.WorkspaceID]bool)
				}
				makers[salt][w.ID] = true
			}
			isolated[random.IntN(len(isolated))] = random.IntN(2) == 0
		}
	}
}

func TestSharingDependsOnIsolatedWorkspacesAlone(t *testing.T) {
	require.Empty(t, configurationOf(1, false, false).Sharing())
	one := configurationOf(1, true, false).Sharing()
	require.NotEmpty(t, one)
	require.Equal(t, one, configurationOf(9, true, false, false).Sharing())
	require.NotEqual(t, one, configurationOf(1, false, true).Sharing())
	require.NotEqual(t, one, configurationOf(1, true, true).Sharing())
	a := route.NewTable(route.Config{Workspaces: []route.Workspace{{ID: "ab", Isolated: true}, {ID: "c", Isolated: true}}})
	b := route.NewTable(route.Config{Workspaces: []route.Workspace{{ID: "a", Isolated: true}, {ID: "bc", Isolated: true}}})
	require.NotEqual(t, a.Sharing(), b.Sharing())
}

// TestNewerConfigurationIsolatesRequestsUnderWay has hosts ask under a configuration that the
// planner knows to be old, or that is replaced while the request waits.
func TestNewerConfigurationIsolatesRequestsUnderWay(t *testing.T) {
	older, newer := configurationOf(1, false, false), configurationOf(2, true, false)
	request := func(workspace fleet.WorkspaceID, table *route.Table) *plan.Request {
		req := newRequest(800*time.Millisecond, filePrompt("file")...)
		req.Workspace, req.Isolation = workspace, plan.IsolationOf(table, workspace)
		return req
	}
	for _, test := range []struct {
		name          string
		workspace     fleet.WorkspaceID
		host, planner *route.Table
		want          *route.Table
	}{
		{"both older", "w1", older, older, older},
		{"host older", "w1", older, newer, newer},
		{"planner older", "w1", newer, older, newer},
		{"host older, workspace isolated", "w0", older, newer, newer},
		{"planner older, workspace isolated", "w0", newer, older, newer},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, engines(1))
			f.SetConfiguration(at(0), test.planner)
			req := request(test.workspace, test.host)
			decision, ok := f.Submit(at(0), req)
			require.True(t, ok)
			require.Same(t, req, decision.Request)
			require.Equal(t, plan.Salt(model, 1, test.workspace, plan.IsolationOf(test.want, test.workspace)), decision.Grant.Salt)
			require.Equal(t, test.want.Number, decision.Grant.Configuration)
		})
	}
	t.Run("replaced while the request waits", func(t *testing.T) {
		entries := engines(1)
		entries[0].Slots = 1
		f := newFleet(t, entries)
		f.SetConfiguration(at(0), older)
		var waiting *plan.Request
		for range 200 {
			req := request("w0", older)
			if _, ok := f.Submit(at(0), req); !ok {
				waiting = req
				break
			}
		}
		require.NotNil(t, waiting)
		f.SetConfiguration(at(10*time.Millisecond), newer)
		f.SetTargets(at(10*time.Millisecond), engines(4), nil)
		decisions := f.Tick(at(20 * time.Millisecond))
		require.Len(t, decisions, 1)
		require.Same(t, waiting, decisions[0].Request)
		require.NotNil(t, decisions[0].Grant)
		require.Equal(t, plan.Salt(model, 1, "w0", plan.IsolationOf(newer, "w0")), decisions[0].Grant.Salt)
	})
}

// A request of a workspace that is gone from the configuration shares nothing.
func TestRemovedWorkspaceSharesNothing(t *testing.T) {
	table := configurationOf(1, true)
	require.True(t, plan.IsolationOf(table, "removed").Isolated)
	require.False(t, plan.IsolationOf(table, "").Isolated)
	require.False(t, plan.IsolationOf(table, "").Sharing == "")
}

// TestGrantAllowedUnderConfiguration guards against a grant that is used although a configuration
// that its host knows by now gives the request another salt, and against grants that are given
// back for nothing.
func TestGrantAllowedUnderConfiguration(t *testing.T) {
	granted := configurationOf(5, false, false)
	for _, test := range []struct {
		name  string
		known *route.Table
		want  bool
	}{
		{"none", nil, true},
		{"the same", granted, true},
		{"older", configurationOf(4, true, false), true},
		{"newer, nobody isolated", configurationOf(6, false, false), true},
		{"newer, the workspace isolated", configurationOf(6, true, false), false},
		{"newer, another one isolated", configurationOf(6, false, true), false},
		{"newer, without the workspace", configurationOf(6), false},
	} {
		g := &plan.Grant{Version: 1, Salt: plan.Salt(model, 1, "w0", plan.IsolationOf(granted, "w0")), Configuration: 5}
		require.Equal(t, test.want, g.AllowedUnder(test.known, model, "w0"), test.name)
	}
	require.True(t, new(plan.Grant).AllowedUnder(configurationOf(6, true), model, "w0"), "uses no cache")
}

// overHeader returns a text as it arrives in a header of HTTP/1.1.
func overHeader(t *testing.T, text string) string {
	t.Helper()
	var b strings.Builder
	require.NoError(t, http.Header{"Salt": {text}}.Write(&b))
	h, err := textproto.NewReader(bufio.NewReader(strings.NewReader(b.String() + "\r\n"))).ReadMIMEHeader()
	require.NoError(t, err)
	return h.Get("Salt")
}

// TestSaltsOfOddNamesDiffer guards against isolated workspaces that share a cache since their
// salts become the same in a header, or since a separator is part of a name.
func TestSaltsOfOddNamesDiffer(t *testing.T) {
	salts := make(map[string]string)
	for _, m := range []fleet.ModelID{"m", "org/m", "m@1", "m@1/w", "m~", " m", "m\n"} {
		for _, w := range []fleet.WorkspaceID{"w", " w", "w ", "w\t", "w\n", "w\r", "a b", "a\nb", "a+b", "a%20b", "w@1", "w~", "ä", ""} {
			name := fmt.Sprintf("%q %q", m, w)
			salt := overHeader(t, plan.Salt(m, 1, w, plan.Isolation{Isolated: true}))
			require.Empty(t, salts[salt], "salt %q is also that of %s", salt, name)
			salts[salt] = name
		}
		for _, sharing := range []route.Sharing{"", "ab"} {
			salt := overHeader(t, plan.Salt(m, 1, "w", plan.Isolation{Sharing: sharing}))
			require.Empty(t, salts[salt], "salt %q is also that of %q shared", salt, m)
			salts[salt] = fmt.Sprintf("%q shared", m)
		}
	}
	require.Equal(t, "m@1/pulo780", plan.Salt("m", 1, "pulo780", plan.Isolation{Isolated: true}), "usual names stay readable")
}

// TestStoresKeepPartsOfOddModels guards against parts that are freed at once since the model of
// their salt is not recognized.
func TestStoresKeepPartsOfOddModels(t *testing.T) {
	f := newFleet(t, engines(1))
	s := f.StoreInventory(nearStore)
	for i, m := range []fleet.ModelID{"m", "org/m", "m@1", "m~", " m"} {
		p := cachestore.Part{Salt: plan.Salt(m, 1, "w", plan.Isolation{}), ID: "a"}
		s.ApplyStored(at(0), 1, uint64(i+1), p, 100)
		require.True(t, s.Readable(p))
		require.Empty(t, f.Evictions(at(second)), "%q", m)
	}
}

// TestWorkspaceIsIsolatedIfOneEntryIsolatesIt guards against a configuration that names a workspace
// twice, whose last entry decided alone.
func TestWorkspaceIsIsolatedIfOneEntryIsolatesIt(t *testing.T) {
	for _, isolated := range [][]bool{{true, false}, {false, true}} {
		config := route.Config{Number: 1}
		for i, set := range isolated {
			config.Workspaces = append(config.Workspaces, route.Workspace{ID: "w", Keys: []route.Key{route.Key(fmt.Sprint("k", i))}, Isolated: set})
		}
		table := route.NewTable(config)
		require.True(t, plan.IsolationOf(table, "w").Isolated, "%v", isolated)
		require.Equal(t, fleet.WorkspaceID("w"), table.Workspace("k1").ID)
	}
}

// TestWorkspaceWithoutKeysStaysIsolated guards against a set of isolated workspaces that goes back
// to an earlier one while a workspace has no keys: others would find what it made under that one.
func TestWorkspaceWithoutKeysStaysIsolated(t *testing.T) {
	withKeys := func(number fleet.Version, keys ...route.Key) *route.Table {
		return route.NewTable(route.Config{Number: number, Workspaces: []route.Workspace{{ID: "w", Keys: keys, Isolated: true}, {ID: "v"}}})
	}
	lost, regained := withKeys(2), withKeys(3, "new")
	require.Equal(t, withKeys(1, "old").Sharing(), lost.Sharing())
	require.NotEmpty(t, lost.Sharing())
	require.True(t, plan.IsolationOf(lost, "w").Isolated)
	require.Equal(t, plan.IsolationOf(regained, "w").Sharing, plan.IsolationOf(lost, "w").Sharing)
}

// TestFetchUnderWayIsNotFoundAfterChange guards against parts that an engine receives, and a store
// reports as saved, after a configuration came into force that isolates the workspace that made them.
func TestFetchUnderWayIsNotFoundAfterChange(t *testing.T) {
	older, newer := configurationOf(1, false, false), configurationOf(2, true, false)
	f := newFleet(t, engines(2))
	f.SetConfiguration(at(0), older)
	request := func(workspace fleet.WorkspaceID, table *route.Table) *plan.Request {
		req := newRequest(second, filePrompt("file")...)
		req.Workspace, req.Isolation = workspace, plan.IsolationOf(table, workspace)
		return req
	}
	made := request("w0", older)
	first := mustGrant(t, f, at(0), made)
	require.NotEmpty(t, first.Save)
	f.SetConfiguration(at(second), newer)
	for i, part := range made.Prompt.Shared() {
		p := cachestore.Part{Salt: first.Salt, ID: part.ID}
		f.SetCachedTokens(first.Target, p, part.Tokens)
		f.StoreInventory(first.Save[i]).ApplyStored(at(second), 1, uint64(i+1), p, part.Tokens)
	}
	reportDone(f, at(second), first)
	for _, workspace := range []fleet.WorkspaceID{"w0", "w1"} {
		before := f.Stats()
		g := mustGrant(t, f, at(2*second), request(workspace, older))
		require.NotEqual(t, first.Salt, g.Salt)
		require.Empty(t, g.Fetch)
		require.Equal(t, before.CachedTokens, f.Stats().CachedTokens, "%s uses what w0 made before", workspace)
	}
	f.SetConfiguration(at(3*second), configurationOf(3, false, false))
	before := f.Stats()
	mustGrant(t, f, at(3*second), request("w1", configurationOf(3, false, false)))
	require.Greater(t, f.Stats().CachedTokens+f.Stats().FetchedTokens, before.CachedTokens+before.FetchedTokens, "nobody is isolated any more")
}
