package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

const signatureHeader = "X-Hibiscuslb-Response-Signature"

type discardMeter struct{}

func (discardMeter) RecordChoice(fleet.WorkspaceID, string, time.Duration) {}
func (discardMeter) RecordSend(bool, bool)                                 {}
func (discardMeter) RecordResponse(backend.Framing)                        {}
func (discardMeter) RecordUnsigned(route.ServiceID)                        {}
func (discardMeter) RecordReplacedStart(fleet.WorkspaceID, string, time.Duration) {
}

func (discardMeter) RecordEnd(fleet.WorkspaceID, string, int, fleet.Reason, time.Duration, time.Duration) {
}

// A fixture is a gateway in front of test servers as targets.
type fixture struct {
	*scriptedChooser
	url      string
	client   http.Client
	log      testlog.Lines
	received chan http.Header // request headers that targets received
	meter    unsignedCounter
	table    atomic.Pointer[route.Table]
}

func startGateway(t *testing.T, r route.Route, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	b := &fixture{
		scriptedChooser: &scriptedChooser{refusal: fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, 250*time.Millisecond)},
		received:        make(chan http.Header, 16),
	}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.received <- r.Header.Clone()
			w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
			handler(w, r)
		}))
		t.Cleanup(server.Close)
		b.grants = append(b.grants, plan.Grant{
			Number: plan.GrantNumber(i + 1), Target: fleet.TargetID(fmt.Sprint("t", i)),
			Address: fleet.Address(strings.TrimPrefix(server.URL, "http://")),
		})
	}
	r.Host, r.Prefix = "127.0.0.1", "/"
	if r.Splits == nil {
		r.Splits = []route.Split{{Service: "s", Weight: 1}}
	}
	r.Attempts = max(r.Attempts, 1)
	table := route.NewTable(route.Config{
		Number: 1, Routes: []route.Route{r}, Limits: route.Limits{Body: 1000},
		Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
	})
	b.table.Store(table)
	front := httptest.NewUnstartedServer(ingress.Handler(&gateway.Gateway{
		View: func() *view.View { return &view.View{Table: b.table.Load()} }, Chooser: b.scriptedChooser, Pool: new(backend.Pool),
		Meter: &b.meter, Log: b.log.Logger(), Departure: new(departure.Departure),
	}))
	front.Listener = &ingress.Listener{Listener: front.Listener}
	front.Config.ConnState, front.Config.ConnContext = ingress.Record, ingress.ConnContext
	front.Start()
	t.Cleanup(front.Close)
	b.url = front.URL
	// A server that is closed by a test beside this one closes the idle connections of the default client.
	transport := new(http.Transport)
	b.client.Transport = transport
	t.Cleanup(transport.CloseIdleConnections)
	return b
}

// call sends a request and returns the response, which must have a header.
func (b *fixture) call(t *testing.T, key string) (status int, header http.Header, body string, err error) {
	t.Helper()
	status, header, body, err = b.tryCall(t, key)
	require.NotZero(t, status, "no response: %v", err)
	return status, header, body, err
}

// tryCall sends a request. The status is zero if there is no response.
func (b *fixture) tryCall(t *testing.T, key string) (status int, header http.Header, body string, err error) {
	t.Helper()
	return b.tryCallWith(t, key, nil)
}

// tryCallWith sends a request with additional headers.
func (b *fixture) tryCallWith(t *testing.T, key string, headers map[string]string) (status int, header http.Header, body string, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, b.url+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Token "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(signatureHeader, "p")
	_, _ = io.WriteString(w, "fine")
}

func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestResponseIsRelayedUnchanged(t *testing.T) {
	b := startGateway(t, route.Route{Kind: route.NonIdempotent}, respondOK)
	status, header, body, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", body)
	require.Equal(t, "p", header.Get(signatureHeader))
	received := <-b.received
	require.Equal(t, "w", received.Get("X-Hibiscuslb-Tenant"))
	require.Empty(t, received.Get("Authorization"), "caller's key must not reach the target")
	require.Equal(t, []plan.Progress{plan.Done}, b.reports[1])
}

