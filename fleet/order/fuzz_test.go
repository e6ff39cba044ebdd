package order_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/order"
	"hibiscuslb/fleet/proptest"
)

// delayedStore is an object store that can delay writes: the writer gets no answer,
// and the write takes effect later or never.
type delayedStore struct {
	objectstore.Memory
	delayWrites bool
	delayed     []func() // writes that have not taken effect yet
	failReads   bool
}

func (d *delayedStore) Write(ctx context.Context, name objectstore.Name, value []byte, expected fleet.Version) (fleet.Version, error) {
	if !d.delayWrites {
		return d.Memory.Write(ctx, name, value, expected)
	}
	d.delayed = append(d.delayed, func() { _, _ = d.Memory.Write(ctx, name, value, expected) })
	return 0, &objectstore.UnknownOutcomeError{Name: name, Cause: objectstore.ErrDown}
}

func (d *delayedStore) Read(ctx context.Context, name objectstore.Name) (objectstore.Object, error) {
	if d.failReads {
		return objectstore.Object{}, &objectstore.UnknownOutcomeError{Name: name, Cause: objectstore.ErrDown}
	}
	return d.Memory.Read(ctx, name)
}

// simulation is a set of processes that all write the log of one shard. It counts the
// runs of each key at the target.
type simulation struct {
	store    delayedStore
	logs     [3]*order.Log
	runs     map[order.Key]int
	answers  map[order.Key]string
	attempts int
	open     map[order.AttemptID]order.Entry // dispatched, outcome not recorded yet
	owner    map[order.AttemptID]int         // process that made the attempt
}

// restart replaces the log of process i. Its open attempts end without a record.
func (s *simulation) restart(i int) {
	s.logs[i] = &order.Log{Client: &s.store, Shard: 1}
	for attempt, owner := range s.owner {
		if owner == i {
			delete(s.open, attempt)
		}
	}
}

// claim commits a batch of claims by one of the processes.
func (s *simulation) claim(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "process")
	var batch []order.Entry
	for range rapid.IntRange(1, 3).Draw(t, "batch") {
		name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
		s.attempts++
		batch = append(batch, order.Entry{
			Kind: order.Claim, Key: order.KeyOf("w", "m", name), Digest: order.DigestOf("book", []byte(name)),
			Attempt: order.AttemptID(fmt.Sprintf("a%d", s.attempts)), At: int64(s.attempts),
		})
	}
	for n, result := range s.logs[i].Commit(context.Background(), batch) {
		s.check(t, i, batch[n], result)
	}
}

// check compares the result of a claim with the runs and answers so far.
func (s *simulation) check(t *rapid.T, process int, entry order.Entry, result order.Result) {
	switch result.Decision {
	case order.DecisionRecorded:
		s.runs[entry.Key]++
		if s.runs[entry.Key] > 1 {
			t.Fatalf("key %x ran %d times, want at most 1", entry.Key, s.runs[entry.Key])
		}
		s.open[entry.Attempt] = entry
		s.owner[entry.Attempt] = process
	case order.DecisionFinished:
		if got := string(result.Earlier.Answer); got != s.answers[entry.Key] || got == "" {
			t.Fatalf("key %x was answered %q, but a repeated claim got %q", entry.Key, s.answers[entry.Key], got)
		}
	case order.DecisionOpen:
		// The attempt need not be dispatched: its writer may have restarted
		// before that.
	case order.DecisionMismatch:
		t.Fatalf("key %x: mismatch, although the key is used for one request only", entry.Key)
	}
}

// record ends the first open attempt, by an answer of the target or by a refusal that
// proves that it did not run, and commits the outcome in the log of its process. If the
// commit fails, a later call repeats it, with the same outcome only.
func (s *simulation) record(kind order.Kind) {
	for n := 1; n <= s.attempts; n++ {
		attempt := order.AttemptID(fmt.Sprintf("a%d", n))
		entry, ok := s.open[attempt]
		if !ok || (entry.Kind != order.Claim && entry.Kind != kind) {
			continue
		}
		if entry.Kind == order.Claim && kind == order.Release {
			s.runs[entry.Key]--
		}
		entry.Kind = kind
		if kind == order.Finish {
			entry.Answer = []byte("ran as " + string(attempt))
			s.answers[entry.Key] = string(entry.Answer)
		}
		s.open[attempt] = entry
		result := s.logs[s.owner[attempt]].Commit(context.Background(), []order.Entry{entry})[0]
		if result.Decision == order.DecisionRecorded {
			delete(s.open, attempt)
		}
		return
	}
}

