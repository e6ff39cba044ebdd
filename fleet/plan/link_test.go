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

// Load pattern: a cache store's link is eight times slower than its nominal rate, and
// ten fetches from it end in a second. The
// expected time of a fetch must come close to the actual one, whatever was expected
// before, and must not change while fetches take as long as expected.
func TestExpectedFetchTimeFollowsSlowLink(t *testing.T) {
	const nominal, read, slowdown = 100 * time.Millisecond, 60 * time.Millisecond, 8.0
	s := &store{}
	e := &target{service: &service{}}
	now := fleet.Instant(time.Hour)
	fetch := func(actual time.Duration) {
		now = now.Add(100 * time.Millisecond)
		expected := time.Duration(float64(nominal) * s.link.slowdown(now))
		ag := &activeGrant{
			target: e, grantedAt: now.Add(-actual - read), fetchStores: []*store{s}, transfer: nominal, slowdown: s.link.slowdown(now),
			fetchTime: expected, firstPiece: expected + read,
		}
		e.pending++
		e.startGrant(now, ag)
	}
	for range 20 {
		fetch(slowdown * nominal)
	}
	require.InDelta(t, slowdown, s.link.slowdown(now), 0.3*slowdown)
	s.link = linkEstimate{}
	for range 20 {
		fetch(nominal)
	}
	require.InDelta(t, 1, s.link.slowdown(now), 0.01)
}
