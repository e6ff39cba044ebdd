package host

import "hibiscuslb/hibiscusfront/internal/relay"

// newRelays makes what knows the ways to targets.
func (h *Host) newRelays() {
	h.ways = &relay.Ways{Clock: h.clock, View: h.control.View, Pool: &h.pool, Log: h.log}
	h.pool.Ways = h.ways
}
