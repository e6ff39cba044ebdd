package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/reach"
)

// A scene replays a host with targets that it uses in turn. A dial to a target that is parted from
// the host fails after dialLimit.
type scene struct {
	ledger  reach.Ledger
	targets []fleet.TargetID
	parted  func(at time.Duration, target int) bool
	pending map[time.Duration][]int // failures by the time at which they are seen
}

const (
	step      = 10 * time.Millisecond
	dialLimit = 400 * time.Millisecond
)

func newScene(targets int, parted func(time.Duration, int) bool) *scene {
	s := &scene{parted: parted, pending: make(map[time.Duration][]int)}
	for i := range targets {
		s.targets = append(s.targets, fleet.TargetID(fmt.Sprint(i)))
	}
	return s
}

func (s *scene) try(at time.Duration, target int) {
	if s.parted(at, target) {
		s.pending[at+dialLimit] = append(s.pending[at+dialLimit], target)
		return
	}
	s.ledger.Reached(fleet.Instant(at), s.targets[target])
}

// play calls see at each step. A request goes to one target every second step.
func (s *scene) play(until time.Duration, see func(at time.Duration, cutOff bool)) {
	for at := step; at < until; at += step {
		for _, target := range s.pending[at] {
			s.ledger.Failed(fleet.Instant(at), s.targets[target])
		}
		turn := int(at / step)
		if target := turn / 2 % len(s.targets); turn%2 == 0 && s.ledger.Direct(fleet.Instant(at), s.targets[target]) {
			s.try(at, target)
		}
		if turn%5 == 0 {
			for _, id := range s.ledger.Probes(fleet.Instant(at), s.targets) {
				var target int
				_, _ = fmt.Sscan(string(id), &target)
				s.try(at, target)
			}
		}
		see(at, s.ledger.CutOff(fleet.Instant(at)))
	}
}

func between(at, begin, end time.Duration) bool { return at >= begin && at < end }

func TestHostIsCutOffOnlyWithoutWays(t *testing.T) {
	const begin, end, last = 2 * time.Second, 14 * time.Second, 20 * time.Second
	for name, test := range map[string]struct {
		targets int
		parted  func(time.Duration, int) bool
		cutOff  bool
	}{
		"calm":                      {18, func(time.Duration, int) bool { return false }, false},
		"one of many ends":          {18, func(at time.Duration, i int) bool { return at >= begin && i == 4 }, false},
		"one of two ends":           {2, func(at time.Duration, i int) bool { return at >= begin && i == 1 }, false},
		"half of the targets":       {18, func(at time.Duration, i int) bool { return between(at, begin, end) && i%2 == 0 }, false},
		"all":                       {18, func(at time.Duration, _ int) bool { return between(at, begin, end) }, true},
		"all of many":               {200, func(at time.Duration, _ int) bool { return between(at, begin, end) }, true},
		"all but one":               {18, func(at time.Duration, i int) bool { return between(at, begin, end) && i > 0 }, true},
		"all of two":                {2, func(at time.Duration, _ int) bool { return between(at, begin, end) }, true},
		"the only one":              {1, func(at time.Duration, _ int) bool { return between(at, begin, end) }, true},
		"all, one has ended before": {18, func(at time.Duration, i int) bool { return i == 3 || between(at, begin, end) }, true},
		"one cut passes into another": {18, func(at time.Duration, i int) bool {
			return i < 9 && between(at, 0, 8*time.Second) || i >= 9 && between(at, begin, end)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(test.targets, test.parted)
			first, latest := time.Duration(0), time.Duration(0)
			s.play(last, func(at time.Duration, cutOff bool) {
				if !cutOff {
					return
				}
				if first == 0 {
					first = at
				}
				latest = at
			})
			if name == "one cut passes into another" {
				require.Less(t, latest, 9*time.Second, "the cut of the first half ends at 8 s")
				return
			}
			if !test.cutOff {
				require.Zero(t, first)
				return
			}
			require.Greater(t, first, begin)
			require.Less(t, first, begin+2*time.Second)
			require.Less(t, latest, end+700*time.Millisecond)
			require.Greater(t, latest, end-time.Second)
			for _, id := range s.targets {
				require.Equal(t, name != "all, one has ended before" || id != "3", s.ledger.Direct(fleet.Instant(last), id), "target %s", id)
			}
		})
	}
}

// A connection opened before the cut lives on while new ones are refused.
func TestAnswersShowThatHostIsNotCutOff(t *testing.T) {
	var l reach.Ledger
	targets := []fleet.TargetID{"a", "b", "c"}
	for at := fleet.Instant(time.Second); at < fleet.Instant(3*time.Second); at = at.Add(100 * time.Millisecond) {
		for _, id := range targets {
			l.Failed(at, id)
			l.Answered(at.Add(time.Millisecond), id)
		}
		require.False(t, l.CutOff(at.Add(2*time.Millisecond)))
		require.False(t, l.Direct(at.Add(2*time.Millisecond), "a"), "no new connection opens")
	}
}

// A target that stands still for a moment does not answer a poll, but accepts the probe after it.
func TestTargetThatStandsStillIsNotSilent(t *testing.T) {
	var l reach.Ledger
	at := fleet.Instant(time.Second)
	l.Reached(at, "a")
	l.Reached(at, "b")
	l.Failed(at.Add(time.Second), "a")
	require.False(t, l.Silent("a"))
	require.Equal(t, []fleet.TargetID{"a"}, l.Probes(at.Add(time.Second), []fleet.TargetID{"a", "b"}))
	l.Reached(at.Add(time.Second+time.Millisecond), "a")
	require.False(t, l.Silent("a"))
	require.True(t, l.Direct(at.Add(time.Second+time.Millisecond), "a"))
	l.Failed(at.Add(2*time.Second), "a")
	l.Failed(at.Add(3*time.Second), "a")
	require.True(t, l.Silent("a"))
	l.Answered(at.Add(3*time.Second+time.Millisecond), "a")
	require.False(t, l.Silent("a"), "an open connection lives on")
}

func TestEndedTargetIsProbedSeldomAndForgotten(t *testing.T) {
	var l reach.Ledger
	known := []fleet.TargetID{"a", "b", "c", "d"}
	probes := 0
	for at := fleet.Instant(time.Second); at < fleet.Instant(61*time.Second); at = at.Add(50 * time.Millisecond) {
		for range l.Probes(at, known) {
			probes++
			l.Failed(at, "a")
		}
		if probes == 0 {
			l.Failed(at, "a")
		}
	}
	require.Less(t, probes, 75)
	l.Relayed(fleet.Instant(61*time.Second), "a")
	lost, witnessed := l.Lost()
	require.Equal(t, []int{1, 1}, []int{lost, witnessed})
	l.Probes(fleet.Instant(62*time.Second), known[1:])
	require.True(t, l.Direct(fleet.Instant(62*time.Second), "a"))
}
