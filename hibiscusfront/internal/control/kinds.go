package control

import (
	"slices"

	"hibiscuslb/platform"
)

// replicatedKinds lists the kinds of objects that every host replicates.
var replicatedKinds = []string{
	platform.KindConfiguration, platform.KindTargets, platform.KindEvacuations, platform.KindWeights,
	platform.KindHosts,
}

// rolloutKinds lists those that hosts replicate in addition if their settings allow roll-outs.
var rolloutKinds = []string{platform.KindRollouts, platform.KindRolloutStates}

// restrictingKinds lists the kinds that restrict the use of targets: replaced weights, evacuations and versions on trial.
var restrictingKinds = append([]string{platform.KindEvacuations, platform.KindWeights}, rolloutKinds...)

// planningKinds lists the kinds of objects that a host has to have read to plan.
var planningKinds = []string{platform.KindConfiguration, platform.KindTargets, platform.KindEvacuations, platform.KindWeights}

// kinds returns the kinds of objects that this host replicates.
func (c *Control) kinds() []string {
	if c.Settings.Bounds.ExposeShare <= 0 {
		return replicatedKinds
	}
	return append(slices.Clone(replicatedKinds), rolloutKinds...)
}

// knowsRestrictions reports whether the host has read all that restricts the use of targets. Before that, nothing looks
// restricted. It includes the record of the duty, which names what is withheld, unless no host has run before.
func (c *Control) knowsRestrictions() bool {
	if !c.duty.Known() && !c.Settings.FirstStart {
		return false
	}
	return !slices.ContainsFunc(c.unread(), func(kind string) bool { return slices.Contains(restrictingKinds, kind) })
}

// unread returns the kinds of which this host has read no objects since its start.
func (c *Control) unread() []string {
	var kinds []string
	for _, kind := range c.kinds() {
		if c.replicas[kind].Revision().IsZero() {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}
