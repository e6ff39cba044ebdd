package fleet

import "cmp"

// A Revision is a revision of the object store, or of the last change of an object in it.
// Number grows with each change. If the store comes back from a copy, it has lost the
// changes after the copy and gives their numbers out again, in the next Era. Revisions are
// therefore ordered by Era first.
type Revision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number Version
}

// Compare returns -1, 0 or 1 if r is before other, equal to it, or after it.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsZero reports whether r is the zero value, which is no revision of a store.
func (r Revision) IsZero() bool { return r == Revision{} }
