// Package planner runs the decisions of package plan on the host that holds the
// planner's duty.
//
// One goroutine owns the plan. It takes the questions and reports of all hosts,
// the views of the control goroutine and what watchers tell of engines and
// stores, and starts what the plan asks for: orders, frees, lists.
package planner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/shelf"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/wave"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

const (
	// tickTime is the step at which waiting requests are looked at again.
	tickTime = 10 * time.Millisecond
	// actTime is the step at which orders and frees are looked for.
	actTime = 40 * time.Millisecond
	// countTime is the step at which the planner logs what it has granted.
	countTime = 2 * time.Second
	// inboxSize is how many messages may wait for the planner.
	inboxSize = 1024
)

// Tenure tells whether this host may act as the planner. It is asked right
// before each act.
type Tenure interface {
	MayPlan() bool
	HoldsDuty() bool
	MayOrder() bool
	TenureEnd() fleet.Instant
}

// A Planner plans while its host holds the duty.
type Planner struct {
	Host    fleet.HostID
	Bounds  platform.Bounds
	Targets *platform.TargetClient
	Tenure  Tenure
	Clock   fleet.Clock
	Log     zerolog.Logger

	inbox    chan func(now fleet.Instant)
	tasks    task.Group
	fleet    plan.Fleet
	active   bool // the host holds the duty
	epoch    fleet.Epoch
	deputy   bool          // hosts that cannot reach the planner ask this one
	asked    fleet.Instant // by the last of them
	answers  map[*plan.Request]func(plan.Decision)
	watchers map[fleet.Address]context.CancelFunc
	clock    engineClock
	lastAct  fleet.Instant

	lastCount fleet.Instant
	outdated  outdated
	counted   atomic.Pointer[plan.Stats]

	// WeightOrders counts orders of weights by their result.
	WeightOrders meter.Counter

	life context.Context // of Run, for what outlives the message that began it
}

// New returns a planner that does not plan yet.
func New(host fleet.HostID, bounds platform.Bounds, targets *platform.TargetClient, tenure Tenure, clock fleet.Clock, log zerolog.Logger) *Planner {
	p := &Planner{
		Host: host, Bounds: bounds, Targets: targets, Tenure: tenure, Clock: clock, Log: log,
		inbox:        make(chan func(fleet.Instant), inboxSize),
		answers:      make(map[*plan.Request]func(plan.Decision)),
		watchers:     make(map[fleet.Address]context.CancelFunc),
		WeightOrders: meter.Counter{Name: "WeightOrders", Labels: []string{"Result"}},
	}
	p.setBounds(bounds)
	return p
}

// SetBounds takes the bounds of new settings.
func (p *Planner) SetBounds(ctx context.Context, bounds platform.Bounds) {
	p.do(ctx, func(fleet.Instant) { p.setBounds(bounds) })
}

func (p *Planner) setBounds(bounds platform.Bounds) {
	p.Bounds = bounds
	p.fleet.RetryRatio, p.fleet.RetryWindow, p.fleet.RetryBurst = bounds.RetryRatio, bounds.RetryWindow, bounds.RetryReserve
	p.fleet.WeightsBound = bounds.Weights
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	p.life = ctx
	ticker := time.NewTicker(tickTime)
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

func (p *Planner) do(ctx context.Context, f func(now fleet.Instant)) {
	select {
	case p.inbox <- f:
	case <-ctx.Done():
	}
}

// SetTenure begins or ends a tenure.
func (p *Planner) SetTenure(ctx context.Context, epoch fleet.Epoch, planning bool) {
	p.do(ctx, func(now fleet.Instant) {
		if planning == p.active && (epoch == p.epoch || !planning) {
			return
		}
		p.stop()
		p.active, p.epoch = planning, epoch
		if planning {
			p.fleet.BeginTenure(now, firstNumber(epoch))
			p.watch(ctx)
		}
	})
}

// firstNumber returns a number below those of all grants of an epoch, so that
// the grants of two planners differ.
func firstNumber(epoch fleet.Epoch) plan.GrantNumber {
	const grantsPerEpoch = 1 << 40
	return plan.GrantNumber(epoch) * grantsPerEpoch
}

func (p *Planner) stop() {
	p.active, p.deputy, p.fleet.Deputy = false, false, false
	for address, cancel := range p.watchers {
		cancel()
		delete(p.watchers, address)
	}
	for ask, answer := range p.answers {
		answer(plan.Decision{Request: ask, Refusal: fleet.Refuse(fleet.ReasonNotKeeper, "the planner has changed")})
		delete(p.answers, ask)
	}
}

// SetView takes a new view of the fleet.
func (p *Planner) SetView(ctx context.Context, v *view.View) {
	p.do(ctx, func(now fleet.Instant) {
		if v.Table == nil {
			return
		}
		p.fleet.SetServices(now, v.Table.Services)
		p.fleet.SetTargets(now, v.Targets, v.Evacuated)
		for model, w := range v.Weights {
			p.fleet.SetWeights(model, w)
		}
		p.outdated.Store(p.fleet.HasOutdatedEngines())
		if p.active || p.deputy {
			p.watch(p.life)
			p.act(ctx, now)
		}
	})
}

// HostLost notes that a host will report no more.
func (p *Planner) HostLost(ctx context.Context, host fleet.HostID) {
	p.do(ctx, func(now fleet.Instant) { p.fleet.ReleaseHost(now, host) })
}

// WeightsOutdated reports whether engines have older weights than named, so that the
// planner wants to give orders.
func (p *Planner) WeightsOutdated() bool { return p.outdated.Load() }

// Plan decides on a request. It waits as long as the plan lets the request wait.
// Deputy tells that the asking host cannot reach the planner.
func (p *Planner) Plan(ctx context.Context, ask *plan.Request, deputy bool) (plan.Decision, error) {
	answer := make(chan plan.Decision, 1)
	p.do(ctx, func(now fleet.Instant) {
		if deputy && !p.active {
			p.deputise(now)
		} else if !p.active || !p.Tenure.MayPlan() {
			answer <- plan.Decision{Request: ask, Refusal: fleet.Refuse(fleet.ReasonNotKeeper, "does not plan")}
			return
		}
		v, ok := p.fleet.Submit(now, ask)
		if ok {
			answer <- p.finish(now, v)
			return
		}
		p.answers[ask] = func(v plan.Decision) { answer <- v }
	})
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		p.do(context.WithoutCancel(ctx), func(now fleet.Instant) { p.withdraw(now, ask, answer) })
		return plan.Decision{}, ctx.Err()
	}
}

