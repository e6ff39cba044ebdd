package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
)

// Streams that go on.
//
// A stream may go on only at the version of the software that began it, see package origin. A
// host that resumes a stream within one answer knows the version. For a stream that a caller
// takes up, the planner finds it. If the attempt may be in the records of another planner, or
// the roster has to be read again, the request waits in the queue until they have been read.
const (
	// originLoadTime is the least time for which such a request may wait: until a load is due,
	// and for an answer of the object store.
	originLoadTime = 400 * time.Millisecond
	// unknownOriginRetryAfter is the Retry-After of a request whose stream can't be told. It
	// can be once all engines but those of one version have left for long enough.
	unknownOriginRetryAfter = time.Second
)

// A Resumption tells which stream a request resumes. The zero value is that of a request that
// begins a new one. What two versions of the software write does not fit together, so that a
// stream may only go on at the version that began it.
type Resumption struct {
	Resumes  bool
	Known    bool           // the host knows which version began the stream
	Software fleet.Software // that began it, if Known
	// Attempt is the caller's attempt that brought the first event, as the caller says; it
	// may be empty.
	Attempt fleet.RequestID
}

// followVersions records which versions have targets now.
func (f *Fleet) followVersions(now fleet.Instant) {
	versions := make(map[origin.Version]bool)
	for _, t := range f.targets {
		versions[origin.Version{Service: t.Service, Software: t.Software}] = true
	}
	list := make([]origin.Version, 0, len(versions))
	for v := range versions {
		list = append(list, v)
	}
	f.origins.SetVersions(now, list)
}

// originKey returns the key of the request's own attempt.
func (r *Request) originKey() origin.Key { return origin.KeyOf(r.Service, r.Workspace, r.ID) }

// Start returns what the begin of the request's stream at a target of the version tells.
func (r *Request) Start(software fleet.Software) origin.Start {
	return origin.Start{Key: r.originKey(), Service: r.Service, Software: software, Deadline: r.Deadline}
}

// requiredSoftware returns the version that the target of the request, which came at the given
// time, must have, nil for any. It reports false if it is not known.
func (f *Fleet) requiredSoftware(now, came fleet.Instant, req *Request) (software *fleet.Software, known bool) {
	r := &req.Resumption
	switch {
	case !r.Resumes:
		return nil, true
	case r.Known:
		return &r.Software, true
	}
	var attempt *origin.Key
	if r.Attempt != "" {
		key := origin.KeyOf(req.Service, req.Workspace, r.Attempt)
		attempt = &key
	}
	found, known := f.origins.Find(now, req.Service, attempt, came, !f.RosterStale)
	return &found, known
}

// RecordStarts records starts of streams that hosts report apart from the progress of grants,
// since this planner has not granted them.
func (f *Fleet) RecordStarts(now fleet.Instant, starts []origin.Start) {
	for _, start := range starts {
		f.origins.RecordStart(now, start)
	}
}

// has reports whether the target has the version; nil is any.
func (t *target) has(software *fleet.Software) bool {
	return software == nil || t.Software == *software
}

// BeginFirstTenure records that this planner is the first of the fleet, so that no stream was
// begun before, and none repeated.
func (f *Fleet) BeginFirstTenure(now fleet.Instant) {
	f.origins.BeginFirst(now)
	f.reserveFrom = now
}

// InheritVersions records the versions that another planner has passed on.
func (f *Fleet) InheritVersions(now fleet.Instant, versions origin.Versions) {
	f.origins.Inherit(now, versions)
}

// Versions returns the versions to pass on to other hosts.
func (f *Fleet) Versions(now fleet.Instant) origin.Versions { return f.origins.Versions(now) }

// DueBatches returns the streams to write to the object store now. RequeueBatches must be
// called if the write fails.
func (f *Fleet) DueBatches(now fleet.Instant) []origin.Batch { return f.origins.DueBatches(now) }

// RequeueBatches queues batches that could not be written.
func (f *Fleet) RequeueBatches(batches []origin.Batch) { f.origins.Requeue(batches) }

// LoadDue reports whether the records in the object store have to be read now. LoadOrigins
// must be called then.
func (f *Fleet) LoadDue(now fleet.Instant) bool { return f.origins.LoadDue(now) }

// LoadOrigins records what was read from the object store since began, or nil if that failed.
func (f *Fleet) LoadOrigins(now, began fleet.Instant, records *origin.Records) {
	f.origins.Load(now, began, records)
}
