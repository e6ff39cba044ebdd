package rollout

import (
	"slices"
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
	// Barred are the versions of earlier orders that did not replace the old one. They get nothing
	// while the service has other targets.
	Barred []fleet.Software `json:",omitempty"`
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

// maxBarred bounds the barred versions; the targets of earlier ones are gone.
const maxBarred = 8

// barredUnder returns the versions that are barred under an order to a version that follows the record.
func (r Record) barredUnder(to fleet.Software) []fleet.Software {
	list := slices.Clone(r.Barred)
	if r.Stage != Completed {
		list = append(list, r.Order.To)
	}
	list = slices.DeleteFunc(list, func(s fleet.Software) bool { return s == to })
	return list[max(0, len(list)-maxBarred):]
}

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

// barred returns the versions of earlier orders that are barred.
func (k Known) barred() []fleet.Software {
	switch {
	case k.Record == nil:
		return nil
	case k.Order == nil || k.Record.Order == *k.Order:
		return k.Record.Barred
	}
	return k.Record.barredUnder(k.Order.To)
}

// A Has reports whether there are usable targets of some version for which the condition holds.
type Has func(condition func(fleet.Software) bool) bool

// established returns the condition of a version that is neither the ordered one nor barred.
func established(to fleet.Software, barred []fleet.Software) func(fleet.Software) bool {
	return func(s fleet.Software) bool { return s != to && !slices.Contains(barred, s) }
}

// barredWhile returns the barred versions if other targets can serve in the stage, or nil.
func barredWhile(stage Stage, to fleet.Software, barred []fleet.Software, has Has) []fleet.Software {
	if len(barred) == 0 || has(established(to, barred)) || stage != RolledBack && has(func(s fleet.Software) bool { return s == to }) {
		return barred
	}
	return nil
}

// Barred returns the versions of earlier orders that must get no new request or stream now.
func (k Known) Barred(has Has) []fleet.Software {
	record, _, _ := k.state()
	return barredWhile(record.Stage, record.Order.To, k.barred(), has)
}

// Excludes reports whether a target of the software must not get a new request from a host that
// decides without the planner.
func (k Known) Excludes(software fleet.Software, has Has) bool {
	record, ordered, found := k.state()
	if !found {
		return false
	}
	if slices.Contains(k.Barred(has), software) {
		return true
	}
	to, isNew := record.Order.To, software == record.Order.To
	switch record.Stage {
	case Promoted, Completed:
		return ordered && !isNew && has(func(s fleet.Software) bool { return s == to })
	case RolledBack:
		return isNew && (ordered || has(func(s fleet.Software) bool { return s != to }))
	}
	// An order that has not begun is completed at once if there is nothing else to send requests to.
	begun := !ordered || k.Record != nil && k.Record.Of(*k.Order)
	return isNew && (begun || has(established(to, k.barred())))
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
