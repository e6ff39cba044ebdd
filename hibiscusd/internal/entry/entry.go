// Package entry serves callers: it tells them which hosts to use, checks who
// they are and what they ask, and passes their requests to the keepers of the
// targets that suit best.
//
// A request goes to one keeper at a time. When a keeper refuses it as not run,
// it goes on to the next candidate. When an answer breaks, its request is
// repeated only if that is harmless: generation resumes at the piece that is
// due, within the retry budget; an order that may have run is never sent
// again. A request that is given up on gets its final answer at once, with the
// time after which to come back.
package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/retry"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/keeper"
)

// Limits are the settings that bound what callers may ask.
type Limits struct {
	BodyBytes      fleet.Bytes
	MaxTokens      fleet.Tokens
	Concurrency    int           // requests at once
	RequestTimeout time.Duration // of one request
	AddressTTL     time.Duration // for which callers keep an address
}

// An Entry serves callers. Fill in the exported fields.
type Entry struct {
	Control *control.Control
	Keepers *keeper.Set
	Pool    *peer.Pool
	Clock   fleet.Clock
	Metrics *meter.Metrics
	Log     zerolog.Logger
	Limits  Limits

	retries     retry.Budget
	queueTimes  queueTimes
	unreachable unreachableHosts
	streams     chan struct{}
	once        sync.Once
}

// candidatesTried bounds how many keepers may refuse one request.
const maxCandidates = 3

// queueTimes remembers what keepers said of their targets' queues. The facts ride
// on answers and refusals and lose their weight with age.
type queueTimes struct {
	mu    sync.Mutex
	waits map[fleet.TargetID]observation
}

type observation struct {
	wait time.Duration
	at   fleet.Instant
}

// forgetTime is the age at which an observed wait counts for nothing.
const observationLifetime = 2 * time.Second

func (q *queueTimes) record(target fleet.TargetID, wait time.Duration, now fleet.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waits == nil {
		q.waits = make(map[fleet.TargetID]observation)
	}
	q.waits[target] = observation{wait, now}
}

// wait estimates the target's queue from the last observation.
func (q *queueTimes) wait(target fleet.TargetID, now fleet.Instant) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	last, ok := q.waits[target]
	age := now.Sub(last.at)
	if !ok || age >= observationLifetime {
		return 0
	}
	return time.Duration(float64(last.wait) * (1 - float64(age)/float64(observationLifetime)))
}

// unreachableHosts remembers the hosts that could not be reached lately, so that not every
// request waits in vain for one that has just died.
type unreachableHosts struct {
	mu    sync.Mutex
	hosts map[fleet.Address]fleet.Instant
}

// silentTime is how long a host is passed over where there is a choice.
const unreachableTimeout = 2 * time.Second

func (u *unreachableHosts) record(host fleet.Address, now fleet.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.hosts == nil {
		u.hosts = make(map[fleet.Address]fleet.Instant)
	}
	u.hosts[host] = now
}

func (u *unreachableHosts) contains(host fleet.Address, now fleet.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.hosts[host]
	if ok && now.Sub(at) >= unreachableTimeout {
		delete(u.hosts, host)
		return false
	}
	return ok
}

// acquireStream takes one of the streams, or refuses.
func (e *Entry) acquireStream() error {
	e.once.Do(func() { e.streams = make(chan struct{}, e.Limits.Concurrency) })
	select {
	case e.streams <- struct{}{}:
		return nil
	default:
		return fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, time.Second)
	}
}

func (e *Entry) releaseStream() { <-e.streams }

// A caller is who sent a request, and how it is to be served.
type caller struct {
	workspace *declaration.Workspace
	class     declaration.Class
	deadline  fleet.Instant // for the first token, zero for none
}

// activeView returns the control state if this host may take new work.
func (e *Entry) activeView() (*control.View, error) {
	view := e.Control.View()
	if view == nil || !e.Control.MayAct() {
		return nil, fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, time.Second)
	}
	return view, nil
}

// remainingTime returns how long the caller's deadline leaves, or an error when it
// is over.
func (e *Entry) remainingTime(c *caller) (time.Duration, error) {
	if c.deadline == 0 {
		return 0, nil
	}
	left := c.deadline.Sub(e.Clock())
	if left <= 0 {
		return 0, fleet.Refuse(fleet.ReasonDeadline, "")
	}
	return left, nil
}

// reachableFirst moves the targets whose keepers were silent lately behind the
// others, and keeps the order otherwise.
func (e *Entry) reachableFirst(view *control.View, ranked []*declaration.Target) []*declaration.Target {
	now := e.Clock()
	var first, last []*declaration.Target
	for _, target := range ranked {
		holder, ok := view.TargetHolder(target)
		if ok && holder.Member != view.Self && e.unreachable.contains(holder.Address, now) {
			last = append(last, target)
		} else {
			first = append(first, target)
		}
	}
	return append(first, last...)
}

// recordUnreachable remembers a host that a request could not be sent to.
func (e *Entry) recordUnreachable(host fleet.Address, err error) {
	var dial *peer.DialError
	var lost *peer.ConnectionLostError
	if errors.As(err, &dial) || errors.As(err, &lost) {
		e.unreachable.record(host, e.Clock())
	}
}

func (e *Entry) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.Limits.RequestTimeout)
}
