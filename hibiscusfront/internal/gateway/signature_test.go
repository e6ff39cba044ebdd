package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/testlog"
)

// An unsignedCounter counts the responses that were not accepted for lack of a signature.
type unsignedCounter struct {
	discardMeter
	count atomic.Int32
}

// RecordUnsigned implements gateway.Meter.
func (m *unsignedCounter) RecordUnsigned(route.ServiceID) { m.count.Add(1) }

// respondUnsigned answers with a success status and no signature. The body is an event, so
// that a stream would be relayed as well.
func respondUnsigned(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Unsigned", "1")
	_, _ = io.WriteString(w, "id: 50\ndata: unsigned\n\n")
}

// respondUnsignedEndlessly does not end its body before the gateway closes the connection.
func respondUnsignedEndlessly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only after that
	respondUnsigned(w, r)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// TestUnsignedSuccessIsNotRelayed guards against a faulty engine that omits its signature
// from a 200: callers got the response as a success.
func TestUnsignedSuccessIsNotRelayed(t *testing.T) {
	repeatable := route.Route{Kind: route.Idempotent, Attempts: 2}
	once := route.Route{Kind: route.NonIdempotent, Attempts: 3}
	plainStream := route.Route{Kind: route.Streaming, Attempts: 3}
	resumable := route.Route{Kind: route.Streaming, Resumable: true, Attempts: 3}
	limited := func(r route.Route, attempts int) route.Route {
		r.Attempts = attempts
		return r
	}
	emptySignature := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(signatureHeader, "")
		respondUnsigned(w, r)
	}
	noContent := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	for _, test := range []struct {
		name      string
		route     route.Route
		targets   []http.HandlerFunc
		faulty    int // index of the first target that omits the signature
		status    int
		signature string
		body      string
		broken    bool // the caller can tell that the response is truncated
		asks      int
		unsigned  int32
	}{
		{"may repeat", repeatable, []http.HandlerFunc{respondUnsigned, respondOK}, 0, 200, "p", "fine", false, 2, 1},
		{"may repeat, status 204", repeatable, []http.HandlerFunc{noContent, respondOK}, 0, 200, "p", "fine", false, 2, 1},
		{"may repeat, the signature is empty", repeatable, []http.HandlerFunc{emptySignature, respondOK}, 0, 200, "p", "fine", false, 2, 1},
		{"may repeat, the body does not end", repeatable, []http.HandlerFunc{respondUnsignedEndlessly, respondOK}, 0, 200, "p", "fine", false, 2, 1},
		{"may repeat, no attempt left", repeatable, []http.HandlerFunc{respondUnsigned, respondUnsigned, respondOK}, 0, 502, "", "", false, 2, 2},
		{"may repeat, the next target rejects", limited(repeatable, 3), []http.HandlerFunc{respondUnsigned, reject}, 0, 502, "", "", false, 3, 1},
		{"may run once", once, []http.HandlerFunc{respondUnsigned, respondOK}, 0, 502, "", "", false, 1, 1},
		{"may run once, the body does not end", once, []http.HandlerFunc{respondUnsignedEndlessly, respondOK}, 0, 502, "", "", false, 1, 1},
		{"may run once, after a rejection", once, []http.HandlerFunc{reject, respondUnsigned, respondOK}, 1, 502, "", "", false, 2, 1},
		{"stream not resumable", plainStream, []http.HandlerFunc{respondUnsigned, stream(1, 6, true)}, 0, 502, "", "", false, 1, 1},
		{"resumable stream before its first event", resumable, []http.HandlerFunc{respondUnsigned, stream(1, 6, true)}, 0, 200, "p1", eventsTo(6), false, 2, 1},
		{"resumable stream before its first event, no attempt left", limited(resumable, 1), []http.HandlerFunc{respondUnsigned, stream(1, 6, true)}, 0, 502, "", "", false, 1, 1},
		{"resumable stream in a resumption", resumable, []http.HandlerFunc{stream(1, 3, false), respondUnsigned, stream(4, 6, true)}, 1, 200, "p1", eventsTo(6), false, 3, 1},
		{"resumable stream in a resumption, no attempt left", limited(resumable, 2), []http.HandlerFunc{stream(1, 3, false), respondUnsigned, stream(4, 6, true)}, 1, 200, "p1", eventsTo(3), true, 2, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			b := startGateway(t, test.route, test.targets...)
			start := time.Now()
			status, header, body, err := b.call(t, "k")
			require.Equal(t, test.broken, err != nil)
			require.Equal(t, test.status, status)
			require.Equal(t, test.signature, header.Get(signatureHeader))
			require.Empty(t, header.Get("X-Unsigned"), "header of the response without a signature")
			require.Equal(t, test.body, body)
			require.Less(t, time.Since(start), time.Second, "the rest of the response was awaited")
			require.Equal(t, test.asks, b.asked())
			require.Equal(t, test.unsigned, b.meter.count.Load())
			require.Equal(t, plan.Failed, b.lastReport(plan.GrantNumber(test.faulty+1)), "the failure rate of the target does not rise")
			b.log.Require(t, "target sent a success response without a signature",
				testlog.Line{"Request": "9c41", "Target": fmt.Sprint("t", test.faulty), "Outcome": "outcome unknown", "Cause": nil})
			require.Len(t, b.log.WithMessage("target sent a success response without a signature"), int(test.unsigned))
			for i := 0; i <= test.faulty; i++ {
				<-b.received
			}
			if test.broken || test.faulty == 0 || test.route.Kind != route.Streaming {
				return
			}
			require.Equal(t, "3", (<-b.received).Get("Last-Event-Id"), "an event of the unsigned response was counted")
		})
	}
}

