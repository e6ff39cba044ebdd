// Package replica holds the objects of one kind as the store had them at some
// revision.
//
// Objects come from the store, by lists and watches, and from other hosts that
// have read the store. The revision is the only order: what is older than what
// is held changes nothing, wherever it comes from.
package replica

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/platform"
)

// A Kind holds the objects of one kind. The zero value holds nothing.
type Kind struct {
	objects  map[string]platform.Object
	revision fleet.Version
	asked    fleet.Instant // a peer, last
}

// fetchPause is the shortest time between two questions to peers for a kind.
const fetchPause = 150 * time.Millisecond

// Fetching reports whether a peer was asked for the kind a moment ago, and
// notes the question otherwise.
func (k *Kind) Fetching(now fleet.Instant) bool {
	if now.Sub(k.asked) < fetchPause {
		return true
	}
	k.asked = now
	return false
}

// Revision is the revision up to which the objects are known. Zero means that
// none is.
func (k *Kind) Revision() fleet.Version { return k.revision }

// List takes all objects of the kind at a revision and reports whether that is
// news.
func (k *Kind) List(listing platform.Listing) bool {
	if listing.Revision < k.revision || listing.Revision == k.revision && k.objects != nil {
		return false
	}
	objects := make(map[string]platform.Object, len(listing.Objects))
	for _, o := range listing.Objects {
		objects[o.Name] = o
	}
	k.objects, k.revision = objects, listing.Revision
	return true
}

// Change takes the changes since a revision that is not newer than the one
// held, and reports whether there was one.
func (k *Kind) Change(changes platform.Changes) bool {
	changed := false
	if k.objects == nil {
		k.objects = make(map[string]platform.Object)
	}
	for _, c := range changes.Changes {
		if c.Object.Revision <= k.revision && c.Object.Revision > 0 {
			continue
		}
		changed = true
		if c.Removed {
			delete(k.objects, c.Object.Name)
		} else {
			k.objects[c.Object.Name] = c.Object
		}
	}
	k.revision = max(k.revision, changes.Revision)
	return changed
}

// Objects calls f for each object.
func (k *Kind) Objects(f func(platform.Object)) {
	for _, o := range k.objects {
		f(o)
	}
}

// Get returns the object of the name.
func (k *Kind) Get(name string) (platform.Object, bool) {
	o, ok := k.objects[name]
	return o, ok
}

// Listing returns all objects at their revision.
func (k *Kind) Listing() platform.Listing {
	listing := platform.Listing{Revision: k.revision}
	for _, o := range k.objects {
		listing.Objects = append(listing.Objects, o)
	}
	return listing
}
