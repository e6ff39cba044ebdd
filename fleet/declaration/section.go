// Package declaration holds what operators declare of their fleet: data
// centres, models, targets, stores, hosts, workspaces, request classes and
// operations, with fleet-wide defaults, and a short list of exceptions.
//
// Operators keep declarations in INI files. A file is a list of sections,
// "[Kind Name]", with fields in Pascal case. Sections are the unit of change:
// a Change puts and drops whole sections, and a Document is the set of
// sections in force. Build turns a document into a Declaration, typed and
// checked as a whole, which is frozen from then on and shared by all readers.
//
// An exception overrides single fields of one subject and carries its reason
// and, if it is to end by itself, the time until when it holds.
package declaration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Kind is what a section declares.
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

// SectionID names a section.
type SectionID struct {
	Kind Kind
	Name string
}

// String returns the section's header.
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

// A Section is a header with its fields, in the order of their keys.
type Section struct {
	ID     SectionID
	Fields []Field
}

func (s Section) equal(other Section) bool { return slices.Equal(s.Fields, other.Fields) }

// Get returns the text of a field.
func (s Section) Get(key string) (string, bool) {
	for _, field := range s.Fields {
		if field.Key == key {
			return field.Text, true
		}
	}
	return "", false
}

// A Document is a set of sections. It is not changed once it is published.
type Document map[SectionID]Section

// Sorted returns the sections in the order of their names.
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

// A ChangeID identifies one attempt to change a document, so that its author
// can find out whether it took effect.
type ChangeID string

// A Change puts and drops sections.
type Change struct {
	ID     ChangeID
	Author string
	Put    []Section
	Drop   []SectionID
}

// Empty reports whether the change changes nothing.
func (c *Change) Empty() bool { return len(c.Put) == 0 && len(c.Drop) == 0 }

// Diff returns the change that turns one document into the other.
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

// Apply returns the document with the change made. The receiver is not
// changed.
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

// String lists the change as lines that begin with + and -.
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