// TestOtherStatusesNeedNoSignature guards against refusing redirections and errors, which need
// no signature: callers get them as the target sent them.
func TestOtherStatusesNeedNoSignature(t *testing.T) {
	for _, kind := range []route.Route{{Kind: route.Idempotent}, {Kind: route.NonIdempotent}, {Kind: route.Streaming}, {Kind: route.Streaming, Resumable: true}} {
		for _, status := range []int{300, 304, 400, 404, 429, 499, 500, 503, 599} {
			t.Run(fmt.Sprint(kind.Kind, kind.Resumable, status), func(t *testing.T) {
				b := startGateway(t, kind, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("X-Detail", "d")
					w.Header().Set("Retry-After", "7")
					w.WriteHeader(status)
					if status != http.StatusNotModified {
						_, _ = io.WriteString(w, "reason")
					}
				})
				got, header, body, err := b.call(t, "k")
				require.NoError(t, err)
				require.Equal(t, status, got)
				require.Equal(t, "d", header.Get("X-Detail"))
				require.Equal(t, "7", header.Get("Retry-After"))
				if status != http.StatusNotModified {
					require.Equal(t, "reason", body)
				}
				require.Zero(t, b.meter.count.Load())
				want := plan.Done
				if status >= http.StatusInternalServerError {
					want = plan.ServerError
				}
				require.Equal(t, want, b.lastReport(1))
			})
		}
	}
}

// TestConnectionOfUnsignedResponseIsNotReused guards against sending a request on a connection
// whose target has lost part of a response.
func TestConnectionOfUnsignedResponseIsNotReused(t *testing.T) {
	for name, test := range map[string]struct {
		first http.HandlerFunc
		conns int
	}{
		"signed":   {respondOK, 1},
		"unsigned": {respondUnsigned, 2},
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(map[string]bool)
			responses := 0
			b := startGateway(t, route.Route{Kind: route.NonIdempotent}, func(w http.ResponseWriter, r *http.Request) {
				conns[r.RemoteAddr] = true
				if responses++; responses == 1 {
					test.first(w, r)
					return
				}
				respondOK(w, r)
			})
			again := b.grants[0]
			again.Number = 2
			b.grants = append(b.grants, again)
			_, _, _, err := b.tryCallWith(t, "k", map[string]string{"X-Hibiscuslb-Request-Id": "1"})
			require.NoError(t, err)
			status, _, _, err := b.tryCallWith(t, "k", map[string]string{"X-Hibiscuslb-Request-Id": "2"})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.Len(t, conns, test.conns)
		})
	}
}
