package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func host(id fleet.HostID, cores float64) wire.Host {
	return wire.Host{ID: id, Cores: cores, Callers: "10.0.0.1:1", Peers: "10.0.0.1:2"}
}

func newMembers(hosts ...wire.Host) *members {
	m := &members{hosts: make(map[fleet.HostID]wire.Host)}
	for _, h := range hosts {
		m.hosts[h.ID] = h
		m.recordHeartbeat(at(0), h.ID, false)
	}
	return m
}

// The entry of a dead host stays in the store for a while. A new planner that
// reads it must not count the host as alive.
func TestNewPlannerDoesNotCountDeadHostsAsAlive(t *testing.T) {
	m := newMembers(host("a", 1), host("b", 1), host("c", 1))
	m.plannerLive, m.plannerLiveAt = []wire.Host{host("a", 1), host("b", 1)}, at(5*time.Second) // c died
	m.initLiveness(at(5 * time.Second))
	require.True(t, m.heartbeats["a"].alive)
	require.True(t, m.heartbeats["b"].alive)
	require.False(t, m.heartbeats["c"].alive)
}

func TestFirstPlannerCountsAllHostsAsAlive(t *testing.T) {
	m := newMembers(host("a", 1), host("b", 1))
	m.initLiveness(at(time.Minute))
	require.True(t, m.heartbeats["a"].alive)
	require.True(t, m.heartbeats["b"].alive)
}

func TestRankOrdersLiveHostsByCoresThenID(t *testing.T) {
	m := newMembers(host("a", 0.2), host("b", 0.8), host("c", 0.8), host("d", 0.2))
	for id, want := range map[fleet.HostID]int{"b": 0, "c": 1, "a": 2, "d": 3} {
		require.Equal(t, want, m.rank(m.hosts[id]), "host %s", id)
	}
	dead := m.heartbeats["b"]
	dead.alive = false
	m.heartbeats["b"] = dead
	require.Equal(t, 0, m.rank(m.hosts["c"]))
}

// A planner that is cut off from most hosts must not continue to plan.
func TestHasMajority(t *testing.T) {
	m := newMembers(host("a", 1), host("b", 1), host("c", 1), host("d", 1))
	now := at(recentHeartbeat + time.Millisecond)
	require.False(t, m.hasMajority(now, "a"))
	m.recordHeartbeat(now, "b", false)
	require.False(t, m.hasMajority(now, "a"), "two of four are no majority")
	m.recordHeartbeat(now, "c", false)
	require.True(t, m.hasMajority(now, "a"))
}

func entries(ids ...fleet.TargetID) map[fleet.TargetID]roster.Target {
	result := make(map[fleet.TargetID]roster.Target)
	for _, id := range ids {
		result[id] = roster.Target{ID: id}
	}
	return result
}

func ids(t *targets) []fleet.TargetID {
	var result []fleet.TargetID
	for _, entry := range t.list() {
		result = append(result, entry.ID)
	}
	return result
}

func TestEntriesLostInOutageAreKeptForGraceTime(t *testing.T) {
	var known targets
	known.apply(at(0), entries("a", "b", "c"), 0, zerolog.Nop())
	known.beginOutage()
	known.endOutage(at(9 * time.Second))
	known.apply(at(9*time.Second), entries("a"), known.uncertainFor(at(9*time.Second)), zerolog.Nop())
	require.Equal(t, []fleet.TargetID{"a", "b", "c"}, ids(&known))
	known.apply(at(10*time.Second), entries("a", "b"), known.uncertainFor(at(10*time.Second)), zerolog.Nop())
	known.expire(at(9*time.Second + vanishedGrace))
	require.Equal(t, []fleet.TargetID{"a", "b"}, ids(&known), "an entry that is missing after the grace time is dropped")
}

func TestEntryRemovedWhileStoreAnswersIsDropped(t *testing.T) {
	var known targets
	known.apply(at(0), entries("a", "b"), 0, zerolog.Nop())
	known.apply(at(time.Second), entries("a"), known.uncertainFor(at(time.Second)), zerolog.Nop())
	require.Equal(t, []fleet.TargetID{"a"}, ids(&known))
}

// Load pattern: the store is silent for the planner's host alone, and a target leaves.
// A host that reads the store reports the removal.
func TestEntryRemovedForHostThatReadsStoreIsDropped(t *testing.T) {
	var planner, reader targets
	for _, known := range []*targets{&planner, &reader} {
		known.apply(at(0), entries("a", "b"), 0, zerolog.Nop())
	}
	planner.beginOutage()
	reader.apply(at(time.Second), entries("a"), reader.uncertainFor(at(time.Second)), zerolog.Nop())
	planner.apply(at(time.Second), entries("a"), reader.uncertainFor(at(time.Second)), zerolog.Nop())
	require.Equal(t, []fleet.TargetID{"a"}, ids(&planner))
	require.True(t, planner.removedIDs()["b"])
	planner.apply(at(2*time.Second), entries("a", "b"), 0, zerolog.Nop())
	require.Empty(t, planner.removedIDs(), "the target has returned")
}

