package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
)

const second = fleet.Instant(time.Second)

func TestLimitLastsUntilAnAnswerNamesNone(t *testing.T) {
	born := time.Unix(1, 0)
	listed := func(start time.Time) func(fleet.TargetID) (time.Time, bool) {
		return func(fleet.TargetID) (time.Time, bool) { return start, true }
	}
	unlisted := func(fleet.TargetID) (time.Time, bool) { return time.Time{}, false }
	life := intake.Life{Target: "t", Service: "s", StartTime: born}
	limit := intake.Limit{Named: true, Rate: 2}
	var l intake.Ledger
	require.Empty(t, l.Known(0, "s", listed(born)))
	require.False(t, l.Observe(second, life, intake.Notice{Limit: limit}).Limit.Named)
	require.Equal(t, []intake.Known{{Target: "t", Limit: limit, Age: time.Second}}, l.Known(2*second, "s", listed(born)))
	require.Empty(t, l.Known(2*second, "another", listed(born)), "of another service")
	require.Empty(t, l.Known(2*second, "s", unlisted))
	require.Len(t, l.Known(3*second, "s", listed(born)), 1, "an entry that lapsed and came back")
	require.Len(t, l.Known(3600*second, "s", listed(born)), 1, "time alone does not end a limit")

	require.Equal(t, limit, l.Observe(3601*second, life, intake.Notice{}).Limit)
	require.Empty(t, l.Known(3601*second, "s", listed(born)), "an answer that names no limit ends it")

	l.Observe(3602*second, life, intake.Notice{Limit: limit})
	require.Empty(t, l.Known(3602*second, "s", listed(born.Add(time.Second))), "a successor under the same ID starts without a limit")
	require.Empty(t, l.Known(3602*second, "s", listed(born)))
}

func TestBrittleLastsUntilAnAnswerNamesNone(t *testing.T) {
	born := time.Unix(1, 0)
	roster := func(fleet.TargetID) (time.Time, bool) { return born, true }
	life := intake.Life{Target: "t", Service: "s", StartTime: born}
	brittle := intake.Brittle{Named: true}
	var l intake.Ledger
	require.Zero(t, l.Observe(second, life, intake.Notice{Brittle: brittle}))
	require.Equal(t, []intake.Known{{Target: "t", Brittle: brittle, Age: time.Hour}}, l.Known(3601*second, "s", roster))
	closed, _ := l.Closed(second, "s", roster)
	require.Empty(t, closed, "it takes what finds room")
	require.Equal(t, brittle, l.Observe(3601*second, life, intake.Notice{}).Brittle)
	require.Empty(t, l.Known(3601*second, "s", roster))
	l.Observe(3602*second, life, intake.Notice{Brittle: brittle})
	require.Empty(t, l.Known(3602*second, "s", func(fleet.TargetID) (time.Time, bool) { return born.Add(time.Second), true }), "its next life has said nothing")
}

func TestPauseEndsAfterItsTimeAndLeavingNever(t *testing.T) {
	born := time.Unix(1, 0)
	roster := func(fleet.TargetID) (time.Time, bool) { return born, true }
	paused := intake.Life{Target: "paused", Service: "s", StartTime: born}
	leaving := intake.Life{Target: "leaving", Service: "s", StartTime: born}
	l := intake.Ledger{MaxPause: 10 * time.Second}
	l.Observe(second, paused, intake.Notice{Pause: 3 * time.Second})
	l.Observe(second, leaving, intake.Notice{Leaving: true})
	closed, soonest := l.Closed(2*second, "s", roster)
	require.Equal(t, []fleet.TargetID{"leaving", "paused"}, closed)
	require.Equal(t, 2*time.Second, soonest)
	closed, _ = l.Closed(2*second, "another", roster)
	require.Empty(t, closed)
	require.Equal(t, []intake.Known{{Target: "leaving", Leaving: true, Age: time.Second}}, l.Known(2*second, "s", roster),
		"a pause concerns this host alone")

	l.Observe(2*second, paused, intake.Notice{Pause: time.Second})
	l.Observe(2*second, intake.Life{Target: "paused", Service: "s"}, intake.Notice{})
	l.Observe(2*second, leaving, intake.Notice{})
	closed, _ = l.Closed(3*second, "s", roster)
	require.Equal(t, []fleet.TargetID{"leaving", "paused"}, closed, "a later answer shortens no pause and takes no leaving back")
	closed, soonest = l.Closed(4*second, "s", roster)
	require.Equal(t, []fleet.TargetID{"leaving"}, closed)
	require.Zero(t, soonest)

	l.Observe(5*second, paused, intake.Notice{Pause: 7 * 24 * time.Hour})
	_, soonest = l.Closed(5*second, "s", roster)
	require.Equal(t, l.MaxPause, soonest, "a pause of a week is not believed")
	closed, _ = l.Closed(6*second, "s", func(fleet.TargetID) (time.Time, bool) { return born.Add(time.Second), true })
	require.Empty(t, closed, "successors under the same IDs start with nothing")
}

// Load pattern: a target starts again under its ID while it is busy. What it said in its life
// before must not be taken for what it has said now.
func TestAnswerOfNewLifeBeginsNewRecord(t *testing.T) {
	born := time.Unix(1, 0)
	l := intake.Ledger{MaxPause: 10 * time.Second}
	limit := intake.Limit{Named: true, Rate: 3}
	l.Observe(second, intake.Life{Target: "t", Service: "s", StartTime: born}, intake.Notice{Limit: limit, Leaving: true, Pause: 5 * time.Second})
	again := intake.Life{Target: "t", Service: "s", StartTime: born.Add(time.Second)}
	require.Zero(t, l.Observe(2*second, again, intake.Notice{Limit: limit}), "the new life has said nothing yet")
	closed, _ := l.Closed(2*second, "s", func(fleet.TargetID) (time.Time, bool) { return again.StartTime, true })
	require.Empty(t, closed)
}
