package entry

import (
	"context"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/keeper"
	"hibiscuslb/hibiscusd/internal/wire"
)

// order passes a service call to the keeper of a target. A call goes on to the
// next target only after a proof that it did not run, or if it is repeatable.
func (e *Entry) order(ctx context.Context, c *caller, model fleet.ModelID, ask *wire.OrderRequest) (wire.OrderResponse, error) {
	arrived := e.Clock()
	e.retries.RecordFirstAttempt()
	var last error
	tried := make(map[fleet.TargetID]bool)
	for range candidatesTried {
		view, err := e.view()
		if err != nil {
			return wire.OrderResponse{}, err
		}
		if ask.Deadline, err = e.remaining(c); err != nil {
			return wire.OrderResponse{}, err
		}
		target, ok := e.orderTarget(view, model, ask, tried)
		if !ok {
			break
		}
		tried[target.ID] = true
		ask.Target = target.ID
		answer, err := e.sendOrder(ctx, view, target, ask)
		if err == nil {
			series := meter.Series{Workspace: c.workspace.ID, Class: c.class.ID}
			e.Metrics.Orders.Record(series, e.Clock().Sub(arrived))
			return answer, nil
		}
		last = err
		if !notRun(err) && (!ask.Repeatable || !e.retries.TryRetry()) {
			break
		}
	}
	if last == nil {
		last = fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, time.Second)
	}
	return wire.OrderResponse{}, last
}

// orderTarget ranks targets by the shard of the key, not the key itself, so
// that all orders of a shard meet in one host and share its writes.
func (e *Entry) orderTarget(view *control.View, model fleet.ModelID, ask *wire.OrderRequest, tried map[fleet.TargetID]bool) (*declaration.Target, bool) {
	ranked := placement.Rank(uint64(keeper.ShardOf(ask, model)), view.Declaration.TargetsByModel(model),
		func(t *declaration.Target) string { return string(t.ID) },
		func(t *declaration.Target) float64 { return weight(view, t) })
	for _, target := range e.reachable(view, ranked) {
		if !tried[target.ID] {
			return target, true
		}
	}
	return nil, false
}

func (e *Entry) sendOrder(ctx context.Context, view *control.View, target *declaration.Target, ask *wire.OrderRequest) (wire.OrderResponse, error) {
	owner, ok := view.TargetHolder(target)
	if !ok {
		return wire.OrderResponse{}, fleet.Refuse(fleet.ReasonNotHolder, string(target.ID))
	}
	if owner.Member == view.Self {
		return e.Keepers.Order(ctx, ask)
	}
	var answer wire.OrderResponse
	err := e.Pool.Call(ctx, owner.Address, wire.KindOrder, ask, &answer)
	e.noteLost(owner.Address, err)
	return answer, err
}
