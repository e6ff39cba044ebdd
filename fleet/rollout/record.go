package rollout

import (
	"time"

	"hibiscuslb/fleet"
)

// A Record is what a successor of the planner needs. It is written before it takes effect.
type Record struct {
	Order    Order
	Epoch    fleet.Epoch // of the planner that wrote it
	Sequence uint64      // of the records of the order
	Stage    Stage
	Reserved int           // exposure that may have been used
	Seen     int           // requests that reached the service
	Bad      int           // bad responses of the new version
	Elapsed  time.Duration // since the order
	Reason   string        // of the stage
}

// Newer reports whether the record follows the other one. The records of two orders have no
// order.
func (r Record) Newer(other Record) bool {
	return r.Order == other.Order && r.Sequence > other.Sequence
}

// Excludes reports whether a target of the software must not get a request from a host that
// decides without the planner. Others tells whether the roster has usable targets of a version on
// the other side of the order; a version that is alone is excluded only while it is on trial.
func (r Record) Excludes(software fleet.Software, ordered, others bool) bool {
	isNew := software == r.Order.To
	switch r.Stage {
	case Promoted:
		return false
	case Completed:
		return ordered && !isNew && others
	case RolledBack:
		return isNew && (ordered || others)
	default:
		return isNew
	}
}
