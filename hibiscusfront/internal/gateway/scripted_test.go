package gateway_test

import (
	"context"
	"sync"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/hibiscusfront/internal/view"
)

// A scriptedChooser makes the given grants one after the other and then refuses.
// It records the requests and the reports.
type scriptedChooser struct {
	mu       sync.Mutex
	grants   []plan.Grant
	refusal  *fleet.RefusalError
	reports  map[plan.GrantNumber][]plan.Progress
	via      []fleet.HostID // of all reports
	requests []plan.Request
	notices  []intake.Notice  // of all answers
	chosen   func(choice int) // called after each grant was made; may be nil
}

func (c *scriptedChooser) Choose(_ context.Context, _ *view.View, req *plan.Request) plan.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, *req)
	if len(c.grants) == 0 {
		return plan.Decision{Request: req, Refusal: c.refusal}
	}
	g := c.grants[0]
	c.grants = c.grants[1:]
	if c.chosen != nil {
		c.chosen(len(c.requests))
	}
	return plan.Decision{Request: req, Grant: &g}
}

func (c *scriptedChooser) Report(grant *plan.Grant, progress plan.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[plan.GrantNumber][]plan.Progress)
	}
	c.reports[grant.Number] = append(c.reports[grant.Number], progress)
	c.via = append(c.via, grant.Via)
}

func (c *scriptedChooser) ObserveNotice(_ *view.View, _ *plan.Grant, notice intake.Notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, notice)
}

// lastReport returns the last report on a grant.
func (c *scriptedChooser) lastReport(number plan.GrantNumber) plan.Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[number][len(c.reports[number])-1]
}

// asked returns how often a target was asked for.
func (c *scriptedChooser) asked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}
