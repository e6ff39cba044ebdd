package entry

import (
	"context"
	"fmt"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/owner"
	"hibiscuslb/hibiscusd/internal/wire"
)

// order dispatches an order, a call of a plain service, to the owner of a target. It
// tries the next target only if the order provably did not run, or if it is
// repeatable and the retry budget allows it.
func (s *Server) order(ctx context.Context, c *caller, model fleet.ModelID, request *wire.OrderRequest) (wire.OrderResponse, error) {
	arrived := s.Clock()
	s.retries.RecordFirstAttempt()
	var last error
	tried := make(map[fleet.TargetID]bool)
	for range maxCandidates {
		view, err := s.activeView()
		if err != nil {
			return wire.OrderResponse{}, err
		}
		if request.Deadline, err = s.remainingTime(c); err != nil {
			return wire.OrderResponse{}, err
		}
		target, ok := s.chooseOrderTarget(view, model, request, tried)
		if !ok {
			break
		}
		tried[target.ID] = true
		request.Target = target.ID
		answer, err := s.sendOrder(ctx, view, target, request)
		if err == nil {
			series := meter.Series{Workspace: c.workspace.ID, Class: c.class.ID}
			s.Metrics.Orders.Record(series, s.Clock().Sub(arrived))
			return answer, nil
		}
		last = err
		if !provesNotRun(err) && (!request.Repeatable || !s.retries.TryRetry()) {
			break
		}
	}
	if last == nil {
		last = fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, time.Second)
	}
	return wire.OrderResponse{}, last
}

// chooseOrderTarget returns the best target that was not tried. It ranks targets by
// the shard of the key rather than the key, so that all orders of a shard are sent
// to one host, which combines their writes.
func (s *Server) chooseOrderTarget(view *control.View, model fleet.ModelID, request *wire.OrderRequest, tried map[fleet.TargetID]bool) (*declaration.Target, bool) {
	ranked := placement.Rank(uint64(owner.ShardOf(request, model)), view.Declaration.TargetsByModel(model),
		func(t *declaration.Target) string { return string(t.ID) },
		func(t *declaration.Target) float64 { return targetWeight(view, t) })
	for _, target := range s.reachableFirst(view, ranked) {
		if !tried[target.ID] {
			return target, true
		}
	}
	return nil, false
}

// sendOrder dispatches an order to the target's owner, this or another host.
func (s *Server) sendOrder(ctx context.Context, view *control.View, target *declaration.Target, request *wire.OrderRequest) (wire.OrderResponse, error) {
	holder, ok := view.Owner(target)
	if !ok {
		return wire.OrderResponse{}, fleet.Refuse(fleet.ReasonNotHolder, fmt.Sprintf("no host holds the duty for target %q", target.ID))
	}
	if holder.Member == view.Self {
		return s.Owners.Order(ctx, request)
	}
	var answer wire.OrderResponse
	err := s.Pool.Call(ctx, holder.Address, wire.KindOrder, request, &answer)
	s.recordUnreachable(holder.Address, err)
	return answer, err
}
