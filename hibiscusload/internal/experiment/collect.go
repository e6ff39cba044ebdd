package experiment

import (
	"errors"
	"sync"
	"time"

	"hibiscuslb/fleet/meter"
	"hibiscuslb/hibiscusload/internal/report"
	"hibiscuslb/hibiscusload/internal/standins"
)

var errWrongAnswer = errors.New("experiment: answer differs from the one expected for the prompt")

// A collector gathers the outcomes of the requests of a run. Its methods may be called
// concurrently, except finish.
type collector struct {
	experiment *Experiment
	mu         sync.Mutex
	firstToken meter.Histograms // times to first token
	between    meter.Histograms // times between successive pieces
	result     report.Run
}

func newCollector(e *Experiment) *collector {
	return &collector{experiment: e, result: report.Run{
		Name: e.Name, Route: e.Route, Deployment: e.Deployment, Rate: e.Rate, Seed: e.Seed, Refusals: make(map[string]int),
	}}
}

// recordEvent records that an event was applied at a time since the start of the run.
func (c *collector) recordEvent(name string, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Events = append(c.result.Events, report.AppliedEvent{Name: name, At: at})
}

// recordOutcome records the outcome of one request of the run that began at runStart.
func (c *collector) recordOutcome(o outcome, runStart time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.result
	r.Requests++
	switch {
	case errors.Is(o.err, errWrongAnswer):
		r.Wrong++
		return
	case refused(o.err):
		r.Refused++
		r.Refusals[o.err.Error()]++
		return
	case o.err != nil:
		r.Unknown++
		r.Refusals[o.err.Error()]++
		return
	}
	r.Whole++
	series := meter.Series{Workspace: o.workspace, Class: o.class}
	c.firstToken.Record(series, o.answer.FirstToken)
	for _, d := range o.answer.PieceGaps {
		c.between.Record(series, d)
	}
	if o.deadline > 0 && o.answer.FirstToken > o.deadline {
		r.Late++
	}
	r.Points = append(r.Points, report.Point{At: o.start.Sub(runStart), FirstToken: o.answer.FirstToken})
}

// finish computes the measurements of a run of the given duration from the recorded
// outcomes and from the counters of the stand-ins before and after the run.
func (c *collector) finish(before, after *standins.Counts, duration time.Duration) *report.Run {
	r := &c.result
	r.Took = duration
	r.FirstToken = c.firstToken.Summaries()
	r.Between = c.between.Summaries()
	prompt := after.EngineTotal.PromptTokens - before.EngineTotal.PromptTokens
	cached := after.EngineTotal.CachedTokens - before.EngineTotal.CachedTokens
	if prompt > 0 {
		r.Recomputed = 1 - float64(cached)/float64(prompt)
	}
	r.MemoryBytes = after.StoreTotal.MemoryBytes - before.StoreTotal.MemoryBytes
	r.DiskBytes = after.StoreTotal.DiskBytes - before.StoreTotal.DiskBytes
	r.WrittenBytes = after.StoreTotal.WrittenBytes - before.StoreTotal.WrittenBytes
	if stores := len(c.experiment.Standins.Stores); stores > 0 {
		r.LinkUse = (after.StoreTotal.LinkBusy - before.StoreTotal.LinkBusy).Seconds() / duration.Seconds() / float64(stores)
	}
	r.Overloads = after.EngineTotal.Overloads - before.EngineTotal.Overloads
	return r
}
