package chooser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func keys(list []start) (result []origin.Key) {
	for _, s := range list {
		result = append(result, s.Key)
	}
	return result
}

// TestStartsAreKeptUntilDelivered replays a planner that cannot be told for a while: starts stay in
// their order, those whose streams can't be taken up any more are dropped, and so are the oldest
// once there are too many.
func TestStartsAreKeptUntilDelivered(t *testing.T) {
	s := newStarts()
	s.add(at(0), origin.Start{Key: 1, Deadline: time.Second})
	s.add(at(time.Second), origin.Start{Key: 2, Deadline: time.Minute})
	taken := s.take(at(2 * time.Second))
	require.Equal(t, []origin.Key{1, 2}, keys(taken))
	require.Empty(t, s.take(at(2*time.Second)))
	s.add(at(3*time.Second), origin.Start{Key: 3})
	s.putBack(taken)
	require.Equal(t, []origin.Key{1, 2, 3}, keys(s.take(at(3*time.Second))))

	s.putBack(taken)
	require.Equal(t, []origin.Key{2}, keys(s.take(at(origin.MinRetention+time.Second))), "the first stream is over")

	for i := range maxStarts + 10 {
		s.add(at(0), origin.Start{Key: origin.Key(i)})
	}
	taken = s.take(at(0))
	require.Len(t, taken, maxStarts)
	require.Equal(t, origin.Key(10), taken[0].Key)
}
