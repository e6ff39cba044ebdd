// Package chooser selects a target for a request. It asks the planner, then a
// deputy if the planner does not answer, and selects the target locally if no
// host answers.
package chooser

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

const (
	// replyMargin is added to the time for which the planner may queue a
	// request; the sum is the time-out of the call.
	replyMargin = 60 * time.Millisecond
	// backoffTime is how long a host that gave no decision is not asked again.
	backoffTime = 300 * time.Millisecond
	// batchDelay is how long a report waits for others to be sent with it.
	batchDelay = 8 * time.Millisecond
	// maxBatchSize is the number of reports that are sent without waiting for
	// more.
	maxBatchSize = 64
	// reportTimeout limits the call that sends a batch of reports.
	reportTimeout = time.Second
)

// A Chooser selects targets and reports the progress of grants. It implements
// gateway.Chooser.
type Chooser struct {
	Host        fleet.HostID
	PeerAddress fleet.Address    // at which other hosts reach this one
	Planner     *planner.Planner // of this host
	Peers       *peer.Pool
	Clock       fleet.Clock
	Log         zerolog.Logger
	Local       Local

	mu         sync.Mutex
	backoffEnd map[fleet.Address]fleet.Instant // of hosts that gave no decision
	waiting    map[*plan.Grant]waitingGrant
	ledger     intake.Ledger // of what targets have said to this host
	pending    chan report   // reports that Run has to send
	starts     starts
	tasks      task.Group
}

// New returns a chooser. Its Run must be called for reports to be sent.
func New(host fleet.HostID, peerAddress fleet.Address, local *planner.Planner, peers *peer.Pool, clock fleet.Clock, log zerolog.Logger) *Chooser {
	const maxPendingReports = 4096
	return &Chooser{
		Host: host, PeerAddress: peerAddress, Planner: local, Peers: peers, Clock: clock, Log: log,
		backoffEnd: make(map[fleet.Address]fleet.Instant), waiting: make(map[*plan.Grant]waitingGrant), pending: make(chan report, maxPendingReports), starts: newStarts(),
	}
}

// maxExcluded is how many grants of a target that this host's view excludes, or that has
// closed itself to this host, are given back before this host chooses itself.
const maxExcluded = 2

// Choose implements gateway.Chooser. It notes in the grant what the host reports when a stream
// begins.
func (c *Chooser) Choose(ctx context.Context, v *view.View, req *plan.Request) plan.Decision {
	c.starts.follow(v.Duty.Address)
	decision := c.choose(ctx, v, req)
	if decision.Grant != nil {
		// A planner of an earlier version does not name it, but follows the newer of the two.
		decision.Grant.Configuration = max(decision.Grant.Configuration, req.Configuration)
		if decision.Grant.By == "" {
			c.addWaiting(decision.Grant, req, tenureID{})
		}
	}
	if decision.Grant != nil && req.Resumable {
		start := req.Start(decision.Grant.Software)
		decision.Grant.Stream = &start
	}
	return decision
}

// choose selects a target. Targets that leave, as their answers said, or that have
// asked this host for a pause are avoided. A planner that cannot reach the object store may
// not know yet what this host knows, and grant a target that has left or whose data centre is
// evacuated; and a target may close itself while the request waits for it. Such a grant is
// given back.
func (c *Chooser) choose(ctx context.Context, v *view.View, req *plan.Request) plan.Decision {
	sent := req.Avoid
	for range maxExcluded {
		closed, _ := c.closed(v, req.Service)
		req.Known, req.Avoid = c.known(v, req.Service), append(slices.Clone(sent), closed...)
		decision := c.ask(ctx, v, req)
		if decision.Grant == nil {
			return c.explainRefusal(v, decision)
		}
		closed, _ = c.closed(v, req.Service)
		reason := ""
		switch {
		case v.Excludes(decision.Grant.Target):
			reason = "the target has left or its data centre is evacuated, which the planner does not know"
		case slices.Contains(closed, decision.Grant.Target):
			reason = "the target has said that it leaves, or asked this host for a pause"
		default:
			return decision
		}
		c.Log.Info().Str("Request", req.ID.ForLog()).Str("Target", string(decision.Grant.Target)).Str("Planner", string(decision.Grant.By)).
			Msg("grant given back: " + reason)
		c.Report(decision.Grant, plan.Rejected)
		again := *req
		again.Again = true
		req, sent = &again, append(slices.Clone(sent), decision.Grant.Target)
	}
	closed, _ := c.closed(v, req.Service)
	req.Known, req.Avoid = c.known(v, req.Service), append(slices.Clone(sent), closed...)
	return c.explainRefusal(v, c.chooseAlone(v, req))
}

