// Package settings reads and validates the INI settings file of a program.
//
// A Reader returns values by section and key, or their defaults, and collects a
// Problem for each missing or invalid value. Check then adds one for each section
// and key of the file that was never read, and returns all of them in one error.
//
// The package is used by hibiscusd.
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

// A Problem is one fault of a settings file. Its message has one line.
type Problem struct {
	File, Section, Key string
	Detail             string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Detail)
}

// An Error lists all problems of a settings file, one on each line.
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
	read     map[string]map[string]bool // keys that were read, by section
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

// Parse reads settings from text. The file name is used only in messages.
func Parse(file string, text []byte) (*Reader, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return nil, &Error{[]Problem{{File: file, Detail: err.Error()}}}
	}
	return &Reader{file: file, parsed: parsed, read: make(map[string]map[string]bool)}, nil
}

func (r *Reader) addProblem(section, key, format string, args ...any) {
	r.problems = append(r.problems, Problem{r.file, section, key, fmt.Sprintf(format, args...)})
}

// Text returns a value, or the default if it is missing.
func (r *Reader) Text(section, key, defaultText string) string {
	if r.read[section] == nil {
		r.read[section] = make(map[string]bool)
	}
	r.read[section][key] = true
	if !r.parsed.HasSection(section) || !r.parsed.Section(section).HasKey(key) {
		return defaultText
	}
	return r.parsed.Section(section).Key(key).Value()
}

// Required returns a value that must not be missing or empty.
func (r *Reader) Required(section, key string) string {
	text := r.Text(section, key, "")
	if text == "" {
		r.addProblem(section, key, "required key is missing")
	}
	return text
}

// Address returns a required value that must be an IP address and port.
func (r *Reader) Address(section, key string) fleet.Address {
	text := r.Required(section, key)
	if text == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		r.addProblem(section, key, "want an IP address and port such as 10.0.0.1:7000, have %q", text)
	}
	return fleet.Address(text)
}

// Duration returns a duration, or the default if it is missing. It must lie between
// lower and upper, inclusive.
func (r *Reader) Duration(section, key string, defaultValue, lower, upper time.Duration) time.Duration {
	text := r.Text(section, key, defaultValue.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addProblem(section, key, "want a duration with its unit such as 1500ms, have %q", text)
		return defaultValue
	}
	if d < lower || d > upper {
		r.addProblem(section, key, "want a duration from %v to %v, have %v", lower, upper, d)
	}
	return d
}

// Count returns a whole number, or the default if it is missing. It must lie between
// lower and upper, inclusive.
func (r *Reader) Count(section, key string, defaultValue, lower, upper int) int {
	text := r.Text(section, key, strconv.Itoa(defaultValue))
	n, err := strconv.Atoi(text)
	if err != nil {
		r.addProblem(section, key, "want a whole number, have %q", text)
		return defaultValue
	}
	if n < lower || n > upper {
		r.addProblem(section, key, "want a number from %d to %d, have %d", lower, upper, n)
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
	r.addProblem(section, key, "want one of %s, have %q", strings.Join(options, ", "), text)
	return options[0]
}

// Check reports sections and keys that were not read, and returns an *Error if
// there are any problems. It must be called after all values have been read.
func (r *Reader) Check() error {
	for _, section := range r.parsed.Sections() {
		name := section.Name()
		if r.read[name] == nil && (name != ini.DefaultSection || len(section.Keys()) > 0) {
			r.addProblem(name, "", "unknown section")
			continue
		}
		for _, key := range section.Keys() {
			if !r.read[name][key.Name()] {
				r.addProblem(name, key.Name(), "unknown key")
			}
		}
	}
	if len(r.problems) == 0 {
		return nil
	}
	return &Error{r.problems}
}

// TextMatching returns a required value that must match the pattern.
func (r *Reader) TextMatching(section, key string, pattern *regexp.Regexp) string {
	text := r.Required(section, key)
	if text != "" && !pattern.MatchString(text) {
		r.addProblem(section, key, "want a value that matches %s, have %q", pattern, text)
	}
	return text
}

// AddProblem adds a problem that the caller has found, for Check to report.
func (r *Reader) AddProblem(section, key, detail string) { r.addProblem(section, key, "%s", detail) }
