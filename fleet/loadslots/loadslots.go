// Package loadslots bounds how many targets load weights at once.
//
// The holder of duty.WeightLoading grants slots. A slot ends when it is released, or
// after SlotTimeout, which is longer than any load. A new holder does not know which
// slots its predecessor has granted, so it grants none until SlotTimeout has passed.
//
// Invariants: at most MaxLoads slots are granted at a time, over all holders; and
// at most a third of a model's targets, but always at least one, load at once, so
// that the others serve.
//
// The package is used by hibiscusd; hibiscusfront uses package weightupdate.
package loadslots

import (
	"time"

	"hibiscuslb/fleet"
)

const (
	// MaxLoads is how many loads can run at once without slowing each other.
	MaxLoads = 3
	// SlotTimeout bounds one load.
	SlotTimeout = 15 * time.Second
	// modelDivisor limits parallel loads to one in this many of a model's
	// targets.
	modelDivisor = 3
)

type slot struct {
	model fleet.ModelID
	until fleet.Instant
}

// Slots tracks the slots granted by one holder of duty.WeightLoading. The zero value
// grants slots immediately.
type Slots struct {
	GrantsFrom fleet.Instant // earliest instant at which slots are granted; set by TakeOver
	granted    map[fleet.TargetID]slot
}

// TakeOver initializes s for a holder that succeeds another one.
func (s *Slots) TakeOver(now fleet.Instant) {
	s.GrantsFrom = now.Add(SlotTimeout)
	s.granted = nil
}

// Grant grants the target a slot if one is free, and reports whether the target now
// has one. targets is the number of targets of the model.
func (s *Slots) Grant(now fleet.Instant, target fleet.TargetID, model fleet.ModelID, targets int) bool {
	if now < s.GrantsFrom {
		return false
	}
	ofModel := 0
	for id, granted := range s.granted {
		if now >= granted.until {
			delete(s.granted, id)
			continue
		}
		if granted.model == model {
			ofModel++
		}
	}
	if _, has := s.granted[target]; has {
		return true
	}
	if len(s.granted) >= MaxLoads || ofModel >= max(1, targets/modelDivisor) {
		return false
	}
	if s.granted == nil {
		s.granted = make(map[fleet.TargetID]slot)
	}
	s.granted[target] = slot{model, now.Add(SlotTimeout)}
	return true
}

// Release frees the target's slot.
func (s *Slots) Release(target fleet.TargetID) { delete(s.granted, target) }
