package control

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// orderGrace is how long an order that a copy of the store lacks, or holds in an earlier form, is
// still obeyed: its writer may write it again.
const orderGrace = evacuationGrace

// rollouts holds the orders of roll-outs and the planner's records of them. The zero value is
// empty.
type rollouts struct {
	orders  map[route.ServiceID]rolloutOrder
	records map[route.ServiceID]rolloutRecord
	// Eras of the store from which the orders and the records were read; zero before the first.
	ordersEra, recordsEra uint64
	lost                  map[route.ServiceID]lostOrder // orders that a copy of the store lacks
}

// rolloutOrder is an order and when this host learned of it.
type rolloutOrder struct {
	object platform.Object
	platform.Rollout
	since fleet.Instant
}

// lostOrder is an order that is obeyed until an instant.
type lostOrder struct {
	rolloutOrder
	until fleet.Instant
}

// rolloutRecord is the newest record of a service, and the revision of the object that the store
// holds.
type rolloutRecord struct {
	rollout.Record
	revision fleet.Revision
}

// applyOrders replaces the orders by those of the store in an era. An object that can't be decoded
// leaves the order of its name as it is.
func (r *rollouts) applyOrders(now fleet.Instant, era uint64, objects []platform.Object, malformed func(platform.Object, error)) {
	restored := r.ordersEra > 0 && era > r.ordersEra
	r.ordersEra = era
	before := r.orders
	r.orders = make(map[route.ServiceID]rolloutOrder, len(objects))
	for _, o := range objects {
		id := route.ServiceID(o.Name)
		known, ok := before[id]
		decoded, err := platform.DecodeRollout(o)
		switch {
		case err != nil:
			malformed(o, err)
			if ok {
				r.orders[id] = known
			}
			continue
		case !ok || known.Order != decoded.Order:
			known.since = now
		}
		r.orders[id] = rolloutOrder{o, decoded, known.since}
	}
	if restored {
		r.lost = make(map[route.ServiceID]lostOrder)
		for id, known := range before {
			if current, ok := r.orders[id]; !ok || current.Order != known.Order {
				r.lost[id] = lostOrder{known, now.Add(orderGrace)}
			}
		}
	}
	for id, l := range r.lost {
		if current, ok := r.orders[id]; ok && current.Order == l.Order {
			current.since = l.since
			r.orders[id] = current
			delete(r.lost, id)
		}
	}
}

// expire drops lost orders whose time is over, and reports whether it dropped any.
func (r *rollouts) expire(now fleet.Instant) bool {
	dropped := false
	for id, l := range r.lost {
		if now >= l.until {
			delete(r.lost, id)
			dropped = true
		}
	}
	return dropped
}

// applyRecords applies the records of the store in an era. A record that a copy of the store
// lacks, or holds in an earlier form, stays known: the planner writes it again.
func (r *rollouts) applyRecords(era uint64, objects []platform.Object, malformed func(platform.Object, error)) {
	restored := r.recordsEra > 0 && era > r.recordsEra
	r.recordsEra = era
	before := r.records
	r.records = make(map[route.ServiceID]rolloutRecord, len(objects))
	for _, o := range objects {
		record, err := platform.DecodeRolloutRecord(o)
		if err != nil {
			malformed(o, err)
			continue
		}
		r.records[route.ServiceID(o.Name)] = rolloutRecord{record, o.Revision}
	}
	for id, known := range before {
		current, ok := r.records[id]
		switch {
		case !ok:
			r.records[id] = rolloutRecord{known.Record, fleet.Revision{Era: era}}
		case known.Newer(current.Record), restored && known.Order != current.Order:
			r.records[id] = rolloutRecord{known.Record, current.revision}
		}
	}
}

// list returns what is known of the roll-outs.
func (r *rollouts) list() map[route.ServiceID]view.Rollout {
	result := make(map[route.ServiceID]view.Rollout)
	for id, record := range r.records {
		result[id] = view.Rollout{Known: rollout.Known{Record: &record.Record, Revision: record.revision}}
	}
	add := func(id route.ServiceID, o rolloutOrder) {
		v, recorded := result[id]
		if !recorded {
			v.Revision = fleet.Revision{Era: r.recordsEra}
		}
		v.Order, v.Since, v.Object, v.Status = &o.Order, o.since, o.object, o.Status
		if !recorded && o.Status.To == o.Order.To {
			switch o.Status.State {
			case platform.RolloutCompleted:
				v.Settled, v.Final = true, rollout.Completed
			case platform.RolloutRolledBack:
				v.Settled, v.Final = true, rollout.RolledBack
			}
		}
		result[id] = v
	}
	for id, o := range r.orders {
		add(id, o)
	}
	for id, l := range r.lost {
		add(id, l.rolloutOrder)
	}
	return result
}

// applyRollouts applies the objects of one of the kinds of roll-outs.
func (c *Control) applyRollouts(now fleet.Instant, kind string) {
	replica := c.replicas[kind]
	var objects []platform.Object
	replica.ForEach(func(o platform.Object) { objects = append(objects, o) })
	era := replica.Revision().Era
	if kind == platform.KindRolloutStates {
		c.rollouts.applyRecords(era, objects, c.logMalformed)
		return
	}
	c.rollouts.applyOrders(now, era, objects, c.logMalformed)
	for id, o := range c.rollouts.orders {
		c.Log.Info().Str("Service", string(id)).Str("To", string(o.Order.To)).Dur("Duration", o.Order.Duration).Str("Status", string(o.Status.State)).
			Uint64("Revision", uint64(o.object.Revision.Number)).Dur("KnownFor", now.Sub(o.since).Round(time.Millisecond)).Msg("order of a roll-out")
	}
}
