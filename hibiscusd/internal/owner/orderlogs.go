package owner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/order"
	"hibiscuslb/fleet/task"
)

// OrderLogs writes entries to the order logs. Each shard has one writer goroutine;
// entries that arrive during a write are combined into the next one.
type OrderLogs struct {
	Client    objectstore.Client
	Retention time.Duration

	mu     sync.Mutex
	ctx    context.Context
	shards map[order.Shard]chan pendingCommit
	tasks  task.Group
}

// pendingCommit is an entry that waits to be written to a log.
type pendingCommit struct {
	entry order.Entry
	reply chan order.Result
}

const (
	commitQueueLen = 256
	maxBatchLen    = 64
	// Under load, each log is written at most commitsPerSecond times a second, so
	// that entries are batched. commitBurst lets a log with little load write
	// without delay.
	commitsPerSecond = 10
	commitBurst      = 4
	commitTimeout    = 5 * time.Second
	trimInterval     = time.Minute
)

// Run accepts commits until ctx is done, then waits for the writers to return.
func (l *OrderLogs) Run(ctx context.Context) {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	<-ctx.Done()
	l.tasks.Wait()
}

// Commit writes an entry to a shard's log and returns the result. After a failed
// result the entry may still have been written. Its attempt then counts as abandoned:
// a claim is never dispatched, and this process may claim its key again.
func (l *OrderLogs) Commit(ctx context.Context, shard order.Shard, entry order.Entry) order.Result {
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
	// A queued entry is not withdrawn when ctx is done: its write succeeds or
	// fails within commitTimeout.
	select {
	case result := <-c.reply:
		return result
	case <-l.ctx.Done():
		return order.Result{Decision: order.DecisionFailed, Err: context.Canceled}
	}
}

// queueFor returns the queue of a shard's writer and starts the writer if needed.
// It returns false if Run is not running.
func (l *OrderLogs) queueFor(shard order.Shard) (chan<- pendingCommit, bool) {
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

// writeLog writes the queued entries to one log until ctx is done.
func writeLog(ctx context.Context, log *order.Log, queue <-chan pendingCommit) {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	limiter := rate.NewLimiter(commitsPerSecond, commitBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-trim.C:
			// The error is ignored: what could not be removed is removed by a
			// later trim.
			_, _ = log.Trim(ctx, time.Now())
		case first := <-queue:
			if limiter.Wait(ctx) != nil {
				return
			}
			commitAll(ctx, log, collectBatch(first, queue))
		}
	}
}

// collectBatch returns first and the entries that are queued already, at most
// maxBatchLen in total.
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

// commitAll writes a batch in one commit and replies to each of its callers.
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

// refusalForResult returns the refusal of an order whose claim was not recorded. An
// earlier attempt without a recorded outcome counts as in progress until callTime,
// the longest duration of a call, has passed since its claim.
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
			refusal.Outcome = fleet.OutcomeRan // only the recorded answer could not be read
		}
		if result.Err != nil {
			refusal.Detail = result.Err.Error()
		}
		return refusal
	}
}