// explainRefusal sets when a request should come back that was refused for want of a target,
// if some have asked this host for a pause: when the first of them ends. Requests are spread
// over as much time again, up to pauseSpread, so that they do not all come at once.
func (c *Chooser) explainRefusal(v *view.View, decision plan.Decision) plan.Decision {
	if decision.Refusal == nil || decision.Refusal.Reason != fleet.ReasonNoTarget {
		return decision
	}
	_, soonest := c.closed(v, decision.Request.Service)
	if soonest <= decision.Refusal.RetryAfter {
		return decision
	}
	refusal := *decision.Refusal
	refusal.RetryAfter = soonest + time.Duration(rand.Int64N(int64(min(soonest, pauseSpread))))
	decision.Refusal = &refusal
	c.Log.Info().Str("Request", decision.Request.ID.ForLog()).Str("Service", string(decision.Request.Service)).Dur("RetryAfter", refusal.RetryAfter).
		Msg("refused a request: all targets that could serve it have asked this host for a pause")
	return decision
}

// pauseSpread bounds the time over which requests come back after a pause.
const pauseSpread = time.Second

// maxDeputies is how many deputies are asked for a stream that a caller takes up: this host
// alone can't tell its version.
const maxDeputies = 2

// maxDeclining is how many deputies are asked in addition, if others decline since they are cut off from
// the targets.
const maxDeclining = 3

// ask asks the planner, then a deputy, and then chooses locally.
func (c *Chooser) ask(ctx context.Context, v *view.View, req *plan.Request) plan.Decision {
	planner := wire.Host{ID: v.Duty.Holder, Peers: v.Duty.Address}
	if decision, ok := c.requestDecision(ctx, v, planner, req, false); ok {
		return decision
	}
	deputies := 1
	if req.Resumption.Resumes && !req.Resumption.Known {
		deputies = maxDeputies
	}
	for declined := 0; deputies > 0 && declined <= maxDeclining; {
		deputy := v.Deputy(func(h wire.Host) bool { return h.ID != v.Duty.Holder && !c.inBackoff(h.Peers) })
		decision, ok := c.requestDecision(ctx, v, deputy, req, true)
		switch {
		case ok:
			return decision
		case decision.Refusal != nil:
			declined++
		default:
			deputies--
		}
	}
	return c.chooseAlone(v, req)
}

// chooseAlone chooses locally. No request goes to targets of a service that are brittle, told or not: all hosts
// that choose alone would send there.
func (c *Chooser) chooseAlone(v *view.View, req *plan.Request) plan.Decision {
	if c.brittle(v, req.Service) {
		return plan.Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, noTargetRetryAfter)}
	}
	return c.Local.Choose(c.Clock(), v, req)
}

// requestDecision asks a host for a decision, unless the host is in backoff. It
// reports whether there is a decision; if ctx has ended, it is a refusal. If the host has declined to
// decide, the refusal says so.
func (c *Chooser) requestDecision(ctx context.Context, v *view.View, host wire.Host, req *plan.Request, deputy bool) (plan.Decision, bool) {
	if host.ID == "" || c.inBackoff(host.Peers) {
		return plan.Decision{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, req.MaxQueueTime()+replyMargin)
	defer cancel()
	asked := *req // an earlier host may still read its request
	tenure := tenureID{host.Peers, v.Duty.Epoch, deputy}
	asked.Waiting = c.reportWaiting(v, tenure)
	req = &asked
	var decision plan.Decision
	var err error
	if host.ID == c.Host {
		decision, err = c.Planner.Plan(callCtx, req, deputy)
	} else {
		decision, err = c.callPeer(callCtx, host.Peers, req, deputy)
	}
	switch {
	case ctx.Err() != nil:
		return plan.Decision{Request: req, Refusal: &fleet.RefusalError{Reason: fleet.ReasonDeadline}}, true
	case err != nil:
		c.startBackoff(host.Peers, err)
		return plan.Decision{}, false
	case decision.Refusal != nil && decision.Refusal.Reason == fleet.ReasonNotHolder:
		if deputy {
			c.startBackoff(host.Peers, decision.Refusal)
		}
		return decision, false
	case decision.Grant != nil:
		decision.Grant.By = host.Peers
		c.addWaiting(decision.Grant, req, tenure)
	}
	return decision, true
}

func (c *Chooser) callPeer(ctx context.Context, address fleet.Address, req *plan.Request, deputy bool) (plan.Decision, error) {
	var reply wire.PlanReply
	if err := c.Peers.Call(ctx, address, wire.KindPlan, wire.PlanRequest{Ask: *req, Deputy: deputy}, &reply); err != nil {
		var refusal *fleet.RefusalError
		if errors.As(err, &refusal) {
			return plan.Decision{Request: req, Refusal: refusal}, nil
		}
		return plan.Decision{}, err
	}
	decision := plan.Decision{Request: req, Grant: reply.Grant}
	if reply.Grant == nil {
		decision.Refusal = fleet.RefuseWithRetryAfter(reply.Reason, reply.RetryAfter)
	}
	return decision, nil
}

func (c *Chooser) inBackoff(address fleet.Address) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock() < c.backoffEnd[address]
}

