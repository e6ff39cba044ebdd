package lease

import (
	"slices"

	"hibiscuslb/fleet"
)

// A Witness is the state of the grants that a process has given to other members.
type Witness struct {
	Timing  Timing
	Self    MemberID
	Started fleet.Instant // start of this incarnation

	grantedAt       map[MemberID]fleet.Instant // time of the latest grant to each holder
	refusedVersions map[MemberID]fleet.Version // only newer versions get grants
}

// Grant returns the reply to a heartbeat. A heartbeat with a version that the witness
// has refused gets no grant.
func (w *Witness) Grant(now fleet.Instant, heartbeat Heartbeat) Grant {
	grant := Grant{From: w.Self, Number: heartbeat.Number}
	if refused, ok := w.refusedVersions[heartbeat.Seat]; ok && heartbeat.Version <= refused {
		return grant
	}
	if w.grantedAt == nil {
		w.grantedAt = make(map[MemberID]fleet.Instant)
	}
	w.grantedAt[heartbeat.Seat] = now
	grant.Granted = true
	return grant
}

// LastGrant returns the time of the latest grant to the holder, and whether there is
// one.
func (w *Witness) LastGrant(holder MemberID) (fleet.Instant, bool) {
	at, ok := w.grantedAt[holder]
	return at, ok
}

// Refuse reports whether the witness refuses grants to the member's incarnation from
// now on, for all versions up to the given one, which is that of the write of Ending.
// The witness refuses if it is on the panel and has given no grant that is still valid.
//
// A later incarnation of a host on the panel may refuse in place of the earlier one:
// only one process runs on a host at a time, so the earlier incarnation gives no more
// grants, and those it gave have expired once ExpiryWait has passed since the later
// one started.
func (w *Witness) Refuse(now fleet.Instant, member *Member, version fleet.Version) bool {
	index := member.Panel.Index(w.Self.Host)
	if index < 0 || member.State != Ending {
		return false
	}
	listed := member.Panel[index]
	if listed.Incarnation > w.Self.Incarnation {
		return false
	}
	holder := MemberID{Host: member.Host, Incarnation: member.Incarnation}
	if w.refusedVersions == nil {
		w.refusedVersions = make(map[MemberID]fleet.Version)
	}
	// Stop granting even if this call returns false, so that a later call succeeds
	// once the earlier grants have expired.
	w.refusedVersions[holder] = max(w.refusedVersions[holder], version)
	if listed.Incarnation < w.Self.Incarnation && now.Sub(w.Started) < w.Timing.ExpiryWait() {
		return false
	}
	lastGrant, ok := w.grantedAt[holder]
	return !ok || now.Sub(lastGrant) >= w.Timing.ExpiryWait()
}

// Forget removes the state of incarnations for which ended returns true.
func (w *Witness) Forget(ended func(MemberID) bool) {
	for holder := range w.grantedAt {
		if ended(holder) {
			delete(w.grantedAt, holder)
		}
	}
	for holder := range w.refusedVersions {
		if ended(holder) {
			delete(w.refusedVersions, holder)
		}
	}
}

// An EndAttempt is a process's attempt to end another member. It starts when the write
// of Ending is confirmed.
type EndAttempt struct {
	Timing    Timing
	Member    Member        // as written, with the state Ending
	Version   fleet.Version // of that write
	StartTime fleet.Instant // when the write was confirmed

	refusals []fleet.HostID
}

// RecordRefusal records that the host has refused. Hosts outside the panel and repeated
// refusals are ignored.
func (e *EndAttempt) RecordRefusal(host fleet.HostID) {
	if e.Member.Panel.Index(host) >= 0 && !slices.Contains(e.refusals, host) {
		e.refusals = append(e.refusals, host)
	}
}

// Ready reports whether the member may be set to Ended, by a write conditional on the
// EndAttempt's Version.
func (e *EndAttempt) Ready(now fleet.Instant) bool {
	return now.Sub(e.StartTime) >= e.Timing.ExpiryWait() && len(e.refusals) >= e.Member.Panel.EndQuorum()
}
