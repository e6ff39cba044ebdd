// Package explain tells the story of one request from the logs of front hosts.
//
// It picks the lines that name the request, and, from the moments before and
// while it was under way, the lines that changed what its hosts and its targets
// believed or did. Lines may have anything in front of their JSON object.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// beliefTime is how long before a request a change of beliefs still explains it.
const beliefTime = 5 * time.Second

// line is a log line, with the fields that tie lines together.
type line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Host    string
	Message string `json:"message"`
	Request string
	Target  string
	Holder  string
	Peer    string
	fields  map[string]json.RawMessage
	order   int // in the input: times are whole seconds
}

// A NotFoundError reports that no line names the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("no line names request %s", e.Request) }

// Explain reads logs and writes the request's story. If no line names the
// request, it returns a *NotFoundError.
func Explain(request string, logs io.Reader, out io.Writer) error {
	lines, err := read(logs)
	if err != nil {
		return err
	}
	var own []line
	hosts, targets := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.Request != request {
			continue
		}
		own = append(own, l)
		hosts[l.Host] = true
		if l.Target != "" {
			targets[l.Target] = true
		}
	}
	if len(own) == 0 {
		return &NotFoundError{request}
	}
	from, to := own[0].Time.Add(-beliefTime), own[len(own)-1].Time
	var story []line
	for _, l := range lines {
		switch {
		case l.Request == request:
			story = append(story, l)
		case l.Request != "" || l.Time.Before(from) || l.Time.After(to):
		case targets[l.Target], l.Target == "" && hosts[l.Host] && l.Message != "planned":
			story = append(story, l)
		}
	}
	for _, l := range story {
		if err := l.tell(out, l.Request == request); err != nil {
			return err
		}
	}
	return nil
}

// read reads all log lines in the order of their times.
func read(logs io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(logs)
	const longestLine = 1 << 20
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		at := bytes.IndexByte(scanner.Bytes(), '{')
		if at < 0 {
			continue
		}
		text := scanner.Bytes()[at:]
		l := line{order: len(lines)}
		if json.Unmarshal(text, &l) != nil || json.Unmarshal(text, &l.fields) != nil || l.Message == "" {
			continue // not a log line
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.order - b.order
	})
	return lines, scanner.Err()
}

// tell writes the line: what happened where, and then the fields that decided
// it. Lines of the request itself are marked.
func (l *line) tell(out io.Writer, own bool) error {
	mark := " "
	if own {
		mark = "*"
	}
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "level", "Host", "message", "Request":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields strings.Builder
	for _, name := range names {
		if value := string(l.fields[name]); value != `""` && value != "null" {
			fmt.Fprintf(&fields, " %s=%s", name, value)
		}
	}
	_, err := fmt.Fprintf(out, "%s %s %s: %s%s\n", mark, l.Time.Format(time.TimeOnly), l.Host, l.Message, fields.String())
	return err
}
