package control

import (
	"time"

	"hibiscuslb/fleet"
)

// evacuationGrace is how long an evacuation that a copy of the store lacks is still obeyed.
// It is longer than operators and targets take to write their entries again.
const evacuationGrace = 5 * time.Second

// evacuations holds the data centres to whose targets nothing is to be sent. The zero value
// is empty.
type evacuations struct {
	era    uint64                               // of the store from which the entries were read; zero before the first
	listed map[fleet.DataCentreID]bool          // as read
	lost   map[fleet.DataCentreID]fleet.Instant // evacuations that a copy of the store lacks, and until when they are obeyed
}

// apply replaces the entries by those of the store in an era. An evacuation that was in
// force when the store came back from a copy stays so until it is written again or its time
// is over: the operator has not taken it back.
func (e *evacuations) apply(now fleet.Instant, era uint64, listed map[fleet.DataCentreID]bool) {
	if e.era > 0 && era > e.era {
		for id := range e.list() {
			if e.lost == nil {
				e.lost = make(map[fleet.DataCentreID]fleet.Instant)
			}
			e.lost[id] = now.Add(evacuationGrace)
		}
	}
	e.era, e.listed = era, listed
	for id := range listed {
		delete(e.lost, id)
	}
}

// expire drops lost evacuations whose time is over, and reports whether it dropped any.
func (e *evacuations) expire(now fleet.Instant) bool {
	dropped := false
	for id, end := range e.lost {
		if now >= end {
			delete(e.lost, id)
			dropped = true
		}
	}
	return dropped
}

// list returns the evacuations that are in force.
func (e *evacuations) list() map[fleet.DataCentreID]bool {
	result := make(map[fleet.DataCentreID]bool, len(e.listed)+len(e.lost))
	for id := range e.listed {
		result[id] = true
	}
	for id := range e.lost {
		result[id] = true
	}
	return result
}
