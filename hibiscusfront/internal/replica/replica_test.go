package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/platform"
)

func object(name string, revision fleet.Version) platform.Object {
	return platform.Object{Kind: "k", Name: name, Revision: revision}
}

func listing(revision fleet.Version, objects ...platform.Object) platform.Listing {
	return platform.Listing{Revision: revision, Objects: objects}
}

func names(r *replica.Replica) map[string]fleet.Version {
	result := make(map[string]fleet.Version)
	r.ForEach(func(o platform.Object) { result[o.Name] = o.Revision })
	return result
}

// A watch of the store may end without events although there were changes: an
// empty answer must not advance the revision past a change that was not reported.
func TestEmptyWatchDoesNotAdvanceRevision(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5)))
	require.False(t, r.ApplyWatch(platform.Changes{Revision: 20}))
	require.Equal(t, fleet.Version(10), r.Revision())
	require.True(t, r.ApplyWatch(platform.Changes{Revision: 15, Changes: []platform.Change{{Object: object("a", 15)}}}))
	require.Equal(t, map[string]fleet.Version{"a": 15}, names(&r))
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	var r replica.Replica
	require.True(t, r.ApplyListing(listing(10, object("a", 9))))
	require.False(t, r.ApplyListing(listing(8, object("a", 4), object("b", 4))))
	require.False(t, r.ApplyChanges(platform.Changes{Revision: 10, Changes: []platform.Change{{Object: object("a", 9), Removed: true}}}))
	require.Equal(t, map[string]fleet.Version{"a": 9}, names(&r))
}

func TestListingRemovesAbsentObjects(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	require.True(t, r.ApplyListing(listing(12, object("b", 6))))
	require.Equal(t, map[string]fleet.Version{"b": 6}, names(&r))
	require.False(t, r.ApplyListing(listing(13, object("b", 6))), "nothing has changed")
	require.Equal(t, fleet.Version(13), r.Revision())
}

// The changes of one replica bring another one to the same state.
func TestChangesSinceBringPeerUpToDate(t *testing.T) {
	var first, second replica.Replica
	first.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	second.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	first.ApplyWatch(platform.Changes{Revision: 11, Changes: []platform.Change{{Object: object("c", 11)}}})
	first.ApplyListing(listing(14, object("a", 13), object("c", 11)))
	changes, ok := first.ChangesSince(second.Revision())
	require.True(t, ok)
	require.True(t, second.ApplyChanges(changes))
	require.Equal(t, names(&first), names(&second))
	require.Equal(t, first.Revision(), second.Revision())
	_, ok = first.ChangesSince(9)
	require.False(t, ok, "changes before the first listing are not known")
}

// Load pattern: the configuration changes several times a second. A peer gets the newest
// content alone, and the log does not hold the earlier ones.
func TestSupersededChangesAreNotKept(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	for revision := fleet.Version(11); revision < 100; revision++ {
		r.ApplyWatch(platform.Changes{Revision: revision, Changes: []platform.Change{{Object: object("a", revision)}}})
	}
	changes, ok := r.ChangesSince(10)
	require.True(t, ok)
	require.Equal(t, platform.Changes{Revision: 99, Changes: []platform.Change{{Object: object("a", 99)}}}, changes)
	changes, ok = r.ChangesSince(99)
	require.True(t, ok)
	require.Empty(t, changes.Changes)
}
