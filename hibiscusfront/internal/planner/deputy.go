package planner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
)

// deputyTime is how long a host goes on as a deputy after it was last asked:
// longer than a planner that answers badly is left alone.
const deputyTime = 2 * time.Second

// deputise makes the host plan for those that cannot reach the planner. It holds
// nothing, so there may be several deputies, and a planner as well: a deputy
// gives no orders, frees nothing, takes nothing from stores, and gives cold
// targets nothing.
//
// It answers this load: a planner that dies is succeeded after 1.5 s at the
// earliest, and not at all while the store is down. Meanwhile each host chose by
// hashing alone: it knew neither how long engines' queues were nor what they had
// cached.
func (p *Planner) deputise(now fleet.Instant) {
	p.asked = now
	if p.deputy {
		return
	}
	p.Log.Info().Uint64("Epoch", uint64(p.epoch)).Msg("planning for hosts that cannot reach the planner")
	p.deputy, p.fleet.Deputy = true, true
	p.fleet.BeginTenure(now, firstOfDeputy(p.Host))
	p.watch(p.life)
}

// firstOfDeputy returns a number below those of all grants of a host's next time
// as a deputy, apart from those of planners, which begin at an epoch.
func firstOfDeputy(host fleet.HostID) plan.GrantNumber {
	const deputies, grants = 1 << 63, 1 << 40
	return plan.GrantNumber(deputies | xxhash.Sum64String(string(host))%(deputies/grants)*grants)
}
