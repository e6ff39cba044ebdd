package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/testlog"
)

// TestDecisionsAreLogged checks that each decision about a request is logged with
// its causes.
func TestDecisionsAreLogged(t *testing.T) {
	respondOK := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(signatureHeader, "p") }
	reject := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	serverError := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	twice := route.Route{Name: "r", Kind: route.Idempotent, Attempts: 2}
	once := route.Route{Name: "r", Kind: route.NonIdempotent}
	request := testlog.Line{"Request": "9c41"}
	with := func(fields testlog.Line) testlog.Line {
		for name, value := range request {
			fields[name] = value
		}
		return fields
	}
	for _, test := range []struct {
		name     string
		route    route.Route
		key      string
		targets  []http.HandlerFunc
		status   int
		decision string // message logged before the end; "" for none
		fields   testlog.Line
		end      testlog.Line
	}{
		{"answered", once, "k", []http.HandlerFunc{respondOK}, 200, "", nil,
			testlog.Line{"Status": 200, "Reason": "", "Target": "t0", "Grant": 1, "Tried": 1, "Configuration": 1, "Workspace": "w", "Route": "r", "First": nil, "Total": nil}},
		{"refused by the planner", once, "k", nil, 503, "", nil,
			testlog.Line{"Status": 503, "Reason": "overloaded", "Outcome": "not run", "Tried": 0}},
		{"wrong key", once, "other", nil, 401, "", nil,
			testlog.Line{"Status": 401, "Reason": "unauthorized", "Configuration": 1}},
		{"another target after a rejection", once, "k", []http.HandlerFunc{reject, respondOK}, 200, "target rejected the request without running it",
			testlog.Line{"Target": "t0", "Grant": 1, "Tried": 1, "Outcome": "not run"},
			testlog.Line{"Status": 200, "Target": "t1", "Tried": 2}},
		{"repeated after a server error", twice, "k", []http.HandlerFunc{serverError, respondOK}, 200, "target answered with a server error; trying another target",
			testlog.Line{"Target": "t0", "Tried": 1}, testlog.Line{"Status": 200, "Target": "t1", "Tried": 2}},
		{"aborted response", once, "k", []http.HandlerFunc{abort}, 502, "no complete response from the target",
			testlog.Line{"Target": "t0", "Outcome": "outcome unknown", "Parts": []any{}, "First": 0.0, "Cause": nil},
			testlog.Line{"Status": 502, "Reason": "target failed", "Outcome": "outcome unknown"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := startGateway(t, test.route, test.targets...)
			status, _, _, err := b.call(t, test.key)
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			if test.decision != "" {
				b.log.Require(t, test.decision, with(test.fields))
			}
			b.log.Require(t, "request ended", with(test.end))
		})
	}
}

// TestLogLinesAreShort guards against headers of legal size that fill the memory while the reader of the log is
// slow: its buffer is bounded in lines.
func TestLogLinesAreShort(t *testing.T) {
	const maxLine = 8 << 10
	long := strings.Repeat("\xff", 900) // six bytes each in a log line
	var chain strings.Builder
	for i := range prompt.MaxParts {
		fmt.Fprintf(&chain, "%d%s:1,", i, long[:200])
	}
	for _, test := range []struct {
		key     string
		headers map[string]string
	}{
		{"other", map[string]string{"X-Hibiscuslb-Request-Id": strings.Repeat(long, 15)}},
		{"k", map[string]string{"X-Hibiscuslb-Request-Id": strings.Repeat(long, 15)}},
		{"k", map[string]string{"X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Prefix-Hash": chain.String() + "own:1"}},
	} {
		b := startGateway(t, route.Route{Name: "r", Kind: route.NonIdempotent}, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		_, _, _, err := b.tryCallWith(t, test.key, test.headers)
		require.NoError(t, err)
		lines := append(b.log.WithMessage("request ended"), b.log.WithMessage("no complete response from the target")...)
		require.NotEmpty(t, lines)
		for _, line := range lines {
			text, err := json.Marshal(line)
			require.NoError(t, err)
			require.Less(t, len(text), maxLine)
		}
	}
}