// withdraw takes back a question whose asker has gone, and a grant that nobody
// will use.
func (p *Planner) withdraw(now fleet.Instant, ask *plan.Request, answer <-chan plan.Decision) {
	delete(p.answers, ask)
	p.fleet.Cancel(ask)
	select {
	case v := <-answer:
		if v.Grant != nil {
			p.fleet.Report(now, plan.Report{Number: v.Grant.Number, Progress: plan.Rejected})
		}
	default:
	}
}

// Report takes a host's reports.
func (p *Planner) Report(ctx context.Context, reports []plan.Report) {
	p.do(ctx, func(now fleet.Instant) {
		for _, r := range reports {
			p.fleet.Report(now, r)
		}
	})
}

// finish adds to a verdict what the plan leaves to its surroundings.
func (p *Planner) finish(now fleet.Instant, v plan.Decision) plan.Decision {
	if v.Refusal != nil {
		p.Log.Info().Str("Request", string(v.Request.ID)).Str("Service", string(v.Request.Service)).Str("Reason", string(v.Refusal.Reason)).
			Dur("RetryAfter", v.Refusal.RetryAfter).Int("Waiting", p.fleet.QueueLen()).Int("Usable", p.fleet.UsableTargets(now, v.Request.Service)).
			Dur("Objective", v.Request.Objective).Int("Rank", v.Request.Rank).Uint64("Epoch", uint64(p.epoch)).Msg("refused a request")
	}
	if v.Grant != nil && v.Grant.Fetch != nil {
		v.Grant.Until = p.clock.at(now).Add(plan.MaxFetchTime)
	}
	return v
}

func (p *Planner) tick(ctx context.Context, now fleet.Instant) {
	if p.deputy && now.Sub(p.asked) > deputyTime {
		p.Log.Info().Msg("nobody asks for a deputy any more")
		p.stop()
	}
	if !p.active && !p.deputy {
		return
	}
	for _, v := range p.fleet.Tick(now) {
		if answer, ok := p.answers[v.Request]; ok {
			delete(p.answers, v.Request)
			answer(p.finish(now, v))
		}
	}
	if now.Sub(p.lastAct) >= actTime {
		p.act(ctx, now)
	}
}

// Count is what the plan has granted since this host began to plan, as of the
// last act.
func (p *Planner) Count() plan.Stats {
	if count := p.counted.Load(); count != nil {
		return *count
	}
	return plan.Stats{}
}

