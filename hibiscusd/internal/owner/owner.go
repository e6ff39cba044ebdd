package owner

import (
	"context"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/operatorapi"
	"hibiscuslb/fleet/target"
	"hibiscuslb/fleet/task"
)

// An Owner serves one target that this host owns, for one epoch of the target's
// duty. It is the only admission point of the target in that epoch.
type Owner struct {
	set   *Set
	id    fleet.TargetID
	epoch fleet.Epoch
	stop  context.CancelFunc

	mu          sync.Mutex
	target      *declaration.Target
	admission   target.Admission
	waiters     map[target.TicketID]chan bool // of queued tickets; receives whether the ticket was admitted
	lastTicket  target.TicketID
	version     fleet.WeightVersion // last known loaded version; empty if unknown
	loading     bool
	loadedAt    fleet.Instant // end of the last load; earlier reports are ignored for version and cache
	mirror      cache.Mirror  // expected contents of the engine's cache
	lastEvent   uint64        // sequence number of the last cache event received
	downUntil   fleet.Instant // requests are refused until then because connecting failed
	exportQueue chan exportTask
}

const (
	// expireInterval is the time between two runs of ProcessQueue, which admits and
	// expires queued requests.
	expireInterval = 100 * time.Millisecond
	reportInterval = 2 * time.Second
	// uncertainReportInterval applies while the state of the target is uncertain,
	// such as when it is cold or was just taken over.
	uncertainReportInterval = 500 * time.Millisecond
	reportTimeout           = time.Second
	// downPeriod is how long requests are refused after connecting to the target
	// failed.
	downPeriod = time.Second
	// maxUnstartedPrompts bounds the prompts admitted to an engine whose answers
	// have not started: the engine computes one while the blocks of the others
	// are imported.
	maxUnstartedPrompts = 2
	exportQueueLen      = 64
)

func newOwner(set *Set, declared *declaration.Target, epoch fleet.Epoch) *Owner {
	o := &Owner{
		set: set, id: declared.ID, epoch: epoch,
		waiters:     make(map[target.TicketID]chan bool),
		exportQueue: make(chan exportTask, exportQueueLen),
	}
	o.setDeclarationLocked(declared)
	if epoch > 1 {
		o.admission.TakeOver(set.Clock(), takeoverMargin)
	}
	return o
}

// setDeclaration applies a changed declaration of the target.
func (o *Owner) setDeclaration(declared *declaration.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.target != declared {
		o.setDeclarationLocked(declared)
	}
}

// setDeclarationLocked requires o.mu, except in newOwner.
func (o *Owner) setDeclarationLocked(declared *declaration.Target) {
	o.target = declared
	limits := target.Limits{Cold: declared.ColdLimit, Warm: declared.WarmLimit, MaxQueueLen: o.set.Limits.MaxQueueLen}
	if declared.Kind == declaration.TargetKindEngine {
		limits.MaxUnstarted = maxUnstartedPrompts
	}
	o.admission.SetLimits(limits)
	o.mirror.SetCapacity(declared.CacheBlocks)
}

// run polls the target's reports, loads the declared weights, admits queued
// requests, drops those that cannot meet their deadline and exports blocks until
// ctx is done.
func (o *Owner) run(ctx context.Context) {
	var tasks task.Group
	tasks.Go(ctx, o.exportLoop)
	defer tasks.Wait()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var lastReport fleet.Instant
	for {
		now := o.set.Clock()
		if now.Sub(lastReport) >= o.nextReportInterval() {
			lastReport = now
			o.fetchReport(ctx)
			o.updateWeights(ctx, &tasks)
		}
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			o.mu.Lock()
			o.notifyAll(o.admission.ProcessQueue(o.set.Clock()))
			o.mu.Unlock()
		}
	}
}

// nextReportInterval returns the interval between reports for the current state of
// the target.
func (o *Owner) nextReportInterval() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.admission.NeedsReport() {
		return uncertainReportInterval
	}
	return reportInterval
}

// fetchReport fetches and applies the target's report. A plain service has no
// reports; see assumeReport.
func (o *Owner) fetchReport(ctx context.Context) {
	o.mu.Lock()
	declared, since := o.target, o.lastEvent
	o.mu.Unlock()
	if declared.Kind == declaration.TargetKindService {
		o.assumeReport()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := o.set.Clock()
	client := engine.Client{Address: declared.Address}
	report, err := client.Report(ctx, since)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	takenAt := requestedAt.Add(-report.Age)
	if takenAt > o.loadedAt && !o.loading {
		o.version = report.Version
		o.applyCacheEvents(&report)
	}
	state := target.Report{TakenAt: takenAt, Incarnation: report.Incarnation, Cold: report.Cold}
	for _, attempt := range report.Runs {
		state.Runs = append(state.Runs, target.RunID(attempt))
	}
	o.notifyAll(o.admission.ApplyReport(o.set.Clock(), state))
}

// assumeReport applies a synthetic report for a plain service: it runs nothing
// that was sent more than CallTimeout ago, so calls that a previous owner sent
// have ended by then.
func (o *Owner) assumeReport() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.set.Clock()
	o.notifyAll(o.admission.ApplyReport(now, target.Report{TakenAt: now.Add(-o.set.Limits.CallTimeout)}))
}