func (c *Chooser) startBackoff(address fleet.Address, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffEnd[address] = c.Clock().Add(backoffTime)
	c.Log.Warn().Err(err).Str("Planner", string(address)).Msgf("host gave no decision on a target; not asking it again for %v", backoffTime)
}

// A report is a queued report on the progress of a grant.
type report struct {
	to fleet.Address // of the host that made the grant
	plan.Report
	start *origin.Start // of a stream that may go on elsewhere, if Progress is Started
}

// Report implements gateway.Chooser. It queues a report for the host that made
// the grant.
func (c *Chooser) Report(g *plan.Grant, progress plan.Progress) {
	c.removeWaiting(g)
	r := report{to: g.By, Report: plan.Report{Number: g.Number, Progress: progress, Via: g.Via}}
	if progress == plan.Started {
		r.start = g.Stream
	}
	if r.start != nil && g.By != c.starts.planner() {
		c.starts.add(c.Clock(), *r.start)
		r.start = nil
	}
	c.enqueue(r)
}

// enqueue queues a report for the host that made the grant.
func (c *Chooser) enqueue(r report) {
	if r.to == "" {
		return // chosen locally
	}
	select {
	case c.pending <- r:
	default:
		// The host that made the grant discards it if it gets no report in
		// time.
		c.Log.Warn().Str("Planner", string(r.to)).Uint64("Grant", uint64(r.Number)).Msg("report on a grant dropped: the queue of pending reports is full")
	}
}

// Run sends reports in batches until the context ends.
func (c *Chooser) Run(ctx context.Context) {
	defer c.tasks.Wait()
	c.tasks.Go(ctx, c.sendStarts)
	for {
		batches := make(map[fleet.Address][]report)
		size := 0
		add := func(r report) {
			batches[r.to] = append(batches[r.to], r)
			size++
		}
		select {
		case <-ctx.Done():
			return
		case r := <-c.pending:
			add(r)
		}
		timer := time.NewTimer(batchDelay)
	collect:
		for size < maxBatchSize {
			select {
			case r := <-c.pending:
				add(r)
			case <-timer.C:
				break collect
			case <-ctx.Done():
				break collect
			}
		}
		timer.Stop()
		for to, batch := range batches {
			c.sendReports(ctx, to, batch)
		}
	}
}

// sendReports sends a batch to the host that made the grants, without waiting for
// its reply. If that host does not plan any more, or does not answer, the planner is told of the
// streams that have begun.
func (c *Chooser) sendReports(ctx context.Context, to fleet.Address, batch []report) {
	reports := make([]plan.Report, len(batch))
	for i, r := range batch {
		reports[i] = r.Report
	}
	if to == c.PeerAddress {
		if !c.Planner.Report(ctx, reports) {
			c.addStarts(batch)
		}
		return
	}
	c.tasks.Go(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		var reply wire.ReportsReply
		if err := c.Peers.Call(ctx, to, wire.KindReports, wire.Reports{Reports: reports}, &reply); err != nil {
			c.Log.Debug().Err(err).Str("Planner", string(to)).Int("Reports", len(batch)).Msg("reports on grants were not delivered to the host that made them")
		}
		if !reply.Planning {
			c.addStarts(batch)
		}
	})
}

// addStarts queues the starts in a batch for the planner.
func (c *Chooser) addStarts(batch []report) {
	for _, r := range batch {
		if r.start != nil {
			c.starts.add(c.Clock(), *r.start)
		}
	}
}
