package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
)

// Load pattern: a day with neither repeats nor cold targets, in which count is not
// called. If only count dropped old events, the window would grow by 8 bytes for
// each request.
func TestSlidingWindowStaysShortWithoutCount(t *testing.T) {
	const span = time.Second
	var w slidingWindow
	for i := range 100_000 {
		w.add(fleet.Instant(time.Duration(i)*10*time.Millisecond), span)
		require.LessOrEqual(t, len(w.times), int(span/(10*time.Millisecond))+2)
	}
	require.Equal(t, 101, w.count(fleet.Instant(99_999*10*time.Millisecond), span))
}
