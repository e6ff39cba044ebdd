package gateway

import "bytes"

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

// add appends data to the stream and returns the events that it completes.
func (e *eventSplitter) add(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	e.partial = append(e.partial, data...)
	at := bytes.LastIndex(e.partial, eventEnd)
	if at < 0 {
		return nil
	}
	complete := e.partial[:at+len(eventEnd)]
	e.partial = append([]byte(nil), e.partial[at+len(eventEnd):]...)
	for line := range bytes.Lines(complete) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
	return complete
}

// rest returns the bytes after the last complete event.
func (e *eventSplitter) rest() []byte { return e.partial }
