package gateway

import (
	"bytes"
	"fmt"

	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// An eventScanner finds the ends of the events in a stream of server-sent events. An
// event ends with a blank line; a line ends with LF, CR or both. The zero value is
// ready for the start of a stream. The format is that of the HTML standard, section 9.2.
type eventScanner struct {
	inLine     bool // the current line has a byte
	afterCR    bool // the last byte was a CR, so that an LF belongs to the same line end
	insideOne  bool // bytes have followed the last end of an event
	foundFirst bool // an event has ended
}

// scan appends data to the stream. It returns the length of the part of data that ends
// with the last event that ends in data, or zero.
func (s *eventScanner) scan(data []byte) (end int) {
	for i, b := range data {
		lineEnd := b == '\n' || b == '\r'
		pair := b == '\n' && s.afterCR
		s.afterCR = b == '\r'
		switch {
		case !lineEnd:
			s.inLine, s.insideOne = true, true
		case pair && s.insideOne:
			// The second byte of a line end within an event.
		case s.inLine:
			s.inLine = false
		default:
			s.foundFirst = s.foundFirst || s.insideOne
			s.insideOne = false
			end = i + 1
		}
	}
	return end
}

// A TruncatedStreamError reports that a target ended a stream inside an event, or,
// without marking the end, before the first one.
type TruncatedStreamError struct{ Framing backend.Framing }

func (e *TruncatedStreamError) Error() string {
	return fmt.Sprintf("the stream ended inside an event or before the first one (framed by %s)", e.Framing)
}

// checkEnd returns a *TruncatedStreamError if a stream that ends now is not complete.
func (s *eventScanner) checkEnd(framing backend.Framing) error {
	if s.insideOne || !s.foundFirst && framing == backend.FramedByClose {
		return &TruncatedStreamError{framing}
	}
	return nil
}

// An eventSplitter splits a stream at the ends of events. The zero value is ready for the
// start of a stream.
type eventSplitter struct {
	eventScanner
	partial []byte
	lastID  string       // ID of the last complete event that has one
	hold    holding.Hold // for partial
}

var idField = []byte("id:")

// maxEventBytes is the longest event. A token is a few bytes.
const maxEventBytes = 256 << 10

// An EventTooLongError reports that a target sent more than Limit bytes without
// completing an event.
type EventTooLongError struct{ Limit int }

func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("an event of the stream is not complete after %d bytes", e.Limit)
}

// add appends data to the stream and returns the events that it completes. The error
// is an *EventTooLongError or a *holding.SpentError.
func (e *eventSplitter) add(data []byte) ([]byte, error) {
	end := e.scan(data)
	if end == 0 {
		e.partial = append(e.partial, data...)
		if len(e.partial) > maxEventBytes {
			return nil, &EventTooLongError{maxEventBytes}
		}
		return nil, e.hold.Keep(cap(e.partial))
	}
	complete := append(e.partial, data[:end]...)
	e.partial = append([]byte(nil), data[end:]...)
	if err := e.hold.Keep(cap(e.partial)); err != nil {
		return nil, err
	}
	for line := range bytes.FieldsFuncSeq(complete, func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
	return complete, nil
}
