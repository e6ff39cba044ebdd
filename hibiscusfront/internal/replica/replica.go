// Package replica holds a copy of the objects of one kind in the platform's object
// store (here: the store), as of some revision of the store.
//
// Updates come from the store, by lists and watches, and from other hosts that
// have read the store. They are ordered by revision alone: an update that is not
// newer than the replica changes nothing, whatever its source. Revisions are ordered by
// the store's era first, so that the content of a store that came back from a copy
// replaces what its earlier revisions said.
//
// An empty result of a watch does not show that nothing has changed, since the
// store may have failed to report a change. Only a list or an event advances the
// revision.
package replica

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// A Replica holds the objects of one kind. The zero value is empty.
type Replica struct {
	objects   map[string]platform.Object
	revision  fleet.Revision
	lastFetch fleet.Instant // time of the last fetch from a peer

	changeLog []logEntry     // the latest change of each object that changed, oldest first
	logStart  fleet.Revision // changeLog has all changes after this revision
}

// logEntry is a change and the revision that the replica reached with it.
type logEntry struct {
	revision fleet.Revision
	change   platform.Change
}

const (
	// minFetchInterval is the shortest time between two fetches of a kind from
	// peers.
	minFetchInterval = 150 * time.Millisecond
	// maxLogEntries is the number of changes that are kept for peers.
	maxLogEntries = 512
)

// ThrottleFetch reports whether a fetch from a peer must be skipped because the
// last one was less than minFetchInterval ago. Otherwise it records a fetch at
// now.
func (r *Replica) ThrottleFetch(now fleet.Instant) bool {
	if now.Sub(r.lastFetch) < minFetchInterval {
		return true
	}
	r.lastFetch = now
	return false
}

// Revision returns the revision up to which the objects are known, or zero if
// none are.
func (r *Replica) Revision() fleet.Revision { return r.revision }

// ApplyListing replaces the content by all objects of the kind at a revision. It
// reports whether an object has changed; the first listing always counts as a
// change. A listing without a revision is that of a host that has read nothing.
func (r *Replica) ApplyListing(listing platform.Listing) bool {
	if listing.Revision.IsZero() {
		return false
	}
	if order := listing.Revision.Compare(r.revision); order < 0 || order == 0 && r.objects != nil {
		return false
	}
	first := r.objects == nil
	changes := platform.Changes{Revision: listing.Revision}
	listed := make(map[string]bool, len(listing.Objects))
	for _, o := range listing.Objects {
		listed[o.Name] = true
		if r.objects[o.Name].Revision != o.Revision {
			changes.Changes = append(changes.Changes, platform.Change{Object: o})
		}
	}
	for name, o := range r.objects {
		if !listed[name] {
			changes.Changes = append(changes.Changes, platform.Change{Object: o, Removed: true})
		}
	}
	if first {
		r.objects = make(map[string]platform.Object, len(listing.Objects))
	}
	if first || listing.Revision.Era != r.revision.Era {
		r.changeLog, r.logStart = nil, listing.Revision
	}
	r.apply(changes)
	return first || len(changes.Changes) > 0
}

// ApplyWatch applies the events of a watch that began at the replica's revision,
// and reports whether there were any. Without events, the revision stays.
func (r *Replica) ApplyWatch(changes platform.Changes) bool {
	return len(changes.Changes) > 0 && r.ApplyChanges(changes)
}

// ApplyChanges applies changes of another replica since this replica's revision,
// and reports whether there were any. Only a listing leads from one era to the next.
func (r *Replica) ApplyChanges(changes platform.Changes) bool {
	if !changes.Revision.After(r.revision) || changes.Revision.Era != r.revision.Era || r.objects == nil {
		return false
	}
	r.apply(changes)
	return len(changes.Changes) > 0
}

func (r *Replica) apply(changes platform.Changes) {
	for _, c := range changes.Changes {
		if c.Removed {
			delete(r.objects, c.Object.Name)
		} else {
			r.objects[c.Object.Name] = c.Object
		}
	}
	r.logChanges(changes)
	r.revision = changes.Revision
	if extra := len(r.changeLog) - maxLogEntries; extra > 0 {
		r.logStart = r.changeLog[extra-1].revision
		r.changeLog = slices.Delete(r.changeLog, 0, extra)
	}
}

// logChanges adds changes to the log in place of earlier changes of the same objects,
// so that the log neither holds nor sends superseded contents. A configuration may have
// a megabyte and change several times a second.
func (r *Replica) logChanges(changes platform.Changes) {
	changed := make(map[string]bool, len(changes.Changes))
	for _, c := range changes.Changes {
		changed[c.Object.Name] = true
	}
	r.changeLog = slices.DeleteFunc(r.changeLog, func(e logEntry) bool { return changed[e.change.Object.Name] })
	for i, c := range changes.Changes {
		superseded := slices.ContainsFunc(changes.Changes[i+1:], func(later platform.Change) bool { return later.Object.Name == c.Object.Name })
		if !superseded {
			r.changeLog = append(r.changeLog, logEntry{changes.Revision, c})
		}
	}
}

// ChangesSince returns the changes after a revision. It reports false if the
// change log does not reach back that far.
func (r *Replica) ChangesSince(revision fleet.Revision) (platform.Changes, bool) {
	if r.objects == nil || r.logStart.After(revision) {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: r.revision}
	for _, e := range r.changeLog {
		if e.revision.After(revision) {
			changes.Changes = append(changes.Changes, e.change)
		}
	}
	return changes, true
}

// ForEach calls f for each object.
func (r *Replica) ForEach(f func(platform.Object)) {
	for _, o := range r.objects {
		f(o)
	}
}

// Get returns the object with the name.
func (r *Replica) Get(name string) (platform.Object, bool) {
	o, ok := r.objects[name]
	return o, ok
}

// Listing returns all objects with the replica's revision.
func (r *Replica) Listing() platform.Listing {
	listing := platform.Listing{Revision: r.revision}
	for _, o := range r.objects {
		listing.Objects = append(listing.Objects, o)
	}
	return listing
}