// Load pattern: the store was down for all, and entries have lapsed. A host that did not
// notice the outage itself hears of the lapsed entries from one that did, and a third
// host from the second.
func TestUncertaintyOfRemovalsIsPassedOn(t *testing.T) {
	hosts := make([]targets, 3)
	for i := range hosts {
		hosts[i].apply(at(0), entries("a", "b"), 0, zerolog.Nop())
	}
	hosts[0].beginOutage()
	hosts[0].endOutage(at(9 * time.Second))
	for i := range hosts {
		now := at(9*time.Second + time.Duration(i)*300*time.Millisecond)
		hosts[i].apply(now, entries("a"), hosts[max(0, i-1)].uncertainFor(now), zerolog.Nop())
		require.Equal(t, []fleet.TargetID{"a", "b"}, ids(&hosts[i]), "host %d", i)
	}
	for i := range hosts {
		require.True(t, hosts[i].expire(at(9*time.Second+vanishedGrace)), "host %d", i)
		require.Equal(t, []fleet.TargetID{"a"}, ids(&hosts[i]), "host %d", i)
	}
}

// revision returns a revision of a store that has never come back from a copy.
func revision(number fleet.Version) fleet.Revision { return fleet.Revision{Number: number} }

// newObserver returns the control state of a host that is no standby and knows the record.
func newObserver(now fleet.Instant, number fleet.Version, record election.Record) *Control {
	c := &Control{Self: host("z", 0), members: *newMembers(host("z", 0)), table: route.NewTable(route.Config{Number: 1})}
	for i := range standbyCount {
		h := host(fleet.HostID(fmt.Sprint("standby", i)), 1)
		c.members.hosts[h.ID] = h
		c.members.recordHeartbeat(now, h.ID, false)
	}
	c.targets.entries = entries("t")
	c.replicas = make(map[string]*replica.Replica)
	for _, kind := range replicatedKinds {
		c.replicas[kind] = new(replica.Replica)
		c.replicas[kind].ApplyListing(platform.Listing{Revision: revision(1)}) // without objects
	}
	c.duty = election.Duty{Self: "z"}
	c.duty.Observe(now, revision(number), record)
	return c
}

// Load pattern: a fleet starts, a host takes the duty that none has held, and gives it up
// to a standby a second later. A host that is no standby has waited during the first vacancy,
// and must wait again in the second one, or it takes the duty before a standby can.
func TestHostWaitsForStandbysInEachVacancy(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	require.False(t, c.isCandidate(at(0)))
	require.False(t, c.isCandidate(at(nonStandbyDelay-time.Millisecond)))
	require.True(t, c.isCandidate(at(nonStandbyDelay)))
	c.duty.Observe(at(nonStandbyDelay), revision(2), election.Record{Holder: "first", Epoch: 1})
	resigned := nonStandbyDelay + handOverDelay
	c.duty.Observe(at(resigned), revision(3), election.Record{Epoch: 1})
	require.False(t, c.isCandidate(at(resigned)), "the standbys have had no time to act")
	require.False(t, c.isCandidate(at(resigned+nonStandbyDelay-time.Millisecond)))
	require.True(t, c.isCandidate(at(resigned+nonStandbyDelay)))
}

// TestRestartedPlannerRevivesNoDeadHost guards against a host that is killed and takes the
// duty again as it starts: the entry of a host that died before is still in the store, and
// other hosts must not be told to send callers there.
func TestRestartedPlannerRevivesNoDeadHost(t *testing.T) {
	for _, test := range []struct {
		name       string
		firstStart bool
		list       []wire.Host // of the planner before; nil if this host has received none
		told       bool        // other hosts are told at once
	}{
		{"restarted", false, nil, false},
		{"first start of the fleet", true, nil, true},
		{"has a list", false, []wire.Host{host("z", 0), host("standby0", 1)}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newObserver(at(0), 1, election.Record{})
			c.Settings.FirstStart = test.firstStart
			if test.list != nil {
				c.members.plannerLive, c.members.plannerLiveAt = test.list, at(0)
			}
			c.startPlanning(at(0), 7)
			c.live.set(c.callerHosts())
			require.Equal(t, test.told, c.membershipUpdate(at(heartbeatInterval), wire.MembershipVersion{}) != nil)
			for id := range c.members.hosts {
				if id != "standby1" {
					c.members.recordHeartbeat(at(heartbeatTimeout), id, false)
				}
			}
			now := at(heartbeatTimeout + tickInterval)
			c.members.expire(now, c)
			c.live.set(c.callerHosts())
			update := c.membershipUpdate(now, wire.MembershipVersion{})
			require.NotNil(t, update)
			for _, h := range update.Hosts {
				require.NotEqual(t, fleet.HostID("standby1"), h.ID, "it has sent no heartbeat")
			}
		})
	}
}

