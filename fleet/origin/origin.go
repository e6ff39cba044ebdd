// Package origin remembers which version of a service's software began each stream, so that
// a stream that is taken up again goes on at that version only.
//
// Engines of several versions may serve side by side. What two of them write does not fit
// together, and engines do not check it. A caller whose stream breaks off takes it up with
// another attempt, at any host, and names the attempt that brought its first event.
//
// Only what was sent to a caller tells which version began a stream. A planner's grant does not:
// the host may not have waited for it, and have got another one from a deputy. A ledger
// therefore records starts, which the host that relays a stream reports, and no grants.
//
// An attempt that is not recorded may still be told by exclusion: if all engines of the service
// that can have begun it had one version, that one began it. A ledger knows this of the time in
// which it has followed the roster itself, and of the time before from the Versions that the
// planner before has passed on. Its host may be out of step with the others, and not know of
// engines that have joined. The roster must therefore have been read from the object store
// since the caller asked: the stream had begun by then. What can't be told is not guessed.
//
// A planner's records die with it, so it writes them to the object store in batches, but only
// while a service has, or had until recently, several versions. A planner or deputy that
// meets an attempt which it does not know reads the batches. The streams of the last batch that
// was not written are lost with a planner; they can't be taken up.
//
// Load patterns:
//   - One version serves, which is most of the time. Nothing is written, and streams that
//     were begun without a planner can be taken up, too.
//   - A release replaces one engine after another, and hosts or engines fail meanwhile. The
//     streams that they break off are all taken up at once.
//   - All hosts end at the same moment, when two versions serve, or when the last engines of
//     the old one have just left. Versions says that the old one may have begun streams.
//   - A planner freezes while hosts wait for its decisions. They ask a deputy, and the planner
//     decides the same requests when it wakes.
//   - A host is cut off, or stands still, while engines of a new version join and begin streams
//     through others. The streams break off and are taken up at that host.
//   - A caller names nothing, nonsense, or an attempt of another workspace.
//
// A Ledger has no clock and does no I/O. It is not safe for concurrent use.
package origin

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

const (
	// MinRetention is the shortest time for which a stream is taken to be alive after its
	// begin. A longer deadline of a caller extends it.
	MinRetention = 30 * time.Second
	// deadlineMargin is added to a caller's deadline, since its attempt was under way
	// before the planner learnt of it.
	deadlineMargin = 5 * time.Second
	// BatchInterval is the time between two batches. It is also what the end of a planner
	// loses.
	BatchInterval = 400 * time.Millisecond
	// loadInterval is the least time from a load of the object store's records to the next.
	loadInterval = 250 * time.Millisecond
	// maxStreams bounds the streams in a ledger.
	maxStreams = 200_000
)

// A Key identifies an attempt of a caller at a stream.
type Key uint64

// KeyOf returns the key of an attempt. An attempt that another workspace names has another key.
func KeyOf(service route.ServiceID, workspace fleet.WorkspaceID, attempt fleet.RequestID) Key {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{string(service), string(workspace), string(attempt)} {
		// The lengths keep the fields apart. Writing to a Digest never fails.
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = d.WriteString(field)
	}
	return Key(d.Sum64())
}

// A Version is one version of the software of a service.
type Version struct {
	Service  route.ServiceID
	Software fleet.Software
}

func compareVersions(a, b Version) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
}

// Versions lists the versions that can have begun a stream which may still be taken up, ordered
// by service. It travels from the planner to all hosts and to its successor.
type Versions []Version

// Only returns the version of the service if there is exactly one.
func (v Versions) Only(service route.ServiceID) (fleet.Software, bool) {
	var only fleet.Software
	n := 0
	for _, version := range v {
		if version.Service == service {
			only = version.Software
			n++
		}
	}
	return only, n == 1
}

// A Batch holds streams that one version of a service has begun.
type Batch struct {
	Service  route.ServiceID
	Software fleet.Software
	Keys     []byte // 8 bytes each, most significant byte first
}

const keyBytes = 8

// A Start tells which version began the stream of an attempt, whose caller waits for at most
// Deadline.
type Start struct {
	Key      Key
	Service  route.ServiceID
	Software fleet.Software
	Deadline time.Duration
}

// Records are what the object store holds: the batches of all planners, and the versions that
// have engines.
type Records struct {
	Batches []Batch
	Listed  []Version
}

// stream is what is known of an attempt.
type stream struct {
	Version
	ambiguous bool // two versions have begun it: the caller has used its ID again
	expires   fleet.Instant
}

// service is what is known of the versions of a service.
type service struct {
	listed map[fleet.Software]bool          // have engines now
	left   map[fleet.Software]fleet.Instant // had engines; until when their streams may be taken up
}

// versions returns the versions of the service that can have begun a stream.
func (s *service) versions() []fleet.Software {
	result := slices.Collect(maps.Keys(s.listed))
	for software := range s.left {
		if !s.listed[software] {
			result = append(result, software)
		}
	}
	return result
}

// A Ledger remembers which version began each stream. The zero value knows nothing.
type Ledger struct {
	services  map[route.ServiceID]*service
	streams   map[Key]*stream
	retention time.Duration // zero means MinRetention
	// completeFrom is when the versions of the services are all those that can have begun a
	// stream: Retention after the ledger began to follow the roster, or when another planner
	// has passed its versions on. Zero means that the ledger does not follow the roster yet.
	completeFrom fleet.Instant

	unwritten map[Key]bool
	lastBatch fleet.Instant
	nextSweep fleet.Instant
	loadDue   bool          // a request waits for the records of the object store
	loadedAt  fleet.Instant // start of the last load that has ended
	rosterAt  fleet.Instant // start of the last load that succeeded
}

