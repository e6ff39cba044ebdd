package planner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
)

// deputyTimeout is how long a host stays a deputy after the last request for
// one. It exceeds the backoffTime of package chooser, during which hosts do not ask
// again a planner that failed to answer.
const deputyTimeout = 2 * time.Second

// startDeputy makes this host plan for hosts that cannot reach the planner, or
// extends its time as a deputy. A deputy holds no lease, so several deputies and a
// planner may act at the same time. A deputy therefore sends no orders, frees
// nothing, reads nothing from cache stores, and assigns no requests to cold targets.
//
// Deputies cover the time without a planner: after a planner fails, a successor
// takes over only election.LeaseDuration plus election.ClockMargin after it has
// observed the last renewal, so about 1.5 s after the failure at the earliest, and
// not at all while the object store does not answer. Without a deputy, each host
// would choose targets by hashing, knowing neither the lengths of the engines' queues
// nor what they have cached.
func (p *Planner) startDeputy(now fleet.Instant) {
	p.lastDeputyRequest = now
	if p.deputy {
		return
	}
	p.Log.Info().Uint64("Epoch", uint64(p.epoch)).Msg("acting as deputy planner: a host cannot reach the planner")
	p.deputy, p.fleet.Deputy = true, true
	p.fleet.BeginTenure(now, firstDeputyNumber(p.Host))
	p.syncWatchers(p.runCtx, now)
}

// deputyBit is the top bit of the numbers of grants that a host makes as a deputy, so
// that they differ from those of planners.
const deputyBit = 1 << 63

// firstDeputyNumber returns the number below all grants that the host makes as a
// deputy. Hosts get different ranges of numbers unless their hashes collide.
func firstDeputyNumber(host fleet.HostID) plan.GrantNumber {
	return deputyBit | firstNumber(xxhash.Sum64String(string(host)))
}

// firstNumber returns the number below a range of grants' numbers, for a hash.
func firstNumber(hash uint64) plan.GrantNumber {
	const rangeSize = 1 << 40
	return plan.GrantNumber(hash % (deputyBit / rangeSize) * rangeSize)
}
