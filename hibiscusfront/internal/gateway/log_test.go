package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/testlog"
)

// TestEachDecisionOnARequestHasItsLine checks that a line tells the decision with
// what decided it.
func TestEachDecisionOnARequestHasItsLine(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(proof, "p") }
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Hibiscuslb-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	dropping := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
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
		decision string // beside the end; "" for none
		fields   testlog.Line
		end      testlog.Line
	}{
		{"answered", once, "k", []http.HandlerFunc{ok}, 200, "", nil,
			testlog.Line{"Status": 200, "Reason": "", "Target": "t0", "Grant": 1, "Tried": 1, "Configuration": 1, "Workspace": "w", "Route": "r", "First": nil, "Total": nil}},
		{"refused by the planner", once, "k", nil, 503, "", nil,
			testlog.Line{"Status": 503, "Reason": "overloaded", "Outcome": "not run", "Tried": 0}},
		{"wrong key", once, "other", nil, 401, "", nil,
			testlog.Line{"Status": 401, "Reason": "unauthorized", "Configuration": 1}},
		{"moved on after a refusal", once, "k", []http.HandlerFunc{full, ok}, 200, "the target has not run the request",
			testlog.Line{"Target": "t0", "Grant": 1, "Tried": 1, "Outcome": "not run"},
			testlog.Line{"Status": 200, "Target": "t1", "Tried": 2}},
		{"repeated after a failure", twice, "k", []http.HandlerFunc{failing, ok}, 200, "the target answered with a failure; trying another one",
			testlog.Line{"Target": "t0", "Tried": 1}, testlog.Line{"Status": 200, "Target": "t1", "Tried": 2}},
		{"broken off", once, "k", []http.HandlerFunc{dropping}, 502, "the target broke its answer off",
			testlog.Line{"Target": "t0", "Outcome": "outcome unknown", "Cause": nil},
			testlog.Line{"Status": 502, "Reason": "target failed", "Outcome": "outcome unknown"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := start(t, test.route, test.targets...)
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
