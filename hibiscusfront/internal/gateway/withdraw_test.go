package gateway_test

import (
	"context"
	"io"
	"net"
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
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

// TestRequestIsWithdrawnBeforeItBeginsOnOldWeights guards against requests that wait at a busy
// engine until long after newer weights were announced, and then begin on the old ones.
func TestRequestIsWithdrawnBeforeItBeginsOnOldWeights(t *testing.T) {
	const (
		bound   = 1600 * time.Millisecond // LatestStart leaves 1 s of it
		unknown = -time.Hour
	)
	for _, test := range []struct {
		name      string
		announced time.Duration // of version 2, from the begin; unknown if the host does not know when
		learned   time.Duration // by the host; with announced if zero
		grant     plan.Grant
		repeat    bool
		waits     time.Duration // at the first engine
		want      int
		soonest   time.Duration
	}{
		{"no newer weights", time.Hour, 0, plan.Grant{Version: 1}, true, 1500 * time.Millisecond, http.StatusOK, 1400 * time.Millisecond},
		{"engine has the newest", 0, 0, plan.Grant{Version: 2}, true, 1500 * time.Millisecond, http.StatusOK, 1400 * time.Millisecond},
		{"begins in time", 0, 0, plan.Grant{Version: 1}, true, 300 * time.Millisecond, http.StatusOK, 200 * time.Millisecond},
		{"announced before it was sent", 0, 0, plan.Grant{Version: 1}, true, 5 * time.Second, http.StatusOK, 800 * time.Millisecond},
		{"announced while it waits", 500 * time.Millisecond, 0, plan.Grant{Version: 1}, true, 5 * time.Second, http.StatusOK, 1300 * time.Millisecond},
		{"may not be repeated", 0, 0, plan.Grant{Version: 1}, false, 5 * time.Second, http.StatusBadGateway, 800 * time.Millisecond},
		{"only the planner knows", unknown, 0, plan.Grant{Version: 1, StartWithin: 700 * time.Millisecond}, true, 5 * time.Second, http.StatusOK, 600 * time.Millisecond},
		{"learned of late", -700 * time.Millisecond, 200 * time.Millisecond, plan.Grant{Version: 1}, true, 5 * time.Second, http.StatusOK, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var reached, withdrawn atomic.Bool
			first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reached.Store(true)
				_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection only after that
				select {
				case <-time.After(test.waits):
				case <-r.Context().Done():
					withdrawn.Store(true)
					return
				}
				w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
				w.Header().Set(signatureHeader, "p")
			}))
			t.Cleanup(first.Close)
			second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
				w.Header().Set(signatureHeader, "p")
			}))
			t.Cleanup(second.Close)
			test.grant.Number, test.grant.Target, test.grant.Address = 1, "busy", fleet.Address(strings.TrimPrefix(first.URL, "http://"))
			chooser := &scriptedChooser{
				grants:  []plan.Grant{test.grant, {Number: 2, Target: "newest", Version: 2, Address: fleet.Address(strings.TrimPrefix(second.URL, "http://"))}},
				refusal: fleet.Refuse(fleet.ReasonOverloaded, ""),
			}
			kind := route.Idempotent
			if !test.repeat {
				kind = route.NonIdempotent
			}
			table := route.NewTable(route.Config{
				Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
				Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: kind, Attempts: 2, Splits: []route.Split{{Service: "s", Weight: 1}}}},
			})
			begin := time.Now()
			clock := func() fleet.Instant { return fleet.Instant(time.Hour + time.Since(begin)) }
			current := func() *view.View {
				announced := weightupdate.Announcements(nil).Add(1, 0)
				learned := max(test.announced, test.learned)
				switch {
				case test.announced == unknown:
					announced = announced.Add(2, 0)
				case learned > 0 && !reached.Load(): // the host would not send it any more
				case time.Since(begin) >= learned:
					announced = announced.Add(2, fleet.Instant(time.Hour+test.announced))
				}
				return &view.View{Table: table, Weights: map[fleet.ModelID]weightupdate.Announcements{"m": announced}}
			}
			var log testlog.Lines
			front := httptest.NewServer(&gateway.Gateway{
				View: current, Chooser: chooser, Pool: new(backend.Pool), Meter: discardMeter{}, Log: log.Logger(),
				Departure: new(departure.Departure), Clock: clock, WeightsBound: bound,
			})
			t.Cleanup(front.Close)
			request, err := http.NewRequest(http.MethodPost, front.URL+"/x", strings.NewReader("body"))
			require.NoError(t, err)
			for name, value := range map[string]string{
				"X-Hibiscuslb-Request-Id": "1", "Authorization": "Token k", "X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Token-Usage": "30,10",
				"X-Hibiscuslb-Prefix-Hash": "aa:10,bb:20",
			} {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.want, response.StatusCode)
			require.GreaterOrEqual(t, time.Since(begin), test.soonest)
			if test.waits < 2*time.Second {
				require.False(t, withdrawn.Load())
				require.Equal(t, plan.Done, chooser.lastReport(1))
				return
			}
			end := bound
			if test.announced != unknown {
				end += test.announced
			}
			require.Less(t, time.Since(begin), end, "the run would have begun late")
			require.Eventually(t, withdrawn.Load, time.Second, 5*time.Millisecond)
			require.Equal(t, plan.Abandoned, chooser.lastReport(1))
		})
	}
}

