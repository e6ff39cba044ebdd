package keeper

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

// ShardCount is how many logs the keys of orders are spread over. It is a property
// of what is stored: all hosts must agree on it for the life of the fleet. Few
// shards make large groups of entries for each write, many make small indexes.
const ShardCount = 32

// ShardOf returns the shard of an order's idempotency key.
func ShardOf(ask *wire.OrderRequest, model fleet.ModelID) order.Shard {
	return order.ShardOf(order.KeyOf(ask.Workspace, model, ask.Key), ShardCount)
}

// Order makes a service call at a target that this host keeps. One that may
// not be repeated is claimed first and dispatched at most once. Its error is a
// *fleet.RefusalError.
func (s *Set) Order(ctx context.Context, ask *wire.OrderRequest) (wire.OrderResponse, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	keeper, declared, err := s.lookup(ask.Target)
	if err != nil {
		return wire.OrderResponse{}, err
	}
	call := &orderCall{set: s, keeper: keeper, target: declared, ask: ask}
	call.ticket = target.Ticket{Workspace: ask.Workspace, Class: ask.Class, Priority: ask.Priority}
	if ask.Deadline > 0 {
		call.ticket.Deadline = s.Clock().Add(ask.Deadline)
	}
	if ask.Repeatable {
		return call.execute(ctx)
	}
	return call.executeOnce(ctx)
}

// An orderCall is one service call on its way through a keeper.
type orderCall struct {
	set    *Set
	keeper *Keeper
	target *declaration.Target
	ask    *wire.OrderRequest
	ticket target.Ticket
}

// execute waits for the target to have room and dispatches.
func (r *orderCall) execute(ctx context.Context) (wire.OrderResponse, error) {
	id, err := r.keeper.acquire(ctx, r.ticket)
	if err != nil {
		return wire.OrderResponse{}, err
	}
	answer, result, err := r.dispatch(ctx)
	r.keeper.release(id, result)
	return answer, err
}

// dispatch sends the call. After an error that is not a *service.NotRunError
// it may have run.
func (r *orderCall) dispatch(ctx context.Context) (wire.OrderResponse, target.Result, error) {
	if err := r.set.checkDispatch(r.keeper); err != nil {
		return wire.OrderResponse{}, target.ResultNotRun, err
	}
	// From here on the caller's going away does not end the call, since its
	// outcome has to be recorded.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.set.Limits.CallTimeout)
	defer cancel()
	client := service.Client{Address: r.target.Address}
	answer, err := client.Do(ctx, service.Call{Operation: r.ask.Operation, Key: r.ask.Key, Body: r.ask.Body})
	var refused *service.NotRunError
	switch {
	case err == nil:
		return wire.OrderResponse{Status: answer.Status, Body: answer.Body}, target.ResultComplete, nil
	case errors.As(err, &refused):
		r.keeper.markDown()
		return wire.OrderResponse{}, target.ResultNotRun, fleet.RefuseWithRetryAfter(fleet.ReasonTargetFailed, downPeriod)
	default:
		return wire.OrderResponse{}, target.ResultIncomplete, &fleet.RefusalError{
			Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error(),
		}
	}
}

// executeOnce claims the call's key, dispatches if the claim is this attempt's, and
// records what came of it. The target's room is taken for the dispatch alone,
// not while the platform is written.
func (r *orderCall) executeOnce(ctx context.Context) (wire.OrderResponse, error) {
	if err := r.keeper.checkAdmission(r.ticket); err != nil {
		return wire.OrderResponse{}, err
	}
	entry := order.Entry{
		Kind: order.Claim, Key: order.KeyOf(r.ask.Workspace, r.target.Model, r.ask.Key),
		Digest:  order.DigestOf(r.ask.Operation, r.ask.Body),
		Attempt: order.AttemptID(rand.Text()), At: time.Now().Unix(),
	}
	shard := ShardOf(r.ask, r.target.Model)
	claim := r.set.Ledger.Commit(ctx, shard, entry)
	switch claim.Decision {
	case order.DecisionRecorded:
	case order.DecisionFinished:
		return recordedAnswer(claim.Earlier)
	default:
		return wire.OrderResponse{}, refusalForResult(claim, r.set.Limits.CallTimeout)
	}
	answer, err := r.execute(ctx)
	var refusal *fleet.RefusalError
	switch {
	case err == nil:
		entry.Kind, entry.Status = order.Finish, answer.Status
		if len(answer.Body) <= order.MaxAnswerBytes {
			entry.Answer = append([]byte{}, answer.Body...) // not nil, even if empty
		}
	case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
		entry.Kind = order.Release
	default:
		return answer, err // the claim stays, and with it the doubt
	}
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
	defer cancel()
	r.recordOutcome(recordCtx, shard, entry)
	return answer, err
}

// recordedAnswer returns the answer of an earlier call.
func recordedAnswer(record order.KeyState) (wire.OrderResponse, error) {
	if record.Answer == nil {
		return wire.OrderResponse{}, &fleet.RefusalError{Reason: fleet.ReasonAnswerNotKept, Outcome: fleet.OutcomeRan}
	}
	return wire.OrderResponse{Status: record.Status, Body: record.Answer, Repeated: true}, nil
}

// maxRecordTries bounds how often the outcome of an order is recorded before a
// repeat of its key will be told that the outcome is unknown.
const maxRecordTries = 3

func (r *orderCall) recordOutcome(ctx context.Context, shard order.Shard, entry order.Entry) {
	for range maxRecordTries {
		if r.set.Ledger.Commit(ctx, shard, entry).Decision == order.DecisionRecorded {
			return
		}
	}
	r.set.Metrics.Add("OutcomesNotRecorded", 1)
	r.set.Log.Warn().Str("Attempt", string(entry.Attempt)).Msg("outcome of an order is not recorded")
}
