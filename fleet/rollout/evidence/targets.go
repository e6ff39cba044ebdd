package evidence

import (
	"time"

	"hibiscuslb/fleet"
)

// A target with suspectBad bad responses, at least one of suspectRate, is suspect
// if that rate is suspectRatio times that of the others.
const suspectBad, suspectRate, suspectRatio = 4, 5, 4

// Targets counts the responses of the targets of the new version.
type Targets map[fleet.TargetID]Tally

// Add counts a response, and returns how many bad ones it is.
func (s Targets) Add(id fleet.TargetID, bad bool) int {
	one := Tally{N: 1}
	if bad {
		one.Bad = 1
	}
	s[id] = s[id].Plus(one)
	return one.Bad
}

// TakeBack takes back bad responses that are no evidence.
func (s Targets) TakeBack(id fleet.TargetID, n int) {
	if n > 0 {
		s[id] = s[id].Minus(Tally{n, n})
	}
}

// Suspect reports whether a target fails by itself: much more often than the others.
func (s Targets) Suspect(id fleet.TargetID) bool {
	t := s[id]
	if t.Bad < suspectBad {
		return false
	}
	var others Tally
	for other, o := range s {
		if other != id {
			others = others.Plus(o)
		}
	}
	return suspectRate*t.Bad >= t.N && others.N > suspectBad && suspectRatio*others.Bad*t.N <= t.Bad*others.N
}

// A Window counts the requests of the last second, from which the load of targets follows.
type Window struct{ times []fleet.Instant }

// Add counts a request.
func (w *Window) Add(now fleet.Instant) {
	w.Count(now)
	w.times = append(w.times, now)
}

// Count returns the number of requests.
func (w *Window) Count(now fleet.Instant) int {
	old := 0
	for old < len(w.times) && now.Sub(w.times[old]) > time.Second {
		old++
	}
	w.times = w.times[old:]
	return len(w.times)
}