// TestOrdersRunAtMostOnce checks that a key never runs twice, and that repeated claims
// get the recorded answer, while processes restart and the store fails, loses answers
// or delays writes.
func TestOrdersRunAtMostOnce(t *testing.T) {
	proptest.Check(t, 3000, 80, func(t *rapid.T) {
		s := &simulation{
			runs: make(map[order.Key]int), answers: make(map[order.Key]string),
			open: make(map[order.AttemptID]order.Entry), owner: make(map[order.AttemptID]int),
		}
		for i := range s.logs {
			s.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   s.claim,
			"claim2":  s.claim,
			"finish":  func(*rapid.T) { s.record(order.Finish) },
			"release": func(*rapid.T) { s.record(order.Release) },
			"restart": func(t *rapid.T) { s.restart(rapid.IntRange(0, 2).Draw(t, "process")) },
			"healthy": func(*rapid.T) {
				s.store.SetFault(objectstore.Healthy)
				s.store.delayWrites, s.store.failReads = false, false
			},
			"down":        func(*rapid.T) { s.store.SetFault(objectstore.Down) },
			"loseAnswers": func(*rapid.T) { s.store.SetFault(objectstore.LoseAnswers) },
			"holdWrites":  func(*rapid.T) { s.store.delayWrites = true },
			"blockReads":  func(*rapid.T) { s.store.failReads = true },
			"landWrite": func(t *rapid.T) {
				if len(s.store.delayed) == 0 {
					return
				}
				n := rapid.IntRange(0, len(s.store.delayed)-1).Draw(t, "write")
				write := s.store.delayed[n]
				s.store.delayed = append(s.store.delayed[:n], s.store.delayed[n+1:]...)
				write()
			},
		})
	})
}

func TestLogChainsSegmentsAndTrims(t *testing.T) {
	var store objectstore.Memory
	log := &order.Log{Client: &store, Retention: time.Hour}
	claims := func(from, to int) {
		for n := from; n < to; n++ {
			name := fmt.Sprint(n)
			entry := order.Entry{Kind: order.Claim, Key: order.KeyOf("w", "m", name), Attempt: order.AttemptID(name), At: int64(n)}
			if result := log.Commit(context.Background(), []order.Entry{entry})[0]; result.Decision != order.DecisionRecorded {
				t.Fatalf("claim %d: got %+v, want DecisionRecorded", n, result)
			}
		}
	}
	claims(0, 2000)
	successor := &order.Log{Client: &store, Retention: time.Hour}
	repeat := order.Entry{Kind: order.Claim, Key: order.KeyOf("w", "m", "3"), Attempt: "new"}
	if result := successor.Commit(context.Background(), []order.Entry{repeat})[0]; result.Decision != order.DecisionOpen {
		t.Fatalf("claimed key in a sealed segment: got %+v, want DecisionOpen", result)
	}
	const oldest = 1000 // first key within the retention
	removed, err := log.Trim(context.Background(), time.Unix(oldest+3600, 0))
	if err != nil || removed == 0 {
		t.Fatalf("removed %d segments, error %v; want at least one and no error", removed, err)
	}
	if log.Contains(order.KeyOf("w", "m", "3")) {
		t.Fatal("key 3 is in the log after its retention")
	}
	for n := oldest; n < 2000; n++ {
		if !log.Contains(order.KeyOf("w", "m", fmt.Sprint(n))) {
			t.Fatalf("key %d is not in the log within its retention", n)
		}
	}
	claims(2000, 2100)
}

