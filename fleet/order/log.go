package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/task"
)

const (
	// SegmentLimit is the size at which a segment is sealed. Each commit rewrites
	// the whole open segment, so the limit is far below the platform's limit for
	// an object.
	SegmentLimit fleet.Bytes = 32 << 10
	// maxCommitTries bounds how often a commit is tried, counting repeats after a
	// write that conflicted or got no answer.
	maxCommitTries = 8
)

// A Log is one process's view of the log of a shard. It is not safe for concurrent
// use. Client and Shard must be set; the log is read on first use.
type Log struct {
	Client    objectstore.Client
	Shard     Shard
	Retention time.Duration // how long keys are kept; zero keeps them forever

	loaded       bool          // the chain was read to its end and no write has failed since
	firstNumber  uint64        // number of the first segment
	firstVersion fleet.Version // of the object that holds firstNumber
	lastNumber   uint64        // number of the last segment
	last         Segment       // the last segment, not sealed
	lastVersion  fleet.Version // of the last segment's object; zero if it is not written yet
	index        index
	abandoned    map[AttemptID]bool       // attempts of this process that will never be dispatched
	sealed       map[uint64]sealedSegment // by segment number
}

// sealedSegment describes a sealed segment for Trim.
type sealedSegment struct {
	version fleet.Version
	newest  int64 // latest claim time of its entries, in seconds since 1970
}

// Contains reports whether the key is in the log, as of the last commit.
func (l *Log) Contains(key Key) bool {
	_, ok := l.index.lookup(key)
	return ok
}

// Commit writes the entries in one conditional write and returns a result for
// each. A claim of a key that another attempt has claimed is not written, unless this
// process has abandoned that attempt.
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
		// Either another process has written the log, or the write got no answer
		// and may take effect now or later. In both cases read the log again; a
		// claim of this process that is found there counts as recorded.
		l.loaded = false
	}
	return l.failAll(entries, err)
}

// fillAnswers adds the stored answers to the results of finished keys.
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

// readAnswer sets the answer in the state of a finished key. It reads the answer from
// the cache or from its segment.
func (l *Log) readAnswer(ctx context.Context, key Key, state *KeyState) error {
	if finish, ok := l.index.cachedAnswer(key); ok {
		state.Status, state.Answer = finish.Status, finish.Answer
		return nil
	}
	name := segmentName(l.Shard, l.index.segmentOf(key))
	object, err := l.Client.Read(ctx, name)
	if err != nil {
		return err
	}
	var segment Segment
	if err := cbor.Unmarshal(object.Value, &segment); err != nil {
		return fmt.Errorf("order: decoding segment %s: %w", name, err)
	}
	for i := range segment.Entries {
		if entry := &segment.Entries[i]; entry.Kind == Finish && entry.Key == key {
			state.Status, state.Answer = entry.Status, entry.Answer
			return nil
		}
	}
	return fmt.Errorf("order: segment %s has no finish entry for key %x, contrary to the index", name, key)
}

// decide returns the results of the entries, which apply once the fresh ones are
// written. Fresh entries are those to be recorded that are not in the log yet.
func (l *Log) decide(entries []Entry) (results []Result, fresh []Entry) {
	results = make([]Result, len(entries))
	claims := make(map[Key]KeyState)
	for i := range entries {
		entry := &entries[i]
		state, known := l.index.lookup(entry.Key)
		if claimed, ok := claims[entry.Key]; ok {
			state, known = claimed, true
		}
		results[i] = l.decideEntry(entry, state, known)
		if results[i].Decision != DecisionRecorded || l.isWritten(entry, state, known) {
			continue
		}
		fresh = append(fresh, *entry)
		if entry.Kind == Claim {
			claims[entry.Key] = KeyState{Digest: entry.Digest, Attempt: entry.Attempt}
		}
	}
	return results, fresh
}

// decideEntry returns the result of an entry whose key has the given state.
func (l *Log) decideEntry(entry *Entry, state KeyState, known bool) Result {
	switch {
	case entry.Kind != Claim, !known, state.Attempt == entry.Attempt:
		return Result{Decision: DecisionRecorded}
	case state.Digest != entry.Digest:
		return Result{Decision: DecisionMismatch, Earlier: state}
	case state.Finished:
		return Result{Decision: DecisionFinished, Earlier: state}
	case l.abandoned[state.Attempt]:
		// This process made the earlier claim and has never dispatched it.
		return Result{Decision: DecisionRecorded}
	default:
		return Result{Decision: DecisionOpen, Earlier: state}
	}
}

// isWritten reports whether the entry is in the log already, or has no effect there.
func (l *Log) isWritten(entry *Entry, state KeyState, known bool) bool {
	switch entry.Kind {
	case Claim:
		return known && state.Attempt == entry.Attempt
	case Finish:
		return !known || state.Attempt != entry.Attempt || state.Finished
	default:
		return !known || state.Attempt != entry.Attempt
	}
}

