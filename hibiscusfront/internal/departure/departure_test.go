package departure_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
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
	for _, after := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
		_, short := d.Admit(now.Add(after), now.Add(after+time.Second))
		_, long := d.Admit(now.Add(after), now.Add(after+time.Minute))
		fmt.Println(d.Phase(now.Add(after)), short, long)
	}
	// Output:
	// leaving true true
	// draining true false
	// closing true false
}

// TestAdmit replays requests that come before and during a stop.
func TestAdmit(t *testing.T) {
	begin := time.Unix(1000, 0)
	s := departure.NewSchedule(begin, settings)
	for _, test := range []struct {
		name          string
		after, budget time.Duration
		want          bool
		until         time.Time
	}{
		{"short, before", -time.Second, time.Second, true, begin},
		{"long, before", -time.Second, time.Minute, true, begin.Add(59 * time.Second)},
		{"short, leaving", time.Second, time.Second, true, begin.Add(2 * time.Second)},
		{"long, leaving", time.Second, time.Minute, true, s.Cut},
		{"short, draining", 3 * time.Second, time.Second, true, begin.Add(4 * time.Second)},
		{"long, draining", 3 * time.Second, time.Minute, false, s.Cut},
		{"short, closing", 5 * time.Second, time.Second, true, begin.Add(6 * time.Second)},
		{"long, closing", 5 * time.Second, 3 * time.Second, false, s.Cut},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := begin.Add(test.after)
			until, ok := s.Admit(now, now.Add(test.budget))
			require.Equal(t, test.want, ok)
			require.Equal(t, test.until, until)
		})
	}
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
			require.False(t, s.Cut.Before(s.Close))
			require.True(t, s.End.After(s.Cut))
			require.LessOrEqual(t, s.Drain.Sub(begin)+600*time.Millisecond, 3*time.Second)
		}
	}
}

// TestNothingIsPassedOnOnceIdleConnectionsAreClosed guards against a request that is read while
// its connection is closed, and runs without an answer.
func TestNothingIsPassedOnOnceIdleConnectionsAreClosed(t *testing.T) {
	var d departure.Departure
	begin := time.Unix(1000, 0)
	schedule := d.Begin(begin, settings)
	_, ok := d.Admit(schedule.Close, schedule.Close.Add(time.Second))
	require.True(t, ok)
	d.CloseIdle()
	_, ok = d.Admit(schedule.Close, schedule.Close.Add(time.Second))
	require.False(t, ok)
}

func TestBeginTwiceKeepsSchedule(t *testing.T) {
	var d departure.Departure
	begin := time.Unix(1000, 0)
	first := d.Begin(begin, settings)
	require.Equal(t, first, d.Begin(begin.Add(time.Second), settings))
	require.True(t, d.Leaving())
}

// TestIdleConnectionsAreKeptWhileRequestsCome guards against requests that came just when idle
// connections were closed: some callers kept the address for longer than expected.
func TestIdleConnectionsAreKeptWhileRequestsCome(t *testing.T) {
	var d departure.Departure
	handler := d.CallersHandler(time.Second, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	ask := func() { handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) }
	begin := time.Now()
	ask()
	schedule := d.Begin(begin, departure.Settings{})
	d.Handler(time.Second, http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil)) // a probe or a look-up
	require.Zero(t, d.QuietFor(schedule.Close), "no request has come since the stop began")
	ask()
	require.Positive(t, d.QuietFor(time.Now()))
	require.Zero(t, d.QuietFor(time.Now().Add(time.Second)))
	require.Zero(t, d.QuietFor(schedule.Cut))
}
