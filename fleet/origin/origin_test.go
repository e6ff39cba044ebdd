package origin_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
)

const (
	second   = time.Second
	deadline = 12 * time.Second
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

func versions(softwares ...fleet.Software) (list []origin.Version) {
	for _, software := range softwares {
		list = append(list, origin.Version{Service: "lm", Software: software})
	}
	return list
}

func keyOf(attempt string) *origin.Key {
	key := origin.KeyOf("lm", "w", fleet.RequestID(attempt))
	return &key
}

// newLedger returns the ledger of the first planner of a fleet.
func newLedger(now time.Duration, softwares ...fleet.Software) *origin.Ledger {
	l := new(origin.Ledger)
	l.SetVersions(at(now), versions(softwares...))
	l.BeginFirst(at(now))
	return l
}

func begin(l *origin.Ledger, now time.Duration, attempt string, software fleet.Software) {
	l.RecordStart(at(now), origin.Start{Key: *keyOf(attempt), Service: "lm", Software: software, Deadline: deadline})
}

// load adds what a read finds that begins now: the batches, and engines of the versions.
func load(l *origin.Ledger, now time.Duration, batches []origin.Batch, softwares ...fleet.Software) {
	l.Load(at(now), at(now), &origin.Records{Batches: batches, Listed: versions(softwares...)})
}

// requireOrigin takes up the stream of an attempt.
func requireOrigin(t *testing.T, l *origin.Ledger, now time.Duration, attempt *origin.Key, want fleet.Software) {
	t.Helper()
	got, known := l.Find(at(now), "lm", attempt, at(now), true)
	require.Equal(t, want != "", known)
	if known {
		require.Equal(t, want, got)
	}
}

func ExampleLedger() {
	var l origin.Ledger
	v1, v2 := origin.Version{Service: "lm", Software: "v1"}, origin.Version{Service: "lm", Software: "v2"}
	l.SetVersions(at(0), []origin.Version{v1, v2})
	key := origin.KeyOf("lm", "w", "9c41")
	l.RecordStart(at(0), origin.Start{Key: key, Service: "lm", Software: "v2", Deadline: 10 * time.Second})
	fmt.Println(l.Find(at(second), "lm", &key, at(second), true))
	other := origin.KeyOf("lm", "another workspace", "9c41")
	_, known := l.Find(at(second), "lm", &other, at(second), true)
	fmt.Println(known)
	// Output:
	// v2 true
	// false
}

func TestVersionIsToldByExclusion(t *testing.T) {
	l := newLedger(0, "v1")
	load(l, 0, nil, "v1")
	requireOrigin(t, l, 0, nil, "v1")
	requireOrigin(t, l, 0, keyOf("never recorded"), "v1")
	begin(l, second, "first", "v1")
	l.SetVersions(at(2*second), versions("v1", "v2"))
	load(l, 2*second, nil, "v1", "v2")
	requireOrigin(t, l, 2*second, nil, "")
	requireOrigin(t, l, 2*second, keyOf("never recorded"), "")
	requireOrigin(t, l, 2*second, keyOf("first"), "v1")
	l.SetVersions(at(10*second), versions("v2"))
	load(l, 11*second, nil, "v2")
	requireOrigin(t, l, 11*second, nil, "")
	end := 10*second + l.Retention()
	load(l, end, nil, "v2")
	requireOrigin(t, l, end, nil, "v2")
}

// Load pattern: a host is cut off from the others and from the store while a release begins
// elsewhere. What it knows of single attempts stays right.
func TestHostThatIsCutOffExcludesNothing(t *testing.T) {
	l := newLedger(0, "v1")
	begin(l, 0, "a", "v1")
	load(l, second, nil, "v1")
	_, known := l.Find(at(second), "lm", keyOf("elsewhere"), at(second), false)
	require.False(t, known)
	software, known := l.Find(at(second), "lm", keyOf("a"), at(second), false)
	require.True(t, known)
	require.Equal(t, fleet.Software("v1"), software)
}

// TestHostOutOfStepReadsRosterFirst guards against a host that stood still, or whose watch is
// silent, while engines of a new version joined: it took streams that they had begun for ones of
// the only version that it knew.
func TestHostOutOfStepReadsRosterFirst(t *testing.T) {
	l := newLedger(0, "v1")
	load(l, second, nil, "v1")
	requireOrigin(t, l, second, keyOf("of v1"), "v1")
	came := 1500 * time.Millisecond // v2 has joined, which the host has not heard
	requireOrigin(t, l, came, keyOf("of v2"), "")
	require.True(t, l.LoadPending(), "the request waits for the roster")
	load(l, came+100*time.Millisecond, nil, "v1", "v2")
	requireOrigin(t, l, came+200*time.Millisecond, keyOf("of v2"), "")
	require.Len(t, l.Versions(at(came+200*time.Millisecond)), 2)

	l = newLedger(0, "v1")
	begin(l, second, "of v2", "v2") // another host reports a stream of engines that this one does not know
	load(l, second, nil, "v1")
	requireOrigin(t, l, second, keyOf("never recorded"), "")
	requireOrigin(t, l, second, keyOf("of v2"), "v2")

	l = newLedger(0, "v1")
	l.Find(at(0), "lm", keyOf("a"), at(0), true)
	require.True(t, l.LoadDue(at(0)))
	l.Load(at(second), at(0), nil)
	require.False(t, l.LoadPending(), "the read failed")
	requireOrigin(t, l, 0, keyOf("a"), "")
}

// A host that starts does not know which versions have left before.
func TestNewLedgerExcludesNothing(t *testing.T) {
	var l origin.Ledger
	l.SetVersions(at(0), versions("v2"))
	requireOrigin(t, &l, second, nil, "")
	require.Empty(t, l.Versions(at(second)))
	load(&l, l.Retention(), nil, "v2")
	requireOrigin(t, &l, l.Retention(), nil, "v2")

	l = origin.Ledger{}
	l.SetVersions(at(0), versions("v2"))
	l.Inherit(at(second), nil)
	requireOrigin(t, &l, second, nil, "")
	l.Inherit(at(second), versions("v2"))
	load(&l, second, nil, "v2")
	requireOrigin(t, &l, second, nil, "v2")
	l.Inherit(at(2*second), versions("v1", "v2"))
	requireOrigin(t, &l, 2*second, nil, "")
	require.Equal(t, origin.Versions(versions("v1", "v2")), l.Versions(at(2*second)))
	only, ok := l.Versions(at(2*second + l.Retention())).Only("lm")
	require.True(t, ok)
	require.Equal(t, fleet.Software("v2"), only)
}

// TestAttemptWithTwoStartsIsAmbiguous has a caller use the ID of an attempt again.
func TestAttemptWithTwoStartsIsAmbiguous(t *testing.T) {
	l := newLedger(0, "v1", "v2")
	begin(l, 0, "a", "v1")
	begin(l, second, "a", "v1") // reported twice
	requireOrigin(t, l, second, keyOf("a"), "v1")
	begin(l, 2*second, "a", "v2")
	requireOrigin(t, l, 2*second, keyOf("a"), "")
}

func TestStreamsAreForgottenAfterRetention(t *testing.T) {
	l := newLedger(0, "v1", "v2")
	begin(l, 0, "a", "v1")
	requireOrigin(t, l, l.Retention()-1, keyOf("a"), "v1")
	requireOrigin(t, l, l.Retention(), keyOf("a"), "")
	l.RecordDeadline(10 * time.Minute)
	require.Greater(t, l.Retention(), 10*time.Minute)
}

func TestBatchesAreWrittenOnlyBesideSeveralVersions(t *testing.T) {
	l := newLedger(0, "v1")
	begin(l, 0, "a", "v1")
	require.Empty(t, l.DueBatches(at(second)))
	l.SetVersions(at(2*second), versions("v1", "v2"))
	begin(l, 2*second, "b", "v2")
	batches := l.DueBatches(at(2 * second))
	require.Len(t, batches, 2, "streams that were begun before the release are written, too")
	begin(l, 2*second, "c", "v2")
	require.Empty(t, l.DueBatches(at(2*second+origin.BatchInterval/2)))
	require.Len(t, l.DueBatches(at(2*second+origin.BatchInterval)), 1)
	require.Empty(t, l.DueBatches(at(3*second)))
	l.Requeue(batches)
	require.Equal(t, batches, l.DueBatches(at(4*second)))

	var successor origin.Ledger
	successor.SetVersions(at(0), versions("v1", "v2"))
	successor.BeginTenure()
	require.True(t, successor.LoadPending())
	requireOrigin(t, &successor, 0, keyOf("a"), "")
	load(&successor, 0, batches, "v1", "v2")
	requireOrigin(t, &successor, 0, keyOf("a"), "v1")
	requireOrigin(t, &successor, 0, keyOf("b"), "v2")
	require.False(t, successor.LoadPending())
	requireOrigin(t, &successor, 0, keyOf("c"), "")
	require.False(t, successor.LoadPending(), "nothing can have been written since")
	requireOrigin(t, &successor, second, keyOf("c"), "")
	require.True(t, successor.LoadPending())
	load(&successor, second, append(batches, origin.Batch{Service: "lm", Software: "v2", Keys: []byte("odd")}), "v1", "v2")
	requireOrigin(t, &successor, second, keyOf("b"), "v2")
}

// TestOriginIsNeverWrong plays planners that follow each other, over releases, kills of all
// hosts and records that are lost, with hosts that begin streams without a planner, starts that
// are reported late or never, and planners that hear of new engines some seconds late. Whatever
// version is named for an attempt must be the one that began it.
func TestOriginIsNeverWrong(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 32))
		listed := map[fleet.Software]bool{"v0": true}
		list := func() []fleet.Software { return slices.Sorted(maps.Keys(listed)) }
		l := newLedger(0, "v0")
		var record origin.Versions // in the record of the duty
		var store [][]origin.Batch
		type start struct {
			at       time.Duration // when the planner gets the report
			attempt  string
			software fleet.Software
		}
		var reports []start
		type take struct {
			came    time.Duration
			attempt string // empty if the caller names none
		}
		var waiting []take
		began := make(map[string]fleet.Software)
		var attempts []string
		named, asked := 0, 0
		releases := 0
		heardAt := time.Duration(0) // when the planner hears of the roster again
		for now := time.Duration(0); now < 3*time.Minute; now += 50 * time.Millisecond {
			if random.IntN(200) == 0 { // a release begins, or an old version goes
				if all := list(); len(all) > 1 {
					delete(listed, all[random.IntN(len(all))])
				} else {
					releases++
					listed[fleet.Software(fmt.Sprint("v", releases))] = true
				}
			}
			if random.IntN(100) == 0 { // the planner is out of step
				heardAt = now + time.Duration(random.IntN(4000))*time.Millisecond
			}
			if now >= heardAt {
				l.SetVersions(at(now), versions(list()...))
			}
			if random.IntN(7) == 0 {
				record = l.Versions(at(now))
			}
			if batches := l.DueBatches(at(now)); len(batches) > 0 && random.IntN(10) > 0 {
				store = append(store, batches)
			}
			if l.LoadDue(at(now)) && random.IntN(2) == 0 {
				if random.IntN(10) == 0 {
					l.Load(at(now), at(now), nil)
				} else {
					load(l, now, slices.Concat(store...), list()...)
				}
			}
			if random.IntN(300) == 0 { // all hosts end; the successor reads the record and the roster
				now += time.Duration(random.IntN(3000)) * time.Millisecond
				l = new(origin.Ledger)
				l.SetVersions(at(now), versions(list()...))
				l.Inherit(at(now), record)
				l.BeginTenure()
				waiting, reports = nil, nil
			}
			reports = slices.DeleteFunc(reports, func(s start) bool {
				if s.at <= now {
					begin(l, now, s.attempt, s.software)
				}
				return s.at <= now
			})
			attempt := fmt.Sprint("a", len(attempts))
			all := list()
			began[attempt] = all[random.IntN(len(all))]
			attempts = append(attempts, attempt)
			if random.IntN(10) > 0 { // the rest is never reported
				reports = append(reports, start{now + time.Duration(random.IntN(300))*time.Millisecond, attempt, began[attempt]})
			}
			taken := attempts[max(0, len(attempts)-1-random.IntN(int(deadline/(50*time.Millisecond))))]
			asked++
			waiting = append(waiting, take{now, taken})
			if len(all) > 1 {
				waiting = append(waiting, take{now, ""})
			}
			waiting = slices.DeleteFunc(waiting, func(w take) bool {
				var key *origin.Key
				if w.attempt != "" {
					key = keyOf(w.attempt)
				}
				software, known := l.Find(at(now), "lm", key, at(w.came), true)
				if known && w.attempt != "" {
					named++
					require.Equal(t, began[w.attempt], software, "seed %d at %v", seed, now)
				}
				require.False(t, known && w.attempt == "", "seed %d at %v: several versions served when the request came", seed, now)
				return known || !l.LoadPending() || now-w.came > second
			})
		}
		require.Greater(t, named, asked/4, "seed %d", seed)
	}
}
