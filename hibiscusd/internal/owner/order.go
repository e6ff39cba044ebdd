package owner

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/order"
	"hibiscuslb/fleet/service"
	"hibiscuslb/fleet/target"
	"hibiscuslb/hibiscusd/internal/wire"
)

// ShardCount is the number of logs over which the keys of orders are distributed.
// Stored logs depend on it, so all hosts must use the same value for the life of
// the fleet. Fewer shards give larger batches per write, more shards give smaller
// indexes.
const ShardCount = 32

// ShardOf returns the shard of an order's idempotency key.
func ShardOf(request *wire.OrderRequest, model fleet.ModelID) order.Shard {
	return order.ShardOf(order.KeyOf(request.Workspace, model, request.Key), ShardCount)
}

// Order executes an order at a target that this host owns. An order that is not
// repeatable is claimed first and dispatched at most once. The error is a
// *fleet.RefusalError.
func (s *Set) Order(ctx context.Context, request *wire.OrderRequest) (wire.OrderResponse, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	owner, declared, err := s.lookup(request.Target)
	if err != nil {
		return wire.OrderResponse{}, err
	}
	call := &orderCall{set: s, owner: owner, target: declared, request: request}
	call.ticket = target.Ticket{Workspace: request.Workspace, Class: request.Class, Priority: request.Priority}
	if request.Deadline > 0 {
		call.ticket.Deadline = s.Clock().Add(request.Deadline)
	}
	if request.Repeatable {
		return call.execute(ctx)
	}
	return call.executeOnce(ctx)
}

// orderCall is the state of one order.
type orderCall struct {
	set     *Set
	owner   *Owner
	target  *declaration.Target
	request *wire.OrderRequest
	ticket  target.Ticket
}

// execute waits until the target admits the call, then dispatches it.
func (c *orderCall) execute(ctx context.Context) (wire.OrderResponse, error) {
	id, err := c.owner.acquire(ctx, c.ticket)
	if err != nil {
		return wire.OrderResponse{}, err
	}
	answer, result, err := c.dispatch(ctx)
	c.owner.release(id, result)
	return answer, err
}

// dispatch sends the call. If it returns a refusal with an unknown outcome, the
// call may have run.
func (c *orderCall) dispatch(ctx context.Context) (wire.OrderResponse, target.Result, error) {
	if err := c.set.checkDispatch(c.owner); err != nil {
		return wire.OrderResponse{}, target.ResultNotRun, err
	}
	// The call continues if the caller disconnects, since its outcome has to be
	// recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.set.Limits.CallTimeout)
	defer cancel()
	client := service.Client{Address: c.target.Address}
	answer, err := client.Do(ctx, service.Call{Operation: c.request.Operation, Key: c.request.Key, Body: c.request.Body})
	var notRun *service.NotRunError
	switch {
	case err == nil:
		return wire.OrderResponse{Status: answer.Status, Body: answer.Body}, target.ResultComplete, nil
	case errors.As(err, &notRun):
		c.owner.markDown()
		return wire.OrderResponse{}, target.ResultNotRun, fleet.RefuseWithRetryAfter(fleet.ReasonTargetFailed, downPeriod)
	default:
		return wire.OrderResponse{}, target.ResultIncomplete, &fleet.RefusalError{
			Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error(),
		}
	}
}

// executeOnce claims the call's idempotency key, dispatches the call if the claim
// was recorded for this attempt, and records the outcome. The call counts against
// the target's limit during the dispatch only, not during the writes to the
// platform.
func (c *orderCall) executeOnce(ctx context.Context) (wire.OrderResponse, error) {
	if err := c.owner.checkAdmission(c.ticket); err != nil {
		return wire.OrderResponse{}, err
	}
	entry := order.Entry{
		Kind: order.Claim, Key: order.KeyOf(c.request.Workspace, c.target.Model, c.request.Key),
		Digest:  order.DigestOf(c.request.Operation, c.request.Body),
		Attempt: order.AttemptID(rand.Text()), At: time.Now().Unix(),
	}
	shard := ShardOf(c.request, c.target.Model)
	claim := c.set.OrderLogs.Commit(ctx, shard, entry)
	switch claim.Decision {
	case order.DecisionRecorded:
	case order.DecisionFinished:
		return recordedAnswer(claim.Earlier)
	default:
		return wire.OrderResponse{}, refusalForResult(claim, c.set.Limits.CallTimeout)
	}
	answer, err := c.execute(ctx)
	var refusal *fleet.RefusalError
	switch {
	case err == nil:
		entry.Kind, entry.Status = order.Finish, answer.Status
		if len(answer.Body) <= order.MaxAnswerBytes {
			// Not nil even if the body is empty: nil means that the answer was
			// too long to keep.
			entry.Answer = append([]byte{}, answer.Body...)
		}
	case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
		entry.Kind = order.Release
	default:
		return answer, err // the claim is kept, because the call may have run
	}
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	c.recordOutcome(recordCtx, shard, entry)
	return answer, err
}

// recordedAnswer returns the recorded answer of an earlier attempt.
func recordedAnswer(record order.KeyState) (wire.OrderResponse, error) {
	if record.Answer == nil {
		return wire.OrderResponse{}, &fleet.RefusalError{Reason: fleet.ReasonAnswerNotKept, Outcome: fleet.OutcomeRan}
	}
	return wire.OrderResponse{Status: record.Status, Body: record.Answer, Repeated: true}, nil
}

// maxRecordAttempts bounds the attempts to record the outcome of an order. If all
// fail, requests that repeat the key are refused with an unknown outcome.
const maxRecordAttempts = 3

// recordOutcome writes the outcome of the call to the order log. A failure is logged
// and counted.
func (c *orderCall) recordOutcome(ctx context.Context, shard order.Shard, entry order.Entry) {
	var last order.Result
	for range maxRecordAttempts {
		last = c.set.OrderLogs.Commit(ctx, shard, entry)
		if last.Decision == order.DecisionRecorded {
			return
		}
	}
	c.set.Metrics.Add("OutcomesNotRecorded", 1)
	c.set.Log.Warn().Err(last.Err).Str("Target", string(c.owner.id)).Str("Attempt", string(entry.Attempt)).
		Msg("could not record the outcome of an order; requests that repeat its key may be refused with outcome unknown")
}
