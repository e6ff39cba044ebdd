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
	"hibiscuslb/hibiscusfront/internal/wire"
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
	gone   map[fleet.TargetID]fleet.Instant // when another host had no way to the target either
	cutOff bool                             // as last logged
	since  fleet.Instant
	tasks  task.Group
}

var _ backend.Ways = (*Ways)(nil)

const (
	// probeInterval is the time between two looks at what is to be probed.
	probeInterval = 50 * time.Millisecond
	// quietRounds is how many looks there are to one while no way is lost.
	quietRounds = 20
	// probeTimeout limits a probe.
	probeTimeout = 400 * time.Millisecond
	// hangTime is how long nothing has come on a connection that is given up once the way to its
	// target is lost. A target that is silent for longer still accepts connections, so its way is not.
	hangTime = 700 * time.Millisecond
	// gone is how long the word of another host that it has no way to a target either holds.
	gone = 500 * time.Millisecond
)

// Reached implements backend.Ways.
func (w *Ways) Reached(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Reached(w.Clock(), target)
	delete(w.gone, target)
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

// relayed records that another host has reached the target.
func (w *Ways) relayed(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Relayed(w.Clock(), target)
	delete(w.gone, target)
}

// witnessed records that another host, which reaches other targets, has no way to the target either.
func (w *Ways) witnessed(target fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone == nil {
		w.gone = make(map[fleet.TargetID]fleet.Instant)
	}
	w.gone[target] = w.Clock()
}

// isGone reports whether no host seems to reach the target.
func (w *Ways) isGone(target fleet.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.gone[target]
	return ok && w.Clock().Sub(at) < gone
}

// Direct reports whether a request should first be sent directly to the target.
func (w *Ways) Direct(target fleet.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Direct(w.Clock(), target)
}

// kept reports whether the way to the target is lost for new connections only.
func (w *Ways) kept(target fleet.TargetID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Kept(target)
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

// sees returns what this host can tell another one of a target to which it has no connection, at the end of
// an attempt that began at the instant: that it has no way to it though it reaches others, that it seems to be
// cut off, or nothing.
func (w *Ways) sees(target fleet.TargetID, began fleet.Instant) wire.RelayResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, since := w.Clock(), began
	if lostAt, lost := w.ledger.LostAt(target); lost {
		since = min(since, lostAt)
	}
	lost, _ := w.ledger.Lost()
	switch {
	case w.ledger.Suspects(now):
		return wire.RelayCutOff
	case w.ledger.Doubtful(now, target):
		return wire.RelayRefused // another host reaches it
	case w.ledger.AnsweredSince(since), lost == 1 && now.Sub(began) < refusedWithin && w.ledger.AnsweredSince(now.Add(-lately)):
		return wire.RelayNoWay
	}
	return wire.RelayRefused // the cut may have begun just now
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
	for round := 0; task.Sleep(ctx, probeInterval); round++ {
		if lost, _ := w.Lost(); lost == 0 && round%quietRounds > 0 && !w.isCutOff() {
			continue
		}
		for target, address := range w.due() {
			w.tasks.Go(ctx, func(ctx context.Context) { w.probe(ctx, target, address) })
		}
		w.Pool.EndHanging(w.hangs)
	}
}

// isCutOff reports whether the host was cut off when this was last looked at.
func (w *Ways) isCutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutOff
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
	for id, at := range w.gone {
		if now.Sub(at) >= gone {
			delete(w.gone, id)
		}
	}
	if cutOff := w.ledger.CutOff(now); cutOff != w.cutOff {
		w.cutOff = cutOff
		lost, witnessed := w.ledger.Lost()
		if cutOff {
			w.since = now
			w.Log.Warn().Int("Lost", lost).Int("ReachedByOthers", witnessed).Int("Targets", len(known)).
				Msg("this host has no way to targets; other hosts are asked to send its requests")
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

// hangs reports whether an exchange with the target on whose connection nothing came for the time is
// to be given up.
func (w *Ways) hangs(target fleet.TargetID, silent time.Duration) bool {
	if silent < hangTime {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Silent(target)
}
