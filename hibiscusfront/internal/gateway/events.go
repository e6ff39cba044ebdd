package gateway

import "bytes"

// events splits a stream of server-sent events at the ends of events. The zero
// value is at the start of a stream. The format is that of the HTML standard,
// section 9.2.
type events struct {
	partial []byte
	last    string // id of the last whole event
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes bytes of the stream and returns the whole events that they
// complete.
func (e *events) add(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	e.partial = append(e.partial, data...)
	at := bytes.LastIndex(e.partial, eventEnd)
	if at < 0 {
		return nil
	}
	whole := e.partial[:at+len(eventEnd)]
	e.partial = append([]byte(nil), e.partial[at+len(eventEnd):]...)
	for line := range bytes.Lines(whole) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.last = string(bytes.TrimSpace(id))
		}
	}
	return whole
}

// rest returns what is left of an event without an end.
func (e *events) rest() []byte { return e.partial }
