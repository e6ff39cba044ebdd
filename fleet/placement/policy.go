package placement

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
)

// Estimate holds the expected times of serving a prompt at one target, until its
// first token.
type Estimate struct {
	Queue   time.Duration // until the target starts to work on the prompt
	Import  time.Duration // to fetch blocks from a store, during the queue time
	Compute time.Duration // to compute the rest of the prompt
}

// FirstToken returns the time to the first token. Blocks are fetched while the
// target works on other prompts, so a fetch adds no time if it ends before the
// queue time does.
func (e Estimate) FirstToken() time.Duration { return max(e.Queue, e.Import) + e.Compute }

// Policy compares estimates for one workspace.
type Policy interface {
	// Cost returns the cost of an estimate; the lowest cost wins.
	Cost(Estimate) time.Duration
	// MaxWait returns how long a request should wait for a target that holds its
	// blocks, if another target would have to compute the repeated work.
	MaxWait(repeated time.Duration) time.Duration
}

// FirstTokenPolicy minimizes the time to the first token, regardless of compute
// time. It suits workspaces whose answers are of no use after a deadline.
type FirstTokenPolicy struct{}

var _ Policy = FirstTokenPolicy{}

// Cost implements Policy.
func (FirstTokenPolicy) Cost(e Estimate) time.Duration { return e.FirstToken() }

// MaxWait implements Policy. It returns the time of the work itself: with a longer
// wait, the first token would come later than from a target that repeats the work.
func (FirstTokenPolicy) MaxWait(repeated time.Duration) time.Duration { return repeated }

// ReusePolicy favours cached blocks. It suits workspaces whose prompts are costly
// to compute: time to the first token counts a quarter, compute time double and
// import time half.
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

// MaxWait implements Policy. It returns the wait that costs as much as the compute
// time of the repeated work.
func (ReusePolicy) MaxWait(repeated time.Duration) time.Duration {
	return reuseTimeDivisor * reuseComputeFactor * repeated
}

// PolicyOf returns the policy of the given name.
func PolicyOf(name declaration.PolicyName) Policy {
	if name == declaration.PolicyReuse {
		return ReusePolicy{}
	}
	return FirstTokenPolicy{}
}

// Best returns the index of the estimate with the lowest cost, the first one of
// equals, or -1 if there are none.
func Best[P Policy](policy P, estimates []Estimate) int {
	best := -1
	for i, estimate := range estimates {
		if best < 0 || policy.Cost(estimate) < policy.Cost(estimates[best]) {
			best = i
		}
	}
	return best
}

// Prompt describes a prompt and the state of its cache at one target.
type Prompt struct {
	Tokens   fleet.Tokens
	Resident int             // leading blocks that are estimated to be in the target's cache
	Rate     fleet.TokenRate // at which the target computes prompts
}

// ComputeTime returns how long the target computes the prompt if the given number
// of leading blocks is cached.
func (p Prompt) ComputeTime(blocks int) time.Duration {
	return p.Rate.Time(max(0, p.Tokens-fleet.Tokens(blocks)*cache.BlockTokens))
}

// PlanImports returns how many of the blocks after the resident ones to fetch
// from a store, and the resulting estimate. queue is the time that the target is
// busy with other prompts, fetch the time that each block takes. A cached block
// is usable only if all blocks before it are cached, so the blocks to fetch are
// always the first ones.
func PlanImports[P Policy](policy P, prompt Prompt, queue time.Duration, fetch []time.Duration) (int, Estimate) {
	best, estimate := 0, Estimate{Queue: queue, Compute: prompt.ComputeTime(prompt.Resident)}
	var total time.Duration
	for i, d := range fetch {
		total += d
		candidate := Estimate{Queue: queue, Import: total, Compute: prompt.ComputeTime(prompt.Resident + i + 1)}
		if policy.Cost(candidate) < policy.Cost(estimate) {
			best, estimate = i+1, candidate
		}
	}
	return best, estimate
}