// write writes the last segment with the entries appended, and seals it if it has
// reached SegmentLimit.
func (l *Log) write(ctx context.Context, fresh []Entry) error {
	next := Segment{Entries: append(l.last.Entries[:len(l.last.Entries):len(l.last.Entries)], fresh...)}
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("order: encoding segment %s: %w", segmentName(l.Shard, l.lastNumber), err)
	}
	if fleet.Bytes(len(value)) >= SegmentLimit {
		next.Sealed = true
		if value, err = cbor.Marshal(next); err != nil {
			return fmt.Errorf("order: encoding segment %s: %w", segmentName(l.Shard, l.lastNumber), err)
		}
	}
	version, err := l.Client.Write(ctx, segmentName(l.Shard, l.lastNumber), value, l.lastVersion)
	if err != nil {
		return err
	}
	l.applySegment(next, version, len(l.last.Entries))
	return nil
}

// applySegment replaces the last segment by a newer state of it. The index holds the
// first known entries already.
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

// catchUp reads the chain from the last known segment to its end. It reads nothing if
// the chain has been loaded: a write by another process is detected by a conflict.
func (l *Log) catchUp(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	batch := 1
	if l.sealed == nil {
		if err := l.readFirstNumber(ctx); err != nil {
			return err
		}
		batch = readAhead
	}
	for !l.loaded {
		objects, err := l.readSegments(ctx, batch)
		if err != nil {
			return err
		}
		l.loaded = len(objects) < batch
		for _, object := range objects {
			if err := l.applyObject(object); err != nil {
				return err
			}
		}
	}
	return nil
}

// readAhead is the number of segments that are read in parallel on first use.
const readAhead = 16

// readSegments reads the given number of segments, starting with the last known one,
// and returns those before the first that does not exist.
func (l *Log) readSegments(ctx context.Context, count int) ([]objectstore.Object, error) {
	objects := make([]objectstore.Object, count)
	errs := make([]error, count)
	var reads task.Group
	for i := range count {
		reads.Go(ctx, func(ctx context.Context) {
			objects[i], errs[i] = l.Client.Read(ctx, segmentName(l.Shard, l.lastNumber+uint64(i)))
		})
	}
	reads.Wait()
	for i, err := range errs {
		var notFound *objectstore.NotFoundError
		if errors.As(err, &notFound) {
			return objects[:i], nil
		}
		if err != nil {
			return nil, err
		}
	}
	return objects, nil
}

// applyObject applies the next segment object of the chain.
func (l *Log) applyObject(object objectstore.Object) error {
	if object.Version <= l.lastVersion {
		l.loaded = true // unchanged since the last read
		return nil
	}
	var segment Segment
	if err := cbor.Unmarshal(object.Value, &segment); err != nil {
		return fmt.Errorf("order: decoding segment %s: %w", object.Name, err)
	}
	l.applySegment(segment, object.Version, len(l.last.Entries))
	l.loaded = l.loaded || !segment.Sealed
	return nil
}

// readFirstNumber reads the number of the first segment, zero if none is stored.
func (l *Log) readFirstNumber(ctx context.Context) error {
	object, err := l.Client.Read(ctx, firstNumberName(l.Shard))
	var notFound *objectstore.NotFoundError
	if err != nil && !errors.As(err, &notFound) {
		return err
	}
	if err == nil {
		if err := cbor.Unmarshal(object.Value, &l.firstNumber); err != nil {
			return fmt.Errorf("order: decoding first segment number in %s: %w", object.Name, err)
		}
	}
	l.firstVersion = object.Version
	l.lastNumber = l.firstNumber
	l.sealed = make(map[uint64]sealedSegment)
	return nil
}

// failAll returns DecisionFailed for all entries. The attempts of claims and releases
// among them count as abandoned: the claims are never dispatched, even if their write
// takes effect later, and the releases are of attempts that did not run.
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

// Abandon records that a claim of this process will never be dispatched, so that
// this process may claim its key again.
func (l *Log) Abandon(attempt AttemptID) {
	if l.abandoned == nil {
		l.abandoned = make(map[AttemptID]bool)
	}
	l.abandoned[attempt] = true
}

// Trim removes the oldest sealed segments as long as the claims of all their entries
// are older than the retention. It returns the number of segments removed.
func (l *Log) Trim(ctx context.Context, now time.Time) (int, error) {
	removed := 0
	for l.Retention > 0 {
		oldest, ok := l.sealed[l.firstNumber]
		if !ok || now.Sub(time.Unix(oldest.newest, 0)) < l.Retention {
			return removed, nil
		}
		value, err := cbor.Marshal(l.firstNumber + 1)
		if err != nil {
			return removed, fmt.Errorf("order: encoding first segment number of shard %d: %w", l.Shard, err)
		}
		version, err := l.Client.Write(ctx, firstNumberName(l.Shard), value, l.firstVersion)
		if err != nil {
			return removed, err
		}
		l.firstVersion = version
		l.index.dropBefore(now.Add(-l.Retention))
		// Segments before the first one are never read, so an object that remains
		// because this delete failed has no effect.
		_ = l.Client.Delete(ctx, segmentName(l.Shard, l.firstNumber), oldest.version)
		delete(l.sealed, l.firstNumber)
		l.firstNumber++
		removed++
	}
	return removed, nil
}