// Retention returns how long after its begin a stream may be taken up.
func (l *Ledger) Retention() time.Duration { return max(l.retention, MinRetention) }

// SetVersions records the versions that have engines now.
func (l *Ledger) SetVersions(now fleet.Instant, listed []Version) {
	if l.completeFrom == 0 {
		l.completeFrom = now.Add(l.Retention())
	}
	byService := make(map[route.ServiceID]map[fleet.Software]bool)
	for _, v := range listed {
		if byService[v.Service] == nil {
			byService[v.Service] = make(map[fleet.Software]bool)
		}
		byService[v.Service][v.Software] = true
		l.service(v.Service)
	}
	for id, s := range l.services {
		before := len(s.versions())
		for software := range s.listed {
			if !byService[id][software] {
				s.left[software] = now.Add(l.Retention())
			}
		}
		s.listed = byService[id]
		s.expire(now)
		if before == 1 && len(s.versions()) > 1 {
			l.rewrite(id)
		}
	}
}

// service returns the state of a service, which it creates if necessary.
func (l *Ledger) service(id route.ServiceID) *service {
	if l.services == nil {
		l.services = make(map[route.ServiceID]*service)
	}
	s, ok := l.services[id]
	if !ok {
		s = &service{left: make(map[fleet.Software]fleet.Instant)}
		l.services[id] = s
	}
	return s
}

func (s *service) expire(now fleet.Instant) {
	maps.DeleteFunc(s.left, func(_ fleet.Software, until fleet.Instant) bool { return now >= until })
}

// rewrite queues all streams of a service for the next batches.
func (l *Ledger) rewrite(id route.ServiceID) {
	for key, st := range l.streams {
		if st.Service == id {
			l.queue(key)
		}
	}
}

func (l *Ledger) queue(key Key) {
	if l.unwritten == nil {
		l.unwritten = make(map[Key]bool)
	}
	l.unwritten[key] = true
}

// complete reports whether the versions of the services are all those that can have begun a
// stream.
func (l *Ledger) complete(now fleet.Instant) bool { return l.completeFrom > 0 && now >= l.completeFrom }

// BeginFirst records that no planner was before, and hence no stream of a version that has no
// engines.
func (l *Ledger) BeginFirst(now fleet.Instant) { l.completeFrom = now }

// Inherit records the versions that a planner has passed on. An empty list says nothing.
func (l *Ledger) Inherit(now fleet.Instant, versions Versions) {
	if len(versions) == 0 {
		return
	}
	if !l.complete(now) {
		l.completeFrom = now
	}
	for _, v := range versions {
		s := l.service(v.Service)
		if _, ok := s.left[v.Software]; !ok && !s.listed[v.Software] {
			s.left[v.Software] = now.Add(l.Retention())
		}
	}
}

// Versions returns the versions to pass on to other hosts. The list is empty unless it has all
// that can have begun a stream.
func (l *Ledger) Versions(now fleet.Instant) Versions {
	if !l.complete(now) {
		return nil
	}
	var result Versions
	for id, s := range l.services {
		s.expire(now)
		for _, software := range s.versions() {
			result = append(result, Version{id, software})
		}
	}
	slices.SortFunc(result, compareVersions)
	return result
}

// RecordDeadline records that callers may wait for a stream for as long.
func (l *Ledger) RecordDeadline(deadline time.Duration) {
	l.retention = max(l.retention, deadline+deadlineMargin)
}

// RecordStart records that the first event of a stream has been sent to its caller.
func (l *Ledger) RecordStart(now fleet.Instant, start Start) {
	l.RecordDeadline(start.Deadline)
	l.sweep(now)
	if l.streams == nil {
		l.streams = make(map[Key]*stream)
	}
	v := Version{start.Service, start.Software}
	l.observe(now, v)
	st, ok := l.streams[start.Key]
	if !ok {
		if len(l.streams) >= maxStreams {
			return
		}
		st = &stream{Version: v}
		l.streams[start.Key] = st
	}
	st.ambiguous = st.ambiguous || st.Version != v
	st.expires = now.Add(l.Retention())
	if s := l.services[v.Service]; s != nil && len(s.versions()) > 1 {
		l.queue(start.Key)
	}
}

// observe records a version that may have begun streams. The roster that the host follows may
// have it later, or never, if its engines are gone by then.
func (l *Ledger) observe(now fleet.Instant, v Version) {
	if s := l.service(v.Service); !s.listed[v.Software] {
		s.left[v.Software] = now.Add(l.Retention())
	}
}

// Find returns the version that began the stream of an attempt, and whether it is known. The
// attempt is nil if the caller names none. Came is when the caller's request came. Current tells
// whether the versions with engines are those of now, as far as the host can know.
func (l *Ledger) Find(now fleet.Instant, id route.ServiceID, attempt *Key, came fleet.Instant, current bool) (fleet.Software, bool) {
	if attempt != nil {
		if st, ok := l.streams[*attempt]; ok && now < st.expires {
			return st.Software, !st.ambiguous
		}
	}
	s := l.service(id)
	s.expire(now)
	versions := s.versions()
	excludes := current && len(versions) == 1 && l.complete(now)
	if excludes && l.rosterAt >= came {
		return versions[0], true
	}
	if (excludes || attempt != nil) && l.loadedAt < came {
		l.loadDue = true
	}
	return "", false
}

// sweepInterval is the time between two searches for streams that are over.
const sweepInterval = time.Second

// sweep drops streams that can no longer be taken up.
func (l *Ledger) sweep(now fleet.Instant) {
	if now < l.nextSweep {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	maps.DeleteFunc(l.streams, func(_ Key, st *stream) bool { return now >= st.expires })
}
