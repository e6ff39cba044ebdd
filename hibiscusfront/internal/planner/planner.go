// Package planner runs package plan on the host that holds the planner's duty,
// a lease that makes one host decide for the whole fleet, and on deputies.
//
// One goroutine owns the plan. It receives the requests and reports of all
// hosts, the views that the control goroutine publishes, and the events that
// watchers read from engines and cache stores. It starts the calls that the plan
// requires: orders to targets, frees and lists of cache stores. These run in
// goroutines of their own and return their results through the inbox.
package planner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

const (
	// tickInterval is the time between two checks of waiting requests.
	tickInterval = 10 * time.Millisecond
	// dispatchInterval is the longest time between two checks for orders,
	// frees and lists that are due.
	dispatchInterval = 40 * time.Millisecond
	// statsLogInterval is the time between two log lines with the statistics of
	// grants.
	statsLogInterval = 2 * time.Second
	// inboxSize is the number of messages that may wait for the planner's
	// goroutine.
	inboxSize = 1024
)

// Permissions tells what this host may do as the planner. The planner checks it
// immediately before each action, because permissions expire.
type Permissions interface {
	// MayPlan reports whether the host may decide on requests.
	MayPlan() bool
	// HoldsDuty reports whether the host holds the duty, and may free parts of
	// cache stores.
	HoldsDuty() bool
	// MayOrder reports whether the host may send orders to targets.
	MayOrder() bool
	// TenureEnd returns the end of the tenure unless it is renewed.
	TenureEnd() fleet.Instant
}

// A Planner decides on requests while its host is the planner or a deputy.
type Planner struct {
	Host        fleet.HostID
	Bounds      platform.Bounds
	Targets     *platform.TargetClient
	Permissions Permissions
	Clock       fleet.Clock
	Log         zerolog.Logger

	inbox             chan func(now fleet.Instant)
	tasks             task.Group
	fleet             plan.Fleet
	active            bool // the host is the planner
	epoch             fleet.Epoch
	deputy            bool                                  // the host plans for hosts that cannot reach the planner
	lastDeputyRequest fleet.Instant                         // last request for a deputy
	pending           map[*plan.Request]func(plan.Decision) // waiting requests, with the function that replies
	watchers          map[fleet.Address]context.CancelFunc
	engineClock       engineClock
	lastDispatch      fleet.Instant

	lastStatsLog    fleet.Instant
	weightsOutdated outdatedFlag
	stats           atomic.Pointer[plan.Stats]

	// WeightOrders counts the orders to load weights, by result.
	WeightOrders meter.Counter

	// runCtx is the context of Run, for tasks that outlive the message that
	// started them.
	runCtx context.Context
}

// New returns a planner that is inactive until SetPlanning or a request for a
// deputy.
func New(host fleet.HostID, bounds platform.Bounds, targets *platform.TargetClient, permissions Permissions, clock fleet.Clock, log zerolog.Logger) *Planner {
	p := &Planner{
		Host: host, Bounds: bounds, Targets: targets, Permissions: permissions, Clock: clock, Log: log,
		inbox:        make(chan func(fleet.Instant), inboxSize),
		pending:      make(map[*plan.Request]func(plan.Decision)),
		watchers:     make(map[fleet.Address]context.CancelFunc),
		WeightOrders: meter.Counter{Name: "WeightOrders", Labels: []string{"Result"}},
	}
	p.setBounds(bounds)
	return p
}

// SetBounds applies the bounds of reloaded settings.
func (p *Planner) SetBounds(ctx context.Context, bounds platform.Bounds) {
	p.enqueue(ctx, func(fleet.Instant) { p.setBounds(bounds) })
}

func (p *Planner) setBounds(bounds platform.Bounds) {
	p.Bounds = bounds
	p.fleet.RetryRatio, p.fleet.RetryWindow, p.fleet.RetryReserve = bounds.RetryRatio, bounds.RetryWindow, bounds.RetryReserve
	p.fleet.WeightsBound = bounds.Weights
}

