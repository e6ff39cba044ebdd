package plan

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/wave"
)

// A LoadOrder tells an engine to load a model's weights.
type LoadOrder struct {
	wave.Order
	Model   fleet.ModelID
	Address fleet.Address
}

// HasOutdatedEngines reports whether an engine has older weights than named, so that
// orders will be due.
func (f *Fleet) HasOutdatedEngines() bool {
	for id, m := range f.models {
		if wave.NeedsRollout(f.engines(id, 0), m.version) {
			return true
		}
	}
	return false
}

// DueOrders returns the orders that are due. MayOrder tells whether this host may
// give orders now.
func (f *Fleet) DueOrders(now fleet.Instant, mayOrder bool) []LoadOrder {
	var orders []LoadOrder
	for id, m := range f.models {
		for _, o := range m.rollout.Step(now, m.version, f.engines(id, now), mayOrder) {
			orders = append(orders, LoadOrder{Order: o, Model: id, Address: f.targets[o.Target].Address})
		}
	}
	slices.SortFunc(orders, func(a, b LoadOrder) int { return cmp.Compare(a.Target, b.Target) })
	return orders
}

// engines returns the engines of a model.
func (f *Fleet) engines(id fleet.ModelID, now fleet.Instant) []wave.Engine {
	var result []wave.Engine
	for _, t := range f.targets {
		version := t.version(id)
		if version == 0 || t.Leaving {
			continue
		}
		result = append(result, wave.Engine{
			ID: t.ID, Version: version, OrdersAccepted: t.orders, InFlight: t.flights, CachedTokens: t.cache.tokens,
			Usable: !t.silent && now >= t.downTill && t.ordersKnown,
		})
	}
	slices.SortFunc(result, func(a, b wave.Engine) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// RecordOrderResult notes the answer to an order.
func (f *Fleet) RecordOrderResult(now fleet.Instant, order LoadOrder, result wave.Result) {
	doubt := f.model(order.Model).rollout.RecordResult(now, order.Target, result)
	t, ok := f.targets[order.Target]
	if !ok {
		return
	}
	switch {
	case result == wave.Accepted:
		t.orders = max(t.orders, order.Accepted+1)
		t.cache.clear(t) // the load discards it
	case result == wave.AlreadyLoaded:
		f.RecordLoaded(order.Target, order.Model, order.Version, order.Accepted)
	case doubt:
		t.ordersKnown, t.ordersAsked = false, now.Add(doubtPause-askPause)
	}
}

const (
	// askPause is the pause after which an engine that has not reported is
	// asked again.
	askPause = 400 * time.Millisecond
	// doubtPause is the pause before an engine reports on an order in doubt:
	// its reports are a few hundred milliseconds old.
	doubtPause = 300 * time.Millisecond
)

// RecordLoaded notes that an engine has weights, ahead of its own entry.
func (f *Fleet) RecordLoaded(id fleet.TargetID, model fleet.ModelID, version, orders uint64) {
	t, ok := f.targets[id]
	if !ok {
		return
	}
	if t.loaded == nil {
		t.loaded = make(map[fleet.ModelID]uint64)
	}
	t.loaded[model] = max(t.loaded[model], version)
	t.orders, t.ordersKnown = max(t.orders, orders), true
}

// EnginesToQuery returns the engines that should be asked for their state: those whose
// load takes long, and those that need an order while it is not known how many
// they have accepted.
func (f *Fleet) EnginesToQuery(now fleet.Instant) map[fleet.TargetID]fleet.Address {
	result := make(map[fleet.TargetID]fleet.Address)
	for id, m := range f.models {
		for _, overdue := range m.rollout.StartStateQueries(now) {
			if t, ok := f.targets[overdue]; ok {
				result[t.ID] = t.Address
			}
		}
		for _, t := range f.targets {
			if v := t.version(id); v == 0 || v >= m.version || t.ordersKnown || now.Sub(t.ordersAsked) < askPause {
				continue
			}
			t.ordersAsked = now
			result[t.ID] = t.Address
		}
	}
	return result
}
