// Package objectstore defines a client of the platform's object store, which holds
// named values and supports conditional writes.
//
// Module platform implements Client for the platform; Memory implements it for tests.
//
// Each write gives its object a version larger than all versions given before to any
// object. A write is conditional on the version that the writer expects the object to
// have; zero means that the object does not exist. All state that must be durable or
// agreed on is written by such conditional writes only.
//
// Two errors matter for correctness and differ in type. A ConflictError means that
// the write had no effect. An UnknownOutcomeError means that it may have had one, and
// the caller must read the object before it draws any conclusion.
//
// The package is used by hibiscusd; hibiscusfront uses module platform directly.
package objectstore

import (
	"context"
	"fmt"
	"time"

	"hibiscuslb/fleet"
)

// Name is the name of an object, a path with slashes as separators.
type Name string

// ValueLimit is the maximum size of a value. The store limits an object to 1 MB, in
// which a value in base64 takes a third more than its length.
const ValueLimit fleet.Bytes = 700 << 10

// An Object is a named value with the version that its last write gave it.
type Object struct {
	Name    Name
	Version fleet.Version
	Value   []byte
}

// A Listing is a set of objects whose names have a common prefix. A Watch that
// continues from it starts at Revision.
type Listing struct {
	Objects  []Object
	Revision fleet.Version
}

// A Client reads and writes objects. All methods return when their context ends.
type Client interface {
	// Read returns the object or a *NotFoundError.
	Read(ctx context.Context, name Name) (Object, error)
	// Write stores the value if the object has the expected version, and returns
	// the new version.
	Write(ctx context.Context, name Name, value []byte, expected fleet.Version) (fleet.Version, error)
	// Delete removes the object if it has the expected version.
	Delete(ctx context.Context, name Name, expected fleet.Version) error
	// List returns all objects whose names start with the prefix.
	List(ctx context.Context, prefix Name) (Listing, error)
	// Watch waits until objects whose names start with the prefix have versions
	// newer than since, or until the wait has passed, and returns those objects. It
	// does not report deleted objects; only Read and List show that they are gone.
	Watch(ctx context.Context, prefix Name, since fleet.Version, wait time.Duration) (Listing, error)
}

// A NotFoundError reports that no object has the name.
type NotFoundError struct{ Name Name }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("objectstore: object %s does not exist", e.Name)
}

// A ConflictError reports that a conditional write or delete had no effect because the
// object's version is not the expected one.
type ConflictError struct {
	Name     Name
	Expected fleet.Version
	Current  fleet.Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("objectstore: write or delete of %s expected version %d, but the object has version %d", e.Name, e.Expected, e.Current)
}

// An UnknownOutcomeError reports that a call got no answer. A write may nevertheless
// have taken effect.
type UnknownOutcomeError struct {
	Name  Name
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("objectstore: no answer to the call for %s, outcome unknown: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
