package host

import (
	"expvar"
	"net/http"
	"runtime"
	"strconv"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/platform"
)

// meters are the metrics of a host. Metrics of requests are recorded here;
// those that other parts record are copied by refresh on each read.
type meters struct {
	first, total, choice       meter.Histograms // by workspace and route
	replacedStart              meter.Histograms // likewise
	ended, refused             meter.Counter
	sent, responses, unsigned  meter.Counter
	orders                     *meter.Counter // of the planner
	storeCalls, planned, state meter.Counter
	connections                meter.Counter // of callers, that ended
	rollouts                   meter.Counter
	relayed                    meter.Counter // requests sent by way of other hosts, or for them

	// refresh copies the metrics that other parts record.
	refresh func()
	vars    expvar.Map
}

var _ gateway.Meter = (*meters)(nil)

func newMeters(orders *meter.Counter) *meters {
	m := &meters{
		ended:       meter.Counter{Name: "RequestsEnded", Labels: []string{"Status", "Route"}},
		refused:     meter.Counter{Name: "RequestsRefused", Labels: []string{"Reason", "Route"}},
		sent:        meter.Counter{Name: "RequestsSent", Labels: []string{"Try", "Chooser"}},
		responses:   meter.Counter{Name: "ResponsesReceived", Labels: []string{"Framing"}},
		unsigned:    meter.Counter{Name: "ResponsesUnsigned", Labels: []string{"Service"}},
		orders:      orders,
		storeCalls:  meter.Counter{Name: "StoreCalls", Labels: []string{"Operation", "Result"}},
		planned:     meter.Counter{Name: "Planned", Labels: []string{"What"}},
		connections: meter.Counter{Name: "ConnectionsEnded", Labels: []string{"Phase", "On"}},
		state:       meter.Counter{Name: "State", Labels: []string{"What"}},
		rollouts:    meter.Counter{Name: "Rollouts", Labels: []string{"Service", "What"}},
		relayed:     meter.Counter{Name: "RequestsRelayed", Labels: []string{"For", "Result"}},
	}
	for _, c := range m.counters() {
		m.vars.Set(c.Name, c)
	}
	for name, h := range m.histograms() {
		m.vars.Set(name, expvar.Func(func() any { return h.Summaries() }))
	}
	m.vars.Set("memstats", expvar.Get("memstats"))
	return m
}

func (m *meters) counters() []*meter.Counter {
	return []*meter.Counter{
		&m.ended, &m.refused, &m.sent, &m.responses, &m.unsigned, m.orders, &m.storeCalls, &m.planned, &m.state, &m.connections, &m.rollouts, &m.relayed,
	}
}

func (m *meters) histograms() map[string]*meter.Histograms {
	return map[string]*meter.Histograms{"FirstPiece": &m.first, "Total": &m.total, "Choice": &m.choice, "ReplacedStart": &m.replacedStart}
}

// RecordEnd implements gateway.Meter.
func (m *meters) RecordEnd(workspace fleet.WorkspaceID, route string, status int, reason fleet.Reason, first, total time.Duration) {
	m.ended.Add(1, strconv.Itoa(status), route)
	if reason != "" {
		m.refused.Add(1, string(reason), route)
		return
	}
	if status < http.StatusBadRequest {
		series := meter.Series{Workspace: workspace, Class: fleet.Class(route)}
		m.first.Record(series, first)
		m.total.Record(series, total)
	}
}

// RecordChoice implements gateway.Meter.
func (m *meters) RecordChoice(workspace fleet.WorkspaceID, route string, took time.Duration) {
	m.choice.Record(meter.Series{Workspace: workspace, Class: fleet.Class(route)}, took)
}

// RecordSend implements gateway.Meter.
func (m *meters) RecordSend(repeat, planned bool) {
	try, chooser := "first", "host"
	if repeat {
		try = "repeat"
	}
	if planned {
		chooser = "planner"
	}
	m.sent.Add(1, try, chooser)
}

// RecordResponse implements gateway.Meter.
func (m *meters) RecordResponse(framing backend.Framing) { m.responses.Add(1, framing.String()) }

// RecordUnsigned implements gateway.Meter.
func (m *meters) RecordUnsigned(service route.ServiceID) { m.unsigned.Add(1, string(service)) }

