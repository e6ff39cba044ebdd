// Package meter holds a process's counters and histograms and publishes them
// through expvar.
//
// There is one histogram per workspace and class. The number of histograms is
// bounded: with 23,000 workspaces, only the most recently recorded series have a
// histogram of their own, and the others share one. Durations are recorded in
// microseconds with two significant digits.
package meter

import (
	"container/list"
	"expvar"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hibiscuslb/fleet"
)

// Series identifies a histogram. Hibiscusfront sets Class to the name of the route.
type Series struct {
	Workspace fleet.WorkspaceID
	Class     fleet.Class
}

func (s Series) String() string { return string(s.Workspace) + "/" + string(s.Class) }

// otherSeries is the series of the shared histogram.
var otherSeries = Series{"Other", ""}

const (
	// SeriesLimit is the maximum number of histograms in a set, without the
	// shared one.
	SeriesLimit       = 128
	maxDuration       = 2 * time.Minute // longer durations are recorded as this
	significantDigits = 2
)

// A Summary holds the count and the quantiles of a histogram.
type Summary struct {
	Count         int64
	P50, P95, P99 time.Duration
	Max           time.Duration
}

// Histograms is a bounded set of histograms of durations. The zero value is
// empty. It is safe for concurrent use.
type Histograms struct {
	mu     sync.Mutex
	series map[Series]*list.Element
	recent list.List               // of *entry, most recently used first
	shared *hdrhistogram.Histogram // for series without their own
}

type entry struct {
	series    Series
	histogram *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
}

// Record adds a duration, which is capped at two minutes (maxDuration).
func (h *Histograms) Record(series Series, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(1, d.Microseconds()), maxDuration.Microseconds())
	// This cannot fail, since the value is within the histogram's range.
	_ = h.histogram(series).RecordValue(value)
}

// histogram returns the histogram of a series. If a new one is needed and the set
// is full, the least recently used one is merged into the shared one.
func (h *Histograms) histogram(series Series) *hdrhistogram.Histogram {
	if element, ok := h.series[series]; ok {
		h.recent.MoveToFront(element)
		return element.Value.(*entry).histogram
	}
	if h.series == nil {
		h.series = make(map[Series]*list.Element)
		h.shared = newHistogram()
	}
	if len(h.series) >= SeriesLimit {
		oldest := h.recent.Remove(h.recent.Back()).(*entry)
		delete(h.series, oldest.series)
		h.shared.Merge(oldest.histogram)
	}
	e := &entry{series: series, histogram: newHistogram()}
	h.series[series] = h.recent.PushFront(e)
	return e.histogram
}

// Summaries returns the summaries by series.
func (h *Histograms) Summaries() map[string]Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := make(map[string]Summary, len(h.series)+1)
	for series, element := range h.series {
		result[series.String()] = summarize(element.Value.(*entry).histogram)
	}
	if h.shared != nil && h.shared.TotalCount() > 0 {
		result[otherSeries.String()] = summarize(h.shared)
	}
	return result
}

func summarize(h *hdrhistogram.Histogram) Summary {
	at := func(quantile float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	}
	return Summary{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99),
		Max: time.Duration(h.Max()) * time.Microsecond,
	}
}

// Metrics holds the metrics that a process serves at /debug/vars. The zero value
// is empty.
type Metrics struct {
	FirstToken    Histograms // from the arrival of a request to the first piece of its answer
	BetweenTokens Histograms // between two pieces of an answer
	Orders        Histograms // from the arrival of a request to the end of the call to its service
	Counters      expvar.Map // by name
	initOnce      sync.Once
	vars          expvar.Map
}

// Add adds to a counter.
func (m *Metrics) Add(name string, n int64) { m.Counters.Add(name, n) }

// Publish adds a value that is computed whenever the metrics are read.
func (m *Metrics) Publish(name string, value func() any) {
	m.registerVars()
	m.vars.Set(name, expvar.Func(value))
}

func (m *Metrics) registerVars() {
	m.initOnce.Do(func() {
		m.vars.Set("Counters", &m.Counters)
		m.vars.Set("FirstToken", expvar.Func(func() any { return m.FirstToken.Summaries() }))
		m.vars.Set("BetweenTokens", expvar.Func(func() any { return m.BetweenTokens.Summaries() }))
		m.vars.Set("Orders", expvar.Func(func() any { return m.Orders.Summaries() }))
		m.vars.Set("memstats", expvar.Get("memstats"))
	})
}

// ServeHTTP writes all values as one JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.registerVars()
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// Errors are ignored, because they only mean that the reader has disconnected.
	_, _ = w.Write([]byte(m.vars.String()))
}
