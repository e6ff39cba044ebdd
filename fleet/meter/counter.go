package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// CounterLimit is the maximum number of label combinations of one Counter.
// Further combinations share one count, because labels such as routes come from
// outside the process and would otherwise grow without bound.
const CounterLimit = 256

// A Counter is a set of counts by labels, such as finished requests by status.
// The zero value with a Name is ready for use. It is safe for concurrent use.
type Counter struct {
	Name   string
	Labels []string // names of the labels, in the order in which Add takes them

	mu     sync.Mutex
	counts map[string]int64 // by the joined labels
}

var _ expvar.Var = (*Counter)(nil)

// labelSeparator joins label values, which must not contain it.
const labelSeparator = "\t"

// Add adds n to the count with the labels.
func (c *Counter) Add(n int64, labels ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[c.key(labels)] += n
}

// Set replaces the count with the labels by a value that is counted elsewhere.
func (c *Counter) Set(n int64, labels ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[c.key(labels)] = n
}

// key returns the joined labels, or those of the shared count if the counter is
// full.
func (c *Counter) key(labels []string) string {
	if c.counts == nil {
		c.counts = make(map[string]int64)
	}
	key := strings.Join(labels, labelSeparator)
	if _, ok := c.counts[key]; !ok && len(c.counts) >= CounterLimit {
		return strings.Join(slices.Repeat([]string{otherSeries.String()}, len(c.Labels)), labelSeparator)
	}
	return key
}

// Count returns the count with the labels.
func (c *Counter) Count(labels ...string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[strings.Join(labels, labelSeparator)]
}

func (c *Counter) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// String implements expvar.Var. It returns a JSON object of the counts, keyed by
// the labels joined by slashes.
func (c *Counter) String() string {
	named := make(map[string]int64)
	for key, n := range c.snapshot() {
		named[strings.ReplaceAll(key, labelSeparator, "/")] = n
	}
	text, err := json.Marshal(named)
	if err != nil {
		return "{}" // unreachable: strings and integers can always be encoded
	}
	return string(text)
}

// WriteText writes one line for each count, sorted by labels.
func (c *Counter) WriteText(w io.Writer) {
	counts := c.snapshot()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		values := strings.Split(key, labelSeparator)
		var labels []string
		for i, name := range c.Labels {
			if i < len(values) {
				labels = append(labels, fmt.Sprintf("%s=%q", name, values[i]))
			}
		}
		writeSample(w, c.Name, labels, float64(counts[key]))
	}
}

// writeSample writes one value. It ignores errors, because they only mean that
// the reader has disconnected.
func writeSample(w io.Writer, name string, labels []string, value float64) {
	if len(labels) > 0 {
		name += "{" + strings.Join(labels, ",") + "}"
	}
	_, _ = fmt.Fprintf(w, "%s %g\n", name, value)
}

// WriteText writes the quantiles in seconds and the count of each series.
func (h *Histograms) WriteText(w io.Writer, name string) {
	summaries := h.Summaries()
	for _, series := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[series]
		label := fmt.Sprintf("Series=%q", series)
		for _, q := range []struct {
			quantile string
			seconds  float64
		}{{"0.5", s.P50.Seconds()}, {"0.95", s.P95.Seconds()}, {"0.99", s.P99.Seconds()}, {"1", s.Max.Seconds()}} {
			writeSample(w, name+"Seconds", []string{label, fmt.Sprintf("Quantile=%q", q.quantile)}, q.seconds)
		}
		writeSample(w, name+"Count", []string{label}, float64(s.Count))
	}
}
