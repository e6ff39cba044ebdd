package lease

import (
	"slices"

	"hibiscuslb/fleet"
)

// A Witness is one process's memory of the grants that it gave to others.
type Witness struct {
	Timing  Timing
	Self    MemberID
	Started fleet.Instant // when this incarnation began

	given   map[MemberID]fleet.Instant // when the last grant was given
	refused map[MemberID]fleet.Version // grants only for newer versions
}

// Grant answers a beat. A beat for a version that the witness has refused gets
// no grant.
func (w *Witness) Grant(now fleet.Instant, beat Heartbeat) Grant {
	answer := Grant{From: w.Self, Number: beat.Number}
	if refused, ok := w.refused[beat.Seat]; ok && beat.Version <= refused {
		return answer
	}
	if w.given == nil {
		w.given = make(map[MemberID]fleet.Instant)
	}
	w.given[beat.Seat] = now
	answer.Granted = true
	return answer
}

// LastGrant returns since when the witness has heard nothing from the seat, and
// false if it never heard of it.
func (w *Witness) LastGrant(seat MemberID) (fleet.Instant, bool) {
	at, ok := w.given[seat]
	return at, ok
}

// Refuse decides whether the witness refuses the member's incarnation from
// now on, for all versions up to the given one, which is that of the write of
// Ending. It does if it sits on the panel and no grant of its own runs.
//
// A later life of a host on the panel may refuse in its stead: one process
// runs on a host at a time, so the earlier life gives no grants any more, and
// those it gave have run out once the later life is old enough.
func (w *Witness) Refuse(now fleet.Instant, member *Member, version fleet.Version) bool {
	index := member.Panel.Index(w.Self.Host)
	if index < 0 || member.State != Ending {
		return false
	}
	seat := member.Panel[index]
	if seat.Incarnation > w.Self.Incarnation {
		return false
	}
	holder := MemberID{Host: member.Host, Incarnation: member.Incarnation}
	if w.refused == nil {
		w.refused = make(map[MemberID]fleet.Version)
	}
	// Give no more grants from here on, so that the wait comes to an end even
	// if this call refuses nothing yet.
	w.refused[holder] = max(w.refused[holder], version)
	if seat.Incarnation < w.Self.Incarnation && now.Sub(w.Started) < w.Timing.ExpiryWait() {
		return false
	}
	given, ok := w.given[holder]
	return !ok || now.Sub(given) >= w.Timing.ExpiryWait()
}

// Forget drops what is known of incarnations that are over.
func (w *Witness) Forget(over func(MemberID) bool) {
	for seat := range w.given {
		if over(seat) {
			delete(w.given, seat)
		}
	}
	for seat := range w.refused {
		if over(seat) {
			delete(w.refused, seat)
		}
	}
}

// A Takeover is one process's attempt to end another member. It starts when
// the write of Ending is confirmed.
type Takeover struct {
	Timing    Timing
	Member    Member        // as written, in state Ending
	Version   fleet.Version // of that write
	StartTime fleet.Instant // when the write was confirmed

	refusals []fleet.HostID
}

// RecordRefusal notes that the host on the panel has refused.
func (t *Takeover) RecordRefusal(host fleet.HostID) {
	if t.Member.Panel.Index(host) >= 0 && !slices.Contains(t.refusals, host) {
		t.refusals = append(t.refusals, host)
	}
}

// Ready reports whether the member may be written Ended, on condition that
// its object still has the version of the Takeover.
func (t *Takeover) Ready(now fleet.Instant) bool {
	return now.Sub(t.StartTime) >= t.Timing.ExpiryWait() && len(t.refusals) >= t.Member.Panel.EndQuorum()
}