// A planner that loses its lease and gets it back knows which hosts are dead.
func TestPlannerThatReturnsRevivesNoDeadHost(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.startPlanning(at(0), 7)
	now := at(heartbeatTimeout + tickInterval)
	for id := range c.members.hosts {
		if id != "standby1" {
			c.members.recordHeartbeat(now, id, false)
		}
	}
	c.members.expire(now, c)
	c.startPlanning(now.Add(time.Second/2), 8)
	for _, h := range c.callerHosts() {
		require.NotEqual(t, fleet.HostID("standby1"), h.ID)
	}
}

// A host that has received no list yet goes by the entries in the store, also if the planner
// has replied without one, and then by the first list.
func TestHostWithoutListNamesAllEntries(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{Holder: "standby0", Epoch: 7})
	c.initInbox()
	c.handleReply(at(0), "10.0.0.1:2", wire.HeartbeatReply{Planning: true, Follows: true, Revision: revision(1), Duty: c.duty.Record()})
	require.Len(t, c.callerHosts(), standbyCount+1)

	list := []wire.Host{c.Self, c.members.hosts["standby0"]}
	c.handleReply(at(time.Second), "10.0.0.1:2", wire.HeartbeatReply{
		Planning: true, Follows: true, Revision: revision(1), Duty: c.duty.Record(),
		Live: &wire.MembershipUpdate{Version: wire.MembershipVersion{Epoch: 7, Number: 1}, Hosts: list},
	})
	require.Len(t, c.View().Hosts, len(list), "the first list is not in the published view")
}

// Each change of the planner leaves hosts without one for a while, so it must gain
// something.
func TestPlannerHandsOverOnlyToLargerHosts(t *testing.T) {
	for _, test := range []struct {
		name   string
		others wire.Host // all of them
		want   bool
	}{
		{"more cores", wire.Host{Cores: 0.8, Link: 100}, true},
		{"a faster link", wire.Host{Cores: 0.4, Link: 200}, true},
		{"equal, but of lower ID", wire.Host{Cores: 0.4, Link: 100}, false},
		{"fewer cores", wire.Host{Cores: 0.2, Link: 200}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newObserver(at(0), 1, election.Record{})
			c.Self.Cores, c.Self.Link = 0.4, 100
			for i := range standbyCount {
				h := test.others
				h.ID = fleet.HostID(fmt.Sprint("standby", i))
				c.members.hosts[h.ID] = h
			}
			c.startPlanning(at(0), 7)
			require.False(t, c.mustHandOver(at(handOverDelay)))
			require.Equal(t, test.want, c.mustHandOver(at(handOverDelay+time.Millisecond)))
		})
	}
}

// TestHostThatIsTooBusyForItsPeersSharesNothing guards against replies that are still written after the call that asked
// for them has given up. It fails with the race detector.
func TestHostThatIsTooBusyForItsPeersSharesNothing(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.packed = make(map[string]packedReply)
	c.initInbox()
	var busy task.Group
	busy.Go(t.Context(), func(context.Context) {
		for range 2 {
			f := <-c.inbox
			time.Sleep(50 * time.Millisecond)
			f(at(0))
		}
	})
	call := func(f func(context.Context) error) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		require.ErrorIs(t, f(ctx), context.DeadlineExceeded)
	}
	call(func(ctx context.Context) error {
		_, err := c.HandleHeartbeat(ctx, wire.Heartbeat{Host: host("a", 1)})
		return err
	})
	call(func(ctx context.Context) error {
		_, err := c.HandleChanges(ctx, wire.ChangesRequest{Kind: platform.KindWeights})
		return err
	})
	busy.Wait()
}

// TestHostThatEndsWhileItReadsSharesNothing guards against a revision that is still written when the
// task that asked for it has ended. It fails with the race detector.
func TestHostThatEndsWhileItReadsSharesNothing(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.Store = &platform.Store{Address: "127.0.0.1:1"}
	c.Clock = func() fleet.Instant { return at(0) }
	c.initInbox()
	ctx, cancel := context.WithCancel(t.Context())
	var following, busy task.Group
	following.Go(ctx, func(ctx context.Context) { c.follow(ctx, platform.KindWeights) })
	busy.Go(t.Context(), func(context.Context) {
		f := <-c.inbox
		cancel()
		time.Sleep(50 * time.Millisecond)
		f(at(0))
	})
	following.Wait()
	busy.Wait()
}
