package lease

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// A Holder is one process's knowledge of its own lease. It belongs to the
// control goroutine; Until is what other goroutines check.
type Holder struct {
	Timing Timing
	Self   MemberID

	version fleet.Version // of the member object as last confirmed
	panel   Panel
	pending []Panel // of writes in doubt, all conditional on version
	grants  map[MemberID]fleet.Instant
	renewed fleet.Instant // the renewal runs until then
	number  uint64
	sent    map[uint64]fleet.Instant
	ended   bool
}

// Version returns the version of the member object that the holder knows.
func (h *Holder) Version() fleet.Version { return h.version }

// Panel returns the confirmed panel.
func (h *Holder) Panel() Panel { return h.panel }

// NextHeartbeat returns the next heartbeat, to be sent to all of the panel at now.
func (h *Holder) NextHeartbeat(now fleet.Instant) Heartbeat {
	h.number++
	if h.sent == nil {
		h.sent = make(map[uint64]fleet.Instant)
	}
	h.sent[h.number] = now
	for number, at := range h.sent {
		if now.Sub(at) > h.Timing.Length {
			delete(h.sent, number)
		}
	}
	return Heartbeat{Seat: h.Self, Version: h.version, Number: h.number}
}

// RecordGrant takes a grant. It runs from the moment its beat was sent.
func (h *Holder) RecordGrant(grant Grant) {
	sent, ok := h.sent[grant.Number]
	if !ok || !grant.Granted {
		return
	}
	if h.grants == nil {
		h.grants = make(map[MemberID]fleet.Instant)
	}
	until := sent.Add(h.Timing.Length)
	h.grants[grant.From] = max(h.grants[grant.From], until)
}

// BeginWrite notes that a write of the member object is under way, conditional on
// the version that the holder knows. Until it is settled, the holder needs a
// quorum of both panels.
func (h *Holder) BeginWrite(panel Panel) {
	h.pending = append(h.pending, slices.Clone(panel))
}

// ConfirmWrite notes that a write that was sent at the given moment has provably
// taken effect, which also renews the lease. Other writes that were in doubt
// were conditional on an earlier version and have no effect any more.
func (h *Holder) ConfirmWrite(sent fleet.Instant, version fleet.Version, member *Member) {
	h.Observe(version, member)
	if member.Serves() {
		h.renewed = max(h.renewed, sent.Add(h.Timing.Length))
	}
}

// Observe takes a state of the member object that was read or watched. A version
// that is newer than the known one settles all writes in doubt: they are part
// of it or can have no effect any more.
func (h *Holder) Observe(version fleet.Version, member *Member) {
	if version <= h.version {
		return
	}
	if member.Incarnation != h.Self.Incarnation || member.State == Ended {
		h.ended = true
		return
	}
	h.version = version
	h.panel = slices.Clone(member.Panel)
	h.pending = nil
}

// Ended reports whether the holder's incarnation is over for good.
func (h *Holder) Ended() bool { return h.ended }

// InDoubt reports whether a write of the member object is not settled.
func (h *Holder) InDoubt() bool { return len(h.pending) > 0 }

// ValidUntil returns the moment up to which the holder may act. A result in the
// past says that it may not.
func (h *Holder) ValidUntil() fleet.Instant {
	if h.ended {
		return 0
	}
	byPanel := h.quorumUntil(h.panel)
	for _, panel := range h.pending {
		byPanel = min(byPanel, h.quorumUntil(panel))
	}
	return max(byPanel, h.renewed)
}

// MayAct reports whether the holder may act at the moment.
func (h *Holder) MayAct(now fleet.Instant) bool { return now < h.ValidUntil() }

// NeedsRenewal reports whether the panel's grants run out so soon that the
// holder should renew its lease in the platform.
func (h *Holder) NeedsRenewal(now fleet.Instant) bool {
	return !h.ended && h.ValidUntil().Sub(now) < h.Timing.Length/2
}

// quorumUntil returns how long a quorum of the panel's grants run together.
func (h *Holder) quorumUntil(panel Panel) fleet.Instant {
	need := panel.HoldQuorum()
	if len(panel) < need {
		return 0
	}
	ends := make([]fleet.Instant, 0, len(panel))
	for _, seat := range panel {
		ends = append(ends, h.grants[seat])
	}
	slices.Sort(ends)
	return ends[len(ends)-need]
}

// GrantAge returns for how long the seat has given no grant.
func (h *Holder) GrantAge(now fleet.Instant, seat MemberID) time.Duration {
	return now.Sub(h.grants[seat].Add(-h.Timing.Length))
}
