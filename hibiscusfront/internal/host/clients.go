package host

import (
	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/ingress"
)

// clientCounts are what the host has counted of clients that met its limits.
type clientCounts struct {
	ingress.Counts
	bodiesRefused, stalled int64
}

// countClients returns the sums over all listeners.
func (h *Host) countClients() clientCounts {
	counts := clientCounts{stalled: h.requests.Evicted()}
	for _, l := range h.listeners {
		c := l.Counts()
		counts.Open += c.Open
		counts.Evicted += c.Evicted
		counts.Refused += c.Refused
		counts.HeadsRefused += c.HeadsRefused
	}
	counts.bodiesRefused = h.requests.Refused() - counts.HeadsRefused
	return counts
}

// limitWatch logs when clients begin to meet the limits of the host, and when they no longer do: two
// lines at most for each sweepInterval.
type limitWatch struct {
	last clientCounts
	met  bool
}

// sample compares the counts with those of the last sample.
func (w *limitWatch) sample(h *Host) {
	now := h.countClients()
	before := w.last
	w.last = now
	more := clientCounts{
		Counts:        ingress.Counts{Evicted: now.Evicted - before.Evicted, Refused: now.Refused - before.Refused, HeadsRefused: now.HeadsRefused - before.HeadsRefused},
		bodiesRefused: now.bodiesRefused - before.bodiesRefused, stalled: now.stalled - before.stalled,
	}
	met := more != clientCounts{}
	if met == w.met {
		return
	}
	w.met = met
	event, message := h.log.Info(), "clients no longer meet the limits of this host"
	if met {
		event, message = h.log.Warn(), "clients meet the limits of this host; those that stand still yield, and others are refused or closed"
	}
	event.Int("Connections", now.Open).Int("MaxConnections", h.limits.Connections).
		Int64("BytesHeld", int64(h.requests.Used())).Int64("MaxBytes", int64(h.requests.Limit())).
		Int64("ConnectionsEvicted", more.Evicted).Int64("ConnectionsRefused", more.Refused).
		Int64("HeadsRefused", more.HeadsRefused).Int64("BodiesRefused", more.bodiesRefused).Int64("StalledEvicted", more.stalled).
		Dur("StallTime", holding.StallTime).Msg(message)
}
