package plan

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/weightupdate"
)

// An AddressedOrder is a load order with the model and the address of its engine.
type AddressedOrder struct {
	weightupdate.LoadOrder
	Model   fleet.ModelID
	Address fleet.Address
}

// HasOutdatedEngines reports whether an engine has older weights than announced, so
// that load orders will be due.
func (f *Fleet) HasOutdatedEngines() bool {
	for id, m := range f.models {
		if weightupdate.NeedsUpdate(f.engineStates(id, 0), m.version) {
			return true
		}
	}
	return false
}

// DueOrders advances the updates of all models and returns the load orders that are
// due. MayOrder tells whether this host may send orders now.
func (f *Fleet) DueOrders(now fleet.Instant, mayOrder bool) []AddressedOrder {
	var orders []AddressedOrder
	for id, m := range f.models {
		for _, o := range m.update.Step(now, m.version, f.engineStates(id, now), mayOrder) {
			orders = append(orders, AddressedOrder{LoadOrder: o, Model: id, Address: f.targets[o.Target].Address})
		}
	}
	slices.SortFunc(orders, func(a, b AddressedOrder) int { return cmp.Compare(a.Target, b.Target) })
	return orders
}

// engineStates returns the states of a model's engines, except those that are leaving.
func (f *Fleet) engineStates(id fleet.ModelID, now fleet.Instant) []weightupdate.Engine {
	var result []weightupdate.Engine
	for _, t := range f.targets {
		version := t.version(id)
		if version == 0 || t.leaves() {
			continue
		}
		result = append(result, weightupdate.Engine{
			ID: t.ID, Version: version, OrdersAccepted: t.acceptedOrders, InFlight: t.activeGrants, CachedTokens: t.cache.tokens,
			Usable: !t.unresponsive && now >= t.pausedUntil && t.ordersKnown,
		})
	}
	slices.SortFunc(result, func(a, b weightupdate.Engine) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// RecordOrderResult records the result of a load order.
func (f *Fleet) RecordOrderResult(now fleet.Instant, order AddressedOrder, result weightupdate.Result) {
	ordersUnknown := f.model(order.Model).update.RecordResult(now, order.Target, result)
	t, ok := f.targets[order.Target]
	if !ok {
		return
	}
	switch {
	case result == weightupdate.Accepted:
		t.acceptedOrders = max(t.acceptedOrders, order.Accepted+1)
		t.cache.clear(t) // the load discards the cache
	case result == weightupdate.AlreadyLoaded:
		f.RecordLoaded(order.Target, order.Model, order.Version, order.Accepted)
	case ordersUnknown:
		t.ordersKnown, t.queryPauseStart = false, now.Add(unresolvedOrderDelay-queryInterval)
	}
}

const (
	// queryInterval is the time after which an engine that has not reported
	// its state is queried again.
	queryInterval = 400 * time.Millisecond
	// unresolvedOrderDelay is the time before an engine is queried for its state
	// after an order that it refused or did not answer: its reports may be a
	// few hundred milliseconds old.
	unresolvedOrderDelay = 300 * time.Millisecond
)

// RecordLoaded records that an engine has loaded weights and how many orders it has
// accepted, before its roster entry shows it.
func (f *Fleet) RecordLoaded(id fleet.TargetID, model fleet.ModelID, version, orders uint64) {
	t, ok := f.targets[id]
	if !ok {
		return
	}
	if t.loadedVersions == nil {
		t.loadedVersions = make(map[fleet.ModelID]uint64)
	}
	t.loadedVersions[model] = max(t.loadedVersions[model], version)
	t.acceptedOrders, t.ordersKnown = max(t.acceptedOrders, orders), true
}

// EnginesToQuery returns the engines to query for their state now, and records that
// they were queried: those whose load takes long, and those that need an order while
// the number of orders that they have accepted is not known.
func (f *Fleet) EnginesToQuery(now fleet.Instant) map[fleet.TargetID]fleet.Address {
	result := make(map[fleet.TargetID]fleet.Address)
	for id, m := range f.models {
		for _, overdue := range m.update.StartStateQueries(now) {
			if t, ok := f.targets[overdue]; ok {
				result[t.ID] = t.Address
			}
		}
		for _, t := range f.targets {
			if v := t.version(id); v == 0 || v >= m.version || t.ordersKnown || now.Sub(t.queryPauseStart) < queryInterval {
				continue
			}
			t.queryPauseStart = now
			result[t.ID] = t.Address
		}
	}
	return result
}

// canStartRun reports whether the engine may start a run of the model: it is not
// loading weights, and a run may still start on the weights that it has.
func (f *Fleet) canStartRun(now fleet.Instant, t *target, id fleet.ModelID) bool {
	m, version := f.model(id), t.version(id)
	return version > 0 && m.update.Serves(now, t.ID) && m.announced.Allows(now, version, f.WeightsBound)
}

// startsInTime reports whether the run is expected to start while it may on the weights that the
// engine has: a request that waits at a busy engine may start long after it was sent.
func (f *Fleet) startsInTime(now fleet.Instant, c *candidate, req *Request) bool {
	id := req.modelID()
	if id == "" || f.WeightsBound == 0 {
		return true
	}
	start := now.Add(c.firstPiece + f.hiddenWait(now, c.target))
	return f.model(id).announced.Allows(start, c.target.version(id), f.WeightsBound)
}
