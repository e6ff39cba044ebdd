// Package edition keeps the declaration's versions in the platform and
// accepts changes.
//
// The head object names the version in force, the snapshot that it starts
// from and the changes since. Changes and the parts of snapshots are objects
// that never change once written, so only the head is contended. An accepted
// change is one conditional write of the head: two operators who race can not
// both win, and a version never reverts. When the list of changes has grown
// long, the writer of the next one folds them into a new snapshot, cut into
// parts below the platform's limit.
//
// An author whose write got no answer reads the head back and looks for the
// change's id.
package edition

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/record"
)

// Names of objects in the platform.
const (
	HeadName     record.Name = "Control/Declaration/Head"
	changePrefix record.Name = "Declaration/Change/"
	partPrefix   record.Name = "Declaration/Part/"
)

const (
	// maxListedChanges is how many changes the head lists before they are folded.
	maxListedChanges = 64
	// sectionsPerPart is how many sections one part of a snapshot holds. At some
	// 200 bytes a section this stays below half of the platform's limit.
	sectionsPerPart = 2000
)

// Number is the version of a declaration: one, two, three and so on.
type Number = fleet.Version

// A Head names the declaration in force.
type Head struct {
	Number  Number
	Base    Number                 // of the snapshot
	BaseID  declaration.ChangeID   // of the change that was folded last
	Parts   int                    // of the snapshot
	Changes []declaration.ChangeID // the latest, up to Number; they may begin before Base
}

// changesSince returns the changes after the given version, or false if not all of
// them are listed.
func (h *Head) changesSince(number Number) ([]declaration.ChangeID, bool) {
	missing := int(h.Number) - int(number)
	if missing < 0 || missing > len(h.Changes) {
		return nil, false
	}
	return h.Changes[len(h.Changes)-missing:], true
}

// An Edition is a document with its number.
type Edition struct {
	Number   Number
	Document declaration.Document

	headVersion fleet.Version // version of the head object
	head        Head
}

// A ConflictError reports that another change was accepted since the author read
// the declaration.
type ConflictError struct {
	Read, Current Number
	Intervening   declaration.Change // the first that came in between
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("edition: version %d was read, %d is in force; change %s by %s came between:\n%s",
		e.Read, e.Current, e.Intervening.ID, e.Intervening.Author, e.Intervening.String())
}

// A UnknownOutcomeError reports that it is not known whether a change was accepted.
type UnknownOutcomeError struct {
	ID    declaration.ChangeID
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edition: change %s may or may not be accepted: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// DecodeHead reads a head from its object's value.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := cbor.Unmarshal(value, &head); err != nil {
		return head, fmt.Errorf("edition: head: %w", err)
	}
	return head, nil
}

// Load reads the declaration in force. From is what the caller has already,
// or nil; only what is missing is read.
func Load(ctx context.Context, client record.Client, from *Edition) (*Edition, error) {
	object, err := client.Read(ctx, HeadName)
	var absent *record.NotFoundError
	if errors.As(err, &absent) {
		return &Edition{Document: declaration.Document{}}, nil
	}
	if err != nil {
		return nil, err
	}
	return Advance(ctx, client, from, object)
}

// Advance brings an edition up to the state of a head object. A head that is
// older than the edition is ignored.
func Advance(ctx context.Context, client record.Client, from *Edition, object record.Object) (*Edition, error) {
	if from != nil && object.Version <= from.headVersion {
		return from, nil
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	next := &Edition{Number: head.Number, headVersion: object.Version, head: head}
	var changes []declaration.ChangeID
	listed := false
	if from != nil {
		changes, listed = head.changesSince(from.Number)
	}
	if listed {
		next.Document = from.Document
	} else {
		if next.Document, err = loadParts(ctx, client, head); err != nil {
			return nil, err
		}
		changes, _ = head.changesSince(head.Base) // those are always listed
	}
	for _, id := range changes {
		change, err := loadChange(ctx, client, id)
		if err != nil {
			return nil, err
		}
		next.Document = next.Document.Apply(&change)
	}
	return next, nil
}

func loadParts(ctx context.Context, client record.Client, head Head) (declaration.Document, error) {
	document := make(declaration.Document)
	for part := range head.Parts {
		object, err := client.Read(ctx, partName(head.BaseID, part))
		if err != nil {
			return nil, err
		}
		var sections []declaration.Section
		if err := cbor.Unmarshal(object.Value, &sections); err != nil {
			return nil, fmt.Errorf("edition: %s: %w", object.Name, err)
		}
		for _, section := range sections {
			document[section.ID] = section
		}
	}
	return document, nil
}

// partName names a part by the change of its writer, since writers that race may
// fold the same number into different snapshots.
func partName(base declaration.ChangeID, part int) record.Name {
	return partPrefix + record.Name(fmt.Sprintf("%s/%d", base, part))
}

func loadChange(ctx context.Context, client record.Client, id declaration.ChangeID) (declaration.Change, error) {
	var change declaration.Change
	object, err := client.Read(ctx, changePrefix+record.Name(id))
	if err != nil {
		return change, err
	}
	if err := cbor.Unmarshal(object.Value, &change); err != nil {
		return change, fmt.Errorf("edition: %s: %w", object.Name, err)
	}
	return change, nil
}

// Accept stores the change on condition that seen is still in force, and
// returns the edition that it makes. The result is checked first: an error
// may be a *declaration.CheckError, a *RaceError, a *DoubtError, or one of
// the platform's before anything took effect.
func Accept(ctx context.Context, client record.Client, seen *Edition, change *declaration.Change, now time.Time) (*Edition, error) {
	document := seen.Document.Apply(change)
	if _, err := declaration.Build(document, now); err != nil {
		return nil, err
	}
	head, err := writeChange(ctx, client, &seen.head, change, document)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("edition: %w", err)
	}
	version, err := client.Write(ctx, HeadName, value, seen.headVersion)
	if err == nil {
		return &Edition{Number: head.Number, Document: document, headVersion: version, head: head}, nil
	}
	return resolveOutcome(ctx, client, seen, change, err)
}

