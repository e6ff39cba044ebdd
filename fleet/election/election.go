// Package election implements lease-based leader election for a duty, a role
// that at most one host may hold at a time, on a single object in the
// platform's object store.
//
// A tenure is the time for which one host holds the duty without interruption.
// Its lease is the part of it that is already secured. Each tenure has an epoch
// of its own.
//
// The object holds a Record. The holder renews it every RenewInterval by a
// compare-and-swap: the object store accepts a write only if it names the object's
// current revision. A host that observes the record unchanged for
// LeaseDuration plus ClockMargin takes the duty over by such a write, with the
// next epoch. The holder measures LeaseDuration from the moment it sent the
// write that succeeded, the others from the moment they observed it, which is
// later. Hence no two hosts hold the duty at the same time.
//
// Instants must come from a clock that advances while the host is suspended.
//
// Orders to targets, which tell an engine to load weights (see package
// weightupdate), need a longer gap: a target counts it as an error if orders of
// two holders arrive within the fleet's lease bound of each other, even if the
// duty was handed over correctly. A holder therefore sets Ordering in the record
// before its first order. The successor of a holder that was ordering waits
// for the bound to pass; the successor of one that was not may order at once.
//
// The object store may come back from a copy, in a new era. The record that it then holds
// was written in an earlier era, and later ones may be lost: it says neither who held the
// duty last nor that it is vacant. A host whose own lease has not ended renews it; all
// others wait until a lease of which they do not know would have ended, counted from when
// they observed the era. Epochs of a later era are higher than those of all earlier ones,
// as engines must not see an epoch of two holders.
//
// The package is used by hibiscusfront; hibiscusd uses packages duty and lease.
//
// The technique is that of Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (1989).
package election

import (
	"cmp"
	"time"

	"hibiscuslb/fleet"
)

const (
	// LeaseDuration is how long a holder may act after it sent its last
	// successful write. It is long enough for several renewals at a slow object
	// store, which answers in a quarter to a third of a second.
	LeaseDuration = 1500 * time.Millisecond
	// RenewInterval is the time between two writes of the holder. It allows
	// three writes in a row to fail before the lease ends.
	RenewInterval = 350 * time.Millisecond
	// OrderDuration is how long a holder may give orders after it sent its
	// last successful write. It is shorter than LeaseDuration because a
	// successor has to wait until the lease bound of the last possible order
	// has passed.
	OrderDuration = 700 * time.Millisecond
	// ClockMargin covers the drift between two clocks, and the time from the
	// holder's last reading of its clock to the sending of its message.
	ClockMargin = 300 * time.Millisecond
	// epochsPerEra is the number of epochs of an era of the object store. The epochs of
	// era 2 begin after 2,000,000,000.
	epochsPerEra fleet.Epoch = 1_000_000_000
	// firstEra is that of an object store that has never come back from a copy.
	firstEra = 1
)

// IsFirst reports whether the epoch is that of the first holder that the duty has had.
func IsFirst(epoch fleet.Epoch) bool { return epoch == 1 || epoch == firstEra*epochsPerEra+1 }

// newer reports whether the record is of a later tenure or renewal than other.
func (r Record) newer(other Record) bool {
	return cmp.Or(cmp.Compare(r.Epoch, other.Epoch), cmp.Compare(r.Renewal, other.Renewal)) > 0
}

// A Duty is one host's view of the duty. The zero value has not read the object store.
type Duty struct {
	Self    fleet.HostID
	Address fleet.Address

	record      Record
	revision    fleet.Revision // of the last observed object; its Number is zero if there is none
	restored    bool           // the object is from a copy, and the duty may be held by a host that it does not name
	known       bool           // whether the object store has been read at all
	observedAt  fleet.Instant  // when the revision was first observed
	leaseEnd    fleet.Instant  // of this host's lease; zero if it has none
	ordersFrom  fleet.Instant  // earliest instant at which this host may give orders
	ordersUntil fleet.Instant  // when this host's right to give orders ends
	orderBound  time.Duration  // minimum time between orders of two holders
	lastRenewal uint64         // Renewal of the last attempted write
}

// A Write is a compare-and-swap of the duty's object.
type Write struct {
	Record   Record
	Expected fleet.Revision // revision that the write replaces; its Number is zero if there must be none
	Sent     fleet.Instant
	orders   bool          // the writer wants to give orders
	takeover bool          // the write begins a tenure
	ordered  bool          // an earlier holder may have given orders
	observed fleet.Instant // when its last write was observed
}

// Wrote reports whether a record in the object store is that of the write. Only the fields that
// identify an attempt count: a host of an earlier build that writes the record for this one drops those that
// it does not know.
func (w *Write) Wrote(found Record) bool {
	r := &w.Record
	return found.Holder == r.Holder && found.Address == r.Address && found.Epoch == r.Epoch && found.Renewal == r.Renewal && found.Era == r.Era
}

// Observe records the object as read from the object store. Revisions that are not
// newer than the last observed one are ignored. A record from a copy does not replace a
// newer one that this host knows.
func (d *Duty) Observe(now fleet.Instant, revision fleet.Revision, record Record) {
	if d.known && !revision.After(d.revision) {
		return
	}
	d.restored = record.Era != revision.Era
	if !d.restored || record.newer(d.record) {
		d.record = record
		if record.Holder != d.Self {
			d.leaseEnd = 0
		}
	}
	d.known, d.revision, d.observedAt = true, revision, now
}

