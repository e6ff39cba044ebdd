package gateway

import (
	"bytes"
	"fmt"
)

// An eventSplitter splits a stream of server-sent events at event boundaries.
// The zero value is ready for the start of a stream. The format is that of the
// HTML standard, section 9.2.
type eventSplitter struct {
	partial []byte
	lastID  string // ID of the last complete event that has one
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// maxEventBytes is the longest event. A token is a few bytes.
const maxEventBytes = 256 << 10

// An EventTooLongError reports that a target sent more than Limit bytes without
// completing an event.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("an event of the stream is not complete after %d bytes", e.Limit)
}

// add appends data to the stream and returns the events that it completes. The error
// is an *EventTooLongError.
func (e *eventSplitter) add(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	e.partial = append(e.partial, data...)
	at := bytes.LastIndex(e.partial, eventEnd)
	if at < 0 {
		if len(e.partial) > maxEventBytes {
			return nil, &EventTooLongError{maxEventBytes}
		}
		return nil, nil
	}
	complete := e.partial[:at+len(eventEnd)]
	e.partial = append([]byte(nil), e.partial[at+len(eventEnd):]...)
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
	return complete, nil
}

// rest returns the bytes after the last complete event.
func (e *eventSplitter) rest() []byte { return e.partial }
