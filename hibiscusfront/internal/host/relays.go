package host

import (
	"hibiscuslb/hibiscusfront/internal/relay"
)

// newRelays makes the parts by which hosts send requests for each other.
func (h *Host) newRelays() {
	h.ways = &relay.Ways{Clock: h.clock, View: h.control.View, Pool: &h.pool, Log: h.log}
	h.pool.Ways = h.ways
	h.sender = &relay.Sender{
		Host: h.settings.Host, DataCentre: h.settings.DataCentre, View: h.control.View, Pool: &h.pool, Peers: &h.peers, Ways: h.ways, Meter: h.meter,
		Requests: &h.requests, Answers: &h.answers,
	}
	h.relays = &relay.Server{
		View: h.control.View, Chooser: h.chooser, Pool: &h.pool, Ways: h.ways, Meter: h.meter, Budget: &h.requests, Leaving: h.departure.Leaving,
	}
	h.gateway.Sender, h.planner.Ways = h.sender, h.ways
}
