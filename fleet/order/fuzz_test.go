package order_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/order"
	"hibiscuslb/fleet/record"
)

// delayed is an object store on which writes may be held back: the writer
// gets no answer, and the write takes effect later or never.
type delayed struct {
	record.Memory
	hold  bool
	held  []func()
	reads bool // reads fail too
}

func (d *delayed) Write(ctx context.Context, name record.Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	if !d.hold {
		return d.Memory.Write(ctx, name, value, seen)
	}
	d.held = append(d.held, func() { _, _ = d.Memory.Write(ctx, name, value, seen) })
	return 0, &record.UnknownOutcomeError{Name: name, Cause: record.ErrDown}
}

func (d *delayed) Read(ctx context.Context, name record.Name) (record.Object, error) {
	if d.reads {
		return record.Object{}, &record.UnknownOutcomeError{Name: name, Cause: record.ErrDown}
	}
	return d.Memory.Read(ctx, name)
}

// fleetOfLogs is a set of processes that all write one shard. The oracle
// counts the runs of each key at the service.
type fleetOfLogs struct {
	service  delayed
	logs     [3]*order.Log
	runs     map[order.Key]int
	answers  map[order.Key]string
	attempts int
	open     map[order.AttemptID]order.Entry // dispatched, outcome not recorded
	owner    map[order.AttemptID]int
}

func (f *fleetOfLogs) restart(i int) {
	f.logs[i] = &order.Log{Client: &f.service, Shard: 1}
	for attempt, owner := range f.owner {
		if owner == i {
			delete(f.open, attempt)
		}
	}
}

func (f *fleetOfLogs) claim(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "process")
	var batch []order.Entry
	for range rapid.IntRange(1, 3).Draw(t, "batch") {
		name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
		f.attempts++
		batch = append(batch, order.Entry{
			Kind: order.Claim, Key: order.KeyOf("w", "m", name), Digest: order.DigestOf("book", []byte(name)),
			Attempt: order.AttemptID(fmt.Sprintf("a%d", f.attempts)), At: int64(f.attempts),
		})
	}
	for n, result := range f.logs[i].Commit(context.Background(), batch) {
		f.judge(t, i, batch[n], result)
	}
}

func (f *fleetOfLogs) judge(t *rapid.T, process int, entry order.Entry, result order.Result) {
	switch result.Decision {
	case order.DecisionRecorded:
		f.runs[entry.Key]++
		if f.runs[entry.Key] > 1 {
			t.Fatalf("key %x ran %d times", entry.Key, f.runs[entry.Key])
		}
		f.open[entry.Attempt] = entry
		f.owner[entry.Attempt] = process
	case order.DecisionFinished:
		if got := string(result.Earlier.Answer); got != f.answers[entry.Key] || got == "" {
			t.Fatalf("key %x was answered %q, a repeat gets %q", entry.Key, f.answers[entry.Key], got)
		}
	case order.DecisionOpen:
		// A claim in the log of which nobody here has dispatched the attempt is
		// right too: its writer may have gone before it could.
	case order.DecisionMismatch:
		t.Fatalf("key %x is used for one request only", entry.Key)
	}
}

// record lets the target end one dispatched attempt, by its answer or by a
// refusal that proves that it did not run, and its process record that. A
// record that fails is tried again with the same outcome only.
func (f *fleetOfLogs) record(kind order.Kind) {
	for n := 1; n <= f.attempts; n++ {
		attempt := order.AttemptID(fmt.Sprintf("a%d", n))
		entry, ok := f.open[attempt]
		if !ok || (entry.Kind != order.Claim && entry.Kind != kind) {
			continue
		}
		if entry.Kind == order.Claim && kind == order.Release {
			f.runs[entry.Key]--
		}
		entry.Kind = kind
		if kind == order.Finish {
			entry.Answer = []byte("ran as " + string(attempt))
			f.answers[entry.Key] = string(entry.Answer)
		}
		f.open[attempt] = entry
		result := f.logs[f.owner[attempt]].Commit(context.Background(), []order.Entry{entry})[0]
		if result.Decision == order.DecisionRecorded {
			delete(f.open, attempt)
		}
		return
	}
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	fuzzing.Check(t, 3000, 80, func(t *rapid.T) {
		f := &fleetOfLogs{
			runs: make(map[order.Key]int), answers: make(map[order.Key]string),
			open: make(map[order.AttemptID]order.Entry), owner: make(map[order.AttemptID]int),
		}
		for i := range f.logs {
			f.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   f.claim,
			"claim2":  f.claim,
			"finish":  func(*rapid.T) { f.record(order.Finish) },
			"release": func(*rapid.T) { f.record(order.Release) },
			"restart": func(t *rapid.T) { f.restart(rapid.IntRange(0, 2).Draw(t, "process")) },
			"healthy": func(*rapid.T) { f.service.SetFault(record.Healthy); f.service.hold, f.service.reads = false, false },
			"down":    func(*rapid.T) { f.service.SetFault(record.Down) },
			"lose":    func(*rapid.T) { f.service.SetFault(record.LoseAnswers) },
			"hold":    func(*rapid.T) { f.service.hold = true },
			"blind":   func(*rapid.T) { f.service.reads = true },
			"land": func(t *rapid.T) {
				if len(f.service.held) == 0 {
					return
				}
				n := rapid.IntRange(0, len(f.service.held)-1).Draw(t, "write")
				write := f.service.held[n]
				f.service.held = append(f.service.held[:n], f.service.held[n+1:]...)
				write()
			},
		})
	})
}

