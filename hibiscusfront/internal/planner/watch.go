package planner

import (
	"context"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/shelf"
	"hibiscuslb/fleet/task"
	"hibiscuslb/platform"
)

// outdated is shown to the control goroutine.
type outdated struct{ atomic.Bool }

const (
	// eventWait is how long a call waits for events. It is also how long an
	// engine may be silent before it gets no new work, with the slack of the
	// call.
	eventWait = 400 * time.Millisecond
	// silentPause is the pause after a call without an answer.
	silentPause = 200 * time.Millisecond
	// clockStep bounds how fast the estimate of the engines' clock gives way.
	clockStep = time.Millisecond
)

// engineClock estimates the clock that engines and stores count fetches by. An
// answer was made before it came, so each reading is late; the earliest reading
// relative to the own clock is the best one.
type engineClock struct {
	known  bool
	offset time.Duration // of the engines' clock since 1970 against the own clock
}

func (c *engineClock) read(now fleet.Instant, reading time.Time) {
	if reading.IsZero() {
		return
	}
	offset := time.Duration(reading.UnixNano()) - time.Duration(now)
	if !c.known {
		c.known, c.offset = true, offset
		return
	}
	// Later readings win slowly, in case the clocks drift apart.
	c.offset = max(offset, c.offset-clockStep)
}

// at returns the engines' time at a moment of the own clock, or a little less.
func (c *engineClock) at(now fleet.Instant) time.Time {
	if !c.known {
		return time.Time{}
	}
	return time.Unix(0, int64(time.Duration(now)+c.offset))
}

// watch starts and ends watchers, so that each engine and store has one.
func (p *Planner) watch(ctx context.Context) {
	live := make(map[fleet.Address]bool)
	for _, e := range p.fleet.Engines() {
		live[e.Address] = true
		if _, ok := p.watchers[e.Address]; !ok {
			p.start(ctx, e.Address, func(ctx context.Context) { p.watchEngine(ctx, e.ID, e.Address) })
		}
	}
	for _, address := range p.fleet.Stores() {
		live[address] = true
		if _, ok := p.watchers[address]; !ok {
			p.start(ctx, address, func(ctx context.Context) { p.watchStore(ctx, address) })
		}
	}
	for address, cancel := range p.watchers {
		if !live[address] {
			cancel()
			delete(p.watchers, address)
		}
	}
}

func (p *Planner) start(ctx context.Context, address fleet.Address, f func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	p.watchers[address] = cancel
	p.tasks.Go(ctx, f)
}

// poll asks for events again and again.
func (p *Planner) poll(ctx context.Context, address fleet.Address, take func(now fleet.Instant, e platform.CacheEvents, changed bool), lost func(now fleet.Instant, err error)) {
	var since, life uint64
	first := true
	for ctx.Err() == nil {
		events, err := p.Targets.WatchCache(ctx, address, since, eventWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.do(ctx, func(now fleet.Instant) { lost(now, err) })
			if !task.Pause(ctx, silentPause) {
				return
			}
			continue
		}
		changed := !first && events.Incarnation != life
		if changed && since != 0 {
			// The numbers of another life mean nothing; ask from the start.
			since, life = 0, events.Incarnation
			p.do(ctx, func(now fleet.Instant) {
				take(now, platform.CacheEvents{Incarnation: events.Incarnation, Clock: events.Clock}, true)
			})
			continue
		}
		first, life, since = false, events.Incarnation, events.Next
		p.do(ctx, func(now fleet.Instant) {
			p.clock.read(now, events.Clock)
			take(now, events, changed)
		})
	}
}

func (p *Planner) watchEngine(ctx context.Context, id fleet.TargetID, address fleet.Address) {
	silent := false
	p.poll(ctx, address, func(now fleet.Instant, events platform.CacheEvents, changed bool) {
		if silent {
			silent = false
			p.Log.Info().Str("Target", string(id)).Msg("engine answers again")
		}
		p.fleet.MarkResponsive(now, id)
		if changed {
			p.fleet.ClearCache(id)
		}
		for _, e := range events.Events {
			p.fleet.SetCachedTokens(id, shelf.Part{Salt: e.Salt, ID: e.Part}, e.Tokens)
		}
	}, func(now fleet.Instant, err error) {
		if !silent {
			silent = true
			p.Log.Warn().Err(err).Str("Target", string(id)).Msg("engine does not answer; it gets no new work")
		}
		p.fleet.MarkUnresponsive(id)
	})
}

func (p *Planner) watchStore(ctx context.Context, address fleet.Address) {
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
			part := shelf.Part{Salt: e.Salt, ID: e.Part}
			if e.Dropped {
				s.ApplyRemoved(events.Incarnation, e.Number, part)
			} else {
				s.ApplyStored(now, events.Incarnation, e.Number, part, e.Tokens)
			}
		}
	}, func(_ fleet.Instant, err error) {
		if s := p.fleet.StoreInventory(address); s != nil && s.Known() {
			p.Log.Warn().Err(err).Str("Store", string(address)).Msg("store does not answer; nothing is fetched from it")
			s.MarkUnreachable()
		}
	})
}
