package duty_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/lease"
)

var location = duty.Location{DataCentre: "a", Region: "r"}

const hosts = 4

// cluster holds the stored table and members, and each host's view of them, which may be
// outdated.
type cluster struct {
	table   duty.Table
	version int
	members duty.Members
	views   [hosts]view
	ids     []duty.ID
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

func (c *cluster) member(i int) *lease.Member { return c.members[fleet.HostID(fmt.Sprint(i))] }

// readState updates the view of host i.
func (c *cluster) readState(i int) {
	c.views[i] = view{c.table, c.version, maps.Clone(c.members)}
}

// write stores the table that host i has made, if its view of the table is current. It
// fails the test if the change breaks a rule of package duty.
func (c *cluster) write(t *rapid.T, i int, next *duty.Table) {
	if next == nil || c.views[i].version != c.version {
		return
	}
	for id, after := range next.Assignments {
		before := c.table.Assignments[id]
		if after.Epoch < before.Epoch {
			t.Fatalf("the epoch of %s decreased from %d to %d", id, before.Epoch, after.Epoch)
		}
		if after.Holder == before.Holder {
			continue
		}
		if before.Holder != (lease.MemberID{}) && before.Holder != idOf(c.member(i)) && !c.members.HasEnded(before.Holder) {
			t.Fatalf("host %d changed the holder of %s from %v, which has not ended", i, id, before.Holder)
		}
		if after.Epoch <= before.Epoch && after.Holder != (lease.MemberID{}) {
			t.Fatalf("%s has a new holder, but its epoch did not increase: %d", id, after.Epoch)
		}
	}
	c.table, c.version = *next, c.version+1
}

// TestDutiesAreClaimedOnlyFromEndedHolders checks in random runs that a duty's holder is
// changed only by itself or after its end, and that the epoch increases with each change.
func TestDutiesAreClaimedOnlyFromEndedHolders(t *testing.T) {
	fuzzing.Check(t, 2000, 80, func(t *rapid.T) {
		c := &cluster{members: make(duty.Members), ids: []duty.ID{"d1", "d2", "d3"}}
		for i := range hosts {
			id := fleet.HostID(fmt.Sprint(i))
			c.members[id] = &lease.Member{Host: id, Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Active}
		}
		draw := func(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }
		set := func(i int, state lease.State, incarnation fleet.Incarnation) {
			m := *c.member(i)
			if m.State == lease.Ended && incarnation == m.Incarnation {
				return // an ended incarnation stays ended
			}
			m.State, m.Incarnation = state, incarnation
			c.members[m.Host] = &m
		}
		claim := func(t *rapid.T) {
			i := draw(t)
			if view := c.views[i]; view.members != nil {
				c.write(t, i, view.table.Claim(idOf(view.members[c.member(i).Host]), c.ids, location, view.members))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"look":  func(t *rapid.T) { c.readState(draw(t)) },
			"look2": func(t *rapid.T) { c.readState(draw(t)) },
			"take":  claim,
			"take2": claim,
			"handOver": func(t *rapid.T) {
				i := draw(t)
				view := c.views[i]
				if view.members == nil {
					return
				}
				self := idOf(view.members[c.member(i).Host])
				if ids := view.table.Misplaced(self, location, view.members); len(ids) > 0 {
					c.write(t, i, view.table.HandOver(self, ids, location, view.members))
				}
			},
			"suspect": func(t *rapid.T) { i := draw(t); set(i, lease.Ending, c.member(i).Incarnation) },
			"leave":   func(t *rapid.T) { i := draw(t); set(i, lease.Leaving, c.member(i).Incarnation) },
			"end":     func(t *rapid.T) { i := draw(t); set(i, lease.Ended, c.member(i).Incarnation) },
			"start": func(t *rapid.T) {
				if i := draw(t); c.member(i).State == lease.Ended {
					set(i, lease.Active, c.member(i).Incarnation+1)
				}
			},
			"undeclare": func(t *rapid.T) { c.ids = c.ids[:rapid.IntRange(0, 3).Draw(t, "ids")] },
			"declare":   func(*rapid.T) { c.ids = []duty.ID{"d1", "d2", "d3"} },
		})
	})
}

// TestPreferredIsNear checks the order of preference: data centre, region, any active host.
func TestPreferredIsNear(t *testing.T) {
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
