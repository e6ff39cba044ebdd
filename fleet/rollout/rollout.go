// Package rollout bounds how many targets load weights at once.
//
// The holder of the weights duty hands out slots. A slot ends when its user
// says so, or after SlotTime, which is longer than any load. A holder that
// takes over does not know what its predecessor has handed out, and waits for
// SlotTime before it hands out any.
//
// Invariants: no more than Limit slots are out at a time, over all holders;
// and of one model's targets at most a third load at once, so that the others
// serve, but always one can.
package rollout

import (
	"time"

	"hibiscuslb/fleet"
)

const (
	// Limit is how many loads may go on at once without slowing each other.
	MaxLoads = 3
	// SlotTime bounds one load.
	SlotTimeout = 15 * time.Second
	// modelShare is the part of a model's targets that may load at once.
	modelShare = 3
)

type slot struct {
	model fleet.ModelID
	until fleet.Instant
}

// Slots is the state of the weights duty. The zero value hands out slots from
// the start of the clock on.
type Slots struct {
	GrantsFrom fleet.Instant // no slots before, set by a successor
	granted    map[fleet.TargetID]slot
}

// TakeOver starts as the successor of another holder.
func (s *Slots) TakeOver(now fleet.Instant) {
	s.GrantsFrom = now.Add(SlotTimeout)
	s.granted = nil
}

// Grant hands a slot to a target of a model that has so many targets, if one
// is free. A target that has a slot keeps it.
func (s *Slots) Grant(now fleet.Instant, target fleet.TargetID, model fleet.ModelID, targets int) bool {
	if now < s.GrantsFrom {
		return false
	}
	ofModel := 0
	for id, used := range s.granted {
		if now >= used.until {
			delete(s.granted, id)
			continue
		}
		if used.model == model {
			ofModel++
		}
	}
	if _, has := s.granted[target]; has {
		return true
	}
	if len(s.granted) >= MaxLoads || ofModel >= max(1, targets/modelShare) {
		return false
	}
	if s.granted == nil {
		s.granted = make(map[fleet.TargetID]slot)
	}
	s.granted[target] = slot{model, now.Add(SlotTimeout)}
	return true
}

// Over takes a slot back.
func (s *Slots) Release(target fleet.TargetID) { delete(s.granted, target) }
