package chooser

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/view"
)

// Alone chooses targets without a planner: by rendezvous hashing over the
// targets that the host knows, so that hosts that choose alone agree on where
// a prompt's parts are. It fetches and saves nothing, since nobody knows what
// the stores hold, and gives cold targets nothing, since nobody counts what
// all hosts send them. The zero value works.
type Alone struct {
	// WeightsBound is as in plan.Fleet.
	WeightsBound time.Duration
}

// noTargetPause is what a caller is told to wait for when no target is known.
const noTargetPause = 500 * time.Millisecond

// Choose decides on a request.
func (a Alone) Choose(now fleet.Instant, v *view.View, ask *plan.Request) plan.Decision {
	var usable []*roster.Target
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Service != ask.Service || !v.Usable(t) || t.ColdFor > 0 || slices.Contains(ask.Avoid, t.ID) {
			continue
		}
		if ask.Prompt != nil && !a.begins(now, v, t, ask.Prompt.Model) {
			continue
		}
		usable = append(usable, t)
	}
	if len(usable) == 0 {
		return plan.Decision{Request: ask, Refusal: fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, noTargetPause)}
	}
	if ask.Prompt != nil {
		// Engines with newer weights go first.
		slices.SortStableFunc(usable, func(a, b *roster.Target) int {
			return cmp.Compare(b.Version(ask.Prompt.Model), a.Version(ask.Prompt.Model))
		})
		newest := usable[0].Version(ask.Prompt.Model)
		usable = slices.DeleteFunc(usable, func(t *roster.Target) bool { return t.Version(ask.Prompt.Model) < newest })
	}
	ranked := placement.Rank(ask.AffinityHash(), usable, func(t *roster.Target) string { return string(t.ID) },
		func(*roster.Target) float64 { return 1 })
	t := ranked[0]
	g := &plan.Grant{Target: t.ID, Address: t.Address, Service: ask.Service, Rank: min(ask.Rank, plan.MaxRank)}
	if ask.Prompt != nil {
		g.Version = t.Version(ask.Prompt.Model)
		g.Salt = plan.Salt(ask.Prompt.Model, g.Version, ask.Workspace, ask.Isolated)
	}
	return plan.Decision{Request: ask, Grant: g}
}

// begins reports whether a run may begin on the engine's weights.
func (a Alone) begins(now fleet.Instant, v *view.View, t *roster.Target, model fleet.ModelID) bool {
	version := t.Version(model)
	return version > 0 && v.Weights[model].Allows(now, version, a.WeightsBound)
}
