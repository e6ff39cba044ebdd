package plan

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// Reservations for streams that go on, see admission.go.

// reservation is the right of a waiting request to a target's capacity.
type reservation struct {
	until   fleet.Instant
	request fleet.RequestID
	rank    int
}

// reservationTime is how long a reservation lasts. It is renewed at each Tick while the request
// waits.
const reservationTime = 50 * time.Millisecond

// excludes reports whether the target is kept for another request.
func (r *reservation) excludes(now fleet.Instant, req *Request) bool {
	return now < r.until && r.request != req.ID && req.Rank >= r.rank
}

// reserve keeps a target for a queued request that resumes a stream: the one with the most free
// memory of those that are not kept for others.
func (f *Fleet) reserve(now fleet.Instant, q *queuedRequest) {
	req := q.req
	software, known := f.requiredSoftware(now, q.enqueued, req)
	if !known {
		return
	}
	if t := q.reserved; t == nil || t.removed || t.reservation.excludes(now, req) || !t.usable(now) {
		q.reserved = nil
		for _, t := range f.targets {
			if t.Service != req.Service || !t.has(software) || !t.usable(now) || !t.isEngine() || now < t.reservation.until || slices.Contains(req.Avoid, t.ID) {
				continue
			}
			if best := q.reserved; best == nil || t.memory < best.memory || t.memory == best.memory && t.ID < best.ID {
				q.reserved = t
			}
		}
	}
	if q.reserved != nil {
		q.reserved.reservation = reservation{now.Add(reservationTime), req.ID, req.Rank}
	}
}

// order is the order of requests of one rank in the queue.
func (q *queuedRequest) order() int {
	if q.req.Resumption.Resumes {
		return 0
	}
	return 1
}
