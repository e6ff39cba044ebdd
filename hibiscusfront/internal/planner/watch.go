package planner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/task"
	"hibiscuslb/platform"
)

// outdatedFlag holds the result of WeightsOutdated, which other goroutines read.
type outdatedFlag struct{ atomic.Bool }

const (
	// eventPollTimeout is how long a call waits for events. An engine that has not
	// answered by then, plus the margin that TargetClient.WatchCache adds, gets no
	// new work.
	eventPollTimeout = 400 * time.Millisecond
	// repeatedPollTimeout is the same for a call after one that failed. An engine that was silent for a moment
	// and goes on has no events, and answers after that time.
	repeatedPollTimeout = 200 * time.Millisecond
	// retryPause is the pause after a call for events that failed.
	retryPause = 200 * time.Millisecond
	// maxClockStep is how far one reading may lower the estimated offset of the
	// engines' clock.
	maxClockStep = time.Millisecond
)

// engineClock estimates the clock that engines and cache stores use for the end of
// fetches. A reading is as old as the answer's transit time when it arrives, so an
// offset computed from it is too small; the largest offset is the best estimate.
type engineClock struct {
	known  bool
	offset time.Duration // engines' Unix time minus this host's clock
}

func (c *engineClock) update(now fleet.Instant, reading time.Time) {
	if reading.IsZero() {
		return
	}
	offset := time.Duration(reading.UnixNano()) - time.Duration(now)
	if !c.known {
		c.known, c.offset = true, offset
		return
	}
	// Smaller offsets take effect slowly, in case the clocks drift apart.
	c.offset = max(offset, c.offset-maxClockStep)
}

// at converts an instant of this host's clock to the engines' time. The result is
// exact or slightly early, or the zero time if no reading has arrived.
func (c *engineClock) at(now fleet.Instant) time.Time {
	if !c.known {
		return time.Time{}
	}
	return time.Unix(0, int64(time.Duration(now)+c.offset))
}

// A watcher polls the events of an engine or a cache store.
type watcher struct {
	engine fleet.TargetID // empty for a cache store
	cancel context.CancelFunc
}

// syncWatchers starts and cancels watchers so that each engine and each cache store
// of the plan has one. An address that an engine has left may be used by another one
// before the entry of the first is gone. Only the engine that started last is watched
// there; the other gets no new work.
func (p *Planner) syncWatchers(ctx context.Context, now fleet.Instant) {
	engines := make(map[fleet.Address]roster.Target)
	for _, e := range p.fleet.Engines() {
		last, ok := engines[e.Address]
		if ok && (last.StartTime.After(e.StartTime) || last.StartTime.Equal(e.StartTime) && last.ID > e.ID) {
			last, e = e, last
		}
		engines[e.Address] = e
		if ok {
			p.fleet.MarkUnresponsive(now, last.ID)
		}
	}
	stores := p.fleet.Stores()
	for address, w := range p.watchers {
		if e, ok := engines[address]; ok && e.ID == w.engine || w.engine == "" && slices.Contains(stores, address) {
			continue
		}
		w.cancel()
		delete(p.watchers, address)
	}
	for address, e := range engines {
		p.startWatcher(ctx, address, e.ID, func(ctx context.Context) { p.watchEngine(ctx, e.ID, address) })
	}
	for _, address := range stores {
		p.startWatcher(ctx, address, "", func(ctx context.Context) { p.watchCacheStore(ctx, address) })
	}
}

// startWatcher starts a watcher unless the address has one.
func (p *Planner) startWatcher(ctx context.Context, address fleet.Address, engine fleet.TargetID, f func(context.Context)) {
	if _, ok := p.watchers[address]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	p.watchers[address] = watcher{engine, cancel}
	p.tasks.Go(ctx, f)
}

// poll calls for events of an engine or a cache store until the context ends. It passes
// events to handle, on the planner's goroutine; restarted is set when the
// process at the address has restarted. Errors go to fail.
func (p *Planner) poll(ctx context.Context, address fleet.Address, handle func(now fleet.Instant, e platform.CacheEvents, restarted bool), fail func(now fleet.Instant, err error)) {
	var since, incarnation uint64
	first := true
	wait := eventPollTimeout
	for ctx.Err() == nil {
		events, err := p.Targets.WatchCache(ctx, address, since, wait)
		if ctx.Err() != nil {
			return
		}
		wait = eventPollTimeout
		if err != nil {
			wait = repeatedPollTimeout
			p.enqueue(ctx, func(now fleet.Instant) { fail(now, err) })
			if !task.Sleep(ctx, retryPause) {
				return
			}
			continue
		}
		restarted := !first && events.Incarnation != incarnation
		if restarted && since != 0 {
			// Event numbers are only valid within one incarnation; start
			// again from the first event.
			since, incarnation = 0, events.Incarnation
			p.enqueue(ctx, func(now fleet.Instant) {
				handle(now, platform.CacheEvents{Incarnation: events.Incarnation, Clock: events.Clock}, true)
			})
			continue
		}
		first, incarnation, since = false, events.Incarnation, events.Next
		p.enqueue(ctx, func(now fleet.Instant) {
			p.engineClock.update(now, events.Clock)
			handle(now, events, restarted)
		})
	}
}

func (p *Planner) watchEngine(ctx context.Context, id fleet.TargetID, address fleet.Address) {
	unresponsive := false
	ways := p.ways()
	p.poll(ctx, address, func(now fleet.Instant, events platform.CacheEvents, restarted bool) {
		ways.Answered(id)
		if unresponsive {
			unresponsive = false
			p.Log.Info().Str("Target", string(id)).Msg("engine answers again")
		}
		p.fleet.MarkResponsive(now, id)
		if restarted {
			p.fleet.ClearCache(id)
		}
		for _, e := range events.Events {
			p.fleet.SetCachedTokens(id, cachestore.Part{Salt: e.Salt, ID: e.Part}, e.Tokens)
		}
	}, func(now fleet.Instant, err error) {
		ways.Failed(id)
		if counts := p.fleet.RecordFailedPoll(now, id); counts && !unresponsive {
			unresponsive = true
			p.Log.Warn().Err(err).Str("Target", string(id)).Msg("engine does not answer; it gets no new work")
		}
	})
}

func (p *Planner) watchCacheStore(ctx context.Context, address fleet.Address) {
	p.poll(ctx, address, func(now fleet.Instant, events platform.CacheEvents, _ bool) {
		s := p.fleet.StoreInventory(address)
		if s == nil {
			return
		}
		s.SetIncarnation(events.Incarnation)
		if events.Lost {
			s.MarkEventsLost()
		}
		for _, e := range events.Events {
			part := cachestore.Part{Salt: e.Salt, ID: e.Part}
			if e.Dropped {
				s.ApplyRemoved(events.Incarnation, e.Number, part)
			} else {
				s.ApplyStored(now, events.Incarnation, e.Number, part, e.Tokens)
			}
		}
	}, func(_ fleet.Instant, err error) {
		if s := p.fleet.StoreInventory(address); s != nil && s.Known() {
			p.Log.Warn().Err(err).Str("Store", string(address)).Msg("cache store does not answer; nothing is fetched from it")
			s.MarkUnreachable()
		}
	})
}
