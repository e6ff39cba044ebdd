// Package declstore stores the versions of the declaration in the platform's object
// store and commits changes to it.
//
// The head object holds the number of the current version (the one committed
// last), the snapshot that this version is based on, and the changes since.
// Change objects and the parts of a snapshot are immutable once written, so that
// writers contend for the head only. A change is committed by one conditional
// write of the head. Two operators who change the same version concurrently
// therefore cannot both succeed, and the version never goes back. When the list
// of changes exceeds its limit, the writer of the next change writes a new
// snapshot, split into parts below the platform's size limit.
//
// If the write of the head fails or gets no answer, the writer reads the head
// again and checks whether it lists the ID of the change.
//
// The package is used by hibiscusd.
package declstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/objectstore"
)

// Names of objects in the platform.
const (
	HeadName     objectstore.Name = "Control/Declaration/Head"
	changePrefix objectstore.Name = "Declaration/Change/" // followed by the ID of the change
	partPrefix   objectstore.Name = "Declaration/Part/"   // followed by the ID of the last change in the snapshot and the part's index
)

const (
	// maxListedChanges is the number of changes after a snapshot beyond which a
	// new snapshot is written. The head then lists at most this many changes.
	maxListedChanges = 64
	// sectionsPerPart is the number of sections in one part of a snapshot. At
	// about 200 bytes per section, a part stays below half of the platform's size
	// limit.
	sectionsPerPart = 2000
)

// Number is the version number of a declaration, starting with 1.
type Number = fleet.Version

// Head describes the current declaration.
type Head struct {
	Number  Number
	Base    Number                 // version of the snapshot
	BaseID  declaration.ChangeID   // last change in the snapshot
	Parts   int                    // parts of the snapshot
	Changes []declaration.ChangeID // latest changes up to Number; they may start before Base
}

// changesSince returns the changes after the given version, or false if the head
// does not list all of them.
func (h *Head) changesSince(number Number) ([]declaration.ChangeID, bool) {
	count := int(h.Number) - int(number)
	if count < 0 || count > len(h.Changes) {
		return nil, false
	}
	return h.Changes[len(h.Changes)-count:], true
}

// Revision is one version of the declaration.
type Revision struct {
	Number   Number
	Document declaration.Document

	headVersion fleet.Version // version of the head object
	head        Head
}

// ConflictError reports that another change was committed after the author read
// the declaration.
type ConflictError struct {
	Read, Current Number
	Intervening   declaration.Change // first change after the version that was read, if still listed
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("declstore: change is based on version %d, but version %d is current; change %s by %s was committed in between:\n%s",
		e.Read, e.Current, e.Intervening.ID, e.Intervening.Author, e.Intervening.String())
}

// UnknownOutcomeError reports that a change may or may not have been committed.
type UnknownOutcomeError struct {
	ID    declaration.ChangeID
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("declstore: change %s may or may not have been committed: %v", e.ID, e.Cause)
}

// Unwrap returns the error of the write.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// DecodeHead decodes the value of the head object.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	if err := cbor.Unmarshal(value, &head); err != nil {
		return head, fmt.Errorf("declstore: decode head object: %w", err)
	}
	return head, nil
}

// Load reads the current declaration. from is a revision that the caller already
// has, or nil; Load reads only the objects that are not in it.
func Load(ctx context.Context, client objectstore.Client, from *Revision) (*Revision, error) {
	object, err := client.Read(ctx, HeadName)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return &Revision{Document: declaration.Document{}}, nil
	}
	if err != nil {
		return nil, err
	}
	return Advance(ctx, client, from, object)
}

