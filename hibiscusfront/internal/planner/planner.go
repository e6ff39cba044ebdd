// Package planner runs package plan on the host that holds the planner's duty,
// a lease that makes one host decide for the whole fleet, and on deputies.
//
// One goroutine owns the plan. It receives the requests and reports of all
// hosts, the views that the control goroutine publishes, and the events that
// watchers read from engines and cache stores. It starts the calls that the plan
// requires: orders to engines, queries of their state, and frees and lists of cache
// stores. These run in goroutines of their own and return their results through the
// inbox.
package planner

import (
	"context"
	"encoding/binary"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/task"
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
	// RosterCurrent reports whether the host knows the targets of now.
	RosterCurrent() bool
}

// A Planner decides on requests while its host is the planner or a deputy.
type Planner struct {
	Host        fleet.HostID
	Bounds      platform.Bounds
	Targets     *platform.TargetClient
	Permissions Permissions
	Clock       fleet.Clock
	Log         zerolog.Logger
	// Origins stores which version began the streams; nil stores nothing.
	Origins OriginStore
	// Rollouts stores the state of roll-outs; nil stores nothing, and no version is promoted.
	Rollouts RolloutStore
	// Ways is told what polls show of the ways to engines, and tells whether this host is cut off from the
	// targets; nil if nobody knows.
	Ways Ways

	inbox             chan func(now fleet.Instant)
	tasks             task.Group
	fleet             plan.Fleet
	viewed            bool        // a view with a configuration and targets was applied
	active            bool        // the host is the planner
	plans             atomic.Bool // copy of active for other goroutines
	epoch             fleet.Epoch
	deputy            bool                                  // the host plans for hosts that cannot reach the planner
	lastDeputyRequest fleet.Instant                         // last request for a deputy
	pending           map[*plan.Request]func(plan.Decision) // waiting requests, with the function that replies
	watchers          map[fleet.Address]watcher
	engineClock       engineClock
	lastDispatch      fleet.Instant

	quarantine    atomic.Pointer[quarantine.List] // as of the last dispatch or view
	restored      quarantine.List                 // the last list of another planner
	followsRecord bool                            // restored is what this host knew last, not what it found out itself

	versions       atomic.Pointer[origin.Versions] // as of the last dispatch or view
	inherited      origin.Versions                 // the last ones of another planner
	loadingOrigins bool
	batchNumber    uint64 // of the last batch of streams that was written

	rollouts rollouts

	lastStatsLog    fleet.Instant
	weightsOutdated outdatedFlag
	pollsCutOff     atomic.Bool                           // as of the last tick
	cutOffUntil     atomic.Int64                          // the host was cut off when it stopped to plan, and counts as such until then
	inTouch         atomic.Pointer[map[fleet.HostID]bool] // as of the last tick
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
		watchers:     make(map[fleet.Address]watcher),
		WeightOrders: meter.Counter{Name: "WeightOrders", Labels: []string{"Result"}},
	}
	p.setBounds(bounds)
	p.fleet.RolloutBounds = rollout.Bounds{Share: bounds.ExposeShare, Slack: bounds.ExposeSlack, Rollback: bounds.Rollback}
	return p
}

// SetBounds applies the bounds of reloaded settings, other than those of roll-outs: hosts replicate the kinds of objects
// of roll-outs from their start, or not at all.
func (p *Planner) SetBounds(ctx context.Context, bounds platform.Bounds) {
	p.enqueue(ctx, func(fleet.Instant) { p.setBounds(bounds) })
}

func (p *Planner) setBounds(bounds platform.Bounds) {
	p.Bounds = bounds
	p.fleet.RetryRatio, p.fleet.RetryWindow, p.fleet.RetryReserve = bounds.RetryRatio, bounds.RetryWindow, bounds.RetryReserve
	p.fleet.WeightsBound = bounds.Weights
}

// Run owns the plan until the context ends. The ticker runs only while the host plans:
// most hosts of a fleet never do.
func (p *Planner) Run(ctx context.Context) {
	p.runCtx = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticking := true
	for {
		if plans := p.active || p.deputy; plans != ticking {
			ticking = plans
			if plans {
				ticker.Reset(tickInterval)
			} else {
				ticker.Stop()
			}
		}
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
		p.plans.Store(planning)
		if planning {
			p.fleet.Epoch = epoch
			p.fleet.BeginTenure(now, firstGrantNumber(epoch))
			if election.IsFirst(epoch) {
				p.fleet.BeginFirstTenure(now)
			}
			p.syncWatchers(ctx, now)
		}
	})
}

// firstGrantNumber returns the number below all grants of an epoch. The grants of two
// planners have different numbers unless the hashes of their epochs collide; hosts report
// on a grant to the host that made it.
func firstGrantNumber(epoch fleet.Epoch) plan.GrantNumber {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(epoch))
	return firstNumber(xxhash.Sum64(key[:]))
}