// Run owns the plan until the context ends.
func (p *Planner) Run(ctx context.Context) {
	p.runCtx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			p.tasks.Wait()
			return
		case f := <-p.inbox:
			f(p.Clock())
		case <-ticker.C:
			p.tick(ctx, p.Clock())
		}
	}
}

// enqueue queues f for the planner's goroutine, unless the context ends first.
func (p *Planner) enqueue(ctx context.Context, f func(now fleet.Instant)) {
	select {
	case p.inbox <- f:
	case <-ctx.Done():
	}
}

// SetPlanning makes the host the planner of the epoch or, if planning is false,
// ends its planning.
func (p *Planner) SetPlanning(ctx context.Context, epoch fleet.Epoch, planning bool) {
	p.enqueue(ctx, func(now fleet.Instant) {
		if planning == p.active && (epoch == p.epoch || !planning) {
			return
		}
		p.stop()
		p.active, p.epoch = planning, epoch
		if planning {
			p.fleet.BeginTenure(now, firstGrantNumber(epoch))
			p.syncWatchers(ctx)
		}
	})
}

// firstGrantNumber returns the number below all grants of an epoch. The grants of
// two planners have different numbers because their epochs differ.
func firstGrantNumber(epoch fleet.Epoch) plan.GrantNumber {
	const grantsPerEpoch = 1 << 40
	return plan.GrantNumber(epoch) * grantsPerEpoch
}

// stop ends planning, as the planner or as a deputy: it cancels all watchers and
// refuses all waiting requests.
func (p *Planner) stop() {
	p.active, p.deputy, p.fleet.Deputy = false, false, false
	for address, cancel := range p.watchers {
		cancel()
		delete(p.watchers, address)
	}
	for request, answer := range p.pending {
		answer(plan.Decision{Request: request, Refusal: fleet.Refuse(fleet.ReasonNotHolder, "this host has stopped planning")})
		delete(p.pending, request)
	}
}

// SetView applies a new view of the fleet.
func (p *Planner) SetView(ctx context.Context, v *view.View) {
	p.enqueue(ctx, func(now fleet.Instant) {
		if v.Table == nil {
			return
		}
		p.fleet.SetServices(now, v.Table.Services)
		p.fleet.SetTargets(now, v.Targets, v.Evacuated)
		for model, w := range v.Weights {
			p.fleet.SetWeights(model, w)
		}
		p.weightsOutdated.Store(p.fleet.HasOutdatedEngines())
		if p.active || p.deputy {
			p.syncWatchers(p.runCtx)
			p.dispatch(ctx, now)
		}
	})
}

// ReleaseHost records that a host is lost and will send no further reports.
func (p *Planner) ReleaseHost(ctx context.Context, host fleet.HostID) {
	p.enqueue(ctx, func(now fleet.Instant) { p.fleet.ReleaseHost(now, host) })
}

// WeightsOutdated reports whether some engine has older weights than those announced
// for its model, so that the planner has orders to send.
func (p *Planner) WeightsOutdated() bool { return p.weightsOutdated.Load() }

// Plan decides on a request and blocks for as long as the plan queues it. Deputy is
// set if the asking host cannot reach the planner; this host then plans as a deputy
// if it is not the planner.
func (p *Planner) Plan(ctx context.Context, request *plan.Request, deputy bool) (plan.Decision, error) {
	answer := make(chan plan.Decision, 1)
	p.enqueue(ctx, func(now fleet.Instant) {
		if deputy && !p.active {
			p.startDeputy(now)
		} else if !p.active || !p.Permissions.MayPlan() {
			answer <- plan.Decision{Request: request, Refusal: fleet.Refuse(fleet.ReasonNotHolder, "this host is not the planner")}
			return
		}
		decision, ok := p.fleet.Submit(now, request)
		if ok {
			answer <- p.finishDecision(now, decision)
			return
		}
		p.pending[request] = func(decision plan.Decision) { answer <- decision }
	})
	select {
	case decision := <-answer:
		return decision, nil
	case <-ctx.Done():
		p.enqueue(context.WithoutCancel(ctx), func(now fleet.Instant) { p.withdraw(now, request, answer) })
		return plan.Decision{}, ctx.Err()
	}
}

