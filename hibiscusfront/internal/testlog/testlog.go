// Package testlog collects log lines so that tests can check them.
package testlog

import (
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// A Line is a decoded log line: the values by field name.
type Line map[string]any

// Lines collects log lines. The zero value is empty. It is safe for concurrent
// use.
type Lines struct {
	mu    sync.Mutex
	lines []Line
}

// Write implements io.Writer. Each call must write one JSON line.
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

// Logger returns a logger that writes to l.
func (l *Lines) Logger() zerolog.Logger { return zerolog.New(l) }

// WithMessage returns the lines with the given message.
func (l *Lines) WithMessage(message string) []Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matches []Line
	for _, line := range l.lines {
		if line["message"] == message {
			matches = append(matches, line)
		}
	}
	return matches
}

// Require waits up to 5 s for a line with the message and checks that the first
// one has the fields. A nil value matches any value of the field.
func (l *Lines) Require(t *testing.T, message string, fields Line) {
	t.Helper()
	require.Eventually(t, func() bool { return len(l.WithMessage(message)) > 0 }, 5*time.Second, 5*time.Millisecond, "no log line with message %q", message)
	line := l.WithMessage(message)[0]
	for name, value := range fields {
		require.Contains(t, line, name, "log line %q", message)
		if value != nil {
			require.EqualValues(t, value, line[name], "log line %q, field %s", message, name)
		}
	}
}
