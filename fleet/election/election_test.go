package election_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/proptest"
)

const bound = 3 * time.Second // minimum time between orders of two holders

func ExampleDuty() {
	duty := election.Duty{Self: "host-1", Address: "10.0.0.1:7260"}
	duty.ObserveAbsent(0, 1) // the store has no object yet
	write, due := duty.NextWrite(0, false)
	fmt.Println(due, write.Record.Epoch)
	duty.WriteSucceeded(fleet.Instant(4*time.Millisecond), write, fleet.Revision{Era: 1, Number: 17}, bound)
	fmt.Println(duty.Holds(fleet.Instant(time.Second)), duty.Holds(fleet.Instant(2*time.Second)))
	// Output:
	// true 1000000001
	// true false
}

// revision returns a revision of a store that has never come back from a copy.
func revision(number fleet.Version) fleet.Revision { return fleet.Revision{Number: number} }

func at(d time.Duration) fleet.Instant { return fleet.Instant(d) }

func TestSuccessorWaitsForBoundOfLastOrder(t *testing.T) {
	tests := []struct {
		name     string
		ordering bool
		wait     time.Duration // since the old record was observed
	}{
		{"the holder ordered nothing", false, election.LeaseDuration + election.ClockMargin},
		{"the holder may have ordered", true, election.OrderDuration + bound + election.ClockMargin},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := election.Duty{Self: "b"}
			next.Observe(at(0), revision(5), election.Record{Holder: "a", Epoch: 3, Ordering: test.ordering})
			_, due := next.NextWrite(at(election.LeaseDuration+election.ClockMargin-1), true)
			require.False(t, due, "the old lease may not have ended")
			now := at(election.LeaseDuration + election.ClockMargin)
			write, due := next.NextWrite(now, true)
			require.True(t, due)
			require.Equal(t, fleet.Epoch(4), write.Record.Epoch)
			next.WriteSucceeded(now, write, revision(6), bound)
			from, until := next.OrderWindow()
			require.Equal(t, max(now, at(test.wait)), from)
			require.Equal(t, now.Add(election.OrderDuration), until)
		})
	}
}

// An order that the holder sends at the last moment may be on its way for ClockMargin. It must reach its target the
// bound before the first order of a successor, which observed the holder's last write at once.
func TestOrderOnItsWayIsBoundApartFromSuccessors(t *testing.T) {
	const transit = election.ClockMargin
	holder, next := election.Duty{Self: "a"}, election.Duty{Self: "b"}
	holder.ObserveAbsent(at(0), 0)
	write, _ := holder.NextWrite(at(0), true)
	holder.WriteSucceeded(at(0), write, revision(1), bound)
	next.Observe(at(0), revision(1), write.Record)
	_, until := holder.OrderWindow()
	require.True(t, holder.MayOrder(until-1))
	now := at(election.LeaseDuration + election.ClockMargin)
	takeover, due := next.NextWrite(now, true)
	require.True(t, due)
	next.WriteSucceeded(now, takeover, revision(2), bound)
	from, _ := next.OrderWindow()
	require.GreaterOrEqual(t, from.Sub((until - 1).Add(transit)), bound)
}

// A successor that restarts while it waits for the bound of its predecessor's orders must
// wait for it after the restart, too.
func TestRestartedSuccessorWaitsForBoundOfLastOrder(t *testing.T) {
	restarted := election.Duty{Self: "b"}
	restarted.Observe(at(0), revision(6), election.Record{Holder: "b", Epoch: 4, Ordering: true})
	write, due := restarted.NextWrite(at(0), true)
	require.True(t, due, "no other host holds the duty")
	restarted.WriteSucceeded(at(0), write, revision(7), bound)
	from, _ := restarted.OrderWindow()
	require.Equal(t, at(election.OrderDuration+bound+election.ClockMargin), from)
}

// If the answer to a renewal was lost and its record is observed later, the
// lease must not be extended beyond that of the last confirmed write.
func TestObservedRenewalDoesNotExtendLease(t *testing.T) {
	duty := election.Duty{Self: "a"}
	duty.ObserveAbsent(at(0), 0)
	first, _ := duty.NextWrite(at(0), false)
	duty.WriteSucceeded(at(0), first, revision(1), bound)
	lost, _ := duty.NextWrite(at(400*time.Millisecond), false)
	again, _ := duty.NextWrite(at(time.Second), false)
	require.NotEqual(t, lost.Record, again.Record, "two attempts must write different records")
	duty.Observe(at(time.Second), revision(2), lost.Record)
	require.Equal(t, at(election.LeaseDuration), duty.LeaseEnd())
}

// Other hosts measure the lease from the moment they observe a write, so the
// holder must not measure it from the later arrival of the store's answer.
func TestLeaseStartsWhenItsWriteIsSent(t *testing.T) {
	duty := election.Duty{Self: "a"}
	duty.ObserveAbsent(at(0), 0)
	write, _ := duty.NextWrite(at(0), false)
	duty.WriteSucceeded(at(time.Second), write, revision(1), bound)
	require.True(t, duty.Holds(at(election.LeaseDuration-1)))
	require.False(t, duty.Holds(at(election.LeaseDuration)))
}

// host is the state of one host, with its clock.
type host struct {
	duty      election.Duty
	offset    time.Duration
	answers   []func() // of accepted writes, not delivered yet
	suspended bool
}

func (n *host) now(trueTime time.Duration) fleet.Instant { return at(trueTime + n.offset) }

