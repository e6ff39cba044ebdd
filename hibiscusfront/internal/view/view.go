// Package view defines a host's view of the fleet at an instant.
//
// The control goroutine (see package control) builds a View and publishes it. A
// published View is immutable, so any number of goroutines that serve requests
// may read it.
package view

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// A View is an immutable snapshot of the fleet. It must be frozen before use.
type View struct {
	Table     *route.Table // nil until a configuration is known
	Targets   []roster.Target
	Removed   map[fleet.TargetID]bool // targets that have left recently
	Evacuated map[fleet.DataCentreID]bool
	Weights   map[fleet.ModelID]weightupdate.Announcements
	Hosts     []wire.Host     // that callers may be sent to
	Duty      election.Record // last known record of the planner's duty
	Leaving   bool            // this host is stopping
	// Rollouts has what the object store holds of roll-outs; nil if the settings allow none.
	Rollouts map[route.ServiceID]Rollout

	byID map[fleet.TargetID]*roster.Target
}

// A Rollout is what the object store holds of the roll-out of a service.
type Rollout struct {
	rollout.Known
	Object platform.Object        // the order, if there is one
	Status platform.RolloutStatus // of the order
}

// Freeze indexes the targets and returns the view, which must not change from
// then on.
func (v *View) Freeze() *View {
	v.byID = make(map[fleet.TargetID]*roster.Target, len(v.Targets))
	for i := range v.Targets {
		v.byID[v.Targets[i].ID] = &v.Targets[i]
	}
	return v
}

// Target returns the target with the ID, or nil.
func (v *View) Target(id fleet.TargetID) *roster.Target { return v.byID[id] }

// Deputy returns the host that decides in place of the planner: the
// eligible host with the most Cores, and among equals the one with the highest hash
// of epoch and ID, so that all hosts choose the same deputy. If no host is eligible,
// the ID of the result is empty.
func (v *View) Deputy(eligible func(wire.Host) bool) wire.Host {
	var best wire.Host
	var bestHash uint64
	for _, h := range v.Hosts {
		if !eligible(h) {
			continue
		}
		hash := xxhash.Sum64String(fmt.Sprint(v.Duty.Epoch, h.ID))
		if best.ID == "" || h.Cores > best.Cores || h.Cores == best.Cores && hash > bestHash {
			best, bestHash = h, hash
		}
	}
	return best
}

// Excludes reports whether the target must not get new work. It does not if the target
// is not known, since a planner may know it before this host.
func (v *View) Excludes(id fleet.TargetID) bool {
	if v.Removed[id] {
		return true
	}
	t := v.Target(id)
	return t != nil && !v.Usable(t)
}

// OutOfRollout reports whether a host that decides without the planner must send nothing to the
// target because of its version: nothing new, or no stream of its version either.
func (v *View) OutOfRollout(t *roster.Target, stream bool) bool {
	known, ok := v.Rollouts[t.Service]
	if !ok {
		return false
	}
	has := func(condition func(fleet.Software) bool) bool {
		return slices.ContainsFunc(v.Targets, func(other roster.Target) bool {
			return other.Service == t.Service && condition(other.Software) && v.Usable(&other) && other.ColdFor <= 0
		})
	}
	if stream && !known.New(t.Software) {
		// A stream of the version before may go on there.
		return slices.Contains(known.Barred(has), t.Software)
	}
	return known.Excludes(t.Software, has)
}

// Usable reports whether the target may receive new work: it is not leaving, and
// its data centre is not evacuated.
func (v *View) Usable(t *roster.Target) bool { return !t.Leaving && !v.Evacuated[t.DataCentre] }
