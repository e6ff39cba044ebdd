// Package replica holds the objects of one kind as the store had them at some
// revision.
//
// Objects come from the store, by lists and watches, and from other hosts that
// have read the store. The revision is the only order: what is older than what
// is held changes nothing, wherever it comes from.
//
// A watch that says nothing proves nothing: the store may have failed to tell.
// Only a list or an event moves the revision on.
package replica

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// A Replica holds the objects of one kind. The zero value holds nothing.
type Replica struct {
	objects  map[string]platform.Object
	revision fleet.Version
	asked    fleet.Instant // a peer, last

	log   []entry // the latest changes, oldest first
	since fleet.Version
}

// entry is a change that brought the replica to a revision.
type entry struct {
	revision fleet.Version
	change   platform.Change
}

const (
	// fetchPause is the shortest time between two questions to peers for a
	// kind.
	fetchPause = 150 * time.Millisecond
	// logSize bounds the changes that are kept for peers.
	logSize = 512
)

// ThrottleFetch reports whether a peer was asked for the kind a moment ago, and
// notes the question otherwise.
func (k *Replica) ThrottleFetch(now fleet.Instant) bool {
	if now.Sub(k.asked) < fetchPause {
		return true
	}
	k.asked = now
	return false
}

// Revision is the revision up to which the objects are known. Zero means that
// none is.
func (k *Replica) Revision() fleet.Version { return k.revision }

// ApplyListing takes all objects of the kind at a revision and reports whether an
// object has changed.
func (k *Replica) ApplyListing(listing platform.Listing) bool {
	if listing.Revision < k.revision || listing.Revision == k.revision && k.objects != nil {
		return false
	}
	first := k.objects == nil
	changes := platform.Changes{Revision: listing.Revision}
	listed := make(map[string]bool, len(listing.Objects))
	for _, o := range listing.Objects {
		listed[o.Name] = true
		if k.objects[o.Name].Revision != o.Revision {
			changes.Changes = append(changes.Changes, platform.Change{Object: o})
		}
	}
	for name, o := range k.objects {
		if !listed[name] {
			changes.Changes = append(changes.Changes, platform.Change{Object: o, Removed: true})
		}
	}
	if first {
		k.objects = make(map[string]platform.Object, len(listing.Objects))
		k.since = listing.Revision
	}
	k.apply(changes)
	return first || len(changes.Changes) > 0
}

// ApplyWatch takes the events of a watch from the revision held, and reports
// whether there was one.
func (k *Replica) ApplyWatch(changes platform.Changes) bool {
	return len(changes.Changes) > 0 && k.ApplyChanges(changes)
}

// ApplyChanges takes another replica's changes since the revision held, and reports
// whether there was one.
func (k *Replica) ApplyChanges(changes platform.Changes) bool {
	if changes.Revision <= k.revision || k.objects == nil {
		return false
	}
	k.apply(changes)
	return len(changes.Changes) > 0
}

func (k *Replica) apply(changes platform.Changes) {
	for _, c := range changes.Changes {
		if c.Removed {
			delete(k.objects, c.Object.Name)
		} else {
			k.objects[c.Object.Name] = c.Object
		}
		k.log = append(k.log, entry{changes.Revision, c})
	}
	k.revision = changes.Revision
	if extra := len(k.log) - logSize; extra > 0 {
		k.since = k.log[extra-1].revision
		k.log = slices.Delete(k.log, 0, extra)
	}
}

// ChangesSince returns the changes since a revision, if they are all known.
func (k *Replica) ChangesSince(revision fleet.Version) (platform.Changes, bool) {
	if k.objects == nil || revision < k.since {
		return platform.Changes{}, false
	}
	changes := platform.Changes{Revision: k.revision}
	for _, e := range k.log {
		if e.revision > revision {
			changes.Changes = append(changes.Changes, e.change)
		}
	}
	return changes, true
}

// ForEach calls f for each object.
func (k *Replica) ForEach(f func(platform.Object)) {
	for _, o := range k.objects {
		f(o)
	}
}

// Get returns the object of the name.
func (k *Replica) Get(name string) (platform.Object, bool) {
	o, ok := k.objects[name]
	return o, ok
}

// Listing returns all objects at their revision.
func (k *Replica) Listing() platform.Listing {
	listing := platform.Listing{Revision: k.revision}
	for _, o := range k.objects {
		listing.Objects = append(listing.Objects, o)
	}
	return listing
}
