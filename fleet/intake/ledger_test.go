package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
)

const second = fleet.Instant(time.Second)

func TestLedger(t *testing.T) {
	born := time.Unix(1, 0)
	listed := func(start time.Time) func(fleet.TargetID) (time.Time, bool) {
		return func(fleet.TargetID) (time.Time, bool) { return start, true }
	}
	unlisted := func(fleet.TargetID) (time.Time, bool) { return time.Time{}, false }
	life := intake.Life{Target: "t", Service: "s", StartTime: born}
	limit := intake.Limit{Named: true, Rate: 2}
	var l intake.Ledger
	require.Empty(t, l.Known(0, "s", listed(born)))
	require.False(t, l.Observe(second, life, limit).Named)
	require.Equal(t, []intake.Known{{Target: "t", Limit: limit, Age: time.Second}}, l.Known(2*second, "s", listed(born)))
	require.Empty(t, l.Known(2*second, "another", listed(born)), "of another service")
	require.Empty(t, l.Known(2*second, "s", unlisted))
	require.Len(t, l.Known(3*second, "s", listed(born)), 1, "an entry that lapsed and came back")
	require.Len(t, l.Known(3600*second, "s", listed(born)), 1, "time alone does not end a limit")

	require.Equal(t, limit, l.Observe(3601*second, life, intake.Limit{}))
	require.Empty(t, l.Known(3601*second, "s", listed(born)), "an answer that names no limit ends it")

	l.Observe(3602*second, life, limit)
	require.Empty(t, l.Known(3602*second, "s", listed(born.Add(time.Second))), "a successor under the same ID starts without a limit")
	require.Empty(t, l.Known(3602*second, "s", listed(born)))
}
