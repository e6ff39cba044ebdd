package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/platform"
)

// Load pattern: the answer to a write of the duty's record is lost, and the store then comes
// back from a copy that holds the record. Another host may have taken the duty over since in
// what the copy lacks, so that the write proves nothing.
func TestRecordFromCopyIsNoProofOfWrite(t *testing.T) {
	for _, era := range []uint64{1, 2} {
		c := newObserver(at(0), 1, election.Record{})
		c.Log = new(testlog.Lines).Logger()
		c.members = members{} // nobody to tell
		c.Clock = func() fleet.Instant { return at(time.Millisecond) }
		c.duty = election.Duty{Self: "z"}
		c.duty.ObserveAbsent(at(0), 1)
		w, due := c.duty.NextWrite(at(0), false)
		require.True(t, due)
		spec, err := json.Marshal(w.Record)
		require.NoError(t, err)
		found := platform.Object{Kind: platform.KindDuties, Name: DutyName, Revision: fleet.Revision{Era: era, Number: 9}, Spec: spec}
		c.dutyWritten(at(time.Millisecond), w, platform.Object{}, &platform.ConflictError{Current: found})
		require.Equal(t, era == 1, c.duty.Holds(at(2*time.Millisecond)), "era %d", era)
	}
}

// entryListing returns a list of one target's entry.
func entryListing(era uint64, number fleet.Version, state string) platform.Listing {
	return platform.Listing{Revision: fleet.Revision{Era: era, Number: 50 + number}, Objects: []platform.Object{{
		Kind: platform.KindTargets, Name: "i", Revision: fleet.Revision{Era: era, Number: number},
		Spec: json.RawMessage(`{"service":"s","address":"10.0.0.1:80","state":"` + state + `","born":1700000000000}`),
	}}}
}

// Load pattern: a target begins to leave, and then the store comes back from a copy in which it
// is ready.
func TestListOfRestoredStoreIsCorrected(t *testing.T) {
	c := newObserver(at(0), 1, election.Record{})
	c.targets = targets{}
	lines := new(testlog.Lines)
	c.Log = lines.Logger()
	c.applyListing(at(0), platform.KindTargets, entryListing(1, 10, "ready"), 0)
	c.applyListing(at(time.Second), platform.KindTargets, entryListing(1, 20, "draining"), 0)
	c.applyListing(at(2*time.Second), platform.KindTargets, entryListing(2, 10, "ready"), 0)
	require.True(t, c.View().Target("i").Leaving, "the copy is older than what this host knows")

	// A host that has not noticed the restore yet sends its list.
	c.applyListing(at(3*time.Second), platform.KindTargets, entryListing(1, 30, "ready"), 0)
	require.True(t, c.View().Target("i").Leaving)
	lines.Require(t, "ignored a list of objects from before the object store was restored",
		testlog.Line{"Kind": "servers", "Revision": 80, "Era": 1, "Known": 60, "KnownEra": 2})
}