func TestRetriesAndRefusals(t *testing.T) {
	failed := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	tests := []struct {
		name     string
		route    route.Route
		handlers []http.HandlerFunc
		key      string
		status   int
		asks     int // how often the chooser is asked for a target
	}{
		{"unknown key", route.Route{}, nil, "x", 401, 0},
		{"chooser refuses", route.Route{}, nil, "k", 503, 1},
		{"two targets reject, the third answers", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{reject, reject, respondOK}, "k", 200, 3},
		{"all targets reject", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{reject, reject}, "k", 503, 3},
		{"non-idempotent request is not repeated after an aborted response", route.Route{Kind: route.NonIdempotent, Attempts: 3}, []http.HandlerFunc{abort, respondOK}, "k", 502, 1},
		{"stream is not repeated after an aborted response", route.Route{Kind: route.Streaming, Attempts: 3}, []http.HandlerFunc{abort, respondOK}, "k", 502, 1},
		{"idempotent request is repeated after an aborted response", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{abort, respondOK}, "k", 200, 2},
		{"repeats are limited by the route's attempts", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{abort, abort, respondOK}, "k", 502, 2},
		{"outcome is unknown after a request that may have run, even if the next target rejects", route.Route{Kind: route.Idempotent, Attempts: 3}, []http.HandlerFunc{abort, reject}, "k", 502, 3},
		{"server error of the target is relayed for a non-idempotent request", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{failed}, "k", 500, 1},
		{"idempotent request is repeated after a server error", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{failed, respondOK}, "k", 200, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, test.route, test.handlers...)
			status, header, _, err := b.call(t, test.key)
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			require.Len(t, b.requests, test.asks)
			if status == 503 {
				require.NotEmpty(t, header.Get("Retry-After"), "refusal without Retry-After")
			}
			if status != 200 && status != 500 {
				require.Empty(t, header.Get(signatureHeader))
			}
		})
	}
}

func TestBodyOverLimitIsRefused(t *testing.T) {
	b := startGateway(t, route.Route{}, respondOK)
	request, err := http.NewRequest(http.MethodPost, b.url+"/x", strings.NewReader(strings.Repeat("x", 1001)))
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
	request.Header.Set("Authorization", "Token k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Empty(t, b.requests)
}

// stream answers with the events from one number to another. Unless complete,
// it then aborts the response in the middle of an event.
func stream(from, last int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(signatureHeader, fmt.Sprint("p", from))
		for i := from; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func eventsTo(last int) string {
	var text strings.Builder
	for i := 1; i <= last; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %d\n\n", i, i)
	}
	return text.String()
}

// TestResumableStreamContinuesWithoutGapOrRepeat checks that an aborted stream is
// resumed at another target after the last complete event, in one response with
// the header of the first target.
func TestResumableStreamContinuesWithoutGapOrRepeat(t *testing.T) {
	b := startGateway(t, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 3, false), stream(4, 6, true))
	status, header, body, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "p1", header.Get(signatureHeader))
	require.Equal(t, eventsTo(6), body)
	require.Empty(t, (<-b.received).Get("Last-Event-Id"))
	require.Equal(t, "3", (<-b.received).Get("Last-Event-Id"))
}

func TestStreamThatCanNotResumeIsAborted(t *testing.T) {
	tests := map[string]route.Route{
		"not resumable":    {Kind: route.Streaming, Attempts: 2},
		"no attempts left": {Kind: route.Streaming, Resumable: true, Attempts: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			b := startGateway(t, r, stream(1, 3, false), stream(4, 6, true))
			_, _, body, err := b.call(t, "k")
			require.Error(t, err)
			require.True(t, strings.HasPrefix(body, eventsTo(3)))
			require.NotContains(t, body, "data: 4")
		})
	}
}

