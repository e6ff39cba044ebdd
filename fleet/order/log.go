package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/record"
	"hibiscuslb/fleet/task"
)

const (
	// SegmentLimit is the size at which a segment is sealed. Each commit writes
	// the open segment anew, so it is kept far below the platform's limit.
	SegmentLimit fleet.Bytes = 32 << 10
	// maxCommitTries bounds how often a commit starts anew after a conflict.
	maxCommitTries = 8
)

// A Log is one process's view of a shard's log. It is used by one goroutine.
// The zero value with its first two fields set is ready; it reads the log on
// first use.
type Log struct {
	Client    record.Client
	Shard     Shard
	Retention time.Duration // how long a key is remembered; zero for ever

	loaded       bool
	firstNumber  uint64 // number of the first segment
	firstVersion fleet.Version
	lastNumber   uint64 // of the last segment
	last         Segment
	lastVersion  fleet.Version // of the last segment's object; zero if not written yet
	index        index
	abandoned    map[AttemptID]bool // claims of ours that are never dispatched
	sealed       map[uint64]sealedSegment
}

// sealedSegment is what has to be known of a sealed segment to drop it.
type sealedSegment struct {
	version fleet.Version
	newest  int64
}

// Contains reports whether the log remembers the key, as of the last commit.
func (l *Log) Contains(key Key) bool {
	_, ok := l.index.lookup(key)
	return ok
}

// Commit writes the entries in one conditional write and returns a result for
// each. Claims of keys that are taken are left out.
func (l *Log) Commit(ctx context.Context, entries []Entry) []Result {
	var err error
	for range maxCommitTries {
		if err = l.catchUp(ctx); err != nil {
			break
		}
		results, fresh := l.decide(entries)
		if len(fresh) == 0 {
			return l.fillAnswers(ctx, entries, results)
		}
		if err = l.write(ctx, fresh); err == nil {
			return l.fillAnswers(ctx, entries, results)
		}
		// Somebody else has written, or the write got no answer and may have
		// taken effect or yet do so. Read on either way; a claim of ours that
		// is found in the log counts as recorded.
		l.loaded = false
	}
	return l.failAll(entries, err)
}

// fillAnswers reads the answers of earlier attempts that are no longer in memory.
func (l *Log) fillAnswers(ctx context.Context, entries []Entry, results []Result) []Result {
	for i := range results {
		if results[i].Decision != DecisionFinished {
			continue
		}
		if err := l.readAnswer(ctx, entries[i].Key, &results[i].Earlier); err != nil {
			results[i] = Result{Decision: DecisionFailed, Earlier: results[i].Earlier, Err: err}
		}
	}
	return results
}

// readAnswer fills in the answer of a finished key.
func (l *Log) readAnswer(ctx context.Context, key Key, record *KeyState) error {
	if finish, ok := l.index.cachedAnswer(key); ok {
		record.Status, record.Answer = finish.Status, finish.Answer
		return nil
	}
	name := segmentName(l.Shard, l.index.segmentOf(key))
	object, err := l.Client.Read(ctx, name)
	if err != nil {
		return err
	}
	var segment Segment
	if err := cbor.Unmarshal(object.Value, &segment); err != nil {
		return fmt.Errorf("order: %s: %w", name, err)
	}
	for i := range segment.Entries {
		if entry := &segment.Entries[i]; entry.Kind == Finish && entry.Key == key {
			record.Status, record.Answer = entry.Status, entry.Answer
			return nil
		}
	}
	return fmt.Errorf("order: %s does not hold the answer that the index says", name)
}

// decide returns the results that hold if the fresh entries get written.
func (l *Log) decide(entries []Entry) (results []Result, fresh []Entry) {
	results = make([]Result, len(entries))
	taken := make(map[Key]KeyState)
	for i := range entries {
		entry := &entries[i]
		record, known := l.index.lookup(entry.Key)
		if claimed, ok := taken[entry.Key]; ok {
			record, known = claimed, true
		}
		results[i] = l.decideEntry(entry, record, known)
		if results[i].Decision != DecisionRecorded || l.isWritten(entry, record, known) {
			continue
		}
		fresh = append(fresh, *entry)
		if entry.Kind == Claim {
			taken[entry.Key] = KeyState{Digest: entry.Digest, Attempt: entry.Attempt}
		}
	}
	return results, fresh
}

func (l *Log) decideEntry(entry *Entry, record KeyState, known bool) Result {
	switch {
	case entry.Kind != Claim, !known, record.Attempt == entry.Attempt:
		return Result{Decision: DecisionRecorded}
	case record.Digest != entry.Digest:
		return Result{Decision: DecisionMismatch, Earlier: record}
	case record.Finished:
		return Result{Decision: DecisionFinished, Earlier: record}
	case l.abandoned[record.Attempt]:
		// Our own claim, which we know was never dispatched.
		return Result{Decision: DecisionRecorded}
	default:
		return Result{Decision: DecisionOpen, Earlier: record}
	}
}

// isWritten reports whether the entry is in the log already.
func (l *Log) isWritten(entry *Entry, record KeyState, known bool) bool {
	switch entry.Kind {
	case Claim:
		return known && record.Attempt == entry.Attempt
	case Finish:
		return !known || record.Attempt != entry.Attempt || record.Finished
	default:
		return !known || record.Attempt != entry.Attempt
	}
}

