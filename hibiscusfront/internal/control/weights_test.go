package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/storeclock"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// TestWeightsThatHostsLearnOfLateCountFromTheirAnnouncement guards against runs that begin on replaced
// weights because a host counts from when it learned of the new ones.
//
// Load pattern: the planner, the only host that watches the store, stands still just before
// weights are announced, until another host has its duty.
func TestWeightsThatHostsLearnOfLateCountFromTheirAnnouncement(t *testing.T) {
	const freeze = 3 * time.Second
	store := newConfiguredStore()
	store.Remove("hosts", "other")
	store.Put("servers", "i-1", map[string]any{"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4, "state": "ready"})
	store.Put("versions", "m", map[string]any{"model": "m", "version": 1})
	controls, _ := startFleet(t, store, 4)
	planner := awaitPlanner(t, controls)
	time.Sleep(time.Second) // until heartbeats have told all hosts of the planner

	frozen := make(chan struct{})
	controls[planner].enqueue(context.Background(), func(fleet.Instant) {
		close(frozen)
		time.Sleep(freeze)
	})
	<-frozen
	announced := controls[0].Clock()
	store.Put("versions", "m", map[string]any{"model": "m", "version": 2})
	for i, c := range controls {
		require.Eventually(t, func() bool { return c.View().Weights["m"].Newest() == 2 }, 10*time.Second, time.Millisecond)
		learnedAfter := c.Clock().Sub(announced)
		at, replaced := c.View().Weights["m"].SupersededAt(1)
		require.True(t, replaced)
		require.LessOrEqual(t, at, announced, "host %d, planner %d, which learned of it %v after it was announced", i, planner, learnedAfter)
		require.Greater(t, at, announced.Add(-1500*time.Millisecond), "host %d counts from long before", i)
	}
}

// TestWeightsThatAHostMissedCountFromTheirAnnouncement guards against runs that begin on weights that were
// replaced twice: a host that reads only the second announcement must not count from that one for
// engines that the first one concerns, too.
//
// Load pattern: versions 2 and 3 are announced in quick succession, while the planner renews its tenure.
func TestWeightsThatAHostMissedCountFromTheirAnnouncement(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.announcements = make(map[fleet.ModelID]weightupdate.Announcements)
	read := func(now time.Duration, number fleet.Version, version int) {
		revision := revision(number)
		c.applyListing(at(now), platform.KindWeights, platform.Listing{Revision: revision, Objects: []platform.Object{
			{Kind: platform.KindWeights, Name: "m", Revision: revision, Spec: []byte(fmt.Sprintf(`{"model":"m","version":%d}`, version))},
		}}, 0)
	}
	read(0, 10, 1)
	c.storeClock.Observe(storeclock.Sighting{At: at(time.Second), Revision: revision(10)})
	// Version 2 is announced after 1.1 s, with revision 11, and version 3 after 1.7 s, with 13.
	c.storeClock.Observe(storeclock.Sighting{At: at(1500 * time.Millisecond), Revision: revision(12)})
	read(1800*time.Millisecond, 13, 3)

	first, replaced := c.announcements["m"].SupersededAt(1)
	require.True(t, replaced)
	require.LessOrEqual(t, first, at(1100*time.Millisecond), "version 2 was announced before")
	require.GreaterOrEqual(t, first, at(time.Second))
	second, replaced := c.announcements["m"].SupersededAt(2)
	require.True(t, replaced)
	require.Equal(t, at(1500*time.Millisecond), second, "version 3 replaces version 2")
	require.EqualValues(t, 3, c.announcements["m"].Newest())

	read(3*time.Second, 20, 4)
	third, replaced := c.announcements["m"].SupersededAt(3)
	require.True(t, replaced)
	require.Equal(t, at(1500*time.Millisecond), third, "no version was missed since the last sighting")
}

// TestWeightsLearnedLateCountFromTheirAnnouncement guards against runs that begin on replaced weights because a host takes an
// announcement for recent that it learned of long after it was made: no silence of the object store excuses that.
func TestWeightsLearnedLateCountFromTheirAnnouncement(t *testing.T) {
	const learned = 10 * time.Second
	for _, test := range []struct {
		name      string
		started   time.Duration                   // of the host; the announcement is made after 1.1 s
		sightings map[time.Duration]fleet.Version // of the store
		want      fleet.Instant
	}{
		{"the store did not answer", -time.Hour, map[time.Duration]fleet.Version{time.Second: 10}, at(learned - weightupdate.MaxAge)},
		{"the store answered other calls", -time.Hour, map[time.Duration]fleet.Version{time.Second: 10, 1300 * time.Millisecond: 12, 9 * time.Second: 40}, at(time.Second)},
		{"the store was silent before it answered other calls", -time.Hour, map[time.Duration]fleet.Version{-9 * time.Second: 10, 2 * time.Second: 12, 9 * time.Second: 40}, at(2*time.Second - weightupdate.MaxAge)},
		{"the host started, and another one that had not heard of it gave it the first list", learned - time.Second, map[time.Duration]fleet.Version{time.Second: 10}, 0},
		{"the same, and the other host has sighted nothing", learned - time.Second, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newObserver(at(0), 1, election.Record{})
			c.started, c.announcements = at(test.started), make(map[fleet.ModelID]weightupdate.Announcements)
			c.replicas[platform.KindWeights] = new(replica.Replica)
			c.applyListing(at(max(0, test.started)), platform.KindWeights, platform.Listing{Revision: revision(10)}, 0)
			for instant, number := range test.sightings {
				c.storeClock.Observe(storeclock.Sighting{At: at(instant), Revision: revision(number)})
			}
			c.storeClock.Observe(storeclock.Sighting{At: at(learned), Revision: revision(41)})
			c.applyListing(at(learned), platform.KindWeights, platform.Listing{Revision: revision(41), Objects: []platform.Object{
				{Kind: platform.KindWeights, Name: "m", Revision: revision(11), Spec: []byte(`{"model":"m","version":2}`)},
			}}, 0)
			replacedAt, replaced := c.announcements["m"].SupersededAt(1)
			require.True(t, replaced)
			require.Equal(t, test.want, replacedAt)
		})
	}
}

// TestListOfAHostThatHasReadNothingIsIgnored guards against a host that takes the empty list of another one for a list of the
// object store: weights that were announced later then counted as replaced long ago, and engines with older ones got no more work.
//
// Load pattern: two hosts start, and one asks the other for objects that it had read before it was restarted.
func TestListOfAHostThatHasReadNothingIsIgnored(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.announcements = make(map[fleet.ModelID]weightupdate.Announcements)
	c.replicas[platform.KindWeights] = new(replica.Replica)
	unread, err := packChanges(new(replica.Replica), fleet.Revision{})
	require.NoError(t, err)
	c.applyChangesReply(at(0), wire.ChangesRequest{Kind: platform.KindWeights}, wire.ChangesReply{All: unread.all, Content: unread.content})
	c.storeClock.Observe(storeclock.Sighting{At: at(time.Second), Revision: revision(10)})
	c.applyListing(at(time.Second), platform.KindWeights, platform.Listing{Revision: revision(10)}, 0)
	c.applyListing(at(1500*time.Millisecond), platform.KindWeights, platform.Listing{Revision: revision(11), Objects: []platform.Object{
		{Kind: platform.KindWeights, Name: "m", Revision: revision(11), Spec: []byte(`{"model":"m","version":2}`)},
	}}, 0)
	replacedAt, replaced := c.announcements["m"].SupersededAt(1)
	require.True(t, replaced)
	require.Equal(t, at(time.Second), replacedAt)
}
