// Package chooser finds a target for a request: by asking the host that plans,
// or alone while there is none that answers.
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
	Planner *planner.Planner // of this host
	Peers   *peer.Pool
	Clock   fleet.Clock
	Log     zerolog.Logger
	Alone   Alone

	mu      sync.Mutex
	shunned map[fleet.Address]fleet.Instant
	holder  fleet.Address
	local   bool
	pending chan plan.Report
	tasks   task.Group
}

// New returns a chooser.
func New(host fleet.HostID, local *planner.Planner, peers *peer.Pool, clock fleet.Clock, log zerolog.Logger) *Chooser {
	const pendingReports = 4096
	return &Chooser{
		Host: host, Planner: local, Peers: peers, Clock: clock, Log: log,
		shunned: make(map[fleet.Address]fleet.Instant), pending: make(chan plan.Report, pendingReports),
	}
}

// Choose decides on a request.
func (c *Chooser) Choose(ctx context.Context, v *view.View, ask *plan.Ask) plan.Verdict {
	holder := v.Duty
	if holder.Holder == "" || c.shuns(holder.Address) {
		return c.Alone.Choose(c.Clock(), v, ask)
	}
	limit := ask.LongestWait() + answerTime
	asking, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var verdict plan.Verdict
	var err error
	local := holder.Holder == c.Host
	if local {
		verdict, err = c.Planner.Ask(asking, ask)
	} else {
		verdict, err = c.askPeer(asking, holder.Address, ask)
	}
	c.note(holder.Address, local)
	switch {
	case ctx.Err() != nil:
		return plan.Verdict{Ask: ask, Refusal: &fleet.RefusalError{Reason: fleet.ReasonDeadline}}
	case err != nil:
		c.shun(holder.Address, err)
		return c.Alone.Choose(c.Clock(), v, ask)
	case verdict.Refusal != nil && verdict.Refusal.Reason == fleet.ReasonNotKeeper:
		return c.Alone.Choose(c.Clock(), v, ask)
	}
	return verdict
}

func (c *Chooser) askPeer(ctx context.Context, address fleet.Address, ask *plan.Ask) (plan.Verdict, error) {
	var answer wire.Verdict
	if err := c.Peers.Ask(ctx, address, wire.KindAsk, wire.Ask{Ask: *ask}, &answer); err != nil {
		var refusal *fleet.RefusalError
		if errors.As(err, &refusal) {
			return plan.Verdict{Ask: ask, Refusal: refusal}, nil
		}
		return plan.Verdict{}, err
	}
	verdict := plan.Verdict{Ask: ask, Grant: answer.Grant}
	if answer.Grant == nil {
		verdict.Refusal = fleet.RefuseFor(answer.Reason, answer.RetryAfter)
	}
	return verdict, nil
}

func (c *Chooser) note(holder fleet.Address, local bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.local = holder, local
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
	c.Log.Warn().Err(err).Str("Planner", string(address)).Msg("the planner does not answer; choosing alone")
}

// Report tells the planner what became of a grant.
func (c *Chooser) Report(number plan.Number, progress plan.Progress) {
	select {
	case c.pending <- plan.Report{Number: number, Progress: progress}:
	default:
		// The planner drops a grant that it hears nothing of in time.
		c.Log.Warn().Uint64("Grant", uint64(number)).Msg("too many reports; one is dropped")
	}
}

// Run sends reports in batches until the context ends.
func (c *Chooser) Run(ctx context.Context) {
	defer c.tasks.Wait()
	for {
		var batch []plan.Report
		select {
		case <-ctx.Done():
			return
		case r := <-c.pending:
			batch = append(batch, r)
		}
		timer := time.NewTimer(batchTime)
	collect:
		for len(batch) < batchSize {
			select {
			case r := <-c.pending:
				batch = append(batch, r)
			case <-timer.C:
				break collect
			case <-ctx.Done():
				break collect
			}
		}
		timer.Stop()
		c.send(ctx, batch)
	}
}

func (c *Chooser) send(ctx context.Context, batch []plan.Report) {
	c.mu.Lock()
	holder, local := c.holder, c.local
	c.mu.Unlock()
	if local {
		c.Planner.Report(ctx, batch)
		return
	}
	if holder == "" {
		return
	}
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTime)
		defer cancel()
		var taken struct{}
		if err := c.Peers.Ask(ctx, holder, wire.KindReports, wire.Reports{Reports: batch}, &taken); err != nil {
			c.Log.Debug().Err(err).Int("Reports", len(batch)).Msg("the planner did not take reports")
		}
	})
}
