// Package chooser finds a target for a request: by asking the host that plans,
// or while that does not answer a deputy, or alone if no host answers.
package chooser

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

const (
	// answerTime is how long the planner may take to answer beyond the time
	// for which a request may wait with it.
	answerTime = 60 * time.Millisecond
	// shunTime is how long a planner that did not answer is not asked.
	shunTime = 300 * time.Millisecond
	// batchTime is how long reports wait for others.
	batchTime = 8 * time.Millisecond
	// batchSize is how many reports make a batch at once.
	batchSize = 64
	// reportTime bounds the sending of a batch.
	reportTime = time.Second
)

// A Chooser chooses targets. It implements gateway.Chooser.
type Chooser struct {
	Host    fleet.HostID
	Self    fleet.Address    // where other hosts reach this one
	Planner *planner.Planner // of this host
	Peers   *peer.Pool
	Clock   fleet.Clock
	Log     zerolog.Logger
	Alone   Alone

	mu      sync.Mutex
	shunned map[fleet.Address]fleet.Instant
	pending chan report
	tasks   task.Group
}

// New returns a chooser.
func New(host fleet.HostID, self fleet.Address, local *planner.Planner, peers *peer.Pool, clock fleet.Clock, log zerolog.Logger) *Chooser {
	const pendingReports = 4096
	return &Chooser{
		Host: host, Self: self, Planner: local, Peers: peers, Clock: clock, Log: log,
		shunned: make(map[fleet.Address]fleet.Instant), pending: make(chan report, pendingReports),
	}
}

// Choose decides on a request: it asks the planner, then a deputy, and chooses
// alone if neither answers.
func (c *Chooser) Choose(ctx context.Context, v *view.View, ask *plan.Request) plan.Decision {
	planner := wire.Host{ID: v.Duty.Holder, Peers: v.Duty.Address}
	if verdict, ok := c.ask(ctx, planner, ask, false); ok {
		return verdict
	}
	deputy := v.Deputy(func(h wire.Host) bool { return h.ID != v.Duty.Holder && !c.shuns(h.Peers) })
	if verdict, ok := c.ask(ctx, deputy, ask, true); ok {
		return verdict
	}
	return c.Alone.Choose(c.Clock(), v, ask)
}

// ask asks a host that plans, unless it has not answered lately. It reports
// whether the host has decided.
func (c *Chooser) ask(ctx context.Context, host wire.Host, ask *plan.Request, deputy bool) (plan.Decision, bool) {
	if host.ID == "" || c.shuns(host.Peers) {
		return plan.Decision{}, false
	}
	asking, cancel := context.WithTimeout(ctx, ask.MaxQueueTime()+answerTime)
	defer cancel()
	var verdict plan.Decision
	var err error
	if host.ID == c.Host {
		verdict, err = c.Planner.Plan(asking, ask, deputy)
	} else {
		verdict, err = c.askPeer(asking, host.Peers, ask, deputy)
	}
	switch {
	case ctx.Err() != nil:
		return plan.Decision{Request: ask, Refusal: &fleet.RefusalError{Reason: fleet.ReasonDeadline}}, true
	case err != nil:
		c.shun(host.Peers, err)
		return plan.Decision{}, false
	case verdict.Refusal != nil && verdict.Refusal.Reason == fleet.ReasonNotKeeper:
		return plan.Decision{}, false
	case verdict.Grant != nil:
		verdict.Grant.By = host.Peers
	}
	return verdict, true
}

func (c *Chooser) askPeer(ctx context.Context, address fleet.Address, ask *plan.Request, deputy bool) (plan.Decision, error) {
	var answer wire.PlanReply
	if err := c.Peers.Ask(ctx, address, wire.KindPlan, wire.PlanRequest{Ask: *ask, Deputy: deputy}, &answer); err != nil {
		var refusal *fleet.RefusalError
		if errors.As(err, &refusal) {
			return plan.Decision{Request: ask, Refusal: refusal}, nil
		}
		return plan.Decision{}, err
	}
	verdict := plan.Decision{Request: ask, Grant: answer.Grant}
	if answer.Grant == nil {
		verdict.Refusal = fleet.RefuseWithRetryAfter(answer.Reason, answer.RetryAfter)
	}
	return verdict, nil
}

func (c *Chooser) shuns(address fleet.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock() < c.shunned[address]
}

func (c *Chooser) shun(address fleet.Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shunned[address] = c.Clock().Add(shunTime)
	c.Log.Warn().Err(err).Str("Planner", string(address)).Msg("no answer about a target; asking elsewhere")
}

// A report is what became of a grant, for the host that granted it.
type report struct {
	to fleet.Address
	plan.Report
}

// Report tells the host that granted it what became of a grant.
func (c *Chooser) Report(g *plan.Grant, progress plan.Progress) {
	if g.By == "" {
		return // chosen alone
	}
	select {
	case c.pending <- report{g.By, plan.Report{Number: g.Number, Progress: progress}}:
	default:
		// Who granted it drops a grant of which nothing is heard in time.
		c.Log.Warn().Uint64("Grant", uint64(g.Number)).Msg("too many reports; one is dropped")
	}
}

// Run sends reports in batches until the context ends.
func (c *Chooser) Run(ctx context.Context) {
	defer c.tasks.Wait()
	for {
		batches := make(map[fleet.Address][]plan.Report)
		size := 0
		take := func(r report) {
			batches[r.to] = append(batches[r.to], r.Report)
			size++
		}
		select {
		case <-ctx.Done():
			return
		case r := <-c.pending:
			take(r)
		}
		timer := time.NewTimer(batchTime)
	collect:
		for size < batchSize {
			select {
			case r := <-c.pending:
				take(r)
			case <-timer.C:
				break collect
			case <-ctx.Done():
				break collect
			}
		}
		timer.Stop()
		for to, batch := range batches {
			c.send(ctx, to, batch)
		}
	}
}

func (c *Chooser) send(ctx context.Context, to fleet.Address, batch []plan.Report) {
	if to == c.Self {
		c.Planner.Report(ctx, batch)
		return
	}
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		var taken struct{}
		if err := c.Peers.Ask(ctx, to, wire.KindReports, wire.Reports{Reports: batch}, &taken); err != nil {
			c.Log.Debug().Err(err).Int("Reports", len(batch)).Msg("reports on grants were not taken")
		}
	})
}
