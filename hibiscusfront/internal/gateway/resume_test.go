package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
)

// TestResumedStreamNamesItsVersion guards against second1: within one answer, a host resumed a
// stream at another version of the engines' software than the one that wrote its first event.
func TestResumedStreamNamesItsVersion(t *testing.T) {
	resumable := route.Route{Kind: route.Streaming, Resumable: true, Attempts: 4}
	b := startGateway(t, resumable, abort, stream(1, 2, false), stream(3, 4, false), stream(5, 6, true))
	for i, software := range []fleet.Software{"v1", "v2", "v2", "v2"} {
		b.grants[i].Software = software
	}
	_, _, body, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, eventsTo(6), body)
	known := plan.Resumption{Resumes: true, Known: true, Software: "v2"}
	for i, want := range []plan.Resumption{{}, {}, known, known} {
		require.Equal(t, want, b.requests[i].Resumption, "choice %d", i)
		require.True(t, b.requests[i].Resumable)
	}
}

// A stream whose version is not known is refused: the caller may come back, and nothing has run.
func TestTakenUpStreamNamesItsAttempt(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	for _, test := range []struct {
		name    string
		headers map[string]string
		want    plan.Resumption
	}{
		{"names the attempt", map[string]string{"Last-Event-Id": "7", "Resumes": "8b30"}, plan.Resumption{Resumes: true, Attempt: "8b30"}},
		{"names none", map[string]string{"Last-Event-Id": "7"}, plan.Resumption{Resumes: true}},
		{"names something long", map[string]string{"Last-Event-Id": "7", "Resumes": long}, plan.Resumption{Resumes: true, Attempt: fleet.RequestID(long)}},
		{"begins a new stream", map[string]string{"Resumes": "8b30"}, plan.Resumption{Attempt: "8b30"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, route.Route{Kind: route.Streaming, Resumable: true})
			b.refusal = fleet.RefuseWithRetryAfter(fleet.ReasonUnknownOrigin, 1)
			status, header, _, err := b.tryCallWith(t, "k", test.headers)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.NotEmpty(t, header.Get("Retry-After"))
			require.Equal(t, test.want, b.requests[0].Resumption)
		})
	}
}

// A split route must bring a stream that is taken up to the service that began it.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	r := route.Route{Kind: route.Streaming, Resumable: true, Splits: []route.Split{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}}
	services := make(map[string]bool)
	for i := range 40 {
		attempt := strings.Repeat("a", i+1)
		b := startGateway(t, r, stream(1, 2, true))
		_, _, _, err := b.tryCallWith(t, "k", map[string]string{"X-Hibiscuslb-Request-Id": attempt})
		require.NoError(t, err)
		_, _, _, err = b.tryCallWith(t, "k", map[string]string{"X-Hibiscuslb-Request-Id": "another", "Resumes": attempt, "Last-Event-Id": "1"})
		require.NoError(t, err)
		require.Equal(t, b.requests[0].Service, b.requests[1].Service)
		services[string(b.requests[0].Service)] = true
	}
	require.Len(t, services, 2)
}
