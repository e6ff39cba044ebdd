package wire_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// largeConfiguration returns a configuration with the given number of routes.
func largeConfiguration(t *testing.T, routes int) platform.Object {
	t.Helper()
	var list []map[string]any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("hena%d", i), "host": "kapu2.example", "pathPrefix": fmt.Sprintf("/sevo%d/ti%d/", i*7919%9973, i),
			"kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 800, "priority": i % 5, "attempts": 2,
			"trafficSplit": []map[string]any{{"service": "dawu23a", "weight": 1}}, "sticky": true, "resumable": true, "gapAimMs": 500,
		})
	}
	spec, err := json.Marshal(map[string]any{"version": 12, "routes": list})
	require.NoError(t, err)
	return platform.Object{Kind: "config", Name: "main", Revision: fleet.Revision{Era: 2, Number: 40}, Spec: spec}
}

// Load pattern: a configuration grows to 1,400 routes in a fleet of 300 hosts. The
// planner sends it to all of them within a second over a link of 200 Mbit/s.
func TestLargeConfigurationReachesLargeFleetInTime(t *testing.T) {
	const hosts, linkRate = 300, 200_000_000 / 8
	changes := platform.Changes{Revision: fleet.Revision{Era: 2, Number: 40}, Changes: []platform.Change{{Object: largeConfiguration(t, 1400)}}}
	packed, err := wire.Pack(changes)
	require.NoError(t, err)
	require.Less(t, hosts*len(packed), linkRate)
	var unpacked platform.Changes
	require.NoError(t, wire.Unpack(packed, &unpacked))
	require.Equal(t, changes, unpacked)
}

func TestUnpackRejectsDamagedContent(t *testing.T) {
	packed, err := wire.Pack(platform.Listing{Revision: fleet.Revision{Era: 2, Number: 3}})
	require.NoError(t, err)
	var listing platform.Listing
	require.Error(t, wire.Unpack(packed[:len(packed)/2], &listing))
	require.Error(t, wire.Unpack([]byte("x"), &listing))
}