// TestRequestIsWithdrawnWhileItsConnectionIsMade guards against a target that counts as unreachable
// since a request for it was withdrawn before it had a connection.
func TestRequestIsWithdrawnWhileItsConnectionIsMade(t *testing.T) {
	const bound = 700 * time.Millisecond // LatestStart leaves 100 ms of it
	begin := time.Now()
	announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, fleet.Instant(time.Hour))
	chooser := &scriptedChooser{
		grants:  []plan.Grant{{Number: 1, Target: "t", Version: 1, Address: "127.0.0.1:1", StartWithin: 1}},
		refusal: fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, time.Second),
	}
	table := route.NewTable(route.Config{
		Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
		Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: route.NonIdempotent, Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
	})
	var log testlog.Lines
	front := httptest.NewServer(&gateway.Gateway{
		View: func() *view.View {
			return &view.View{Table: table, Weights: map[fleet.ModelID]weightupdate.Announcements{"m": announced}}
		},
		Chooser: chooser, Pool: new(backend.Pool), Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
		Clock: func() fleet.Instant { return fleet.Instant(time.Hour + time.Second + time.Since(begin)) }, WeightsBound: bound,
	})
	t.Cleanup(front.Close)
	request, err := http.NewRequest(http.MethodPost, front.URL+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	for name, value := range map[string]string{
		"X-Hibiscuslb-Request-Id": "1", "Authorization": "Token k", "X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Token-Usage": "30,10",
		"X-Hibiscuslb-Prefix-Hash": "aa:10,bb:20",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it has not run")
	require.Equal(t, plan.Rejected, chooser.lastReport(1))
}

// TestRequestIsNotSentTooLateForOldWeights guards against requests that wait at an engine beyond the bound, since they
// were sent later than the planner expected.
func TestRequestIsNotSentTooLateForOldWeights(t *testing.T) {
	const bound = 1800 * time.Millisecond // a run has to be expected to start within 600 ms
	for _, test := range []struct {
		name       string
		wait       time.Duration // expected at the engine
		connecting time.Duration
		known      bool // this host knows when the newer weights were announced
		planner    bool // so does the planner
		sent       bool
	}{
		{"in time", 100 * time.Millisecond, 0, true, false, true},
		{"connecting takes long", 450 * time.Millisecond, 250 * time.Millisecond, true, false, false},
		{"only the planner knows", 450 * time.Millisecond, 250 * time.Millisecond, false, true, false},
		{"in time, only the planner knows", 100 * time.Millisecond, 0, false, true, true},
		{"the planner did not know", 700 * time.Millisecond, 0, true, false, false},
		{"announced before this host started, the planner did not know", 0, 0, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests.Add(1)
				w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
				w.Header().Set(signatureHeader, "p")
			}))
			t.Cleanup(engine.Close)
			begin := time.Now()
			announced, grant := weightupdate.Announcements(nil).Add(1, 0), plan.Grant{Number: 1, Target: "old", Version: 1, Wait: test.wait}
			if test.known {
				announced = announced.Add(2, fleet.Instant(time.Hour))
			} else {
				announced = announced.Add(2, 0)
			}
			if test.planner {
				grant.StartWithin = 1200 * time.Millisecond
			}
			grant.Address = fleet.Address(strings.TrimPrefix(engine.URL, "http://"))
			chooser := &scriptedChooser{grants: []plan.Grant{grant}, refusal: fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, time.Second)}
			table := route.NewTable(route.Config{
				Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
				Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: route.NonIdempotent, Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
			})
			pool := &backend.Pool{Dial: func(ctx context.Context, address fleet.Address) (net.Conn, error) {
				time.Sleep(test.connecting)
				return new(net.Dialer).DialContext(ctx, "tcp", string(address))
			}}
			var log testlog.Lines
			front := httptest.NewServer(&gateway.Gateway{
				View: func() *view.View {
					return &view.View{Table: table, Weights: map[fleet.ModelID]weightupdate.Announcements{"m": announced}}
				},
				Chooser: chooser, Pool: pool, Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
				Clock: func() fleet.Instant { return fleet.Instant(time.Hour + time.Since(begin)) }, WeightsBound: bound,
			})
			t.Cleanup(front.Close)
			request, err := http.NewRequest(http.MethodPost, front.URL+"/x", strings.NewReader("body"))
			require.NoError(t, err)
			for name, value := range map[string]string{
				"X-Hibiscuslb-Request-Id": "1", "Authorization": "Token k", "X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Token-Usage": "30,10",
				"X-Hibiscuslb-Prefix-Hash": "aa:10,bb:20",
			} {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			if test.sent {
				require.Equal(t, http.StatusOK, response.StatusCode)
				return
			}
			require.Zero(t, requests.Load(), "the run may start late")
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it has not run")
			require.Equal(t, plan.Rejected, chooser.lastReport(1))
		})
	}
}

