package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
)

// Load pattern: a store's link is slow for a while.
func TestLinkSlowdownIsEstimatedAndDecays(t *testing.T) {
	var l linkEstimate
	now := fleet.Instant(time.Hour)
	const nominal = 30 * time.Millisecond
	require.InDelta(t, 1, l.slowdown(now), 0)
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		l.observe(now, nominal, 4*nominal)
	}
	require.InDelta(t, 4, l.slowdown(now), 0.7)
	require.InDelta(t, 1, l.slowdown(now.Add(20*time.Second)), 0.1, "the excess decays without transfers")
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		l.observe(now, nominal, nominal)
	}
	require.InDelta(t, 1, l.slowdown(now), 0.1)
}

func TestLinkTransfersAreQueued(t *testing.T) {
	var l linkEstimate
	now := fleet.Instant(time.Hour)
	l.reserve(now, 30*time.Millisecond)
	l.reserve(now, 30*time.Millisecond)
	require.Equal(t, 60*time.Millisecond, l.wait(now))
	require.Zero(t, l.wait(now.Add(time.Second)))
}

// A single late first piece must not make a link appear unusable.
func TestOneLateTransferHasLimitedEffect(t *testing.T) {
	var l linkEstimate
	now := fleet.Instant(time.Hour)
	l.observe(now, time.Millisecond, 10*time.Second)
	require.LessOrEqual(t, l.slowdown(now), 1+excessWeight*maxExcess)
}