// writeChange writes the change, and if it is due a snapshot, and returns the head
// that names them. A change of many sections would not fit into an object and
// is written as a snapshot only.
func writeChange(ctx context.Context, client record.Client, seen *Head, change *declaration.Change, document declaration.Document) (Head, error) {
	head := *seen
	head.Number++
	large := len(change.Put)+len(change.Drop) > sectionsPerPart
	stored := *change
	if large {
		stored.Put, stored.Drop = nil, nil
	}
	value, err := cbor.Marshal(stored)
	if err != nil {
		return head, fmt.Errorf("edition: %w", err)
	}
	if err := create(ctx, client, changePrefix+record.Name(change.ID), value); err != nil {
		return head, err
	}
	head.Changes = append(slices.Clone(head.Changes), change.ID)
	if !large && head.Number-head.Base <= maxListedChanges {
		return head, nil
	}
	if err := writeSnapshot(ctx, client, &head, change.ID, document); err != nil {
		return head, err
	}
	if large {
		head.Changes = nil // nobody can go on by changes
	}
	head.Changes = head.Changes[max(0, len(head.Changes)-maxListedChanges):]
	return head, nil
}

// create writes an object that must not exist. Its name is unique to the
// writer, so an object that exists is the writer's own, written before.
func create(ctx context.Context, client record.Client, name record.Name, value []byte) error {
	_, err := client.Write(ctx, name, value, 0)
	var conflict *record.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// writeSnapshot writes the document as a snapshot, which the head names from then on.
func writeSnapshot(ctx context.Context, client record.Client, head *Head, id declaration.ChangeID, document declaration.Document) error {
	head.Base, head.BaseID, head.Parts = head.Number, id, 0
	for chunk := range slices.Chunk(document.Sorted(), sectionsPerPart) {
		value, err := cbor.Marshal(chunk)
		if err != nil {
			return fmt.Errorf("edition: %w", err)
		}
		if err := create(ctx, client, partName(id, head.Parts), value); err != nil {
			return err
		}
		head.Parts++
	}
	return nil
}

// resolveOutcome finds out what became of a change whose head write failed or got no
// answer.
func resolveOutcome(ctx context.Context, client record.Client, seen *Edition, change *declaration.Change, cause error) (*Edition, error) {
	current, err := Load(ctx, client, seen)
	if err != nil {
		var conflict *record.ConflictError
		if errors.As(cause, &conflict) {
			return nil, cause
		}
		return nil, &UnknownOutcomeError{ID: change.ID, Cause: cause}
	}
	if current.Contains(change.ID) {
		return current, nil
	}
	if current.headVersion == seen.headVersion {
		// A write that got no answer may still be under way.
		return nil, &UnknownOutcomeError{ID: change.ID, Cause: cause}
	}
	return nil, NewConflictError(ctx, client, seen.Number, current)
}

// NewConflictError returns the error for a change whose author has read an edition that is
// no longer in force. It names the first change that came in between, if that
// is still listed.
func NewConflictError(ctx context.Context, client record.Client, read Number, current *Edition) *ConflictError {
	race := &ConflictError{Read: read, Current: current.Number}
	if changes, ok := current.head.changesSince(read); ok && len(changes) > 0 {
		// Without it the error is less helpful and as true.
		race.Intervening, _ = loadChange(ctx, client, changes[0])
	}
	return race
}

// Contains reports whether the change is one of the latest that were accepted.
func (e *Edition) Contains(id declaration.ChangeID) bool {
	return id == e.head.BaseID || slices.Contains(e.head.Changes, id)
}
