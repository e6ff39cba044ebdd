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
	// Withdrawn is set if the order was deleted, so that another one like it is a new order.
	Withdrawn bool
}

// Newer reports whether the record follows the other one. The records of two orders have no
// order.
func (r Record) Newer(other Record) bool {
	return r.Order == other.Order && r.Sequence > other.Sequence
}

// Of reports whether the record is that of the order.
func (r Record) Of(order Order) bool { return r.Order == order && !r.Withdrawn }

// Known is what a host knows of the roll-out of a service from the object store.
type Known struct {
	Order *Order        // nil if it was deleted
	Since fleet.Instant // when the host learned of the order
	// Settled is set if the order's status says that it has ended in the stage Final, and
	// there is no record of it.
	Settled bool
	Final   Stage
	Record  *Record // nil if there is none
	// Revision is that of the object that holds a record. Its Number is zero if there is none.
	Revision fleet.Revision
}

// state returns the record that is in effect. It reports false if there is no roll-out.
func (k Known) state() (record Record, ordered, found bool) {
	switch {
	case k.Order == nil && k.Record == nil:
		return Record{}, false, false
	case k.Order == nil:
		return *k.Record, false, true
	case k.Record != nil && k.Record.Of(*k.Order):
		return *k.Record, true, true
	case k.Settled:
		return Record{Order: *k.Order, Stage: k.Final}, true, true
	}
	return Record{Order: *k.Order}, true, true
}

// Excludes reports whether a target of the software must not get a new request from a host that
// decides without the planner. Others reports whether there are usable targets of the
// ordered version, or of others if isNew is false.
func (k Known) Excludes(software fleet.Software, others func(to fleet.Software, isNew bool) bool) bool {
	record, ordered, found := k.state()
	if !found {
		return false
	}
	to, isNew := record.Order.To, software == record.Order.To
	switch record.Stage {
	case Promoted, Completed:
		return ordered && !isNew && others(to, true)
	case RolledBack:
		return isNew && (ordered || others(to, false))
	default:
		return isNew
	}
}

// To returns the version that was ordered. It reports false if there is no roll-out.
func (k Known) To() (fleet.Software, bool) {
	record, _, found := k.state()
	return record.Order.To, found
}

// New reports whether the software is the version that was ordered.
func (k Known) New(software fleet.Software) bool {
	to, found := k.To()
	return found && software == to
}