// RecordRelay implements relay.Meter.
func (m *meters) RecordRelay(served bool, result string) {
	who := "callers"
	if served {
		who = "hosts"
	}
	m.relayed.Add(1, who, result)
}

// RecordReplacedStart implements gateway.Meter.
func (m *meters) RecordReplacedStart(workspace fleet.WorkspaceID, route string, replacedFor time.Duration) {
	m.replacedStart.Record(meter.Series{Workspace: workspace, Class: fleet.Class(route)}, replacedFor)
}

// handler serves the metrics as text on /metrics and as JSON on /debug/vars, the
// path of package expvar.
func (m *meters) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.refresh()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		for _, c := range m.counters() {
			c.WriteText(w)
		}
		for name, h := range m.histograms() {
			h.WriteText(w, name)
		}
	})
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		m.refresh()
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(m.vars.String())) // fails only if the client has disconnected
	})
	return mux
}

// refreshMeters copies the metrics of other parts of the host into h.meter.
func (h *Host) refreshMeters() {
	h.control.Store.Calls.Each(func(operation platform.StoreOperation, result platform.StoreResult, n uint64) {
		h.meter.storeCalls.Set(int64(n), operation.String(), result.String())
	})
	h.connections.Each(func(end departure.End, n int64) { h.meter.connections.Set(n, end.Phase.String(), end.On.String()) })
	counts := h.planner.Stats()
	for what, n := range map[string]int64{
		"Grants": int64(counts.Grants), "Repeats": int64(counts.Repeats), "RepeatsOverBudget": int64(counts.RepeatsRefused),
		"TokensRead": int64(counts.ReadTokens), "TokensReadAgain": int64(counts.RereadTokens), "TokensFetched": int64(counts.FetchedTokens),
		"TokensKept": int64(counts.CachedTokens), "PartsUnsaved": int64(counts.UnsavedParts),
		"Crashes": int64(counts.Crashes), "Withheld": int64(counts.Withheld), "UnknownOrigins": int64(counts.UnknownOrigins),
		"BrittleRejections": int64(counts.BrittleRejections), "BrittleFalls": int64(counts.BrittleFalls),
		"FailuresNotCounted": int64(counts.Uncounted),
	} {
		h.meter.planned.Set(n, what)
	}
	for _, r := range h.planner.RolloutList() {
		for what, n := range map[string]int64{
			"Stage": int64(r.Stage), "SharePerMille": int64(1000 * r.Share), "Exposure": int64(r.Exposure), "BadResponses": int64(r.Bad),
		} {
			h.meter.rollouts.Set(n, string(r.Order.Service), what)
		}
	}
	clients := h.countClients()
	lost, reachedByOthers := h.ways.Lost()
	v := h.control.View()
	state := map[string]int64{
		"Hosts": int64(len(v.Hosts)), "Targets": int64(len(v.Targets)), "Epoch": int64(v.Duty.Epoch),
		"Plans": 0, "Goroutines": int64(runtime.NumGoroutine()),
		"AnswerBytesKept": int64(h.answers.Used()), "AnswersOverBudget": h.answers.Refused(),
		"Connections":      int64(h.connections.Open()),
		"RequestBytesKept": int64(h.requests.Used()), "RequestBytesHighest": int64(h.requests.Highest()),
		"RequestBytesLimit": int64(h.requests.Limit()), "ConnectionsLimit": int64(h.limits.Connections),
		"ConnectionsEvicted": clients.Evicted, "ConnectionsRefused": clients.Refused, "HeadsRefused": clients.HeadsRefused,
		"BodiesRefused": clients.bodiesRefused, "StalledEvicted": clients.stalled,
		"TargetsWithoutWay": int64(lost), "TargetsReachedByOthers": int64(reachedByOthers),
		"ListBytesKept": int64(h.lists.Used()), "ListsOverBudget": h.lists.Refused(),
		"CutOff": 0, "DutyHandOvers": h.control.HandOvers(),
	}
	if v.Table != nil {
		state["Configuration"] = int64(v.Table.Number)
	}
	if h.planner.CutOff() {
		state["CutOff"] = 1
	}
	if h.control.MayPlan() {
		state["Plans"] = 1
	}
	if h.DroppedLines != nil {
		state["LogLinesDropped"] = h.DroppedLines()
	}
	for what, n := range state {
		h.meter.state.Set(n, what)
	}
}