// stop ends planning, as the planner or as a deputy: it cancels all watchers and
// refuses all waiting requests.
func (p *Planner) stop() {
	p.active, p.deputy, p.fleet.Deputy, p.followsRecord = false, false, false, false
	p.plans.Store(false)
	if p.pollsCutOff.Swap(false) {
		p.cutOffUntil.Store(int64(p.Clock().Add(cutOffMemory)))
	}
	p.fleet.EndTenure()
	p.rollouts.stop()
	for address, w := range p.watchers {
		w.cancel()
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
		p.viewed = p.viewed || len(v.Targets) > 0
		p.fleet.Hosts = len(v.Hosts)
		p.fleet.SetConfiguration(now, v.Table)
		p.fleet.SetTargets(now, v.Targets, v.Evacuated)
		p.followRollouts(now, v)
		for model, w := range v.Weights {
			p.fleet.SetWeights(model, w)
		}
		p.followQuarantine(now, v.Duty.Quarantine)
		p.followVersions(now, v.Duty.Versions)
		p.weightsOutdated.Store(p.fleet.HasOutdatedEngines())
		if p.active || p.deputy {
			p.syncWatchers(p.runCtx, now)
			p.dispatch(ctx, now)
		}
	})
}

// followQuarantine takes over the planner's list, unless this host is the planner. A
// deputy keeps what it has found out itself until the planner's list changes.
func (p *Planner) followQuarantine(now fleet.Instant, list quarantine.List) {
	if p.active || p.followsRecord && slices.Equal(list, p.restored) {
		return
	}
	p.followsRecord, p.restored = true, list
	p.fleet.RestoreQuarantine(now, list)
	p.noteQuarantine()
}

// ReleaseHost records that a host is lost and will send no further reports.
func (p *Planner) ReleaseHost(ctx context.Context, host fleet.HostID) {
	p.enqueue(ctx, func(now fleet.Instant) { p.fleet.ReleaseHost(now, host) })
}

// WeightsOutdated reports whether some engine has older weights than those announced
// for its model, so that the planner has orders to send. A planner that is cut off sends none, and must not
// make its successor wait for the time of the last one.
func (p *Planner) WeightsOutdated() bool { return p.weightsOutdated.Load() && !p.CutOff() }

// Plan decides on a request and blocks for as long as the plan queues it. Deputy is
// set if the asking host cannot reach the planner; this host then plans as a deputy
// if it is not the planner.
func (p *Planner) Plan(ctx context.Context, request *plan.Request, deputy bool) (plan.Decision, error) {
	answer := make(chan plan.Decision, 1)
	p.enqueue(ctx, func(now fleet.Instant) {
		if ctx.Err() != nil {
			return // the asking host has given up, and asks another one
		}
		if deputy && !p.active {
			if !p.viewed {
				answer <- plan.Decision{Request: request, Refusal: fleet.Refuse(fleet.ReasonNotHolder, "this host has no configuration or targets yet")}
				return
			}
			if p.CutOff() {
				answer <- plan.Decision{Request: request, Refusal: fleet.Refuse(fleet.ReasonNotHolder, "this host is cut off from the targets")}
				return
			}
			p.startDeputy(now)
		} else if !p.active || !p.Permissions.MayPlan() {
			answer <- plan.Decision{Request: request, Refusal: fleet.Refuse(fleet.ReasonNotHolder, "this host is not the planner")}
			return
		}
		p.fleet.RosterStale = !p.Permissions.RosterCurrent()
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

// Report applies a host's reports on the progress of grants. It reports whether the host is the
// planner, who alone makes use of the begins of streams.
func (p *Planner) Report(ctx context.Context, reports []plan.Report) bool {
	p.enqueue(ctx, func(now fleet.Instant) {
		for _, r := range reports {
			p.fleet.Report(now, r)
		}
	})
	return p.plans.Load()
}

// finishDecision logs a refusal, and sets the end of a fetch by the engines' clock,
// which the plan does not know.
func (p *Planner) finishDecision(now fleet.Instant, decision plan.Decision) plan.Decision {
	if decision.Refusal != nil {
		p.Log.Info().Str("Request", decision.Request.ID.ForLog()).Str("Service", string(decision.Request.Service)).Str("Reason", string(decision.Refusal.Reason)).
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
	p.fleet.RosterStale = !p.Permissions.RosterCurrent()
	for _, decision := range p.fleet.Tick(now) {
		if answer, ok := p.pending[decision.Request]; ok {
			delete(p.pending, decision.Request)
			answer(p.finishDecision(now, decision))
		}
	}
	p.noteCutOffs()
	p.dispatchRollouts(ctx, now)
	if now.Sub(p.lastDispatch) >= dispatchInterval {
		p.dispatch(ctx, now)
	}
}

// Quarantine returns the suspected and withheld parts of prompts, as of the last dispatch
// or view.
func (p *Planner) Quarantine() quarantine.List {
	if list := p.quarantine.Load(); list != nil {
		return *list
	}
	return nil
}

// Stats returns what the plan has granted since this host began to plan, as of
// the last dispatch.
func (p *Planner) Stats() plan.Stats {
	if stats := p.stats.Load(); stats != nil {
		return *stats
	}
	return plan.Stats{}
}
