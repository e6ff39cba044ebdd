package declaration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// A Problem is one fault of a declaration. Its message has one line.
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

// A CheckError lists all problems of a declaration, one on each line.
type CheckError struct{ Problems []Problem }

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse reads the sections of INI text, without checking their fields. The file
// name is used only in messages. An error is a *CheckError.
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
				problems = append(problems, Problem{File: file, Detail: "field before the first section header"})
			}
			continue
		}
		kind, name, _ := strings.Cut(section.Name(), " ")
		id := SectionID{Kind(kind), strings.TrimSpace(name)}
		if _, duplicate := document[id]; duplicate {
			problems = append(problems, Problem{File: file, Section: id, Detail: "duplicate section"})
		}
		document[id] = Section{ID: id, Fields: sortedFields(section)}
	}
	if len(problems) > 0 {
		return nil, &CheckError{problems}
	}
	return document, nil
}

func sortedFields(section *ini.Section) []Field {
	fields := make([]Field, 0, len(section.Keys()))
	for _, key := range section.Keys() {
		fields = append(fields, Field{Key: key.Name(), Text: key.Value()})
	}
	slices.SortFunc(fields, func(a, b Field) int { return cmp.Compare(a.Key, b.Key) })
	return fields
}
