package plan

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/prompt"
)

// TestEstimateOfCacheIsBounded guards against callers whose prompts have parts of one token: the
// planner kept a record of each part that it ever granted.
func TestEstimateOfCacheIsBounded(t *testing.T) {
	var index engineIndex
	engine := newTarget(&index)
	part := func(i int) cachestore.Part { return cachestore.Part{Salt: "m@1", ID: prompt.PartID(fmt.Sprint(i))} }
	for i := range 3 * maxCachedParts {
		engine.cache.markGranted(engine, part(i))
	}
	require.Len(t, engine.cache.parts, maxCachedParts)
	require.Len(t, index.engines, maxCachedParts, "the index has no more")
	require.Contains(t, engine.cache.parts, part(3*maxCachedParts-1), "the newest is kept")
	engine.cache.setTokens(engine, cachestore.Part{Salt: "m@1", ID: "reported"}, 100)
	require.Len(t, engine.cache.parts, maxCachedParts)
	require.EqualValues(t, 100, engine.cache.tokens)
	engine.cache.clear(engine)
	require.Empty(t, index.engines)
}

// TestReportedLongIDsAreIgnored guards against parts with IDs of thousands of bytes that an engine reports.
func TestReportedLongIDsAreIgnored(t *testing.T) {
	var f Fleet
	engine := newTarget(new(engineIndex))
	f.targets = map[fleet.TargetID]*target{"e": engine}
	for _, length := range []int{prompt.MaxPartIDBytes - 1, prompt.MaxPartIDBytes} {
		f.SetCachedTokens("e", cachestore.Part{Salt: "m@1", ID: prompt.PartID(strings.Repeat("x", length))}, 10)
	}
	require.Len(t, engine.cache.parts, 1)
}
