package placement

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
)

// An Estimate is what serving a prompt at one target would take until its
// first token.
type Estimate struct {
	Queue   time.Duration // until the target begins to work on it
	Import  time.Duration // to fetch blocks from a store, meanwhile
	Compute time.Duration // to compute the rest of the prompt
}

// FirstToken is the time to the first token. Blocks are fetched while the
// target works on other prompts, so a fetch that ends before that costs no time.
func (e Estimate) FirstToken() time.Duration { return max(e.Queue, e.Import) + e.Compute }

// A Policy weighs estimates for one workspace.
type Policy interface {
	// Cost is what the estimate is worth avoiding; the smallest cost wins.
	Cost(Estimate) time.Duration
	// MaxWait is how long a request should rather wait for a target that
	// holds its blocks than lose the given work elsewhere.
	MaxWait(lost time.Duration) time.Duration
}

// FirstTokenPolicy is the policy of workspaces whose answers expire: the shortest time to
// the first token, whatever it costs.
type FirstTokenPolicy struct{}

var _ Policy = FirstTokenPolicy{}

// Cost implements Policy.
func (FirstTokenPolicy) Cost(e Estimate) time.Duration { return e.FirstToken() }

// MaxWait implements Policy. Waiting longer than the work would take never
// pays.
func (FirstTokenPolicy) MaxWait(lost time.Duration) time.Duration { return lost }

// ReusePolicy is the policy of workspaces whose prompts are costly to compute: time
// counts a quarter, computing counts double, and moving half.
type ReusePolicy struct{}

var _ Policy = ReusePolicy{}

const (
	reuseTimeDivisor   = 4
	reuseComputeFactor = 2
	reuseImportDivisor = 2
)

// Cost implements Policy.
func (ReusePolicy) Cost(e Estimate) time.Duration {
	return e.FirstToken()/reuseTimeDivisor + reuseComputeFactor*e.Compute + e.Import/reuseImportDivisor
}

// MaxWait implements Policy.
func (ReusePolicy) MaxWait(lost time.Duration) time.Duration {
	return reuseTimeDivisor * reuseComputeFactor * lost
}

// PolicyOf returns the policy that a workspace has declared.
func PolicyOf(name declaration.PolicyName) Policy {
	if name == declaration.PolicyReuse {
		return ReusePolicy{}
	}
	return FirstTokenPolicy{}
}

// Best returns the index of the estimate of the smallest cost, the first of
// equals, or -1 for none.
func Best[P Policy](policy P, estimates []Estimate) int {
	best := -1
	for i, estimate := range estimates {
		if best < 0 || policy.Cost(estimate) < policy.Cost(estimates[best]) {
			best = i
		}
	}
	return best
}

// A Prompt describes the work that a prompt is for one target.
type Prompt struct {
	Tokens   fleet.Tokens
	Resident int // blocks that the target is believed to hold, from the first on
	Rate     fleet.TokenRate
}

// ComputeTime returns how long the prompt takes when so many of its first blocks
// need no computing.
func (p Prompt) ComputeTime(blocks int) time.Duration {
	return p.Rate.Time(max(0, p.Tokens-fleet.Tokens(blocks)*cache.BlockTokens))
}

// PlanImports returns how many of the blocks that follow the resident ones to
// fetch, given how long the target is busy with other prompts and how long each
// fetch takes, and the estimate that results. Blocks are of use only without a
// hole, so it is always the first few.
func PlanImports[P Policy](policy P, prompt Prompt, queue time.Duration, fetch []time.Duration) (int, Estimate) {
	best, estimate := 0, Estimate{Queue: queue, Compute: prompt.ComputeTime(prompt.Resident)}
	var total time.Duration
	for i, d := range fetch {
		total += d
		option := Estimate{Queue: queue, Import: total, Compute: prompt.ComputeTime(prompt.Resident + i + 1)}
		if policy.Cost(option) < policy.Cost(estimate) {
			best, estimate = i+1, option
		}
	}
	return best, estimate
}