// heldSender returns from the first Send only once its context has ended, as on a machine that is short of processors.
type heldSender struct {
	pool backend.Pool
	held atomic.Bool
}

func (s *heldSender) Send(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	exchange, err := s.pool.Send(ctx, r)
	if !s.held.Swap(true) {
		<-ctx.Done()
		time.Sleep(100 * time.Millisecond) // the connection is closed
	}
	return exchange, err
}

func (s *heldSender) Blames(fleet.TargetID, error) bool { return true }

// TestAnswerOfWithdrawnRequestIsNotPassedOn guards against answers that break off, and targets that are blamed for that: a
// request was withdrawn after the header of its answer had arrived, but before the host had noted that.
func TestAnswerOfWithdrawnRequestIsNotPassedOn(t *testing.T) {
	t.Run("idempotent", func(t *testing.T) { testAnswerOfWithdrawnRequest(t, route.Idempotent) })
	t.Run("non-idempotent", func(t *testing.T) { testAnswerOfWithdrawnRequest(t, route.NonIdempotent) })
}

func testAnswerOfWithdrawnRequest(t *testing.T, kind route.Kind) {
	const bound = 1800 * time.Millisecond // LatestStart leaves 1.2 s of it
	answer := func(w http.ResponseWriter, r *http.Request, text string) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
		w.Header().Set(signatureHeader, "p")
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
	}
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, "wh")
		<-r.Context().Done()
	}))
	t.Cleanup(first.Close)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(w, r, "whole") }))
	t.Cleanup(second.Close)
	chooser := &scriptedChooser{
		grants: []plan.Grant{
			{Number: 1, Target: "old", Version: 1, Address: fleet.Address(strings.TrimPrefix(first.URL, "http://"))},
			{Number: 2, Target: "new", Version: 2, Address: fleet.Address(strings.TrimPrefix(second.URL, "http://"))},
		},
		refusal: fleet.Refuse(fleet.ReasonOverloaded, ""),
	}
	table := route.NewTable(route.Config{
		Number: 1, Limits: route.Limits{Body: 1000}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
		Routes: []route.Route{{Host: "127.0.0.1", Prefix: "/", Kind: kind, Attempts: 2, Splits: []route.Split{{Service: "s", Weight: 1}}}},
	})
	begin := time.Now()
	announced := weightupdate.Announcements(nil).Add(1, 0).Add(2, fleet.Instant(time.Hour))
	var log testlog.Lines
	sender := new(heldSender)
	front := httptest.NewServer(&gateway.Gateway{
		View: func() *view.View {
			return &view.View{Table: table, Weights: map[fleet.ModelID]weightupdate.Announcements{"m": announced}}
		},
		Chooser: chooser, Sender: sender, Pool: &sender.pool, Meter: discardMeter{}, Log: log.Logger(), Departure: new(departure.Departure),
		Clock: func() fleet.Instant { return fleet.Instant(time.Hour + time.Since(begin)) }, WeightsBound: bound,
	})
	t.Cleanup(front.Close)
	request, err := http.NewRequest(http.MethodPost, front.URL+"/x", strings.NewReader("body"))
	require.NoError(t, err)
	for name, value := range map[string]string{
		"X-Hibiscuslb-Request-Id": "1", "Authorization": "Token k", "X-Hibiscuslb-Model": "m", "X-Hibiscuslb-Token-Usage": "30,10",
		"X-Hibiscuslb-Prefix-Hash": "aa:10,bb:20",
	} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	if kind == route.NonIdempotent {
		require.Equal(t, plan.Abandoned, chooser.lastReport(1))
		return
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
	require.Equal(t, plan.Abandoned, chooser.lastReport(1))
	require.Equal(t, plan.Done, chooser.lastReport(2))
}
