package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

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
