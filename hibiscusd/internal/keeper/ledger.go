package keeper

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/order"
	"hibiscuslb/fleet/record"
	"hibiscuslb/fleet/task"
)

// A Ledger writes the order logs of this host's shards. Each shard has one
// goroutine; what arrives while a write is under way goes into the next one.
type Ledger struct {
	Client    record.Client
	Retention time.Duration

	mu     sync.Mutex
	ctx    context.Context
	shards map[order.Shard]chan pendingCommit
	tasks  task.Group
}

// pendingCommit is one entry on its way into a log.
type pendingCommit struct {
	entry order.Entry
	reply chan order.Result
}

const (
	commitQueueLen = 256
	maxBatchLen    = 64
	// A log is written commitsPerSecond times a second under load, so that entries
	// gather, and at once while it is quiet.
	commitsPerSecond = 10
	commitBurst      = 4
	commitTimeout    = 5 * time.Second
	trimInterval     = time.Minute
)

// Run keeps the ledger open until the context ends and its writes are over.
func (l *Ledger) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	<-ctx.Done()
	l.tasks.Wait()
}

// Commit writes an entry into a shard's log and returns what became of it. An
// entry whose caller does not wait for the end may be written nevertheless; a
// claim among them then counts as abandoned.
func (l *Ledger) Commit(ctx context.Context, shard order.Shard, entry order.Entry) order.Result {
	queue, ok := l.queueFor(shard)
	if !ok {
		return order.Result{Decision: order.DecisionFailed, Err: context.Canceled}
	}
	c := pendingCommit{entry, make(chan order.Result, 1)}
	select {
	case queue <- c:
	case <-ctx.Done():
		return order.Result{Decision: order.DecisionFailed, Err: ctx.Err()}
	}
	// Once queued, the entry's fate is decided within commitTimeout.
	select {
	case result := <-c.reply:
		return result
	case <-l.ctx.Done():
		return order.Result{Decision: order.DecisionFailed, Err: context.Canceled}
	}
}

func (l *Ledger) queueFor(shard order.Shard) (chan<- pendingCommit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil || l.ctx.Err() != nil {
		return nil, false
	}
	if l.shards == nil {
		l.shards = make(map[order.Shard]chan pendingCommit)
	}
	queue, ok := l.shards[shard]
	if !ok {
		queue = make(chan pendingCommit, commitQueueLen)
		l.shards[shard] = queue
		log := &order.Log{Client: l.Client, Shard: shard, Retention: l.Retention}
		l.tasks.Go(l.ctx, func(ctx context.Context) { writeLog(ctx, log, queue) })
	}
	return queue, true
}

// writeLog commits what is queued for one log until the context ends.
func writeLog(ctx context.Context, log *order.Log, queue <-chan pendingCommit) {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	limiter := rate.NewLimiter(commitsPerSecond, commitBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-trim.C:
			// What can not be dropped now is dropped the next time.
			_, _ = log.Trim(ctx, time.Now())
		case first := <-queue:
			if limiter.Wait(ctx) != nil {
				return
			}
			commitAll(ctx, log, collectBatch(first, queue))
		}
	}
}

// collectBatch takes what else waits, up to a batch.
func collectBatch(first pendingCommit, queue <-chan pendingCommit) []pendingCommit {
	batch := []pendingCommit{first}
	for len(batch) < maxBatchLen {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func commitAll(ctx context.Context, log *order.Log, batch []pendingCommit) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	entries := make([]order.Entry, len(batch))
	for i := range batch {
		entries[i] = batch[i].entry
	}
	for i, result := range log.Commit(ctx, entries) {
		batch[i].reply <- result
	}
}

// refusalForResult tells the caller of an order what the log has said.
func refusalForResult(result order.Result, callTime time.Duration) error {
	switch result.Decision {
	case order.DecisionMismatch:
		return fleet.Refuse(fleet.ReasonIdempotencyKeyReused, "")
	case order.DecisionOpen:
		refusal := &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown}
		if time.Since(result.Earlier.ClaimTime) < callTime {
			refusal.Reason, refusal.RetryAfter = fleet.ReasonInProgress, time.Second
		}
		return refusal
	default:
		refusal := fleet.RefuseWithRetryAfter(fleet.ReasonPlatformUnavailable, time.Second)
		if result.Earlier.Finished {
			refusal.Outcome = fleet.OutcomeRan // only its answer can not be read now
		}
		if result.Err != nil {
			refusal.Detail = result.Err.Error()
		}
		return refusal
	}
}
