package planner

import (
	"context"
	"errors"
	"slices"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/platform"
)

// dispatch starts the calls that are due: orders, queries of engines' state, frees
// and lists.
func (p *Planner) dispatch(ctx context.Context, now fleet.Instant) {
	p.lastDispatch = now
	stats := p.fleet.Stats()
	p.stats.Store(&stats)
	if now.Sub(p.lastStatsLog) >= statsLogInterval {
		p.lastStatsLog = now
		p.Log.Info().Stringer("Count", p.fleet.Stats()).Int("Waiting", p.fleet.QueueLen()).Msg("planned")
	}
	p.noteQuarantine()
	p.dispatchOrigins(ctx, now)
	cutOff := p.CutOff()
	for _, probe := range p.fleet.DueProbes() {
		if cutOff {
			continue // it would fail, and say nothing of the target
		}
		p.tasks.Go(ctx, func(ctx context.Context) { p.probe(ctx, probe) })
	}
	p.fleet.StoresAllowed = p.active && p.engineClock.known && p.Permissions.MayPlan()
	if p.deputy {
		return // a deputy only grants, and finds out which targets have crashed
	}
	p.weightsOutdated.Store(p.fleet.HasOutdatedEngines())
	epoch := p.epoch // copied: the tasks run concurrently with the goroutine that owns p.epoch
	for _, order := range p.fleet.DueOrders(now, !cutOff && p.Permissions.MayOrder()) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.sendOrder(ctx, epoch, order) })
	}
	if cutOff {
		return // no call would be answered
	}
	for id, address := range p.fleet.EnginesToQuery(now) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.queryEngineState(ctx, id, address) })
	}
	if !p.Permissions.HoldsDuty() {
		return
	}
	for _, free := range p.fleet.Evictions(now) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.sendFree(ctx, free) })
	}
	for _, address := range p.fleet.Stores() {
		if s := p.fleet.StoreInventory(address); s.StartList(now) {
			p.tasks.Go(ctx, func(ctx context.Context) { p.listCacheStore(ctx, address, epoch, now) })
		}
	}
}

// probe tries a connection to a target that may have crashed, since an answer ended early.
func (p *Planner) probe(ctx context.Context, probe plan.Probe) {
	err := p.Targets.Probe(ctx, probe.Address)
	if ctx.Err() != nil {
		return
	}
	p.enqueue(ctx, func(now fleet.Instant) {
		if p.fleet.RecordProbe(now, probe.Target, err == nil) {
			p.Log.Info().AnErr("Cause", err).Str("Target", string(probe.Target)).Str("Address", string(probe.Address)).Bool("Accepted", err == nil).
				Msg("tried a connection to a target, since an answer ended early")
		}
	})
}

// noteQuarantine publishes the suspected and withheld parts of prompts and requests, and logs
// which have been withheld or released since the last call.
func (p *Planner) noteQuarantine() {
	list, before := p.fleet.Quarantine(), p.Quarantine()
	if slices.Equal(list, before) {
		return
	}
	for _, e := range list {
		if e.Withheld() && !slices.Contains(before, e) {
			p.logQuarantine(p.Log.Warn(), e, "requests with a part of a prompt are refused: engines crashed on it", "a request is refused: targets crashed on it")
		}
	}
	for _, e := range before {
		if e.Withheld() && !slices.ContainsFunc(list, e.Same) {
			p.logQuarantine(p.Log.Info(), e, "requests with a part of a prompt are served again", "a request that was refused is served again")
		}
	}
	p.quarantine.Store(&list)
}

// logQuarantine writes one of two log lines, for an entry of a part or of a request.
func (p *Planner) logQuarantine(line *zerolog.Event, e quarantine.Entry, part, request string) {
	line = line.Int("Crashes", e.Crashes).Uint64("Epoch", uint64(p.epoch))
	if e.Part != "" {
		line.Str("Part", string(e.Part)).Msg(part)
		return
	}
	line.Str("Fingerprint", string(e.Request)).Str("Workspace", string(e.Workspace)).Msg(request)
}

// errOrderingOver reports that the host may not send orders any more.
var errOrderingOver = errors.New("the time for orders has ended")

// checkOrder returns an error if the host may not send orders now.
func (p *Planner) checkOrder() error {
	if !p.Permissions.MayOrder() {
		return errOrderingOver
	}
	return nil
}

