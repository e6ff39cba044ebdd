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

	mu        sync.Mutex
	target    *declaration.Target
	admission target.Admission
	gates     map[target.TicketID]chan bool // where queued tickets wait
	ticket    target.TicketID
	version   fleet.WeightVersion // loaded, as far as is known
	loading   bool
	loadedAt  fleet.Instant // reports from before say nothing of the version
	mirror    cache.Mirror  // of the engine's cache
	sequence  uint64        // of the last cache event
	downUntil fleet.Instant // no connection could be made lately
	exports   chan export
}

const (
	expireTime = 100 * time.Millisecond
	reportTime = 2 * time.Second
	// uncertainReportTime is how often a target is asked that is cold or was
	// taken over.
	uncertainReportTime = 500 * time.Millisecond
	reportTimeout       = time.Second
	downTime            = time.Second
	// promptsSent is how many prompts an engine is sent ahead: one that it
	// computes, and others whose blocks are fetched meanwhile.
	promptsSent   = 2
	exportsQueued = 64
)

func newKeeper(set *Set, declared *declaration.Target, epoch fleet.Epoch) *Keeper {
	k := &Keeper{
		set: set, id: declared.ID, epoch: epoch,
		gates:   make(map[target.TicketID]chan bool),
		exports: make(chan export, exportsQueued),
	}
	k.declareLocked(declared)
	if epoch > 1 {
		k.admission.TakeOver(set.Clock(), takeoverMargin)
	}
	return k
}

// declare takes a new declaration of the target.
func (k *Keeper) declare(declared *declaration.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != declared {
		k.declareLocked(declared)
	}
}

func (k *Keeper) declareLocked(declared *declaration.Target) {
	k.target = declared
	limits := target.Limits{Cold: declared.ColdLimit, Warm: declared.WarmLimit, MaxQueueLen: k.set.Limits.MaxQueueLen}
	if declared.Kind == declaration.TargetKindEngine {
		limits.MaxUnstarted = promptsSent
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
	expire := time.NewTicker(expireTime)
	defer expire.Stop()
	var reported fleet.Instant
	for {
		now := k.set.Clock()
		if now.Sub(reported) >= k.reportEvery() {
			reported = now
			k.report(ctx)
			k.swap(ctx, &tasks)
		}
		select {
		case <-ctx.Done():
			return
		case <-expire.C:
			k.mu.Lock()
			k.deliver(k.admission.ProcessQueue(k.set.Clock()))
			k.mu.Unlock()
		}
	}
}

func (k *Keeper) reportEvery() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.admission.NeedsReport() {
		return uncertainReportTime
	}
	return reportTime
}

// report fetches the target's report. A plain service has none: what a former
// keeper left there is over when a call's time is.
func (k *Keeper) report(ctx context.Context) {
	k.mu.Lock()
	declared, since := k.target, k.sequence
	k.mu.Unlock()
	if declared.Kind == declaration.TargetKindService {
		k.assume()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := k.set.Clock()
	client := engine.Client{Address: declared.Address}
	report, err := client.Report(ctx, since)
	if err != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := asked.Add(-report.Age)
	if taken > k.loadedAt && !k.loading {
		k.version = report.Version
		k.learn(&report)
	}
	facts := target.Report{TakenAt: taken, Incarnation: report.Incarnation, Cold: report.Cold}
	for _, attempt := range report.Runs {
		facts.Runs = append(facts.Runs, target.RunID(attempt))
	}
	k.deliver(k.admission.ApplyReport(k.set.Clock(), facts))
}

func (k *Keeper) assume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.set.Clock()
	k.deliver(k.admission.ApplyReport(now, target.Report{TakenAt: now.Add(-k.set.Limits.CallTimeout)}))
}

// learn takes the cache events of a report. They are late and some are lost, so
// only removals are of use: what the engine was sent is known already.
func (k *Keeper) learn(report *engine.Report) {
	if report.Last < k.sequence {
		k.mirror.Clear() // another life of the engine
	}
	for _, event := range report.Events {
		if event.Removed {
			k.mirror.Remove(event.Key)
		}
	}
	k.sequence = report.Last
}

// deliver tells tickets that their wait is over. k.mu is held.
func (k *Keeper) deliver(change target.QueueChange) {
	for _, ticket := range change.Admitted {
		k.open(ticket.ID, true)
	}
	for _, ticket := range change.Expired {
		k.open(ticket.ID, false)
	}
}

func (k *Keeper) open(id target.TicketID, admitted bool) {
	gate := k.gates[id]
	delete(k.gates, id)
	gate <- admitted
}

// acquire waits until the target has room for the ticket. The returned id is
// given back with release.
func (k *Keeper) acquire(ctx context.Context, ticket target.Ticket) (target.TicketID, error) {
	k.mu.Lock()
	now := k.set.Clock()
	if now < k.downUntil || k.loading {
		k.mu.Unlock()
		return 0, fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downTime)
	}
	k.ticket++
	ticket.ID = k.ticket
	decision := k.admission.Offer(now, ticket)
	gate := make(chan bool, 1)
	if decision.Action == target.ActionQueue {
		k.gates[ticket.ID] = gate
	}
	k.deliver(k.admission.ProcessQueue(now))
	k.mu.Unlock()
	switch decision.Action {
	case target.ActionAdmit:
		return ticket.ID, nil
	case target.ActionRefuse:
		return 0, fleet.RefuseWithRetryAfter(decision.Reason, decision.Wait)
	}
	select {
	case admitted := <-gate:
		if !admitted {
			return 0, fleet.RefuseWithRetryAfter(fleet.ReasonDeadline, decision.Wait)
		}
		return ticket.ID, nil
	case <-ctx.Done():
		k.release(ticket.ID, target.ResultCancelled)
		return 0, fleet.Refuse(fleet.ReasonDeadline, "caller gave up while waiting")
	}
}

// promises refuses a ticket that would be refused now, so that nothing is
// written for it.
func (k *Keeper) promises(ticket target.Ticket) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.set.Clock()
	if now < k.downUntil || k.loading {
		return fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, downTime)
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
	delete(k.gates, id)
	k.deliver(k.admission.Finish(k.set.Clock(), id, result))
}

func (k *Keeper) markDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = k.set.Clock().Add(downTime)
}

// expect sets how much work an admitted request is, and returns how long the
// target is busy with others that it was sent.
func (k *Keeper) expect(id target.TicketID, work time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.SetWork(id, work)
	return k.admission.Backlog() - work
}

// wait is how long a new request would wait for the target.
func (k *Keeper) wait() time.Duration {
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
