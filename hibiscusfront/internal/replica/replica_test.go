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

func names(k *replica.Replica) map[string]fleet.Version {
	result := make(map[string]fleet.Version)
	k.ForEach(func(o platform.Object) { result[o.Name] = o.Revision })
	return result
}

// The store's watches may hear nothing while changes are made: an empty answer
// must not move the revision past a change that it hid.
func TestAnEmptyWatchProvesNothing(t *testing.T) {
	var k replica.Replica
	k.ApplyListing(listing(10, object("a", 5)))
	require.False(t, k.ApplyWatch(platform.Changes{Revision: 20}))
	require.Equal(t, fleet.Version(10), k.Revision())
	require.True(t, k.ApplyWatch(platform.Changes{Revision: 15, Changes: []platform.Change{{Object: object("a", 15)}}}))
	require.Equal(t, map[string]fleet.Version{"a": 15}, names(&k))
}

func TestWhatIsOlderChangesNothing(t *testing.T) {
	var k replica.Replica
	require.True(t, k.ApplyListing(listing(10, object("a", 9))))
	require.False(t, k.ApplyListing(listing(8, object("a", 4), object("b", 4))))
	require.False(t, k.ApplyChanges(platform.Changes{Revision: 10, Changes: []platform.Change{{Object: object("a", 9), Removed: true}}}))
	require.Equal(t, map[string]fleet.Version{"a": 9}, names(&k))
}

func TestAListRemovesWhatItDoesNotName(t *testing.T) {
	var k replica.Replica
	k.ApplyListing(listing(10, object("a", 5), object("b", 6)))
	require.True(t, k.ApplyListing(listing(12, object("b", 6))))
	require.Equal(t, map[string]fleet.Version{"b": 6}, names(&k))
	require.False(t, k.ApplyListing(listing(13, object("b", 6))), "nothing has changed")
	require.Equal(t, fleet.Version(13), k.Revision())
}

// A replica that tells another one of its changes brings it to its own state.
func TestChangesBringAnotherReplicaUpToDate(t *testing.T) {
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
	require.False(t, ok, "what was before the first list is not known")
}
