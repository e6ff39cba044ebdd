package chooser

import (
	"cmp"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/hibiscusfront/internal/view"
)

// A tenureID tells in which time of deciding a host made a grant. A host that decides again does not know what it
// granted before.
type tenureID struct {
	by     fleet.Address
	epoch  fleet.Epoch // of the planner at that time, as far as this host knew
	deputy bool
}

// A waitingGrant is a grant of an engine whose answer has not begun.
type waitingGrant struct {
	tenure  tenureID
	model   fleet.ModelID
	expires fleet.Instant // at the latest
}

// addWaiting records a grant of an engine.
func (c *Chooser) addWaiting(g *plan.Grant, req *plan.Request, tenure tenureID) {
	if g.Version == 0 || req.Prompt == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting[g] = waitingGrant{tenure, req.Prompt.Model, c.Clock().Add(req.Deadline)}
}

// removeWaiting records that the answer to a grant has begun, or that there will be none.
func (c *Chooser) removeWaiting(g *plan.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, g)
}

// reportWaiting returns what waits at engines with replaced weights by grants of other tenures, in the order of
// the targets.
func (c *Chooser) reportWaiting(v *view.View, tenure tenureID) []plan.Waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	var list []plan.Waiting
	for g, w := range c.waiting {
		if now >= w.expires {
			delete(c.waiting, g)
			continue
		}
		if _, replaced := v.Weights[w.model].SupersededAt(g.Version); !replaced || w.tenure == tenure {
			continue
		}
		at, found := slices.BinarySearchFunc(list, g.Target, func(w plan.Waiting, id fleet.TargetID) int { return cmp.Compare(w.Target, id) })
		if !found {
			list = slices.Insert(list, at, plan.Waiting{Target: g.Target})
		}
		list[at].Tokens += g.Read
	}
	return list
}
