package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

const proof = "X-Hibiscuslb-Response-Signature"

// targets grants the given addresses one after the other, and then refuses.
type targets struct {
	mu      sync.Mutex
	grants  []plan.Grant
	refusal *fleet.RefusalError
	reports map[plan.GrantNumber][]plan.Progress
	asks    []plan.Request
}

func (c *targets) Choose(_ context.Context, _ *view.View, ask *plan.Request) plan.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asks = append(c.asks, *ask)
	if len(c.grants) == 0 {
		return plan.Decision{Request: ask, Refusal: c.refusal}
	}
	g := c.grants[0]
	c.grants = c.grants[1:]
	return plan.Decision{Request: ask, Grant: &g}
}

func (c *targets) Report(grant *plan.Grant, progress plan.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[plan.GrantNumber][]plan.Progress)
	}
	c.reports[grant.Number] = append(c.reports[grant.Number], progress)
}

type noMeter struct{}

func (noMeter) Chosen(fleet.WorkspaceID, string, time.Duration) {}
func (noMeter) Sent(bool, bool)                                 {}

func (noMeter) Ended(fleet.WorkspaceID, string, int, fleet.Reason, time.Duration, time.Duration) {}

// bench is a gateway between a caller and scripted targets.
type bench struct {
	*targets
	url  string
	log  testlog.Lines
	seen chan http.Header // headers that targets got
}

func start(t *testing.T, r route.Route, handlers ...http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{
		targets: &targets{refusal: fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, 250*time.Millisecond)},
		seen:    make(chan http.Header, 16),
	}
	for i, handler := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.seen <- r.Header.Clone()
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
	r.Splits = []route.Split{{Service: "s", Weight: 1}}
	r.Attempts = max(r.Attempts, 1)
	table := route.NewTable(route.Config{
		Number: 1, Routes: []route.Route{r}, Limits: route.Limits{Body: 1000},
		Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
	})
	front := httptest.NewServer(&gateway.Gateway{
		View: func() *view.View { return &view.View{Table: table} }, Chooser: b.targets, Pool: new(backend.Pool),
		Meter: noMeter{}, Log: b.log.Logger(), Closing: func() bool { return false },
	})
	t.Cleanup(front.Close)
	b.url = front.URL
	return b
}

func (b *bench) call(t *testing.T, key string) (status int, header http.Header, body string, err error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, b.url+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Token "+key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

func ok(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(proof, "p")
	_, _ = io.WriteString(w, "fine")
}

func shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	b := start(t, route.Route{Kind: route.NonIdempotent}, ok)
	status, header, body, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "fine", body)
	require.Equal(t, "p", header.Get(proof))
	seen := <-b.seen
	require.Equal(t, "w", seen.Get("X-Hibiscuslb-Tenant"))
	require.Empty(t, seen.Get("Authorization"), "the key goes no further")
	require.Equal(t, []plan.Progress{plan.Done}, b.reports[1])
}

func TestRefusals(t *testing.T) {
	failed := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	tests := []struct {
		name     string
		route    route.Route
		handlers []http.HandlerFunc
		key      string
		status   int
		asked    int // targets asked for
	}{
		{"unknown key", route.Route{}, nil, "x", 401, 0},
		{"no room anywhere", route.Route{}, nil, "k", 503, 1},
		{"two targets shed, the third takes it", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{shed, shed, ok}, "k", 200, 3},
		{"all shed", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{shed, shed}, "k", 503, 3},
		{"a crash may have run it once", route.Route{Kind: route.NonIdempotent, Attempts: 3}, []http.HandlerFunc{crash, ok}, "k", 502, 1},
		{"a stream is not repeated either", route.Route{Kind: route.Streaming, Attempts: 3}, []http.HandlerFunc{crash, ok}, "k", 502, 1},
		{"idempotent requests go on", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{crash, ok}, "k", 200, 2},
		{"as often as the route allows", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{crash, crash, ok}, "k", 502, 2},
		{"not run is said no more once it may have run", route.Route{Kind: route.Idempotent, Attempts: 3}, []http.HandlerFunc{crash, shed}, "k", 502, 3},
		{"a target's failure is its own", route.Route{Kind: route.NonIdempotent}, []http.HandlerFunc{failed}, "k", 500, 1},
		{"idempotent requests get past it", route.Route{Kind: route.Idempotent, Attempts: 2}, []http.HandlerFunc{failed, ok}, "k", 200, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, test.route, test.handlers...)
			status, header, _, err := b.call(t, test.key)
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			require.Len(t, b.asks, test.asked)
			if status == 503 {
				require.NotEmpty(t, header.Get("Retry-After"), "a refusal says when to come back")
			}
			if status != 200 && status != 500 {
				require.Empty(t, header.Get(proof))
			}
		})
	}
}

func TestABodyBeyondTheLimitIsRefused(t *testing.T) {
	b := start(t, route.Route{}, ok)
	request, err := http.NewRequest(http.MethodPost, b.url+"/x", strings.NewReader(strings.Repeat("x", 1001)))
	require.NoError(t, err)
	request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
	request.Header.Set("Authorization", "Token k")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	require.Empty(t, b.asks)
}

// stream answers with the events from the given one on, and breaks off within
// the event after the last.
func stream(from, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(proof, fmt.Sprint("p", from))
		for i := from; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
		}
		if !whole {
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

// A stream that breaks off goes on at another target behind the last whole
// event, within one answer that keeps the head of its first target.
func TestAResumableStreamGoesOnWithoutGapOrRepeat(t *testing.T) {
	b := start(t, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 3, false), stream(4, 6, true))
	status, header, body, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "p1", header.Get(proof))
	require.Equal(t, eventsTo(6), body)
	require.Empty(t, (<-b.seen).Get("Last-Event-Id"))
	require.Equal(t, "3", (<-b.seen).Get("Last-Event-Id"))
}

func TestAStreamThatCanNotGoOnDoesNotLookWhole(t *testing.T) {
	tests := map[string]route.Route{
		"not resumable":    {Kind: route.Streaming, Attempts: 2},
		"no attempts left": {Kind: route.Streaming, Resumable: true, Attempts: 1},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			b := start(t, r, stream(1, 3, false), stream(4, 6, true))
			_, _, body, err := b.call(t, "k")
			require.Error(t, err)
			require.True(t, strings.HasPrefix(body, eventsTo(3)))
			require.NotContains(t, body, "data: 4")
		})
	}
}

func TestAStreamRefusedByItsNextTargetDoesNotLookWhole(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	b := start(t, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 3, false), refuse)
	_, _, body, err := b.call(t, "k")
	require.Error(t, err)
	require.Equal(t, eventsTo(3), body)
}

func TestTheRoutesTimeoutEndsARequestAtOnce(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		// A server notices that its client has left once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	b := start(t, route.Route{Kind: route.NonIdempotent, Timeout: 100 * time.Millisecond}, hang)
	began := time.Now()
	status, _, _, err := b.call(t, "k")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Equal(t, []plan.Progress{plan.Abandoned}, b.reports[1])
}

func TestTheTargetIsToldWhenTheCallerLeaves(t *testing.T) {
	left := make(chan time.Time, 1)
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		left <- time.Now()
	}
	b := start(t, route.Route{Kind: route.NonIdempotent}, hang)
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