// ObserveAbsent records that the object store has no object for the duty in the era.
func (d *Duty) ObserveAbsent(now fleet.Instant, era uint64) {
	if d.known && era <= d.revision.Era {
		return
	}
	// In a later era than the first, the object may be missing in the copy.
	d.restored = d.known || era > firstEra
	d.known, d.revision, d.observedAt = true, fleet.Revision{Era: era}, now
}

// Holds reports whether this host holds the duty at the given instant. Callers
// must check it immediately before each action that requires the duty.
func (d *Duty) Holds(now fleet.Instant) bool { return d.record.Holder == d.Self && now < d.leaseEnd }

// LeaseEnd returns when this host's lease ends unless it is renewed.
func (d *Duty) LeaseEnd() fleet.Instant { return d.leaseEnd }

// MayOrder reports whether this host may give orders to targets.
func (d *Duty) MayOrder(now fleet.Instant) bool {
	from, until := d.OrderWindow()
	return d.Holds(now) && from <= now && now < until
}

// OrderWindow returns the interval in which this host may give orders, provided
// that it holds the duty.
func (d *Duty) OrderWindow() (from, until fleet.Instant) {
	if !d.record.Ordering || d.leaseEnd == 0 {
		return 0, 0
	}
	return d.ordersFrom, d.ordersUntil
}

// Known reports whether the object store has been read, by this host or by one that told it.
func (d *Duty) Known() bool { return d.known }

// Revision returns the revision of the last observed object.
func (d *Duty) Revision() fleet.Revision { return d.revision }

// Record returns the last observed record.
func (d *Duty) Record() Record { return d.record }

// NextWrite returns the write that renews or acquires the duty, and whether one
// is due. Ordering requests the right to give orders.
func (d *Duty) NextWrite(now fleet.Instant, ordering bool) (Write, bool) {
	if !d.known {
		return Write{}, false
	}
	record := Record{
		Holder: d.Self, Address: d.Address, Epoch: d.record.Epoch, Ordering: ordering,
		Renewal: max(d.record.Renewal, d.lastRenewal) + 1, Era: d.revision.Era, Quarantine: d.record.Quarantine, Versions: d.record.Versions,
		Passes: d.record.Passes, Unknown: d.record.Unknown,
	}
	w := Write{Expected: d.revision, Sent: now, orders: ordering}
	waited := now.Sub(d.observedAt) >= LeaseDuration+ClockMargin
	switch {
	case d.restored && !d.Holds(now) && !waited:
		return Write{}, false
	case d.restored && !d.Holds(now):
		w.takeover, w.ordered = true, true
	case d.record.Holder == d.Self && d.leaseEnd > 0:
		// Renew, even if the lease has ended, since no host has taken over.
		// Ordering is kept until the bound has passed since the last possible order of
		// this host, and until ordersFrom, because the predecessor's orders restrict
		// a successor of this host, too.
		record.Ordering = ordering || d.record.Ordering && now < max(d.ordersFrom, d.ordersUntil.Add(d.orderBound+ClockMargin))
	case d.revision.Number == 0 || d.record.Holder == "" || d.record.Holder == d.Self || waited:
		w.takeover, w.ordered = true, d.record.Ordering
	default:
		return Write{}, false
	}
	if w.takeover {
		record.Epoch, record.Ordering, w.observed = d.nextEpoch(), ordering || w.ordered, d.observedAt
	}
	d.lastRenewal = record.Renewal
	w.Record = record
	return w, true
}

// nextEpoch returns the epoch of the next tenure.
func (d *Duty) nextEpoch() fleet.Epoch {
	return max(d.record.Epoch, fleet.Epoch(d.revision.Era)*epochsPerEra) + 1
}

// WriteSucceeded records that the object store accepted w as the given revision. Bound
// is the minimum time between orders of two holders.
func (d *Duty) WriteSucceeded(now fleet.Instant, w Write, revision fleet.Revision, bound time.Duration) {
	if d.revision.After(revision) {
		return // superseded, or the object store has come back from a copy since
	}
	if w.takeover {
		d.ordersFrom, d.ordersUntil = w.Sent, 0
		if w.ordered {
			// The old holder sent its last order no later than OrderDuration
			// after its last write, which was sent before it was observed.
			d.ordersFrom = w.observed.Add(OrderDuration + bound + ClockMargin)
		}
	}
	d.known, d.revision, d.restored, d.record, d.observedAt = true, revision, false, w.Record, now
	d.leaseEnd, d.orderBound = w.Sent.Add(LeaseDuration), bound
	if w.orders {
		d.ordersUntil = w.Sent.Add(OrderDuration)
	}
}

// ResignWrite returns the write that gives up the duty, and whether this host
// holds it.
func (d *Duty) ResignWrite(now fleet.Instant) (Write, bool) {
	if !d.Holds(now) {
		return Write{}, false
	}
	return Write{
		Record:   Record{Epoch: d.record.Epoch, Renewal: d.record.Renewal + 1, Ordering: d.record.Ordering, Era: d.revision.Era, Quarantine: d.record.Quarantine, Versions: d.record.Versions, Unknown: d.record.Unknown},
		Expected: d.revision, Sent: now,
	}, true
}

// Release ends this host's lease locally. It must be called when the write of
// ResignWrite is sent, whether or not that write succeeds.
func (d *Duty) Release() { d.leaseEnd = 0 }
