package wave

import (
	"time"

	"hibiscuslb/fleet"
)

// A Naming is the moment at which a host heard of new weights; zero stands for
// long ago.
type Announcement struct {
	Version uint64
	At      fleet.Instant
}

// Namings are the weights of one model that were named, oldest first. They are
// frozen: Name returns a copy.
type Announcements []Announcement

// Newest is the newest version, or zero.
func (n Announcements) Newest() uint64 {
	if len(n) == 0 {
		return 0
	}
	return n[len(n)-1].Version
}

// Name adds a version that is newer than all others.
func (n Announcements) Add(version uint64, at fleet.Instant) Announcements {
	if version <= n.Newest() {
		return n
	}
	const kept = 8 // versions that engines may still have
	from := max(0, len(n)+1-kept)
	return append(append(Announcements(nil), n[from:]...), Announcement{version, at})
}

// beginMargin is how long a run may wait at an engine before it begins.
const startMargin = 1200 * time.Millisecond

// Holds reports whether a request may be sent to an engine with the version,
// where a run may begin on older weights for the bound after newer ones were
// named. Zero is no bound.
func (n Announcements) Allows(now fleet.Instant, version uint64, bound time.Duration) bool {
	for _, naming := range n {
		if naming.Version > version {
			return bound == 0 || now.Sub(naming.At) < bound-startMargin
		}
	}
	return true
}

// Since returns when the first version newer than the given one was named, and
// whether there is one.
func (n Announcements) SupersededAt(version uint64) (fleet.Instant, bool) {
	for _, naming := range n {
		if naming.Version > version {
			return naming.At, true
		}
	}
	return 0, false
}
