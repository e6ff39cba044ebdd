package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/view"
)

// A LateStartError ends a request that still waits at an engine when a run on the engine's
// weights may not start any more. The engine drops it when its connection closes.
type LateStartError struct {
	Target  fleet.TargetID
	Version uint64 // of the engine's weights
}

func (e *LateStartError) Error() string {
	return fmt.Sprintf("target %s has weights of version %d, on which runs may start no longer", e.Target, e.Version)
}

// A startLimit withdraws a request from its engine unless it begins in time. New weights may be
// announced while it waits, so that the time is known only then. Those that this host has not read yet limit what the
// grant says. So do those that were announced before it started; a grant without a limit is not used then.
type startLimit struct {
	ctx    context.Context // of the exchange; its cause is a *LateStartError if it was withdrawn
	cancel context.CancelCauseFunc
	clock  fleet.Clock
	view   func() *view.View
	bound  time.Duration
	grant  *plan.Grant
	model  fleet.ModelID
	until  fleet.Instant // as the grant says; zero if it names no limit

	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// limitStart limits the start of the granted request. Begun must be called when its answer has
// begun, and end when it has ended.
func (c *call) limitStart(g *plan.Grant) *startLimit {
	l := &startLimit{ctx: c.ctx, clock: c.Clock, view: c.View, bound: c.WeightsBound, grant: g}
	if l.bound == 0 || g.Version == 0 || c.Prompt == nil {
		return l
	}
	l.model = c.Prompt.Model
	if g.StartWithin > 0 {
		l.until = l.clock().Add(g.StartWithin)
	}
	l.ctx, l.cancel = context.WithCancelCause(c.ctx)
	l.check()
	return l
}

// minCheckInterval is the shortest time between two checks whether weights were announced. It applies
// only if the bound is hardly longer than the age that an announcement may have.
const minCheckInterval = 100 * time.Millisecond

// latest returns until when the request may start as far as this host and the grant know, and whether there is
// a limit. If this host does not know when newer weights were announced, the grant has to say so.
func (l *startLimit) latest() (fleet.Instant, bool) {
	latest, limited := l.view().Weights[l.model].LatestStart(l.grant.Version, l.bound)
	if l.until > 0 && (!limited || latest == 0 || l.until < latest) {
		return l.until, true
	}
	return latest, limited
}

// checkSend returns a *LateStartError if the run can no longer be expected to start in time when the request is
// sent now. The request may have been on its way to here for longer than the planner expected, and the planner may
// not have known that there are newer weights.
func (l *startLimit) checkSend() error {
	if latest, limited := l.latest(); limited && l.clock() >= weightupdate.LatestSend(latest, l.grant.Wait) {
		return &LateStartError{l.grant.Target, l.grant.Version}
	}
	return nil
}

// check withdraws the request if its time is over, and else runs again when it may be.
func (l *startLimit) check() {
	now := l.clock()
	latest, limited := l.latest()
	// Announcements of which the host learns from now on may set an earlier limit.
	next := max(weightupdate.EarliestLimit(now, l.bound), now.Add(minCheckInterval))
	if limited {
		next = min(next, latest)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.done:
	case limited && now >= latest:
		l.done = true
		l.cancel(&LateStartError{l.grant.Target, l.grant.Version})
	default:
		l.timer = time.AfterFunc(next.Sub(now), l.check)
	}
}

// begun records that the answer has begun, or that there is none. It reports whether the request was not withdrawn
// before.
func (l *startLimit) begun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	withdrawn := l.done
	l.done = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return !withdrawn
}

// end releases the context.
func (l *startLimit) end() {
	if l.cancel != nil {
		l.cancel(nil)
	}
}
