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

var zone = duty.Location{DataCentre: "a", Region: "r"}

const hosts = 4

// world is the stored book and members, and what each host knows of them,
// which may be old.
type world struct {
	book    duty.Table
	version int
	members duty.Members
	known   [hosts]view
	ids     []duty.ID
}

type view struct {
	book    duty.Table
	version int
	members duty.Members
}

func seat(m *lease.Member) lease.MemberID {
	return lease.MemberID{Host: m.Host, Incarnation: m.Incarnation}
}

func (w *world) member(i int) *lease.Member { return w.members[fleet.HostID(fmt.Sprint(i))] }

func (w *world) look(i int) {
	w.known[i] = view{w.book, w.version, maps.Clone(w.members)}
}

// write is a conditional write of the book.
func (w *world) write(t *rapid.T, i int, next *duty.Table) {
	if next == nil || w.known[i].version != w.version {
		return
	}
	for id, after := range next.Assignments {
		before := w.book.Assignments[id]
		if after.Epoch < before.Epoch {
			t.Fatalf("the epoch of %s went back from %d to %d", id, before.Epoch, after.Epoch)
		}
		if after.Holder == before.Holder {
			continue
		}
		if before.Holder != (lease.MemberID{}) && before.Holder != seat(w.member(i)) && !w.members.HasEnded(before.Holder) {
			t.Fatalf("host %d took %s from %v, which lives", i, id, before.Holder)
		}
		if after.Epoch <= before.Epoch && after.Holder != (lease.MemberID{}) {
			t.Fatalf("%s has a new holder in epoch %d", id, after.Epoch)
		}
	}
	w.book, w.version = *next, w.version+1
}

func TestDutiesAreTakenOnlyFromTheDead(t *testing.T) {
	fuzzing.Check(t, 2000, 80, func(t *rapid.T) {
		w := &world{members: make(duty.Members), ids: []duty.ID{"d1", "d2", "d3"}}
		for i := range hosts {
			id := fleet.HostID(fmt.Sprint(i))
			w.members[id] = &lease.Member{Host: id, Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Active}
		}
		draw := func(t *rapid.T) int { return rapid.IntRange(0, hosts-1).Draw(t, "host") }
		set := func(i int, state lease.State, incarnation fleet.Incarnation) {
			m := *w.member(i)
			if m.State == lease.Ended && incarnation == m.Incarnation {
				return // for good
			}
			m.State, m.Incarnation = state, incarnation
			w.members[m.Host] = &m
		}
		take := func(t *rapid.T) {
			i := draw(t)
			if known := w.known[i]; known.members != nil {
				w.write(t, i, known.book.Claim(seat(known.members[w.member(i).Host]), w.ids, zone, known.members))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"look":  func(t *rapid.T) { w.look(draw(t)) },
			"look2": func(t *rapid.T) { w.look(draw(t)) },
			"take":  take,
			"take2": take,
			"handOver": func(t *rapid.T) {
				i := draw(t)
				known := w.known[i]
				if known.members == nil {
					return
				}
				self := seat(known.members[w.member(i).Host])
				if ids := known.book.Misplaced(self, zone, known.members); len(ids) > 0 {
					w.write(t, i, known.book.HandOver(self, ids, zone, known.members))
				}
			},
			"suspect": func(t *rapid.T) { i := draw(t); set(i, lease.Ending, w.member(i).Incarnation) },
			"leave":   func(t *rapid.T) { i := draw(t); set(i, lease.Leaving, w.member(i).Incarnation) },
			"end":     func(t *rapid.T) { i := draw(t); set(i, lease.Ended, w.member(i).Incarnation) },
			"start": func(t *rapid.T) {
				if i := draw(t); w.member(i).State == lease.Ended {
					set(i, lease.Active, w.member(i).Incarnation+1)
				}
			},
			"undeclare": func(t *rapid.T) { w.ids = w.ids[:rapid.IntRange(0, 3).Draw(t, "ids")] },
			"declare":   func(*rapid.T) { w.ids = []duty.ID{"d1", "d2", "d3"} },
		})
	})
}

func TestPreferredIsNear(t *testing.T) {
	members := duty.Members{
		"far":     {Host: "far", Incarnation: 1, DataCentre: "z", Region: "other", State: lease.Active},
		"region":  {Host: "region", Incarnation: 1, DataCentre: "b", Region: "r", State: lease.Active},
		"centre":  {Host: "centre", Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Active},
		"leaving": {Host: "leaving", Incarnation: 1, DataCentre: "a", Region: "r", State: lease.Leaving},
	}
	for _, want := range []fleet.HostID{"centre", "region", "far"} {
		got, ok := members.Preferred("duty", zone)
		require.True(t, ok)
		require.Equal(t, want, got.Host)
		members[want].State = lease.Ended
	}
	_, ok := members.Preferred("duty", zone)
	require.False(t, ok)
}