func TestStreamIsAbortedWhenNextTargetAnswersWithError(t *testing.T) {
	serverError := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	b := startGateway(t, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 3, false), serverError)
	_, _, body, err := b.call(t, "k")
	require.Error(t, err)
	require.Equal(t, eventsTo(3), body)
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// An HTTP server detects a disconnected client only after reading the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	b := startGateway(t, route.Route{Kind: route.NonIdempotent, Timeout: 100 * time.Millisecond}, hang)
	began := time.Now()
	status, _, _, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, []plan.Progress{plan.Abandoned}, b.reports[1])
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	left := make(chan time.Time, 1)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		left <- time.Now()
	}
	b := startGateway(t, route.Route{Kind: route.NonIdempotent}, hang)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
	request.Header.Set("Authorization", "Token k")
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err = http.DefaultClient.Do(request)
	require.Error(t, err)
	gone := time.Now()
	require.Less(t, (<-left).Sub(gone), 400*time.Millisecond)
}

// rawStream answers with a header that has the given line, and with the body, and then
// closes the connection in an orderly way.
func rawStream(headerLine, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Hibiscuslb-Request-Id")
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: %s\r\n%s: p1\r\n%s\r\n%s", id, signatureHeader, headerLine, body)
	}
}

// TestStreamEndingInsideEventIsNotComplete guards against inc1: an engine broke off
// streams that ended with their connection, and callers got them as complete.
func TestStreamEndingInsideEventIsNotComplete(t *testing.T) {
	const short = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\nda"
	chunk := func(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }
	once := route.Route{Kind: route.Streaming}
	resumable := route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}
	crlf := strings.ReplaceAll(eventsTo(2), "\n", "\r\n")
	for _, test := range []struct {
		name     string
		route    route.Route
		targets  []http.HandlerFunc
		body     string // a prefix if the stream is not complete
		complete bool
	}{
		{"inside an event", once, []http.HandlerFunc{rawStream("", short)}, eventsTo(2), false},
		{"inside an event, resumable, no attempt left", route.Route{Kind: route.Streaming, Resumable: true},
			[]http.HandlerFunc{rawStream("", short)}, eventsTo(2), false},
		{"inside an event, resumed at another target", resumable, []http.HandlerFunc{rawStream("", short), stream(3, 6, true)}, eventsTo(6), true},
		{"inside the first line of an event", once, []http.HandlerFunc{rawStream("", eventsTo(2)+"i")}, eventsTo(2), false},
		{"before the blank line of an event", once, []http.HandlerFunc{rawStream("", strings.TrimSuffix(eventsTo(3), "\n"))}, eventsTo(2), false},
		{"before the first event", once, []http.HandlerFunc{rawStream("", "")}, "", false},
		{"in chunks, inside an event", once, []http.HandlerFunc{rawStream("Transfer-Encoding: chunked\r\n", chunk(short))}, eventsTo(2), false},
		{"with a length, inside an event", once, []http.HandlerFunc{rawStream(fmt.Sprintf("Content-Length: %d\r\n", len(short)), short)}, eventsTo(2), false},
		{"after an event", once, []http.HandlerFunc{rawStream("", eventsTo(3))}, eventsTo(3), true},
		{"after an event, resumable", resumable, []http.HandlerFunc{rawStream("", eventsTo(3))}, eventsTo(3), true},
		{"after an event, lines end with CR LF", once, []http.HandlerFunc{rawStream("", crlf)}, crlf, true},
		{"after an event, lines end with CR LF, resumable", resumable, []http.HandlerFunc{rawStream("", crlf)}, crlf, true},
		{"inside an event, lines end with CR LF", once, []http.HandlerFunc{rawStream("", crlf+"id: 3\r\n")}, crlf, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, test.route, test.targets...)
			status, _, body, err := b.tryCall(t, "k")
			if test.complete {
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, test.body, body)
				return
			}
			require.Error(t, err, "the caller takes the stream for complete")
			require.True(t, strings.HasPrefix(body, test.body))
			b.log.Require(t, "no complete response from the target", testlog.Line{"Request": "9c41", "Target": "t0", "Framing": nil})
			require.Equal(t, plan.Failed, b.lastReport(1))
		})
	}
}
