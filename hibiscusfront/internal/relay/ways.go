// Package relay knows from its connections to which targets a host has a way.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/reach"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/view"
)

// Ways are what this host knows of its ways to targets. Set the exported fields before use. It is safe
// for concurrent use.
type Ways struct {
	Clock fleet.Clock
	View  func() *view.View
	Pool  *backend.Pool
	Log   zerolog.Logger

	mu     sync.Mutex
	ledger reach.Ledger
	cutOff bool // as last logged
	since  fleet.Instant
	tasks  task.Group
}

var _ backend.Ways = (*Ways)(nil)

const (
	// probeInterval is the time between two looks at what is to be probed.
	probeInterval = 50 * time.Millisecond
	// probeTimeout limits a probe.
	probeTimeout = 400 * time.Millisecond
)

// Reached implements backend.Ways.
func (w *Ways) Reached(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Reached(w.Clock(), target)
}

// Answered implements backend.Ways.
func (w *Ways) Answered(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Answered(w.Clock(), target)
}

// Failed implements backend.Ways.
func (w *Ways) Failed(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Failed(w.Clock(), target)
}

// Direct reports whether a request should first be sent directly to the target.
func (w *Ways) Direct(target fleet.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Direct(w.Clock(), target)
}

// CutOff reports whether this host has no way to nearly all targets that it tried lately.
func (w *Ways) CutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.CutOff(w.Clock())
}

// Doubtful reports whether what this host meets at the target says nothing of its state: the host
// seems to be cut off, or has lost the way while another host reaches the target.
func (w *Ways) Doubtful(target fleet.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Doubtful(w.Clock(), target)
}

// Lost returns the number of targets without a direct way, and how many of these another host has
// reached since.
func (w *Ways) Lost() (lost, witnessed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Lost()
}

// Run probes lost ways and ends exchanges that hang until the context ends.
func (w *Ways) Run(ctx context.Context) {
	defer w.tasks.Wait()
	for task.Sleep(ctx, probeInterval) {
		for target, address := range w.due() {
			w.tasks.Go(ctx, func(ctx context.Context) { w.probe(ctx, target, address) })
		}
	}
}

// due returns the targets to probe now, and logs whether the host is cut off.
func (w *Ways) due() map[fleet.TargetID]fleet.Address {
	v := w.View()
	known := make([]fleet.TargetID, 0, len(v.Targets))
	for _, t := range v.Targets {
		known = append(known, t.ID)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock()
	due := make(map[fleet.TargetID]fleet.Address)
	for _, id := range w.ledger.Probes(now, known) {
		due[id] = v.Target(id).Address
	}
	if cutOff := w.ledger.CutOff(now); cutOff != w.cutOff {
		w.cutOff = cutOff
		lost, witnessed := w.ledger.Lost()
		if cutOff {
			w.since = now
			w.Log.Warn().Int("Lost", lost).Int("ReachedByOthers", witnessed).Int("Targets", len(known)).
				Msg("this host has no way to targets")
		} else {
			w.Log.Info().Int("Lost", lost).Int("ReachedByOthers", witnessed).Dur("For", now.Sub(w.since)).Msg("this host reaches targets again")
		}
	}
	return due
}

// probe tries a connection to the target.
func (w *Ways) probe(ctx context.Context, target fleet.TargetID, address fleet.Address) {
	conn, err := w.Pool.Open(ctx, address, probeTimeout)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		w.Reached(target)
	case ctx.Err() == nil:
		w.Failed(target)
	}
}
