package meter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
)

func TestSeriesLimit(t *testing.T) {
	var h meter.Histograms
	const workspaces = 23_000
	for i := range workspaces {
		h.Record(meter.Series{Workspace: fleet.WorkspaceID(fmt.Sprint(i)), Class: "nudge"}, time.Millisecond)
	}
	summaries := h.Summaries()
	require.Len(t, summaries, meter.SeriesLimit+1)
	var total int64
	for _, summary := range summaries {
		total += summary.Count
	}
	require.Equal(t, int64(workspaces), total, "durations of evicted histograms must be in the shared one")
}
