package departure_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/departure"
)

var settings = departure.Settings{Grace: 8 * time.Second, AddressTTL: time.Second}

func Example() {
	var d departure.Departure
	now := time.Unix(0, 0).UTC()
	d.Begin(now, departure.Settings{Grace: 8 * time.Second, AddressTTL: time.Second})
	for _, after := range []time.Duration{0, 3 * time.Second, 4 * time.Second} {
		fmt.Println(d.Phase(now.Add(after)))
	}
	// Output:
	// leaving
	// draining
	// closing
}

// TestScheduleOrder checks the order of the phases, and that no request which the host may cut
// is sent later than 3 s after a signal that it acts on 0.6 s late.
func TestScheduleOrder(t *testing.T) {
	begin := time.Unix(1000, 0)
	for _, grace := range []time.Duration{0, time.Second, 5 * time.Second, 8 * time.Second, time.Minute} {
		for _, ttl := range []time.Duration{0, 200 * time.Millisecond, time.Second, 5 * time.Second, time.Hour} {
			s := departure.NewSchedule(begin, departure.Settings{Grace: grace, AddressTTL: ttl})
			require.False(t, s.Drain.Before(s.Leave))
			require.False(t, s.Close.Before(s.Drain))
			require.False(t, s.End.Before(s.Close))
			require.LessOrEqual(t, s.Drain.Sub(begin)+600*time.Millisecond, 3*time.Second)
		}
	}
}

func TestBeginTwiceKeepsSchedule(t *testing.T) {
	var d departure.Departure
	begin := time.Unix(1000, 0)
	first := d.Begin(begin, settings)
	require.Equal(t, first, d.Begin(begin.Add(time.Second), settings))
	require.True(t, d.Leaving())
}