// sendOrder sends an engine an order to load weights, in the tenure of the epoch.
func (p *Planner) sendOrder(ctx context.Context, epoch fleet.Epoch, order plan.AddressedOrder) {
	if p.checkOrder() != nil {
		p.enqueue(ctx, func(now fleet.Instant) { p.fleet.RecordOrderResult(now, order, weightupdate.NotSent) })
		return
	}
	result, err := p.Targets.SendOrder(ctx, order.Address, order.Target, platform.LoadOrder{
		Model: order.Model, Version: order.Version, Holder: p.Host, Epoch: epoch, Accepted: order.Accepted, Check: p.checkOrder,
	})
	p.Log.Info().AnErr("Cause", err).Str("Target", string(order.Target)).Uint64("Version", order.Version).
		Uint64("Accepted", order.Accepted).Uint64("Epoch", uint64(epoch)).Stringer("Result", result).Msg("order to load weights ended")
	p.WeightOrders.Add(1, result.String())
	p.enqueue(ctx, func(now fleet.Instant) {
		p.fleet.RecordOrderResult(now, order, result)
		p.dispatch(ctx, now)
	})
}

// queryEngineState asks an engine for its state, which includes the versions of
// its loaded weights.
func (p *Planner) queryEngineState(ctx context.Context, id fleet.TargetID, address fleet.Address) {
	report, err := p.Targets.FetchEngineState(ctx, address)
	if err != nil {
		p.Log.Warn().Err(err).Str("Target", string(id)).Msg("engine did not report its loaded weights; waiting for its entry in the object store")
		return
	}
	p.enqueue(ctx, func(now fleet.Instant) {
		for model, version := range report.Models {
			if report.Busy {
				continue
			}
			p.fleet.RecordLoaded(id, model, version, report.Orders)
		}
	})
}

// sendFree tells a cache store to free parts.
func (p *Planner) sendFree(ctx context.Context, free plan.Eviction) {
	if !p.Permissions.HoldsDuty() {
		return
	}
	parts := make([]platform.StoredPart, 0, len(free.Parts))
	for _, part := range free.Parts {
		parts = append(parts, platform.StoredPart{Salt: part.Salt, Part: part.ID})
	}
	err := p.Targets.FreeParts(ctx, free.Address, free.Incarnation, p.engineClock.at(p.Permissions.TenureEnd()), parts)
	if err != nil {
		p.Log.Warn().Err(err).Str("Store", string(free.Address)).Int("Parts", len(parts)).Msg("cache store did not confirm that it freed parts")
		return
	}
	p.enqueue(ctx, func(now fleet.Instant) {
		if s := p.fleet.StoreInventory(free.Address); s != nil && p.active {
			s.ConfirmFreed(now, free.Incarnation, free.Parts)
		}
	})
}

// listCacheStore lists all parts that a cache store holds, in the tenure of the epoch.
func (p *Planner) listCacheStore(ctx context.Context, address fleet.Address, epoch fleet.Epoch, asked fleet.Instant) {
	list, err := p.Targets.ListCache(ctx, address)
	p.enqueue(ctx, func(now fleet.Instant) {
		s := p.fleet.StoreInventory(address)
		if s == nil || !p.active || p.epoch != epoch {
			return // a deputy must not know the content of cache stores: it reads nothing from them
		}
		if err != nil {
			p.Log.Warn().Err(err).Str("Store", string(address)).Msg("could not list the parts of a cache store")
			s.ListFailed(now)
			return
		}
		var entries []cachestore.Entry
		for _, held := range list.Held {
			entries = append(entries, cachestore.Entry{Part: cachestore.Part{Salt: held.Salt, ID: held.Part}, Tokens: held.Tokens, Complete: true})
		}
		for _, partial := range list.Partial {
			entries = append(entries, cachestore.Entry{Part: cachestore.Part{Salt: partial.Salt, ID: partial.Part}, Tokens: partial.Tokens})
		}
		s.ApplyList(now, asked, list.Incarnation, list.Next, entries)
		p.Log.Info().Str("Store", string(address)).Uint64("Life", list.Incarnation).Int("Held", len(list.Held)).
			Int("Partial", len(list.Partial)).Msg("listed the parts of a cache store")
	})
}
