package keeper

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

// Keeper is the admission point of one target for one epoch of the target's duty.
type Keeper struct {
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

func newKeeper(set *Set, declared *declaration.Target, epoch fleet.Epoch) *Keeper {
	k := &Keeper{
		set: set, id: declared.ID, epoch: epoch,
		waiters:     make(map[target.TicketID]chan bool),
		exportQueue: make(chan exportTask, exportQueueLen),
	}
	k.setDeclarationLocked(declared)
	if epoch > 1 {
		k.admission.TakeOver(set.Clock(), takeoverMargin)
	}
	return k
}

// setDeclaration applies a changed declaration of the target.
func (k *Keeper) setDeclaration(declared *declaration.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != declared {
		k.setDeclarationLocked(declared)
	}
}

// setDeclarationLocked requires k.mu, except in newKeeper.
func (k *Keeper) setDeclarationLocked(declared *declaration.Target) {
	k.target = declared
	limits := target.Limits{Cold: declared.ColdLimit, Warm: declared.WarmLimit, MaxQueueLen: k.set.Limits.MaxQueueLen}
	if declared.Kind == declaration.TargetKindEngine {
		limits.MaxUnstarted = maxUnstartedPrompts
	}
	k.admission.SetLimits(limits)
	k.mirror.SetCapacity(declared.CacheBlocks)
}

// run polls the target's reports, loads the declared weights, admits queued
// requests, drops those that cannot meet their deadline and exports blocks until
// ctx is done.
func (k *Keeper) run(ctx context.Context) {
	var tasks task.Group
	tasks.Go(ctx, k.exportLoop)
	defer tasks.Wait()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var lastReport fleet.Instant
	for {
		now := k.set.Clock()
		if now.Sub(lastReport) >= k.nextReportInterval() {
			lastReport = now
			k.fetchReport(ctx)
			k.updateWeights(ctx, &tasks)
		}
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			k.mu.Lock()
			k.notifyAll(k.admission.ProcessQueue(k.set.Clock()))
			k.mu.Unlock()
		}
	}
}

// nextReportInterval returns the interval between reports for the current state of
// the target.
func (k *Keeper) nextReportInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.admission.NeedsReport() {
		return uncertainReportInterval
	}
	return reportInterval
}

// fetchReport fetches and applies the target's report. A plain service has no
// reports; see assumeReport.
func (k *Keeper) fetchReport(ctx context.Context) {
	k.mu.Lock()
	declared, since := k.target, k.lastEvent
	k.mu.Unlock()
	if declared.Kind == declaration.TargetKindService {
		k.assumeReport()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := k.set.Clock()
	client := engine.Client{Address: declared.Address}
	report, err := client.Report(ctx, since)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	takenAt := requestedAt.Add(-report.Age)
	if takenAt > k.loadedAt && !k.loading {
		k.version = report.Version
		k.applyCacheEvents(&report)
	}
	state := target.Report{TakenAt: takenAt, Incarnation: report.Incarnation, Cold: report.Cold}
	for _, attempt := range report.Runs {
		state.Runs = append(state.Runs, target.RunID(attempt))
	}
	k.notifyAll(k.admission.ApplyReport(k.set.Clock(), state))
}

// assumeReport applies a synthetic report for a plain service: it runs nothing
// that was sent more than CallTimeout ago, so calls that a previous keeper sent
// have ended by then.
func (k *Keeper) assumeReport() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.set.Clock()
	k.notifyAll(k.admission.ApplyReport(now, target.Report{TakenAt: now.Add(-k.set.Limits.CallTimeout)}))
}

// applyCacheEvents applies the cache events of a report to the mirror. Events are
// delayed and may be lost, so only removals are used; additions are already known
// from the requests that were sent to the engine.
func (k *Keeper) applyCacheEvents(report *engine.Report) {
	if report.Last < k.lastEvent {
		k.mirror.Clear() // a new incarnation of the engine counts from the start
	}
	for _, event := range report.Events {
		if event.Removed {
			k.mirror.Remove(event.Key)
		}
	}
	k.lastEvent = report.Last
}

// notifyAll notifies the waiters of all tickets that left the queue. The caller
// must hold k.mu.
func (k *Keeper) notifyAll(change target.QueueChange) {
	for _, ticket := range change.Admitted {
		k.notify(ticket.ID, true)
	}
	for _, ticket := range change.Expired {
		k.notify(ticket.ID, false)
	}
}

// notify tells the waiter of a ticket whether the ticket was admitted. The caller
// must hold k.mu.
func (k *Keeper) notify(id target.TicketID, admitted bool) {
	waiter := k.waiters[id]
	delete(k.waiters, id)
	waiter <- admitted
}

// acquire waits until the ticket is admitted. The caller must pass the returned ID
// to release when the request has ended.
func (k *Keeper) acquire(ctx context.Context, ticket target.Ticket) (target.TicketID, error) {
	k.mu.Lock()
	now := k.set.Clock()
	if now < k.downUntil || k.loading {
		k.mu.Unlock()
		return 0, fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downPeriod)
	}
	k.lastTicket++
	ticket.ID = k.lastTicket
	decision := k.admission.Offer(now, ticket)
	waiter := make(chan bool, 1)
	if decision.Action == target.ActionQueue {
		k.waiters[ticket.ID] = waiter
	}
	k.notifyAll(k.admission.ProcessQueue(now))
	k.mu.Unlock()
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
		k.release(ticket.ID, target.ResultCancelled)
		return 0, fleet.Refuse(fleet.ReasonDeadline, "request was cancelled in the queue of target "+string(k.id))
	}
}

// checkAdmission returns a refusal if acquire would refuse the ticket now. It lets
// callers avoid writing a claim for a request that would be refused anyway.
func (k *Keeper) checkAdmission(ticket target.Ticket) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.set.Clock()
	if now < k.downUntil || k.loading {
		return fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downPeriod)
	}
	if decision := k.admission.Preview(now, ticket); decision.Action == target.ActionRefuse {
		return fleet.RefuseWithRetryAfter(decision.Reason, decision.Wait)
	}
	return nil
}

// release ends an admitted request, or removes a request from the queue.
func (k *Keeper) release(id target.TicketID, result target.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, id)
	k.notifyAll(k.admission.Finish(k.set.Clock(), id, result))
}

// markDown makes the keeper refuse requests for downPeriod.
func (k *Keeper) markDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = k.set.Clock().Add(downPeriod)
}

// setWork sets the work of an admitted request and returns the total work of the
// other requests that the target was sent and has not started to answer.
func (k *Keeper) setWork(id target.TicketID, work time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.SetWork(id, work)
	return k.admission.Backlog() - work
}

// estimatedWait returns the estimated wait of a new request.
func (k *Keeper) estimatedWait() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.EstimateWait()
}

func (k *Keeper) status() operatorapi.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	return operatorapi.Target{
		Target: k.id, Epoch: k.epoch, Limit: k.admission.Limit(), InFlight: k.admission.InFlight(),
		Waiting: k.admission.QueueLen(), Cold: k.admission.AtColdLimit(), Down: k.set.Clock() < k.downUntil,
		Version: k.version, Blocks: k.mirror.Len(),
	}
}
