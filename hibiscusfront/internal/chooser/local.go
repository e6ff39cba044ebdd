package chooser

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/view"
)

// Local selects targets without a planner, by rendezvous hashing over the
// targets that the host knows. Hosts that choose locally therefore agree on the
// target that has a prompt's parts in its cache. Local requests no fetch or save
// of cache parts, since it does not know what the cache stores hold, and skips cold
// targets and those that have named a limit to this host or told it that they are brittle, since the load that all hosts
// together send them is not limited without a planner. The zero value is ready for use.
type Local struct {
	// WeightsBound has the meaning of plan.Fleet.WeightsBound.
	WeightsBound time.Duration
}

// noTargetRetryAfter is the Retry-After sent when no usable target is known.
const noTargetRetryAfter = 500 * time.Millisecond

// Choose selects a target for the request, or refuses it if no target is usable or the
// planner withholds it or a part of its prompt.
func (l Local) Choose(now fleet.Instant, v *view.View, req *plan.Request) plan.Decision {
	if v.Duty.Quarantine.Withholds(req.Fingerprint, req.Prompt) {
		return plan.Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(fleet.ReasonWithheld, quarantine.FirstTrial)}
	}
	software, known := l.requiredSoftware(req)
	if !known {
		return plan.Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(fleet.ReasonUnknownOrigin, noTargetRetryAfter)}
	}
	// What other hosts have sent to an engine is not known.
	start := now.Add(plan.LongestWait(v.Table, req.Service))
	var usable []*roster.Target
	for i := range v.Targets {
		t := &v.Targets[i]
		if software != nil && t.Software != *software {
			continue
		}
		if v.OutOfRollout(t, software != nil) {
			continue
		}
		if t.Service != req.Service || !v.Usable(t) || t.ColdFor > 0 || slices.Contains(req.Avoid, t.ID) {
			continue
		}
		if slices.ContainsFunc(req.Known, func(k intake.Known) bool { return k.Target == t.ID }) {
			continue
		}
		if req.Prompt != nil && !l.mayStart(start, v, t, req.Prompt.Model) {
			continue
		}
		usable = append(usable, t)
	}
	if len(usable) == 0 {
		return plan.Decision{Request: req, Refusal: fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, noTargetRetryAfter)}
	}
	if req.Prompt != nil {
		// Only engines with the newest weights are candidates.
		slices.SortStableFunc(usable, func(a, b *roster.Target) int {
			return cmp.Compare(b.Version(req.Prompt.Model), a.Version(req.Prompt.Model))
		})
		newest := usable[0].Version(req.Prompt.Model)
		usable = slices.DeleteFunc(usable, func(t *roster.Target) bool { return t.Version(req.Prompt.Model) < newest })
	}
	ranked := placement.Rank(req.AffinityHash(), usable, func(t *roster.Target) string { return string(t.ID) },
		func(*roster.Target) float64 { return 1 })
	t := ranked[0]
	g := &plan.Grant{Target: t.ID, Address: t.Address, Service: req.Service, Rank: min(req.Rank, plan.MaxRank), Software: t.Software}
	if req.Prompt != nil {
		g.Version, g.Read, g.Wait = t.Version(req.Prompt.Model), req.Prompt.Input, start.Sub(now)
		g.Salt, g.Configuration = plan.Salt(req.Prompt.Model, g.Version, req.Workspace, req.Isolation), req.Configuration
	}
	return plan.Decision{Request: req, Grant: g}
}

// requiredSoftware returns the version that the request's target must have, nil for any. It
// reports false if it is not known. Without a planner the version of a stream that a caller takes
// up can't be told: the host may have missed engines of another version that have begun it.
func (l Local) requiredSoftware(req *plan.Request) (software *fleet.Software, known bool) {
	r := &req.Resumption
	switch {
	case !r.Resumes:
		return nil, true
	case r.Known:
		return &r.Software, true
	}
	return nil, false
}

// mayStart reports whether a run that is expected to start at the instant may start on the weights that the engine has.
func (l Local) mayStart(start fleet.Instant, v *view.View, t *roster.Target, model fleet.ModelID) bool {
	version := t.Version(model)
	return version > 0 && v.Weights[model].Allows(start, version, l.WeightsBound)
}