func TestLogChainsSegmentsAndTrims(t *testing.T) {
	var service record.Memory
	log := &order.Log{Client: &service, Retention: time.Hour}
	claims := func(from, to int) {
		for n := from; n < to; n++ {
			name := fmt.Sprint(n)
			entry := order.Entry{Kind: order.Claim, Key: order.KeyOf("w", "m", name), Attempt: order.AttemptID(name), At: int64(n)}
			if result := log.Commit(context.Background(), []order.Entry{entry})[0]; result.Decision != order.DecisionRecorded {
				t.Fatalf("claim %d: %+v", n, result)
			}
		}
	}
	claims(0, 2000)
	successor := &order.Log{Client: &service, Retention: time.Hour}
	repeat := order.Entry{Kind: order.Claim, Key: order.KeyOf("w", "m", "3"), Attempt: "new"}
	if result := successor.Commit(context.Background(), []order.Entry{repeat})[0]; result.Decision != order.DecisionOpen {
		t.Fatalf("a key in a sealed segment: %+v", result)
	}
	const oldest = 1000 // of the keys that are within the retention
	dropped, err := log.Trim(context.Background(), time.Unix(oldest+3600, 0))
	if err != nil || dropped == 0 {
		t.Fatalf("dropped %d segments, %v", dropped, err)
	}
	if log.Contains(order.KeyOf("w", "m", "3")) {
		t.Fatal("a key is remembered beyond the retention")
	}
	for n := oldest; n < 2000; n++ {
		if !log.Contains(order.KeyOf("w", "m", fmt.Sprint(n))) {
			t.Fatalf("key %d is forgotten within the retention", n)
		}
	}
	claims(2000, 2100)
}

// TestOldAnswersAreReadFromTheirSegments repeats a key whose answer is no
// longer in memory.
func TestOldAnswersAreReadFromTheirSegments(t *testing.T) {
	var service record.Memory
	log := &order.Log{Client: &service}
	ctx := context.Background()
	entry := func(kind order.Kind, n int) order.Entry {
		name := fmt.Sprint(n)
		return order.Entry{Kind: kind, Key: order.KeyOf("w", "m", name), Attempt: order.AttemptID(name), Answer: []byte("answer " + name), Status: 200}
	}
	for n := range 1000 {
		log.Commit(ctx, []order.Entry{entry(order.Claim, n)})
		log.Commit(ctx, []order.Entry{entry(order.Finish, n)})
	}
	for _, reader := range []*order.Log{log, {Client: &service}} {
		for _, n := range []int{0, 500, 999} {
			repeat := entry(order.Claim, n)
			repeat.Attempt = "again"
			result := reader.Commit(ctx, []order.Entry{repeat})[0]
			if result.Decision != order.DecisionFinished || string(result.Earlier.Answer) != fmt.Sprint("answer ", n) {
				t.Fatalf("key %d: %+v", n, result)
			}
		}
	}
	service.SetFault(record.Down)
	repeat := entry(order.Claim, 0)
	repeat.Attempt = "again"
	if result := log.Commit(ctx, []order.Entry{repeat})[0]; result.Decision != order.DecisionFailed || !result.Earlier.Finished {
		t.Fatalf("an answer that can not be read: %+v", result)
	}
}

// TestManyFinishedKeysAreRemembered fills several runs of the archive, with
// keys that finish again after they were forgotten elsewhere.
func TestManyFinishedKeysAreRemembered(t *testing.T) {
	var service record.Memory
	log := &order.Log{Client: &service}
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
			t.Fatalf("key %d: %+v", n, result)
		}
		other := entry(order.Claim, n, "c")
		other.Digest = order.DigestOf("book", []byte("another"))
		if result := log.Commit(ctx, []order.Entry{other})[0]; result.Decision != order.DecisionMismatch {
			t.Fatalf("key %d with another request: %+v", n, result)
		}
	}
}

// BenchmarkIndex measures the memory of the keys that a log remembers.
func BenchmarkIndex(b *testing.B) {
	for b.Loop() {
		const keys = 560_000
		var service record.Memory
		log := &order.Log{Client: &service}
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
		service = record.Memory{}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		b.ReportMetric(float64(stats.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(log)
	}
}
