// Package record is what the project keeps in the platform's object store: named
// values, written under conditions.
//
// Module platform binds a Client to the store; Memory serves tests.
//
// The store keeps named objects. Every write gives its object a version
// that is larger than every version given before, over all objects. A write
// is conditional on the version that the writer has seen; zero stands for
// "does not exist". What the system must keep or agree on goes through such
// conditional writes and through nothing else.
//
// Two errors matter for correctness and are told apart by type: a
// ConflictError says that the write provably had no effect, and an
// UnknownError says that it may have had one. A caller that meets the second
// reads back before it concludes anything.
package record

import (
	"context"
	"fmt"
	"time"

	"hibiscuslb/fleet"
)

// Name is the name of an object. Its parts are separated by slashes.
type Name string

// ValueLimit is the largest value of an object: the store holds 1 MB, in which a
// value takes a third more than its length.
const ValueLimit fleet.Bytes = 700 << 10

// An Object is a value with the version that its last write gave it.
type Object struct {
	Name    Name
	Version fleet.Version
	Value   []byte
}

// A Listing is the set of objects below a prefix. Revision is the version
// from which a Watch goes on.
type Listing struct {
	Objects  []Object
	Revision fleet.Version
}

// A Client reads and writes objects. All methods end with their context.
type Client interface {
	// Read returns the object or a *NotFoundError.
	Read(ctx context.Context, name Name) (Object, error)
	// Write stores the value if the object still has the given version.
	Write(ctx context.Context, name Name, value []byte, seen fleet.Version) (fleet.Version, error)
	// Delete removes the object if it still has the given version.
	Delete(ctx context.Context, name Name, seen fleet.Version) error
	// List returns all objects below the prefix.
	List(ctx context.Context, prefix Name) (Listing, error)
	// Watch waits until objects below the prefix are newer than since, or
	// until the wait is over, and returns those objects.
	Watch(ctx context.Context, prefix Name, since fleet.Version, wait time.Duration) (Listing, error)
}

// A NotFoundError reports that there is no object of the name.
type NotFoundError struct{ Name Name }

func (e *NotFoundError) Error() string { return fmt.Sprintf("record: no object %s", e.Name) }

// A ConflictError reports that a conditional write had no effect because the
// object has another version than the writer had seen.
type ConflictError struct {
	Name     Name
	Expected fleet.Version
	Current  fleet.Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("record: write of %s at version %d met version %d", e.Name, e.Expected, e.Current)
}

// An UnknownOutcomeError reports that a call got no answer. A write may have taken
// effect nevertheless.
type UnknownOutcomeError struct {
	Name  Name
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("record: no answer for %s: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
