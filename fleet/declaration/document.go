// Package declaration defines the configuration that operators declare for their
// fleet: data centres, models, targets, stores, hosts, workspaces, request
// classes and operations, and a short list of exceptions. Fields that are left
// out have defaults that are the same in the whole fleet.
//
// Operators keep declarations in INI files. A file is a list of sections with
// the header "[Kind Name]" and fields in Pascal case. Sections are the unit of
// change: a Change adds, replaces and removes whole sections, and a Document is
// a set of sections. Build validates a document as a whole and converts it to a
// typed Declaration, which is immutable and safe for concurrent readers.
//
// An exception overrides single fields of one section, its subject. It states a
// reason and, if it is to expire by itself, the time of its expiry.
//
// The package is used by hibiscusd and its tools; hibiscusfront uses package route.
package declaration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is the kind of thing that a section declares.
type Kind string

// The kinds of sections.
const (
	KindDataCentre Kind = "DataCentre"
	KindHost       Kind = "Host"
	KindModel      Kind = "Model"
	KindTarget     Kind = "Target"
	KindStore      Kind = "Store"
	KindWorkspace  Kind = "Workspace"
	KindClass      Kind = "Class"
	KindOperation  Kind = "Operation"
	KindException  Kind = "Exception"
)

// kindList lists the kinds of sections for error messages.
const kindList = KindDataCentre + ", " + KindHost + ", " + KindModel + ", " + KindTarget + ", " + KindStore + ", " +
	KindWorkspace + ", " + KindClass + ", " + KindOperation + ", " + KindException

// SectionID identifies a section by its kind and name.
type SectionID struct {
	Kind Kind
	Name string
}

// String returns the section's header, as in "[Model answer]".
func (id SectionID) String() string { return fmt.Sprintf("[%s %s]", id.Kind, id.Name) }

func (id SectionID) compare(other SectionID) int {
	return cmp.Or(cmp.Compare(id.Kind, other.Kind), cmp.Compare(id.Name, other.Name))
}

// A Field is one line of a section.
type Field struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Text string
}

// A Section is a header with its fields, sorted by key.
type Section struct {
	ID     SectionID
	Fields []Field
}

func (s Section) equal(other Section) bool { return slices.Equal(s.Fields, other.Fields) }

// Get returns the text of the field with the key, and whether there is one.
func (s Section) Get(key string) (string, bool) {
	for _, field := range s.Fields {
		if field.Key == key {
			return field.Text, true
		}
	}
	return "", false
}

// A Document is a set of sections. It must not be modified once it is shared.
type Document map[SectionID]Section

// Sorted returns the sections sorted by kind and name.
func (d Document) Sorted() []Section {
	return slices.SortedFunc(maps.Values(d), func(a, b Section) int { return a.ID.compare(b.ID) })
}

// String formats the document as an INI file.
func (d Document) String() string {
	var b strings.Builder
	for _, section := range d.Sorted() {
		fmt.Fprintln(&b, section.ID)
		for _, field := range section.Fields {
			fmt.Fprintf(&b, "%s = %s\n", field.Key, field.Text)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// A ChangeID identifies one attempt to change a document, so that a client that
// got no answer can find out whether the change was stored.
type ChangeID string

// A Change adds or replaces the sections in Put and removes those in Drop.
type Change struct {
	ID     ChangeID
	Author string
	Put    []Section
	Drop   []SectionID
}

// Empty reports whether the change has no effect.
func (c *Change) Empty() bool { return len(c.Put) == 0 && len(c.Drop) == 0 }

// Diff returns the change that turns from into to.
func Diff(from, to Document) Change {
	var change Change
	for _, section := range to.Sorted() {
		if old, ok := from[section.ID]; !ok || !old.equal(section) {
			change.Put = append(change.Put, section)
		}
	}
	for _, section := range from.Sorted() {
		if _, ok := to[section.ID]; !ok {
			change.Drop = append(change.Drop, section.ID)
		}
	}
	return change
}

// Apply returns a copy of the document with the change applied.
func (d Document) Apply(change *Change) Document {
	next := maps.Clone(d)
	if next == nil {
		next = make(Document, len(change.Put))
	}
	for _, id := range change.Drop {
		delete(next, id)
	}
	for _, section := range change.Put {
		next[section.ID] = section
	}
	return next
}

// String formats the change as lines that begin with + for a section in Put and
// with - for one in Drop.
func (c *Change) String() string {
	var b strings.Builder
	for _, section := range c.Put {
		fmt.Fprintf(&b, "+ %s\n", section.ID)
		for _, field := range section.Fields {
			fmt.Fprintf(&b, "+   %s = %s\n", field.Key, field.Text)
		}
	}
	for _, id := range c.Drop {
		fmt.Fprintf(&b, "- %s\n", id)
	}
	return b.String()
}
