package duty_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/proptest"
)

var location = duty.Location{DataCentre: "a", Region: "r"}

const hosts = 4

// simulation holds the stored table and members, and each host's view of them, which
// may be outdated.
type simulation struct {
	table    duty.Table
	version  int
	members  duty.Members
	views    [hosts]view
	declared []duty.ID
}

// view is a state of the table and members as read by a host.
type view struct {
	table   duty.Table
	version int
	members duty.Members
}

func idOf(m *lease.Member) lease.MemberID {
	return lease.MemberID{Host: m.Host, Incarnation: m.Incarnation}
}

func (s *simulation) member(i int) *lease.Member { return s.members[fleet.HostID(fmt.Sprint(i))] }

// readState updates the view of host i.
func (s *simulation) readState(i int) {
	s.views[i] = view{s.table, s.version, maps.Clone(s.members)}
}

// write stores the table that host i has made, if its view of the table is current. It
// fails the test if the change breaks a rule of package duty.
func (s *simulation) write(t *rapid.T, i int, next *duty.Table) {
	if next == nil || s.views[i].version != s.version {
		return
	}
	for id, after := range next.Assignments {
		before := s.table.Assignments[id]
		if after.Epoch < before.Epoch {
			t.Fatalf("the epoch of %s decreased from %d to %d", id, before.Epoch, after.Epoch)
		}
		if after.Holder == before.Holder {
			continue
		}
		if before.Holder != (lease.MemberID{}) && before.Holder != idOf(s.member(i)) && !s.members.HasEnded(before.Holder) {
			t.Fatalf("host %d changed the holder of %s from %v, which has not ended", i, id, before.Holder)
		}
		if after.Epoch <= before.Epoch && after.Holder != (lease.MemberID{}) {
			t.Fatalf("%s has a new holder, but its epoch did not increase: %d", id, after.Epoch)
		}
	}
	s.table, s.version = *next, s.version+1
}

// TestDutiesAreClaimedOnlyFromEndedHolders checks in random runs that a duty's holder is
// changed only by itself or after its end, and that the epoch increases with each change.
func TestDutiesAreClaimedOnlyFromEndedHolders(t *testing.T) {
	proptest.Check(t, 2000, 80, func(t *rapid.T) {
		s := &simulation{members: make(duty.Members), declared: []duty.ID{"d1", "d2", "d3"}}
		for i := range hosts {
			id := fleet.HostID(fmt.Sprint(i))
			s.members[id] = &lease.Member{Host: id, Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Active}
		}
		drawHost := func(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }
		setState := func(i int, state lease.State, incarnation fleet.Incarnation) {
			m := *s.member(i)
			if m.State == lease.Ended && incarnation == m.Incarnation {
				return // an ended incarnation stays ended
			}
			m.State, m.Incarnation = state, incarnation
			s.members[m.Host] = &m
		}
		claim := func(t *rapid.T) {
			i := drawHost(t)
			if view := s.views[i]; view.members != nil {
				s.write(t, i, view.table.Claim(idOf(view.members[s.member(i).Host]), s.declared, location, view.members))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"read":      func(t *rapid.T) { s.readState(drawHost(t)) },
			"read2":     func(t *rapid.T) { s.readState(drawHost(t)) },
			"takeDuty":  claim,
			"takeDuty2": claim,
			"handOver": func(t *rapid.T) {
				i := drawHost(t)
				view := s.views[i]
				if view.members == nil {
					return
				}
				self := idOf(view.members[s.member(i).Host])
				if ids := view.table.Misplaced(self, location, view.members); len(ids) > 0 {
					s.write(t, i, view.table.HandOver(self, ids, location, view.members))
				}
			},
			"suspect": func(t *rapid.T) { i := drawHost(t); setState(i, lease.Ending, s.member(i).Incarnation) },
			"leave":   func(t *rapid.T) { i := drawHost(t); setState(i, lease.Leaving, s.member(i).Incarnation) },
			"end":     func(t *rapid.T) { i := drawHost(t); setState(i, lease.Ended, s.member(i).Incarnation) },
			"start": func(t *rapid.T) {
				if i := drawHost(t); s.member(i).State == lease.Ended {
					setState(i, lease.Active, s.member(i).Incarnation+1)
				}
			},
			"undeclare": func(t *rapid.T) { s.declared = s.declared[:rapid.IntRange(0, 3).Draw(t, "ids")] },
			"declare":   func(*rapid.T) { s.declared = []duty.ID{"d1", "d2", "d3"} },
		})
	})
}

// TestPreferredPicksNearestActiveHost checks the order of preference: data centre,
// region, any active host.
func TestPreferredPicksNearestActiveHost(t *testing.T) {
	members := duty.Members{
		"far":     {Host: "far", Incarnation: 1, DataCentre: "z", Region: "other", State: lease.Active},
		"region":  {Host: "region", Incarnation: 1, DataCentre: "b", Region: "r", State: lease.Active},
		"centre":  {Host: "centre", Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Active},
		"leaving": {Host: "leaving", Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Leaving},
	}
	for _, want := range []fleet.HostID{"centre", "region", "far"} {
		got, ok := members.Preferred("duty", location)
		require.True(t, ok)
		require.Equal(t, want, got.Host)
		members[want].State = lease.Ended
	}
	_, ok := members.Preferred("duty", location)
	require.False(t, ok)
}
