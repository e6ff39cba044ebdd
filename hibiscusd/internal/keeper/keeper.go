package keeper

import (
	"context"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/contract"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/target"
	"hibiscuslb/fleet/task"
)

// A Keeper is the admission point of one target, for one epoch of its duty.
type Keeper struct {
	set   *Set
	id    fleet.TargetID
	epoch fleet.Epoch
	stop  context.CancelFunc

	mu          sync.Mutex
	target      *declaration.Target
	admission   target.Admission
	waiters     map[target.TicketID]chan bool // where queued tickets wait
	lastTicket  target.TicketID
	version     fleet.WeightVersion // loaded, as far as is known
	loading     bool
	loadedAt    fleet.Instant // reports from before say nothing of the version
	mirror      cache.Mirror  // of the engine's cache
	lastEvent   uint64        // of the last cache event
	downUntil   fleet.Instant // no connection could be made lately
	exportQueue chan exportTask
}

const (
	expireInterval = 100 * time.Millisecond
	reportInterval = 2 * time.Second
	// uncertainReportInterval is how often a target is asked that is cold or was
	// taken over.
	uncertainReportInterval = 500 * time.Millisecond
	reportTimeout           = time.Second
	downPeriod              = time.Second
	// maxUnstartedPrompts is how many prompts an engine is sent ahead: one that it
	// computes, and others whose blocks are fetched meanwhile.
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

// setDeclaration takes a new declaration of the target.
func (k *Keeper) setDeclaration(declared *declaration.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != declared {
		k.setDeclarationLocked(declared)
	}
}

func (k *Keeper) setDeclarationLocked(declared *declaration.Target) {
	k.target = declared
	limits := target.Limits{Cold: declared.ColdLimit, Warm: declared.WarmLimit, MaxQueueLen: k.set.Limits.MaxQueueLen}
	if declared.Kind == declaration.TargetKindEngine {
		limits.MaxUnstarted = maxUnstartedPrompts
	}
	k.admission.SetLimits(limits)
	k.mirror.SetCapacity(declared.CacheBlocks)
}

// run follows the target's reports, drops requests that wait too long and
// exports blocks, until the duty ends.
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

func (k *Keeper) nextReportInterval() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.admission.NeedsReport() {
		return uncertainReportInterval
	}
	return reportInterval
}

// fetchReport fetches the target's fetchReport. A plain service has none: what a former
// keeper left there is over when a call's time is.
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
	facts := target.Report{TakenAt: takenAt, Incarnation: report.Incarnation, Cold: report.Cold}
	for _, attempt := range report.Runs {
		facts.Runs = append(facts.Runs, target.RunID(attempt))
	}
	k.notifyAll(k.admission.ApplyReport(k.set.Clock(), facts))
}

func (k *Keeper) assumeReport() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.set.Clock()
	k.notifyAll(k.admission.ApplyReport(now, target.Report{TakenAt: now.Add(-k.set.Limits.CallTimeout)}))
}

// applyCacheEvents takes the cache events of a report. They are late and some are lost, so
// only removals are of use: what the engine was sent is known already.
func (k *Keeper) applyCacheEvents(report *engine.Report) {
	if report.Last < k.lastEvent {
		k.mirror.Clear() // another life of the engine
	}
	for _, event := range report.Events {
		if event.Removed {
			k.mirror.Remove(event.Key)
		}
	}
	k.lastEvent = report.Last
}

// notifyAll tells tickets that their wait is over. k.mu is held.
func (k *Keeper) notifyAll(change target.QueueChange) {
	for _, ticket := range change.Admitted {
		k.notify(ticket.ID, true)
	}
	for _, ticket := range change.Expired {
		k.notify(ticket.ID, false)
	}
}

func (k *Keeper) notify(id target.TicketID, admitted bool) {
	waiter := k.waiters[id]
	delete(k.waiters, id)
	waiter <- admitted
}

// acquire waits until the target has room for the ticket. The returned id is
// given back with release.
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
		return 0, fleet.Refuse(fleet.ReasonDeadline, "caller gave up while waiting")
	}
}

// checkAdmission refuses a ticket that would be refused now, so that nothing is
// written for it.
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

// release gives a ticket back.
func (k *Keeper) release(id target.TicketID, result target.Result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters, id)
	k.notifyAll(k.admission.Finish(k.set.Clock(), id, result))
}

func (k *Keeper) markDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = k.set.Clock().Add(downPeriod)
}

// setWork sets how much work an admitted request is, and returns how long the
// target is busy with others that it was sent.
func (k *Keeper) setWork(id target.TicketID, work time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.SetWork(id, work)
	return k.admission.Backlog() - work
}

// estimatedWait is how long a new request would estimatedWait for the target.
func (k *Keeper) estimatedWait() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.admission.EstimateWait()
}

func (k *Keeper) status() contract.Target {
	k.mu.Lock()
	defer k.mu.Unlock()
	return contract.Target{
		Target: k.id, Epoch: k.epoch, Limit: k.admission.Limit(), InFlight: k.admission.InFlight(),
		Waiting: k.admission.QueueLen(), Cold: k.admission.Cold(), Down: k.set.Clock() < k.downUntil,
		Version: k.version, Blocks: k.mirror.Len(),
	}
}
