// Package settings reads a program's INI settings and checks them.
//
// A Reader hands out values by section and key, with their defaults, and
// collects one line for each problem: a missing or bad value, and any section
// or key that nobody asked for.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"hibiscuslb/fleet"
)

// A Problem is one fault of a settings file.
type Problem struct {
	File, Section, Key string
	Detail             string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Detail)
}

// An Error lists the problems of a settings file.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// A Reader reads one settings file.
type Reader struct {
	file     string
	parsed   *ini.File
	asked    map[string]map[string]bool
	problems []Problem
}

// Open reads a settings file.
func Open(file string) (*Reader, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse reads settings from text. The file name is for messages only.
func Parse(file string, text []byte) (*Reader, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, &Error{[]Problem{{File: file, Detail: err.Error()}}}
	}
	return &Reader{file: file, parsed: parsed, asked: make(map[string]map[string]bool)}, nil
}

func (r *Reader) problem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, section, key, fmt.Sprintf(format, args...)})
}

// Text returns a value, or the default if there is none.
func (r *Reader) Text(section, key, otherwise string) string {
	if r.asked[section] == nil {
		r.asked[section] = make(map[string]bool)
	}
	r.asked[section][key] = true
	if !r.parsed.HasSection(section) || !r.parsed.Section(section).HasKey(key) {
		return otherwise
	}
	return r.parsed.Section(section).Key(key).Value()
}

// Required returns a value that must be there.
func (r *Reader) Required(section, key string) string {
	text := r.Text(section, key, "")
	if text == "" {
		r.problem(section, key, "is missing")
	}
	return text
}

// Address returns an IP number and port that must be there.
func (r *Reader) Address(section, key string) fleet.Address {
	text := r.Required(section, key)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.problem(section, key, "want an IP number and port such as 10.0.0.1:7000, have %q", text)
	}
	return fleet.Address(text)
}

// Duration returns a time between the bounds.
func (r *Reader) Duration(section, key string, otherwise, least, most time.Duration) time.Duration {
	text := r.Text(section, key, otherwise.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		r.problem(section, key, "want a time with its unit such as 1500ms, have %q", text)
		return otherwise
	}
	if d < least || d > most {
		r.problem(section, key, "want a time from %v to %v, have %v", least, most, d)
	}
	return d
}

// Count returns a whole number between the bounds.
func (r *Reader) Count(section, key string, otherwise, least, most int) int {
	text := r.Text(section, key, strconv.Itoa(otherwise))
	n, err := strconv.Atoi(text)
	if err != nil {
		r.problem(section, key, "want a whole number, have %q", text)
		return otherwise
	}
	if n < least || n > most {
		r.problem(section, key, "want a number from %d to %d, have %d", least, most, n)
	}
	return n
}

// Choice returns one of the options; the first is the default.
func (r *Reader) Choice(section, key string, options ...string) string {
	text := r.Text(section, key, options[0])
	for _, option := range options {
		if text == option {
			return text
		}
	}
	r.problem(section, key, "want one of %s, have %q", strings.Join(options, ", "), text)
	return options[0]
}

// Check returns an *Error if anything was wrong. Call it after all values were
// asked for.
func (r *Reader) Check() error {
	for _, section := range r.parsed.Sections() {
		name := section.Name()
		if r.asked[name] == nil && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			r.problem(name, "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !r.asked[name][key.Name()] {
				r.problem(name, key.Name(), "unknown key")
			}
		}
	}
	if len(r.problems) == 0 {
		return nil
	}
	return &Error{r.problems}
}

// TextMatching returns a value that must be there and match the pattern.
func (r *Reader) TextMatching(section, key string, pattern *regexp.Regexp) string {
	text := r.Required(section, key)
	if text != "" && !pattern.MatchString(text) {
		r.problem(section, key, "want a name that matches %s, have %q", pattern, text)
	}
	return text
}

// AddProblem adds a problem that the caller has found.
func (r *Reader) AddProblem(section, key, detail string) { r.problem(section, key, "%s", detail) }