// withdraw removes a request whose call of Plan has ended, and reports a grant that was
// already made for it as rejected.
func (p *Planner) withdraw(now fleet.Instant, request *plan.Request, answer <-chan plan.Decision) {
	delete(p.pending, request)
	p.fleet.Cancel(request)
	select {
	case decision := <-answer:
		if decision.Grant != nil {
			p.fleet.Report(now, plan.Report{Number: decision.Grant.Number, Progress: plan.Rejected})
		}
	default:
	}
}

// Report applies a host's reports on the progress of grants.
func (p *Planner) Report(ctx context.Context, reports []plan.Report) {
	p.enqueue(ctx, func(now fleet.Instant) {
		for _, r := range reports {
			p.fleet.Report(now, r)
		}
	})
}

// finishDecision logs a refusal, and sets the end of a fetch by the engines' clock,
// which the plan does not know.
func (p *Planner) finishDecision(now fleet.Instant, decision plan.Decision) plan.Decision {
	if decision.Refusal != nil {
		p.Log.Info().Str("Request", string(decision.Request.ID)).Str("Service", string(decision.Request.Service)).Str("Reason", string(decision.Refusal.Reason)).
			Dur("RetryAfter", decision.Refusal.RetryAfter).Int("Waiting", p.fleet.QueueLen()).Int("Usable", p.fleet.UsableTargets(now, decision.Request.Service)).
			Dur("Objective", decision.Request.Objective).Int("Rank", decision.Request.Rank).Uint64("Epoch", uint64(p.epoch)).Msg("refused a request")
	}
	if decision.Grant != nil && decision.Grant.Fetch != nil {
		decision.Grant.Until = p.engineClock.at(now).Add(plan.MaxFetchTime)
	}
	return decision
}

// tick decides on waiting requests, dispatches calls that are due, and ends the
// time as a deputy when hosts no longer ask for one.
func (p *Planner) tick(ctx context.Context, now fleet.Instant) {
	if p.deputy && now.Sub(p.lastDeputyRequest) > deputyTimeout {
		p.Log.Info().Msgf("stopped acting as deputy planner: no host asked for a deputy within %v", deputyTimeout)
		p.stop()
	}
	if !p.active && !p.deputy {
		return
	}
	for _, decision := range p.fleet.Tick(now) {
		if answer, ok := p.pending[decision.Request]; ok {
			delete(p.pending, decision.Request)
			answer(p.finishDecision(now, decision))
		}
	}
	if now.Sub(p.lastDispatch) >= dispatchInterval {
		p.dispatch(ctx, now)
	}
}

// Stats returns what the plan has granted since this host began to plan, as of
// the last dispatch.
func (p *Planner) Stats() plan.Stats {
	if stats := p.stats.Load(); stats != nil {
		return *stats
	}
	return plan.Stats{}
}

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
	p.fleet.StoresAllowed = p.active && p.engineClock.known && p.Permissions.MayPlan()
	if p.deputy {
		return // a deputy only grants
	}
	p.weightsOutdated.Store(p.fleet.HasOutdatedEngines())
	epoch := p.epoch // copied: the tasks run concurrently with the goroutine that owns p.epoch
	for _, order := range p.fleet.DueOrders(now, p.Permissions.MayOrder()) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.sendOrder(ctx, epoch, order) })
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

// sendOrder sends an engine an order to load weights, in the tenure of the epoch.
func (p *Planner) sendOrder(ctx context.Context, epoch fleet.Epoch, order plan.AddressedOrder) {
	if !p.Permissions.MayOrder() {
		p.enqueue(ctx, func(now fleet.Instant) { p.fleet.RecordOrderResult(now, order, weightupdate.NotSent) })
		return
	}
	result, err := p.Targets.SendOrder(ctx, order.Address, order.Target, platform.LoadOrder{
		Model: order.Model, Version: order.Version, Holder: p.Host, Epoch: epoch, Accepted: order.Accepted,
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
