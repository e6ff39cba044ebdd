package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// A Problem is one fault of a declaration, told in one line.
type Problem struct {
	File    string
	Section SectionID
	Key     string
	Detail  string
}

func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	if p.Section != (SectionID{}) {
		fmt.Fprintf(&b, "%s ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Detail)
	return b.String()
}

// A CheckError lists all problems of a declaration.
type CheckError struct{ Problems []Problem }

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the sections of INI text. The file name is for messages only.
func Parse(file string, text []byte) (Document, error) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:  true,
		IgnoreInlineComment:     true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: false,
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		return nil, &CheckError{[]Problem{{File: file, Detail: err.Error()}}}
	}
	document := make(Document)
	var problems []Problem
	for _, section := range parsed.Sections() {
		if section.Name() == ini.DefaultSection {
			if len(section.Keys()) > 0 {
				problems = append(problems, Problem{File: file, Detail: "fields before the first section"})
			}
			continue
		}
		kind, name, _ := strings.Cut(section.Name(), " ")
		id := SectionID{Kind(kind), strings.TrimSpace(name)}
		if _, twice := document[id]; twice {
			problems = append(problems, Problem{File: file, Section: id, Detail: "section stands twice"})
		}
		document[id] = Section{ID: id, Fields: fieldsOf(section)}
	}
	if len(problems) > 0 {
		return nil, &CheckError{problems}
	}
	return document, nil
}

func fieldsOf(section *ini.Section) []Field {
	fields := make([]Field, 0, len(section.Keys()))
	for _, key := range section.Keys() {
		fields = append(fields, Field{Key: key.Name(), Text: key.Value()})
	}
	slices.SortFunc(fields, func(a, b Field) int { return cmp.Compare(a.Key, b.Key) })
	return fields
}
