package replica_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/platform"
)

// at returns a revision of the first era.
func at(number fleet.Version) fleet.Revision { return fleet.Revision{Era: 1, Number: number} }

func object(name string, number fleet.Version) platform.Object {
	return platform.Object{Kind: "k", Name: name, Revision: at(number)}
}

func listing(number fleet.Version, objects ...platform.Object) platform.Listing {
	return platform.Listing{Revision: at(number), Objects: objects}
}

func names(r *replica.Replica) map[string]fleet.Revision {
	result := make(map[string]fleet.Revision)
	r.ForEach(func(o platform.Object) { result[o.Name] = o.Revision })
	return result
}

// A watch of the store may end without events although there were changes: an
// empty answer must not advance the revision past a change that was not reported.
func TestEmptyWatchDoesNotAdvanceRevision(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5)))
	require.False(t, r.ApplyWatch(platform.Changes{Revision: at(20)}))
	require.Equal(t, at(10), r.Revision())
	require.True(t, r.ApplyWatch(platform.Changes{Revision: at(15), Changes: []platform.Change{{Object: object("a", 15)}}}))
	require.Equal(t, map[string]fleet.Revision{"a": at(15)}, names(&r))
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	var r replica.Replica
	require.True(t, r.ApplyListing(listing(10, object("a", 9))))
	require.False(t, r.ApplyListing(listing(8, object("a", 4), object("b", 4))))
	require.False(t, r.ApplyChanges(platform.Changes{Revision: at(10), Changes: []platform.Change{{Object: object("a", 9), Removed: true}}}))
	require.Equal(t, map[string]fleet.Revision{"a": at(9)}, names(&r))
}

func TestListingRemovesAbsentObjects(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	require.True(t, r.ApplyListing(listing(12, object("b", 6))))
	require.Equal(t, map[string]fleet.Revision{"b": at(6)}, names(&r))
	require.False(t, r.ApplyListing(listing(13, object("b", 6))), "nothing has changed")
	require.Equal(t, at(13), r.Revision())
}

// The changes of one replica bring another one to the same state.
func TestChangesSinceBringPeerUpToDate(t *testing.T) {
	var first, second replica.Replica
	first.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	second.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	first.ApplyWatch(platform.Changes{Revision: at(11), Changes: []platform.Change{{Object: object("c", 11)}}})
	first.ApplyListing(listing(14, object("a", 13), object("c", 11)))
	changes, ok := first.ChangesSince(second.Revision())
	require.True(t, ok)
	require.True(t, second.ApplyChanges(changes))
	require.Equal(t, names(&first), names(&second))
	require.Equal(t, first.Revision(), second.Revision())
	_, ok = first.ChangesSince(at(9))
	require.False(t, ok, "changes before the first listing are not known")
}

// Load pattern: the configuration changes several times a second. A peer gets the newest
// content alone, and the log does not hold the earlier ones.
func TestSupersededChangesAreNotKept(t *testing.T) {
	var r replica.Replica
	r.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	for revision := fleet.Version(11); revision < 100; revision++ {
		r.ApplyWatch(platform.Changes{Revision: at(revision), Changes: []platform.Change{{Object: object("a", revision)}}})
	}
	changes, ok := r.ChangesSince(at(10))
	require.True(t, ok)
	require.Equal(t, platform.Changes{Revision: at(99), Changes: []platform.Change{{Object: object("a", 99)}}}, changes)
	changes, ok = r.ChangesSince(at(99))
	require.True(t, ok)
	require.Empty(t, changes.Changes)
}

// Load pattern: the store comes back from a copy, and gives out again the revisions that
// the replica has seen. Peers are in the era before, or have lists of it under way.
func TestListingOfNextEraReplacesLaterRevisions(t *testing.T) {
	next := func(number fleet.Version) fleet.Revision { return fleet.Revision{Era: 2, Number: number} }
	var r replica.Replica
	r.ApplyListing(listing(90, object("a", 50), object("b", 80)))
	restored := platform.Object{Kind: "k", Name: "a", Revision: next(50)}
	written := platform.Object{Kind: "k", Name: "c", Revision: next(80)}
	require.True(t, r.ApplyListing(platform.Listing{Revision: next(80), Objects: []platform.Object{restored, written}}))
	require.Equal(t, map[string]fleet.Revision{"a": next(50), "c": next(80)}, names(&r))

	require.False(t, r.ApplyListing(listing(95, object("b", 95))), "a list of the era before")
	require.False(t, r.ApplyChanges(platform.Changes{Revision: at(95), Changes: []platform.Change{{Object: object("b", 95)}}}))
	_, ok := r.ChangesSince(at(85))
	require.False(t, ok, "no changes lead from one era to the next")
	later := platform.Object{Kind: "k", Name: "d", Revision: next(81)}
	require.True(t, r.ApplyWatch(platform.Changes{Revision: next(81), Changes: []platform.Change{{Object: later}}}))
	changes, ok := r.ChangesSince(next(80))
	require.True(t, ok)
	require.Equal(t, platform.Changes{Revision: next(81), Changes: []platform.Change{{Object: later}}}, changes)

	var behind replica.Replica
	behind.ApplyListing(listing(90, object("a", 50)))
	require.False(t, behind.ApplyChanges(changes), "they lack what the copy changed")
}
