// Package explain extracts the log lines that explain how one request was handled
// from the logs of hosts (hibiscusd or hibiscusfront).
//
// It selects the lines of the request itself. It also selects lines from shortly
// before the first of these until the last one that concern no other request and
// either name one of its targets, or name no target and come from one of its hosts.
// They report events that may have affected the request, such as a target that
// stopped answering. The message "planned", which a planner logs periodically with
// its totals, is left out. Each line may have any text in front of its JSON object,
// such as the prefix of a log collector.
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

// leadTime is how long before the first line of a request other lines are selected,
// since an earlier event may still affect the request.
const leadTime = 5 * time.Second

// line is a log line, with the fields by which lines are selected.
type line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Host    string
	Message string `json:"message"`
	Request string
	Target  string
	Holder  string
	Peer    string
	fields  map[string]json.RawMessage // all fields, by name
	index   int                        // position in the input; orders lines of the same second
}

// A NotFoundError reports that no log line contains the request.
type NotFoundError struct{ Request string }

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no log line contains request %q", e.Request)
}

// Explain reads logs and writes the selected lines to out in the order of their
// times. If no line contains the request, it returns a *NotFoundError.
func Explain(request string, logs io.Reader, out io.Writer) error {
	lines, err := readLines(logs)
	if err != nil {
		return fmt.Errorf("read logs: %w", err)
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
	from, to := own[0].Time.Add(-leadTime), own[len(own)-1].Time
	var selected []line
	for _, l := range lines {
		switch {
		case l.Request == request:
			selected = append(selected, l)
		case l.Request != "" || l.Time.Before(from) || l.Time.After(to):
		case targets[l.Target], l.Target == "" && hosts[l.Host] && l.Message != "planned":
			selected = append(selected, l)
		}
	}
	for _, l := range selected {
		if err := l.write(out, l.Request == request); err != nil {
			return err
		}
	}
	return nil
}

// readLines reads all log lines and sorts them by time. It skips other input.
func readLines(logs io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(logs)
	const maxLineLength = 1 << 20 // bytes
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		text := scanner.Bytes()[start:]
		l := line{index: len(lines)}
		if json.Unmarshal(text, &l) != nil || json.Unmarshal(text, &l.fields) != nil || l.Message == "" {
			continue // not a log line
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return a.index - b.index
	})
	return lines, scanner.Err()
}

// write writes the time, host and message of the line, and its other fields sorted
// by name. Lines of the request itself (own) are marked with an asterisk.
func (l *line) write(out io.Writer, own bool) error {
	prefix := " "
	if own {
		prefix = "*"
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
	_, err := fmt.Fprintf(out, "%s %s %s: %s%s\n", prefix, l.Time.Format(time.TimeOnly), l.Host, l.Message, fields.String())
	return err
}