// TestUncachedAnswersAreReadFromSegments repeats keys whose answers are no longer in
// memory, both in the log that wrote them and in a new one.
func TestUncachedAnswersAreReadFromSegments(t *testing.T) {
	var store objectstore.Memory
	log := &order.Log{Client: &store}
	ctx := context.Background()
	entry := func(kind order.Kind, n int) order.Entry {
		name := fmt.Sprint(n)
		return order.Entry{Kind: kind, Key: order.KeyOf("w", "m", name), Attempt: order.AttemptID(name), Answer: []byte("answer " + name), Status: 200}
	}
	for n := range 1000 {
		log.Commit(ctx, []order.Entry{entry(order.Claim, n)})
		log.Commit(ctx, []order.Entry{entry(order.Finish, n)})
	}
	for _, reader := range []*order.Log{log, {Client: &store}} {
		for _, n := range []int{0, 500, 999} {
			repeat := entry(order.Claim, n)
			repeat.Attempt = "again"
			result := reader.Commit(ctx, []order.Entry{repeat})[0]
			if result.Decision != order.DecisionFinished || string(result.Earlier.Answer) != fmt.Sprint("answer ", n) {
				t.Fatalf("key %d: got %+v, want DecisionFinished with its answer", n, result)
			}
		}
	}
	store.SetFault(objectstore.Down)
	repeat := entry(order.Claim, 0)
	repeat.Attempt = "again"
	if result := log.Commit(ctx, []order.Entry{repeat})[0]; result.Decision != order.DecisionFailed || !result.Earlier.Finished {
		t.Fatalf("unreadable answer: got %+v, want DecisionFailed with Earlier.Finished", result)
	}
}

// TestArchivedKeysDetectRepeatsAndMismatches fills several runs of the archive, then claims
// every seventh key again, with the same request and with another one.
func TestArchivedKeysDetectRepeatsAndMismatches(t *testing.T) {
	var store objectstore.Memory
	log := &order.Log{Client: &store}
	ctx := context.Background()
	const keys = 20_000
	entry := func(kind order.Kind, n int, attempt string) order.Entry {
		name := fmt.Sprint(n)
		return order.Entry{
			Kind: kind, Key: order.KeyOf("w", "m", name), Digest: order.DigestOf("book", []byte(name)),
			Attempt: order.AttemptID(attempt), Answer: []byte(name),
		}
	}
	var batch []order.Entry
	for n := range keys {
		if batch = append(batch, entry(order.Claim, n, "a"), entry(order.Finish, n, "a")); len(batch) == 200 {
			log.Commit(ctx, batch)
			batch = batch[:0]
		}
	}
	for n := 0; n < keys; n += 7 {
		result := log.Commit(ctx, []order.Entry{entry(order.Claim, n, "b")})[0]
		if result.Decision != order.DecisionFinished || string(result.Earlier.Answer) != fmt.Sprint(n) {
			t.Fatalf("key %d: got %+v, want DecisionFinished with its answer", n, result)
		}
		other := entry(order.Claim, n, "c")
		other.Digest = order.DigestOf("book", []byte("another"))
		if result := log.Commit(ctx, []order.Entry{other})[0]; result.Decision != order.DecisionMismatch {
			t.Fatalf("key %d with another request: got %+v, want DecisionMismatch", n, result)
		}
	}
}

// BenchmarkIndex measures the memory per finished key of a log.
func BenchmarkIndex(b *testing.B) {
	for b.Loop() {
		const keys = 560_000
		var store objectstore.Memory
		log := &order.Log{Client: &store}
		ctx := context.Background()
		batch := make([]order.Entry, 0, 200)
		for n := range keys {
			name := fmt.Sprint(n)
			claim := order.Entry{Kind: order.Claim, Key: order.KeyOf("w", "m", name), Attempt: order.AttemptID(name)}
			finish := claim
			finish.Kind = order.Finish
			if batch = append(batch, claim, finish); len(batch) == cap(batch) {
				log.Commit(ctx, batch)
				batch = batch[:0]
			}
		}
		log.Client = nil
		store = objectstore.Memory{}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(log)
	}
}