// applyCacheEvents applies the cache events of a report to the mirror. Events are
// delayed and may be lost, so only removals are used; additions are already known
// from the requests that were sent to the engine.
func (o *Owner) applyCacheEvents(report *engine.Report) {
	if report.Last < o.lastEvent {
		o.mirror.Clear() // a new incarnation of the engine counts from the start
	}
	for _, event := range report.Events {
		if event.Removed {
			o.mirror.Remove(event.Key)
		}
	}
	o.lastEvent = report.Last
}

// notifyAll notifies the waiters of all tickets that left the queue. The caller
// must hold o.mu.
func (o *Owner) notifyAll(change target.QueueChange) {
	for _, ticket := range change.Admitted {
		o.notify(ticket.ID, true)
	}
	for _, ticket := range change.Expired {
		o.notify(ticket.ID, false)
	}
}

// notify tells the waiter of a ticket whether the ticket was admitted. The caller
// must hold o.mu.
func (o *Owner) notify(id target.TicketID, admitted bool) {
	waiter := o.waiters[id]
	delete(o.waiters, id)
	waiter <- admitted
}

// acquire waits until the ticket is admitted. The caller must pass the returned ID
// to release when the request has ended.
func (o *Owner) acquire(ctx context.Context, ticket target.Ticket) (target.TicketID, error) {
	o.mu.Lock()
	now := o.set.Clock()
	if now < o.downUntil || o.loading {
		o.mu.Unlock()
		return 0, fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downPeriod)
	}
	o.lastTicket++
	ticket.ID = o.lastTicket
	decision := o.admission.Offer(now, ticket)
	waiter := make(chan bool, 1)
	if decision.Action == target.ActionQueue {
		o.waiters[ticket.ID] = waiter
	}
	o.notifyAll(o.admission.ProcessQueue(now))
	o.mu.Unlock()
	switch decision.Action {
	case target.ActionAdmit:
		return ticket.ID, nil
	case target.ActionRefuse:
		return 0, fleet.RefuseWithRetryAfter(decision.Reason, decision.Wait)
	}
	select {
	case admitted := <-waiter:
		if !admitted {
			return 0, fleet.RefuseWithRetryAfter(fleet.ReasonDeadline, decision.Wait)
		}
		return ticket.ID, nil
	case <-ctx.Done():
		o.release(ticket.ID, target.ResultCancelled)
		return 0, fleet.Refuse(fleet.ReasonDeadline, "request was cancelled in the queue of target "+string(o.id))
	}
}

// checkAdmission returns a refusal if acquire would refuse the ticket now. It lets
// callers avoid writing a claim for a request that would be refused anyway.
func (o *Owner) checkAdmission(ticket target.Ticket) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.set.Clock()
	if now < o.downUntil || o.loading {
		return fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downPeriod)
	}
	if decision := o.admission.Preview(now, ticket); decision.Action == target.ActionRefuse {
		return fleet.RefuseWithRetryAfter(decision.Reason, decision.Wait)
	}
	return nil
}

// release ends an admitted request, or removes a request from the queue.
func (o *Owner) release(id target.TicketID, result target.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, id)
	o.notifyAll(o.admission.Finish(o.set.Clock(), id, result))
}

// markDown makes the owner refuse requests for downPeriod.
func (o *Owner) markDown() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.downUntil = o.set.Clock().Add(downPeriod)
}

// setWork sets the work of an admitted request and returns the total work of the
// other requests that the target was sent and has not started to answer.
func (o *Owner) setWork(id target.TicketID, work time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admission.SetWork(id, work)
	return o.admission.Backlog() - work
}

// estimatedWait returns the estimated wait of a new request.
func (o *Owner) estimatedWait() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.admission.EstimateWait()
}

func (o *Owner) status() operatorapi.Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return operatorapi.Target{
		Target: o.id, Epoch: o.epoch, Limit: o.admission.Limit(), InFlight: o.admission.InFlight(),
		Waiting: o.admission.QueueLen(), Cold: o.admission.AtColdLimit(), Down: o.set.Clock() < o.downUntil,
		Version: o.version, Blocks: o.mirror.Len(),
	}
}
