// Package testlog lets tests read the log lines that a part of a host writes.
package testlog

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A Line is a log line by its fields.
type Line map[string]any

// Lines collects log lines. The zero value is empty. It is safe for concurrent
// use.
type Lines struct {
	mu    sync.Mutex
	lines []Line
}

// Write implements io.Writer for one line.
func (l *Lines) Write(p []byte) (int, error) {
	var line Line
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	return len(p), nil
}

// Logger returns a logger whose lines are collected.
func (l *Lines) Logger() zerolog.Logger { return zerolog.New(l) }

// With returns the lines with the message.
func (l *Lines) With(message string) []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Line
	for _, line := range l.lines {
		if line["message"] == message {
			found = append(found, line)
		}
	}
	return found
}

// Require waits for a line with the message and checks that it has the fields,
// each with the value given, or with any if that is nil.
func (l *Lines) Require(t *testing.T, message string, fields Line) {
	t.Helper()
	require.Eventually(t, func() bool { return len(l.With(message)) > 0 }, 5*time.Second, 5*time.Millisecond, "no line %q", message)
	line := l.With(message)[0]
	for name, value := range fields {
		require.Contains(t, line, name, "%q", message)
		if value != nil {
			require.EqualValues(t, value, line[name], "%q, field %s", message, name)
		}
	}
}
