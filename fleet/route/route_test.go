package route_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

func ExampleTable_Match() {
	table := route.NewTable(route.Config{Routes: []route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "notes", Host: "a.example", Prefix: "/notes/"},
	}})
	fmt.Println(table.Match("a.example", "/notes/7").Name, table.Match("a.example", "/notes").Name)
	// Output: notes all
}

func TestMatch(t *testing.T) {
	table := route.NewTable(route.Config{Routes: []route.Route{
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/yy", "short"},
		{"b", "/x/y/1", "other"},
		{"a", "/x", ""},
		{"c", "/x/", ""},
	}
	for _, test := range tests {
		r := table.Match(test.host, test.path)
		if test.want == "" {
			require.Nil(t, r, "%s%s", test.host, test.path)
			continue
		}
		require.NotNil(t, r, "%s%s", test.host, test.path)
		require.Equal(t, test.want, r.Name)
	}
}

func TestServiceIsPickedByWeight(t *testing.T) {
	r := route.Route{Splits: []route.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := make(map[route.ServiceID]int)
	for hash := range uint64(1000) {
		counts[r.PickService(hash)]++
	}
	require.Equal(t, map[route.ServiceID]int{"a": 900, "b": 100}, counts)
	require.Empty(t, (&route.Route{}).PickService(7))
}

func TestNewerReturnsTableWithLargerNumber(t *testing.T) {
	older, newer := route.NewTable(route.Config{Number: 3}), route.NewTable(route.Config{Number: 8})
	require.Same(t, newer, route.Newer(older, newer))
	require.Same(t, newer, route.Newer(newer, older))
	require.Same(t, older, route.Newer(nil, older))
	require.Same(t, older, route.Newer(older, nil))
}

func TestRepeatable(t *testing.T) {
	tests := []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.Idempotent}, true},
		{route.Route{Kind: route.NonIdempotent}, false},
		{route.Route{Kind: route.Streaming}, false},
		{route.Route{Kind: route.Streaming, Resumable: true}, true},
		{route.Route{Kind: route.NonIdempotent, Resumable: true}, false},
	}
	for _, test := range tests {
		require.Equal(t, test.want, test.route.Repeatable(), "%+v", test.route)
	}
}

func TestWorkspaceByKey(t *testing.T) {
	table := route.NewTable(route.Config{Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k1", "k2"}}}})
	require.True(t, table.RequiresKey())
	require.Equal(t, fleet.WorkspaceID("w"), table.Workspace("k2").ID)
	require.Nil(t, table.Workspace("k3"))
	require.Nil(t, table.Workspace(""))
}