// write writes the tail with the entries added.
func (l *Log) write(ctx context.Context, fresh []Entry) error {
	next := Segment{Entries: append(l.last.Entries[:len(l.last.Entries):len(l.last.Entries)], fresh...)}
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	if fleet.Bytes(len(value)) >= SegmentLimit {
		next.Sealed = true
		if value, err = cbor.Marshal(next); err != nil {
			return fmt.Errorf("order: %w", err)
		}
	}
	version, err := l.Client.Write(ctx, segmentName(l.Shard, l.lastNumber), value, l.lastVersion)
	if err != nil {
		return err
	}
	l.applySegment(next, version, len(l.last.Entries))
	return nil
}

// applySegment takes a newer state of the last segment, of which the first known
// entries are known.
func (l *Log) applySegment(segment Segment, version fleet.Version, known int) {
	for i := range segment.Entries[known:] {
		l.index.apply(&segment.Entries[known+i], l.lastNumber)
	}
	l.last, l.lastVersion = segment, version
	if !segment.Sealed {
		return
	}
	sealed := sealedSegment{version: version}
	for i := range segment.Entries {
		sealed.newest = max(sealed.newest, segment.Entries[i].At)
	}
	l.sealed[l.lastNumber] = sealed
	l.lastNumber++
	l.last, l.lastVersion = Segment{}, 0
}

// catchUp reads on from what is known to the end of the chain. In the normal
// case nothing is read: a write by somebody else shows as a conflict.
func (l *Log) catchUp(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	ahead := 1
	if l.sealed == nil {
		if err := l.readFirstNumber(ctx); err != nil {
			return err
		}
		ahead = readAhead
	}
	for !l.loaded {
		objects, err := l.readSegments(ctx, ahead)
		if err != nil {
			return err
		}
		l.loaded = len(objects) < ahead
		for _, object := range objects {
			if err := l.applyObject(object); err != nil {
				return err
			}
		}
	}
	return nil
}

// readAhead is how many segments are read at once when a log is taken over.
const readAhead = 16

// readSegments reads so many segments from the last known one on, and returns those
// that exist, up to the first that does not.
func (l *Log) readSegments(ctx context.Context, ahead int) ([]record.Object, error) {
	objects := make([]record.Object, ahead)
	errs := make([]error, ahead)
	var reads task.Group
	for i := range ahead {
		reads.Go(ctx, func(ctx context.Context) {
			objects[i], errs[i] = l.Client.Read(ctx, segmentName(l.Shard, l.lastNumber+uint64(i)))
		})
	}
	reads.Wait()
	for i, err := range errs {
		var absent *record.NotFoundError
		if errors.As(err, &absent) {
			return objects[:i], nil
		}
		if err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// applyObject takes the next object of the chain.
func (l *Log) applyObject(object record.Object) error {
	if object.Version <= l.lastVersion {
		l.loaded = true // nothing new
		return nil
	}
	var segment Segment
	if err := cbor.Unmarshal(object.Value, &segment); err != nil {
		return fmt.Errorf("order: %s: %w", object.Name, err)
	}
	l.applySegment(segment, object.Version, len(l.last.Entries))
	l.loaded = l.loaded || !segment.Sealed
	return nil
}

func (l *Log) readFirstNumber(ctx context.Context) error {
	object, err := l.Client.Read(ctx, firstName(l.Shard))
	var absent *record.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return err
	}
	if err == nil {
		if err := cbor.Unmarshal(object.Value, &l.firstNumber); err != nil {
			return fmt.Errorf("order: %s: %w", object.Name, err)
		}
	}
	l.firstVersion = object.Version
	l.lastNumber = l.firstNumber
	l.sealed = make(map[uint64]sealedSegment)
	return nil
}

// failAll gives up on the entries. Claims among them are never dispatched, even
// if their write takes effect later, and releases were of attempts that are
// over without a run.
func (l *Log) failAll(entries []Entry, err error) []Result {
	results := make([]Result, len(entries))
	for i := range entries {
		results[i] = Result{Decision: DecisionFailed, Err: err}
		if entries[i].Kind != Finish {
			l.Abandon(entries[i].Attempt)
		}
	}
	l.loaded = false
	return results
}

// Abandon notes that a claim of this process will never be dispatched, so that
// its key can be claimed anew.
func (l *Log) Abandon(attempt AttemptID) {
	if l.abandoned == nil {
		l.abandoned = make(map[AttemptID]bool)
	}
	l.abandoned[attempt] = true
}

// Trim drops segments whose entries are all older than the retention. It
// returns how many it dropped.
func (l *Log) Trim(ctx context.Context, now time.Time) (int, error) {
	dropped := 0
	for l.Retention > 0 {
		old, ok := l.sealed[l.firstNumber]
		if !ok || now.Sub(time.Unix(old.newest, 0)) < l.Retention {
			return dropped, nil
		}
		value, err := cbor.Marshal(l.firstNumber + 1)
		if err != nil {
			return dropped, fmt.Errorf("order: %w", err)
		}
		version, err := l.Client.Write(ctx, firstName(l.Shard), value, l.firstVersion)
		if err != nil {
			return dropped, err
		}
		l.firstVersion = version
		l.index.dropBefore(now.Add(-l.Retention))
		// A segment before the first one is never read; if this delete fails
		// the object stays behind and does no harm.
		_ = l.Client.Delete(ctx, segmentName(l.Shard, l.firstNumber), old.version)
		delete(l.sealed, l.firstNumber)
		l.firstNumber++
		dropped++
	}
	return dropped, nil
}
