// Package view holds what a host believes of the fleet at a moment.
//
// The control goroutine builds a View and publishes it; from then on it is
// frozen, and any number of traffic goroutines read it.
package view

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/fleet/wave"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A View is a frozen picture of the fleet.
type View struct {
	Table     *route.Table // nil until a configuration is known
	Targets   []roster.Target
	Evacuated map[fleet.DataCentreID]bool
	Weights   map[fleet.ModelID]wave.Announcements
	Hosts     []wire.Host   // that take callers
	Duty      tenure.Record // who plans
	Leaving   bool          // this host is about to stop

	byID map[fleet.TargetID]*roster.Target
}

// Freeze indexes the view.
func (v *View) Freeze() *View {
	v.byID = make(map[fleet.TargetID]*roster.Target, len(v.Targets))
	for i := range v.Targets {
		v.byID[v.Targets[i].ID] = &v.Targets[i]
	}
	return v
}

// Target returns the target of the id, or nil.
func (v *View) Target(id fleet.TargetID) *roster.Target { return v.byID[id] }

// Deputy returns the host that decides in the planner's stead, among those that
// suit: the largest, and of equals the one that the epoch picks, so that all
// hosts ask the same. Without any, its ID is empty.
func (v *View) Deputy(suits func(wire.Host) bool) wire.Host {
	var best wire.Host
	var bestRank uint64
	for _, h := range v.Hosts {
		if !suits(h) {
			continue
		}
		rank := xxhash.Sum64String(fmt.Sprint(v.Duty.Epoch, h.ID))
		if best.ID == "" || h.Cores > best.Cores || h.Cores == best.Cores && rank > bestRank {
			best, bestRank = h, rank
		}
	}
	return best
}

// Usable reports whether the target may be given new work.
func (v *View) Usable(t *roster.Target) bool { return !t.Leaving && !v.Evacuated[t.DataCentre] }