// act starts what is due: orders, frees and lists.
func (p *Planner) act(ctx context.Context, now fleet.Instant) {
	p.lastAct = now
	count := p.fleet.Stats()
	p.counted.Store(&count)
	if now.Sub(p.lastCount) >= countTime {
		p.lastCount = now
		p.Log.Info().Stringer("Count", p.fleet.Stats()).Int("Waiting", p.fleet.QueueLen()).Msg("planned")
	}
	p.fleet.FetchAllowed = p.active && p.clock.known && p.Tenure.MayPlan()
	if p.deputy {
		return // it only grants
	}
	p.outdated.Store(p.fleet.HasOutdatedEngines())
	epoch := p.epoch // the tasks run beside the goroutine that owns it
	for _, order := range p.fleet.DueOrders(now, p.Tenure.MayOrder()) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.order(ctx, epoch, order) })
	}
	for id, address := range p.fleet.EnginesToQuery(now) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.inquire(ctx, id, address) })
	}
	if !p.Tenure.HoldsDuty() {
		return
	}
	for _, free := range p.fleet.Evictions(now) {
		p.tasks.Go(ctx, func(ctx context.Context) { p.free(ctx, free) })
	}
	for _, address := range p.fleet.Stores() {
		if s := p.fleet.StoreInventory(address); s.StartList(now) {
			p.tasks.Go(ctx, func(ctx context.Context) { p.list(ctx, address, epoch, now) })
		}
	}
}

// order gives an engine an order, in the tenure of the epoch.
func (p *Planner) order(ctx context.Context, epoch fleet.Epoch, order plan.LoadOrder) {
	if !p.Tenure.MayOrder() {
		p.do(ctx, func(now fleet.Instant) { p.fleet.RecordOrderResult(now, order, wave.NotSent) })
		return
	}
	result, err := p.Targets.SendOrder(ctx, order.Address, order.Target, platform.Order{
		Model: order.Model, Version: order.Version, Holder: p.Host, Epoch: epoch, Accepted: order.Accepted,
	})
	p.Log.Info().AnErr("Cause", err).Str("Target", string(order.Target)).Uint64("Version", order.Version).
		Uint64("Accepted", order.Accepted).Uint64("Epoch", uint64(epoch)).Stringer("Result", result).Msg("ordered weights")
	p.WeightOrders.Add(1, result.String())
	p.do(ctx, func(now fleet.Instant) {
		p.fleet.RecordOrderResult(now, order, result)
		p.act(ctx, now)
	})
}

// inquire asks an engine how far its load is.
func (p *Planner) inquire(ctx context.Context, id fleet.TargetID, address fleet.Address) {
	report, err := p.Targets.FetchReport(ctx, address)
	if err != nil {
		p.Log.Warn().Err(err).Str("Target", string(id)).Msg("engine does not report; its entry will tell")
		return
	}
	p.do(ctx, func(now fleet.Instant) {
		for model, version := range report.Models {
			if report.Busy {
				continue
			}
			p.fleet.RecordLoaded(id, model, version, report.Orders)
		}
	})
}

// free frees parts of a store.
func (p *Planner) free(ctx context.Context, free plan.Eviction) {
	if !p.Tenure.HoldsDuty() {
		return
	}
	parts := make([]platform.StoredPart, 0, len(free.Parts))
	for _, part := range free.Parts {
		parts = append(parts, platform.StoredPart{Salt: part.Salt, Part: part.ID})
	}
	err := p.Targets.FreeParts(ctx, free.Address, free.Incarnation, p.clock.at(p.Tenure.TenureEnd()), parts)
	if err != nil {
		p.Log.Warn().Err(err).Str("Store", string(free.Address)).Int("Parts", len(parts)).Msg("store has not confirmed a free")
		return
	}
	p.do(ctx, func(now fleet.Instant) {
		if s := p.fleet.StoreInventory(free.Address); s != nil && p.active {
			s.ConfirmFreed(now, free.Incarnation, free.Parts)
		}
	})
}

// list reads all that a store holds, for the tenure of the epoch.
func (p *Planner) list(ctx context.Context, address fleet.Address, epoch fleet.Epoch, asked fleet.Instant) {
	list, err := p.Targets.ListCache(ctx, address)
	p.do(ctx, func(now fleet.Instant) {
		s := p.fleet.StoreInventory(address)
		if s == nil || !p.active || p.epoch != epoch {
			return // a deputy must not know what is in stores
		}
		if err != nil {
			p.Log.Warn().Err(err).Str("Store", string(address)).Msg("store does not list its parts")
			s.ListFailed(now)
			return
		}
		var entries []shelf.Entry
		for _, held := range list.Held {
			entries = append(entries, shelf.Entry{Part: shelf.Part{Salt: held.Salt, ID: held.Part}, Tokens: held.Tokens, Complete: true})
		}
		for _, partial := range list.Partial {
			entries = append(entries, shelf.Entry{Part: shelf.Part{Salt: partial.Salt, ID: partial.Part}, Tokens: partial.Tokens})
		}
		s.ApplyList(now, asked, list.Incarnation, list.Next, entries)
		p.Log.Info().Str("Store", string(address)).Uint64("Life", list.Incarnation).Int("Held", len(list.Held)).
			Int("Partial", len(list.Partial)).Msg("listed a store")
	})
}