// Advance returns the revision described by the head object, starting from a
// revision that the caller already has, or nil. If the head is not newer than
// from, Advance returns from.
func Advance(ctx context.Context, client objectstore.Client, from *Revision, object objectstore.Object) (*Revision, error) {
	if from != nil && object.Version <= from.headVersion {
		return from, nil
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return nil, err
	}
	next := &Revision{Number: head.Number, headVersion: object.Version, head: head}
	var changes []declaration.ChangeID
	incremental := false
	if from != nil {
		changes, incremental = head.changesSince(from.Number)
	}
	if incremental {
		next.Document = from.Document
	} else {
		if next.Document, err = loadParts(ctx, client, head); err != nil {
			return nil, err
		}
		changes, _ = head.changesSince(head.Base) // always listed
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

func loadParts(ctx context.Context, client objectstore.Client, head Head) (declaration.Document, error) {
	document := make(declaration.Document)
	for part := range head.Parts {
		object, err := client.Read(ctx, partName(head.BaseID, part))
		if err != nil {
			return nil, err
		}
		var sections []declaration.Section
		if err := cbor.Unmarshal(object.Value, &sections); err != nil {
			return nil, fmt.Errorf("declstore: decode object %s: %w", object.Name, err)
		}
		for _, section := range sections {
			document[section.ID] = section
		}
	}
	return document, nil
}

// partName returns the name of a part of a snapshot. The name contains the ID of
// the writer's change, because concurrent writers may write different snapshots
// of the same number.
func partName(base declaration.ChangeID, part int) objectstore.Name {
	return partPrefix + objectstore.Name(fmt.Sprintf("%s/%d", base, part))
}

func loadChange(ctx context.Context, client objectstore.Client, id declaration.ChangeID) (declaration.Change, error) {
	var change declaration.Change
	object, err := client.Read(ctx, changePrefix+objectstore.Name(id))
	if err != nil {
		return change, err
	}
	if err := cbor.Unmarshal(object.Value, &change); err != nil {
		return change, fmt.Errorf("declstore: decode object %s: %w", object.Name, err)
	}
	return change, nil
}

// Commit stores a change that is based on the revision base, on condition that
// base is still current, and returns the resulting revision. It checks the
// changed document first. The error may be a *declaration.CheckError, a
// *ConflictError, an *UnknownOutcomeError, or an error of the platform, in which
// case nothing was committed.
func Commit(ctx context.Context, client objectstore.Client, base *Revision, change *declaration.Change, now time.Time) (*Revision, error) {
	document := base.Document.Apply(change)
	if _, err := declaration.Build(document, now); err != nil {
		return nil, err
	}
	head, err := writeChange(ctx, client, &base.head, change, document)
	if err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("declstore: encode head object: %w", err)
	}
	version, err := client.Write(ctx, HeadName, value, base.headVersion)
	if err == nil {
		return &Revision{Number: head.Number, Document: document, headVersion: version, head: head}, nil
	}
	return resolveOutcome(ctx, client, base, change, err)
}

// writeChange writes the change and, if one is needed, a snapshot. It returns the
// head that refers to them. A change of more sections than fit into one object is
// stored as part of a snapshot only.
func writeChange(ctx context.Context, client objectstore.Client, base *Head, change *declaration.Change, document declaration.Document) (Head, error) {
	head := *base
	head.Number++
	large := len(change.Put)+len(change.Drop) > sectionsPerPart
	stored := *change
	if large {
		stored.Put, stored.Drop = nil, nil
	}
	value, err := cbor.Marshal(stored)
	if err != nil {
		return head, fmt.Errorf("declstore: encode change %s: %w", change.ID, err)
	}
	if err := createObject(ctx, client, changePrefix+objectstore.Name(change.ID), value); err != nil {
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
		head.Changes = nil // the stored change is empty and cannot be applied
	}
	head.Changes = head.Changes[max(0, len(head.Changes)-maxListedChanges):]
	return head, nil
}

// createObject writes an object that does not exist yet. Its name is unique to
// the writer, so an object that already exists is one that the same writer wrote
// before.
func createObject(ctx context.Context, client objectstore.Client, name objectstore.Name, value []byte) error {
	_, err := client.Write(ctx, name, value, 0)
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// writeSnapshot writes the document as a snapshot and updates the head to refer
// to it.
func writeSnapshot(ctx context.Context, client objectstore.Client, head *Head, id declaration.ChangeID, document declaration.Document) error {
	head.Base, head.BaseID, head.Parts = head.Number, id, 0
	for chunk := range slices.Chunk(document.Sorted(), sectionsPerPart) {
		value, err := cbor.Marshal(chunk)
		if err != nil {
			return fmt.Errorf("declstore: encode part %d of snapshot %s: %w", head.Parts, id, err)
		}
		if err := createObject(ctx, client, partName(id, head.Parts), value); err != nil {
			return err
		}
		head.Parts++
	}
	return nil
}

// resolveOutcome determines whether a change was committed after the write of the
// head has failed or got no answer.
func resolveOutcome(ctx context.Context, client objectstore.Client, base *Revision, change *declaration.Change, cause error) (*Revision, error) {
	current, err := Load(ctx, client, base)
	if err != nil {
		var conflict *objectstore.ConflictError
		if errors.As(cause, &conflict) {
			return nil, cause
		}
		return nil, &UnknownOutcomeError{ID: change.ID, Cause: cause}
	}
	if current.Contains(change.ID) {
		return current, nil
	}
	if current.headVersion == base.headVersion {
		// A write that got no answer may still be in progress.
		return nil, &UnknownOutcomeError{ID: change.ID, Cause: cause}
	}
	return nil, NewConflictError(ctx, client, base.Number, current)
}

// NewConflictError returns the error for a change that is based on the version
// read, which is no longer current. It includes the first change after that version
// if the head still lists it.
func NewConflictError(ctx context.Context, client objectstore.Client, read Number, current *Revision) *ConflictError {
	conflict := &ConflictError{Read: read, Current: current.Number}
	if changes, ok := current.head.changesSince(read); ok && len(changes) > 0 {
		// The change serves as detail only, so a failed read is ignored.
		conflict.Intervening, _ = loadChange(ctx, client, changes[0])
	}
	return conflict
}

// Contains reports whether the change is one of the latest committed changes.
func (r *Revision) Contains(id declaration.ChangeID) bool {
	return id == r.head.BaseID || slices.Contains(r.head.Changes, id)
}