// simulation is the object store and the hosts.
type simulation struct {
	trueTime time.Duration // actual time, without the offset of any clock
	record   election.Record
	revision fleet.Revision
	hosts    []*host
	delayed  []election.Write // writes that the store will carry out later

	history []object // earlier contents

	lastOrder   time.Duration
	orderedBy   fleet.HostID
	ordersEpoch fleet.Epoch
}

// object is the content of the object store; its revision's Number is zero if it is empty.
type object struct {
	record   election.Record
	revision fleet.Revision
}

// put applies a write if it expects the number of the current revision, of whichever era.
func (s *simulation) put(write election.Write) bool {
	if write.Expected.Number != s.revision.Number {
		return false
	}
	s.history = append(s.history, object{s.record, s.revision})
	s.revision.Number++
	s.record = write.Record
	return true
}

// restore brings back one of the last contents, in a new era. With each of the lost writes
// the number of the revision is given out again.
func (s *simulation) restore(lost int) {
	if lost == 0 || lost > len(s.history) {
		return
	}
	copied := s.history[len(s.history)-lost]
	s.history = s.history[:len(s.history)-lost]
	s.record, s.revision = copied.record, fleet.Revision{Era: s.revision.Era + 1, Number: copied.revision.Number}
}

// read lets a host read the object.
func (s *simulation) read(n *host) {
	if s.revision.Number == 0 {
		n.duty.ObserveAbsent(n.now(s.trueTime), s.revision.Era)
		return
	}
	n.duty.Observe(n.now(s.trueTime), s.revision, s.record)
}

// order lets a host send an order, if it may.
func (s *simulation) order(t *rapid.T, n *host) {
	if n.suspended || !n.duty.MayOrder(n.now(s.trueTime)) {
		return
	}
	if s.orderedBy != n.duty.Self && s.trueTime-s.lastOrder < bound {
		t.Fatalf("%s orders %v after %s", n.duty.Self, s.trueTime-s.lastOrder, s.orderedBy)
	}
	epoch := n.duty.Record().Epoch
	if epoch < s.ordersEpoch || epoch == s.ordersEpoch && s.orderedBy != n.duty.Self {
		t.Fatalf("%s orders with epoch %d after %s with epoch %d", n.duty.Self, epoch, s.orderedBy, s.ordersEpoch)
	}
	s.lastOrder, s.orderedBy, s.ordersEpoch = s.trueTime, n.duty.Self, epoch
}

// TestOneHolderAtATime generates suspensions, restarts, lost answers, delayed writes and
// restores of the object store from a copy, and checks after every step that no two hosts
// hold the duty, that orders of two holders are at least the bound apart, and that their
// epochs differ and grow.
func TestOneHolderAtATime(t *testing.T) {
	proptest.Check(t, 300, 200, func(t *rapid.T) {
		sim := &simulation{lastOrder: -time.Hour, revision: fleet.Revision{Era: 1}}
		for i := range 3 {
			sim.hosts = append(sim.hosts, &host{
				duty:   election.Duty{Self: fleet.HostID(fmt.Sprint(i))},
				offset: time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Second,
			})
		}
		drawHost := func(t *rapid.T) *host { return sim.hosts[rapid.IntRange(0, len(sim.hosts)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				sim.trueTime += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			},
			"read": func(t *rapid.T) {
				sim.read(drawHost(t))
			},
			"restore": func(t *rapid.T) { sim.restore(rapid.IntRange(0, 6).Draw(t, "lost")) },
			"write": func(t *rapid.T) {
				n := drawHost(t)
				write, due := n.duty.NextWrite(n.now(sim.trueTime), rapid.Bool().Draw(t, "ordering"))
				if !due || n.suspended {
					return
				}
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0: // the write is lost
				case 1: // applied later, without an answer
					sim.delayed = append(sim.delayed, write)
				case 2: // applied, but the answer is lost
					sim.put(write)
				default:
					if applied := sim.put(write); applied && write.Expected.Era != sim.revision.Era {
						return // the outcome is unknown to the host
					} else if applied {
						revision := sim.revision
						n.answers = append(n.answers, func() { n.duty.WriteSucceeded(n.now(sim.trueTime), write, revision, bound) })
					} else {
						sim.read(n)
					}
				}
			},
			"answer": func(t *rapid.T) {
				n := drawHost(t)
				if len(n.answers) > 0 && !n.suspended {
					n.answers[0]()
					n.answers = n.answers[1:]
				}
			},
			"late write": func(t *rapid.T) {
				if len(sim.delayed) > 0 {
					sim.put(sim.delayed[0])
					sim.delayed = sim.delayed[1:]
				}
			},
			"suspend": func(t *rapid.T) { n := drawHost(t); n.suspended = !n.suspended },
			"restart": func(t *rapid.T) {
				n := drawHost(t)
				*n = host{duty: election.Duty{Self: n.duty.Self}, offset: n.offset}
			},
			"order": func(t *rapid.T) { sim.order(t, drawHost(t)) },
			// Without failures, the duty is taken and orders are sent.
			"round": func(t *rapid.T) {
				sim.trueTime += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
				for range rapid.IntRange(1, 3).Draw(t, "hosts") {
					n := drawHost(t)
					if n.suspended {
						continue
					}
					sim.read(n)
					write, due := n.duty.NextWrite(n.now(sim.trueTime), true)
					if due && write.Expected.Era == sim.revision.Era && sim.put(write) {
						n.duty.WriteSucceeded(n.now(sim.trueTime), write, sim.revision, bound)
					}
					sim.order(t, n)
				}
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, n := range sim.hosts {
					if !n.suspended && n.duty.Holds(n.now(sim.trueTime)) {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("%d hosts hold the duty", holders)
				}
			},
		})
	})
}
