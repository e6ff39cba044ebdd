package evidence

import (
	"math"
	"slices"

	"hibiscuslb/fleet"
)

// fractions are those of responses that a bad version makes bad.
var fractions = []float64{0.05, 0.1, 0.15, 0.2, 0.25, 0.5}

// maxFraction is the largest fraction that has to be refuted, however small the exposure is,
// unless the old version's own rate of bad responses is above highRate.
const (
	maxFraction = 0.25
	highRate    = 0.05
)

// limitRatio is the logarithm of the likelihood ratio above which the version is rejected
// at a limit of bad responses, and a step shows a fault. Two versions that are equally bad are above zero half of the time.
const limitRatio = 3.5

// sums returns the responses of the new version in slices, those without the target that has the
// most bad ones, and the rate of bad ones that the old version's in the same slices lead to expect.
// The share of the new version differs between slices, and so does the rate in an outage.
func (e *Route) sums(list []*slice) (all, without Tally, base float64) {
	old := e.Old()
	prior := (float64(old.Bad) + 0.5) / (float64(old.N) + 50)
	byTarget := make(map[fleet.TargetID]Tally)
	expected := 0.0
	for _, s := range list {
		n := 0
		for id, t := range s.new {
			byTarget[id] = byTarget[id].Plus(t)
			all = all.Plus(t)
			n += t.N
		}
		expected += float64(n) * (float64(s.old.Bad) + priorWeight*prior) / (float64(s.old.N) + priorWeight)
	}
	var worst Tally
	for _, t := range byTarget {
		if t.Bad > worst.Bad || t.Bad == worst.Bad && t.N < worst.N {
			worst = t
		}
	}
	return all, all.Minus(worst), max(minRate, expected/float64(max(1, all.N)))
}

// Old returns the responses of the old version.
func (e *Route) Old() (sum Tally) {
	for _, s := range e.slices {
		sum = sum.Plus(s.old)
	}
	return sum
}

// ratio returns the logarithm of the likelihood ratio of the hypothesis that the fraction of
// responses is bad beyond the base rate.
func ratio(t Tally, base, fraction float64) float64 {
	bad := base + fraction*(1-base)
	return float64(t.Bad)*math.Log(bad/base) + float64(t.N-t.Bad)*math.Log(1-fraction)
}

// likely reports whether some fraction of bad responses explains the responses better than none, by limitRatio.
func likely(t Tally, base float64) bool {
	return slices.ContainsFunc(fractions, func(f float64) bool { return ratio(t, base, f) > limitRatio })
}

// others returns the responses without the worst target, or all if the version has one target.
func others(all, without Tally, single bool) Tally {
	if single {
		return all
	}
	return without
}

// New returns the responses of the new version.
func (e *Route) New() Tally {
	all, _, _ := e.sums(e.slices)
	return all
}

// Favoured reports whether some fraction of bad responses explains the responses better than none, without the worst
// target, too.
func (e *Route) Favoured(single bool) bool {
	all, without, base := e.sums(e.slices)
	without = others(all, without, single)
	return slices.ContainsFunc(fractions, func(f float64) bool {
		return ratio(all, base, f) > limitRatio && ratio(without, base, f) > limitRatio
	})
}

// Sound reports whether few responses are not worse than those of the old version, or those without the worst
// target.
func (e *Route) Sound() bool {
	all, without, base := e.sums(e.slices)
	return ratio(all, base, fractions[0]) <= 0 || without.N > 0 && ratio(without, base, fractions[0]) <= 0
}

// Refuted reports whether the smallest fraction is refuted that so many responses can refute, or at the last chance
// the largest one.
func (e *Route) Refuted(responses float64, lastChance bool) bool {
	all, without, base := e.sums(e.slices)
	fraction, threshold := provable(responses, base), math.Log(errorRate)
	if lastChance {
		fraction = max(fraction, largestProvable(base))
	}
	return ratio(all, base, fraction) <= threshold || ratio(without, base, fraction) <= threshold
}

// Worse reports whether the test rejects the version on a route, and for which fraction. Single is set if the
// version has one target, without which there would be no responses.
func (e *Route) Worse(single bool) (fraction float64, found bool) {
	threshold := math.Log(float64(sliceCount*len(fractions)) / errorRate)
	for i := range e.slices {
		all, without, base := e.sums(e.slices[i:])
		if all.Bad == 0 {
			break
		}
		without = others(all, without, single)
		for _, f := range fractions {
			if ratio(all, base, f) > threshold && ratio(without, base, f) > threshold {
				return f, true
			}
		}
	}
	return 0, false
}

// loadedShare times the load of an old target without the new ones is that from which the responses of a new
// one are evidence under load.
const loadedShare = 0.6

// FaultyUnderLoad reports whether the responses since an instant show a fault, and the responses under load do not refute
// that it is the version's. Such a fault may by chance hit one target first, which then takes no more
// part. What is left of the exposure is too small to load another target as much, so that
// many responses without load would hide the few bad ones.
func (e *Route) FaultyUnderLoad(since fleet.Instant, oldTargets int, single bool) bool {
	var step, loaded []*slice
	for _, s := range e.slices {
		if s.start < since {
			continue
		}
		requests := s.old.N
		for _, t := range s.new {
			requests += t.N
		}
		under := &slice{start: s.start, old: s.old, new: make(map[fleet.TargetID]Tally)}
		for id, t := range s.new {
			if float64(t.N*max(1, oldTargets)) >= loadedShare*float64(requests) {
				under.new[id] = t
			}
		}
		step, loaded = append(step, s), append(loaded, under)
	}
	all, _, base := e.sums(step)
	if !likely(all, base) {
		return false
	}
	all, without, base := e.sums(loaded)
	return ratio(others(all, without, single), base, largestProvable(base)) > math.Log(errorRate)
}

// largestProvable returns the fraction that has to be refuted, however small the exposure is.
func largestProvable(base float64) float64 {
	if base >= highRate {
		return fractions[len(fractions)-1]
	}
	return maxFraction
}

// provable returns the smallest fraction that so many responses can refute.
func provable(responses, base float64) float64 {
	const spare = 1.3 // since responses vary, and some routes have fewer
	for _, f := range fractions {
		// The expected logarithm of the likelihood ratio of a response of a good version.
		step := base*math.Log((base+f*(1-base))/base) + (1-base)*math.Log(1-f)
		if f >= maxFraction && base < highRate || spare*math.Log(errorRate)/step <= responses {
			return f
		}
	}
	return fractions[len(fractions)-1]
}
