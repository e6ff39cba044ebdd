// Package tenure decides which host holds a duty that one host at a time may
// hold, by one object in the platform's store.
//
// The object holds a Record. The holder writes it anew several times within
// Length; the store accepts a write only from a host that has seen the write
// before. A host that sees the record unchanged for Length and a Margin takes
// the duty over by such a write, with the next epoch. The holder counts Length
// from the moment it sent the write that succeeded, the others from the moment
// they saw it, which is later, so that at no moment two hosts hold the duty.
//
// Instants must come from a clock that goes on while the host is suspended.
//
// Orders to targets need more: targets take turns amiss that come within
// the fleet's lease bound, though the duty has passed on properly. A holder
// therefore writes that it is Ordering before its first order. A successor of
// a holder that was ordering waits for the bound to pass, one of a holder that
// was not orders at once.
//
// The technique is that of Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989).
package tenure

import (
	"time"

	"hibiscuslb/fleet"
)

const (
	// Length is how long a holder acts after it sent its last write. A slow
	// store answers in a quarter of a second.
	LeaseDuration = 1500 * time.Millisecond
	// Renewal is the time between two writes of the holder: three may fail.
	RenewInterval = 350 * time.Millisecond
	// OrderLength is how long a holder gives orders after it sent its last
	// write. A successor has to wait for the end of the last order's bound, so
	// this is shorter than Length.
	OrderDuration = 700 * time.Millisecond
	// Margin covers the difference of two clocks' rates, and the time from
	// the holder's last look at its clock to the moment its message leaves.
	ClockMargin = 300 * time.Millisecond
)

// A Record is the content of the duty's object.
type Record struct {
	Holder   fleet.HostID // empty if the last holder gave the duty up
	Address  fleet.Address
	Epoch    fleet.Epoch
	Renewal  uint64 // grows with each try to write, so that no two are alike
	Ordering bool   // the holder may have given orders to targets
}

// A Duty is one host's view of the duty. The zero value has seen nothing.
type Duty struct {
	Self    fleet.HostID
	Address fleet.Address

	record      Record
	revision    fleet.Version // of the object as last seen; zero if there is none
	known       bool          // whether the store has been read at all
	observedAt  fleet.Instant // when the revision was first seen
	leaseEnd    fleet.Instant // end of the own tenure
	ordersFrom  fleet.Instant // no order before
	lastRenewal uint64        // of the last write that was tried
}

// A Write asks to store a record over the revision that was seen.
type Write struct {
	Record   Record
	Expected fleet.Version
	Sent     fleet.Instant
}

// Seen notes the object as the store has it. An older revision is ignored.
func (d *Duty) Observe(now fleet.Instant, revision fleet.Version, record Record) {
	if d.known && revision <= d.revision {
		return
	}
	d.known, d.revision, d.record, d.observedAt = true, revision, record, now
	if record.Holder != d.Self {
		d.leaseEnd = 0
	}
}

// Missing notes that the store has no object.
func (d *Duty) ObserveAbsent(now fleet.Instant) {
	if !d.known {
		d.known, d.observedAt = true, now
	}
}

// Holds reports whether the host holds the duty at the moment. It is asked
// right before each act.
func (d *Duty) Holds(now fleet.Instant) bool { return d.record.Holder == d.Self && now < d.leaseEnd }

// End is the end of the own tenure, unless it is renewed.
func (d *Duty) LeaseEnd() fleet.Instant { return d.leaseEnd }

// MayOrder reports whether the host may give orders to targets.
func (d *Duty) MayOrder(now fleet.Instant) bool {
	from, until := d.OrderWindow()
	return d.Holds(now) && from <= now && now < until
}

// Orders is the span in which the host may give orders, as long as it holds the
// duty.
func (d *Duty) OrderWindow() (from, until fleet.Instant) {
	if !d.record.Ordering || d.leaseEnd == 0 {
		return 0, 0
	}
	return d.ordersFrom, d.leaseEnd.Add(OrderDuration - LeaseDuration)
}

// Revision is the revision of the duty's object as last seen.
func (d *Duty) Revision() fleet.Version { return d.revision }

// Holder returns the record as last seen.
func (d *Duty) Record() Record { return d.record }

// Due returns the write that is due, if any. Ordering asks for the right to
// give orders.
func (d *Duty) NextWrite(now fleet.Instant, ordering bool) (Write, bool) {
	if !d.known {
		return Write{}, false
	}
	record := Record{
		Holder: d.Self, Address: d.Address, Epoch: d.record.Epoch, Ordering: ordering,
		Renewal: max(d.record.Renewal, d.lastRenewal) + 1,
	}
	switch {
	case d.record.Holder == d.Self && d.leaseEnd > 0:
		// A holder that was late and has not been replaced goes on.
		record.Ordering = ordering || d.record.Ordering && now < d.ordersFrom
	case d.revision == 0 || d.record.Holder == "" || d.record.Holder == d.Self || now.Sub(d.observedAt) >= LeaseDuration+ClockMargin:
		record.Epoch++
	default:
		return Write{}, false
	}
	d.lastRenewal = record.Renewal
	return Write{Record: record, Expected: d.revision, Sent: now}, true
}

// Written notes that the write succeeded with the revision. Bound is the
// shortest time between orders of two holders.
func (d *Duty) WriteSucceeded(now fleet.Instant, w Write, revision fleet.Version, bound time.Duration) {
	if w.Record.Epoch != d.record.Epoch {
		d.ordersFrom = w.Sent
		if d.record.Ordering && d.record.Holder != d.Self {
			// The last order left before the old holder's write had been
			// seen here for longer than it may order.
			d.ordersFrom = d.observedAt.Add(OrderDuration + bound + ClockMargin)
		}
	}
	d.known, d.revision, d.record, d.observedAt = true, revision, w.Record, now
	d.leaseEnd = w.Sent.Add(LeaseDuration)
}

// Resign returns the write that gives the duty up, if the host holds it.
func (d *Duty) ResignWrite(now fleet.Instant) (Write, bool) {
	if !d.Holds(now) {
		return Write{}, false
	}
	return Write{
		Record:   Record{Epoch: d.record.Epoch, Renewal: d.record.Renewal + 1, Ordering: d.record.Ordering},
		Expected: d.revision, Sent: now,
	}, true
}

// Resigned notes that the duty is given up. The host holds it no more from the
// moment that the write was sent, whatever became of it.
func (d *Duty) Release() { d.leaseEnd = 0 }
