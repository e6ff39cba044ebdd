// Package entry implements the interface for callers. It publishes the addresses
// of the hosts, authenticates callers, validates their requests and dispatches them
// to the owners of the best targets. The owner of a target is the host that holds
// the target's duty.
//
// A request is dispatched to one owner at a time. If an owner refuses it and it
// has not run, it is dispatched to the next candidate. If an answer breaks, the
// request is repeated only if that is safe: generation resumes at the next missing
// piece, within the retry budget; an order, that is, a call of a plain service, that
// may have run is not sent again unless its operation is repeatable. A request that
// cannot be served is refused at once, if possible with the time after which to send
// it again.
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
	"hibiscuslb/hibiscusd/internal/owner"
)

// Limits are the limits on the requests of callers.
type Limits struct {
	BodyBytes      fleet.Bytes   // of one request
	MaxTokens      fleet.Tokens  // of one answer
	Concurrency    int           // requests at once
	RequestTimeout time.Duration // of one request
	AddressTTL     time.Duration // how long callers may use an address
}

// A Server serves callers. Set the exported fields before calling Handler.
type Server struct {
	Control *control.Control
	Owners  *owner.Set // the targets that this host owns
	Pool    *peer.Pool
	Clock   fleet.Clock
	Metrics *meter.Metrics
	Log     zerolog.Logger
	Limits  Limits

	retries     retry.Budget
	queueTimes  queueTimes
	unreachable unreachableHosts
	running     chan struct{} // holds one element per running request
	once        sync.Once
}

// maxCandidates is the number of owners that may refuse one request before the
// caller receives the refusal.
const maxCandidates = 3

// queueTimes stores the queue times that owners last reported for their targets.
// Owners report them with answers and refusals. The weight of a report decreases
// linearly with its age.
type queueTimes struct {
	mu    sync.Mutex
	waits map[fleet.TargetID]observation
}

// observation is a reported queue time, received at the given instant.
type observation struct {
	wait time.Duration
	at   fleet.Instant
}

// observationLifetime is the age at which the weight of a reported queue time
// reaches zero.
const observationLifetime = 2 * time.Second

func (q *queueTimes) record(target fleet.TargetID, wait time.Duration, now fleet.Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waits == nil {
		q.waits = make(map[fleet.TargetID]observation)
	}
	q.waits[target] = observation{wait, now}
}

// wait returns the estimated queue time of a target, or zero if it is unknown.
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

// unreachableHosts stores the hosts that could recently not be reached, so that
// not every request waits for a host that has just failed.
type unreachableHosts struct {
	mu    sync.Mutex
	hosts map[fleet.Address]fleet.Instant
}

// unreachableTimeout is how long other hosts are preferred to an unreachable one.
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

// acquireRequest reserves one of Limits.Concurrency requests until releaseRequest.
// It returns a refusal if none is free.
func (s *Server) acquireRequest() error {
	s.once.Do(func() { s.running = make(chan struct{}, s.Limits.Concurrency) })
	select {
	case s.running <- struct{}{}:
		return nil
	default:
		return fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, time.Second)
	}
}

func (s *Server) releaseRequest() { <-s.running }

// A caller is the authenticated sender of a request, with the class and deadline of
// the request.
type caller struct {
	workspace *declaration.Workspace
	class     declaration.Class
	deadline  fleet.Instant // for the first token or the answer to an order; zero for none
}

// activeView returns the control state if this host may accept requests, or else a
// refusal.
func (s *Server) activeView() (*control.View, error) {
	view := s.Control.View()
	if view == nil || !s.Control.MayAct() {
		return nil, fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, time.Second)
	}
	return view, nil
}

// remainingTime returns the time left until the caller's deadline, zero if there is
// no deadline, or a refusal if it has passed.
func (s *Server) remainingTime(c *caller) (time.Duration, error) {
	if c.deadline == 0 {
		return 0, nil
	}
	left := c.deadline.Sub(s.Clock())
	if left <= 0 {
		return 0, fleet.Refuse(fleet.ReasonDeadline, "deadline has passed")
	}
	return left, nil
}

// reachableFirst moves the targets whose owners are unreachable behind the others,
// and keeps the order otherwise.
func (s *Server) reachableFirst(view *control.View, ranked []*declaration.Target) []*declaration.Target {
	now := s.Clock()
	var first, last []*declaration.Target
	for _, target := range ranked {
		holder, ok := view.Owner(target)
		if ok && holder.Member != view.Self && s.unreachable.contains(holder.Address, now) {
			last = append(last, target)
		} else {
			first = append(first, target)
		}
	}
	return append(first, last...)
}

// recordUnreachable records the host as unreachable if the error shows that the
// connection failed or was lost.
func (s *Server) recordUnreachable(host fleet.Address, err error) {
	var dial *peer.DialError
	var lost *peer.ConnectionLostError
	if errors.As(err, &dial) || errors.As(err, &lost) {
		s.unreachable.record(host, s.Clock())
	}
}

func (s *Server) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.Limits.RequestTimeout)
}
