package lease

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// A Holder is the state of a process's own lease. Holders of duties are recorded in
// package duty. A Holder is not safe for concurrent use: one goroutine updates it and
// publishes ValidUntil for the others to check.
type Holder struct {
	Timing Timing
	Self   MemberID

	version       fleet.Version              // last confirmed version of the member object
	panel         Panel                      // panel in that version
	pendingPanels []Panel                    // of writes without a known outcome, all conditional on version
	grants        map[MemberID]fleet.Instant // end of the latest grant of each witness
	renewedUntil  fleet.Instant              // end of the latest renewal
	lastNumber    uint64                     // number of the latest heartbeat
	sentAt        map[uint64]fleet.Instant   // send time of recent heartbeats, by number
	ended         bool
}

// Version returns the last confirmed version of the member object.
func (h *Holder) Version() fleet.Version { return h.version }

// Panel returns the last confirmed panel.
func (h *Holder) Panel() Panel { return h.panel }

// NextHeartbeat returns the heartbeat to send to all witnesses of the panel now.
func (h *Holder) NextHeartbeat(now fleet.Instant) Heartbeat {
	h.lastNumber++
	if h.sentAt == nil {
		h.sentAt = make(map[uint64]fleet.Instant)
	}
	h.sentAt[h.lastNumber] = now
	for number, at := range h.sentAt {
		if now.Sub(at) > h.Timing.Length {
			delete(h.sentAt, number)
		}
	}
	return Heartbeat{Seat: h.Self, Version: h.version, Number: h.lastNumber}
}

// RecordGrant records a grant. It is valid for a lease's length from the instant at
// which its heartbeat was sent.
func (h *Holder) RecordGrant(grant Grant) {
	sent, ok := h.sentAt[grant.Number]
	if !ok || !grant.Granted {
		return
	}
	if h.grants == nil {
		h.grants = make(map[MemberID]fleet.Instant)
	}
	until := sent.Add(h.Timing.Length)
	h.grants[grant.From] = max(h.grants[grant.From], until)
}

// BeginWrite records that a write of the member object with the given panel is in
// progress, conditional on the confirmed version. Until its outcome is known, the
// holder needs a quorum of both the confirmed and the given panel.
func (h *Holder) BeginWrite(panel Panel) {
	h.pendingPanels = append(h.pendingPanels, slices.Clone(panel))
}

// ConfirmWrite records that a write sent at the given instant has taken effect, which
// also renews the lease. Other writes without a known outcome were conditional on an
// earlier version and can no longer take effect.
func (h *Holder) ConfirmWrite(sent fleet.Instant, version fleet.Version, member *Member) {
	h.Observe(version, member)
	if member.Serves() {
		h.renewedUntil = max(h.renewedUntil, sent.Add(h.Timing.Length))
	}
}

// Observe processes a state of the member object that was read or watched. A version
// newer than the confirmed one settles all writes without a known outcome: each is
// either included in it or can no longer take effect.
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
	h.pendingPanels = nil
}

// Ended reports whether the holder's incarnation has ended and may never act again.
func (h *Holder) Ended() bool { return h.ended }

// InDoubt reports whether the outcome of a write of the member object is unknown.
func (h *Holder) InDoubt() bool { return len(h.pendingPanels) > 0 }

// ValidUntil returns the instant until which the holder may act. It may be in the
// past, and is zero if the holder's incarnation has ended.
func (h *Holder) ValidUntil() fleet.Instant {
	if h.ended {
		return 0
	}
	byPanel := h.quorumExpiry(h.panel)
	for _, panel := range h.pendingPanels {
		byPanel = min(byPanel, h.quorumExpiry(panel))
	}
	return max(byPanel, h.renewedUntil)
}

// MayAct reports whether the holder may act now.
func (h *Holder) MayAct(now fleet.Instant) bool { return now < h.ValidUntil() }

// NeedsRenewal reports whether less than half of a lease's length remains, so that the
// holder should renew its lease in the platform.
func (h *Holder) NeedsRenewal(now fleet.Instant) bool {
	return !h.ended && h.ValidUntil().Sub(now) < h.Timing.Length/2
}

// quorumExpiry returns the instant until which a quorum of the panel's grants is valid.
func (h *Holder) quorumExpiry(panel Panel) fleet.Instant {
	quorum := panel.HoldQuorum()
	if len(panel) < quorum {
		return 0
	}
	ends := make([]fleet.Instant, 0, len(panel))
	for _, witness := range panel {
		ends = append(ends, h.grants[witness])
	}
	slices.Sort(ends)
	return ends[len(ends)-quorum]
}

// GrantAge returns the time since the heartbeat for the witness's latest grant was sent.
func (h *Holder) GrantAge(now fleet.Instant, witness MemberID) time.Duration {
	return now.Sub(h.grants[witness].Add(-h.Timing.Length))
}
