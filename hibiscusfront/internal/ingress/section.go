package ingress

import (
	"bytes"
	"net/http"
)

// A section is a part of what a client has sent.
type section struct{ bytes, lines int }

func sectionOf(data []byte) section { return section{len(data), bytes.Count(data, []byte{'\n'})} }

func (s section) plus(other section) section {
	return section{s.bytes + other.bytes, s.lines + other.lines}
}

// decoded returns the size of the head of a request.
func decoded(r *http.Request) section {
	const separators = len(": \r\n")
	s := section{len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host), len("\n\n\n")} // with the Host line and the empty one
	for name, values := range r.Header {
		for _, value := range values {
			s = s.plus(section{len(name) + len(value) + separators, 1})
		}
	}
	return s
}

// serverBuffer is the size of the buffer through which the server reads a connection. A read into a longer
// slice bypasses it, and returns nothing that is behind the body.
const serverBuffer = 4 << 10

// A rest is what a connection has received behind the head of the current request. The server reads ahead, so it
// may be the body or the start of the next request, which must count for that one. It is an upper bound:
// what can't be told apart counts for the next request.
type rest struct {
	section
	left  int64 // bytes of the body that are still to come; below zero if its length is not known
	ended bool  // what was last received ends like a body of unknown length
}

// addToHead adds what was received before the current head was complete.
func (s *rest) addToHead(head *section, data []byte) {
	// The server has read on, so that what came before is not behind the head, but of it or the request before.
	if s.left >= 0 || !s.ended {
		*head = head.plus(s.section)
	}
	s.left = 0
	end := len(data)
	if blank := bytes.Index(data, []byte("\n\r\n")); blank >= 0 {
		end = blank + len("\n\r\n")
	}
	*head = head.plus(sectionOf(data[:end]))
	s.section, s.ended = sectionOf(data[end:]), endsBody(data[end:])
}

// begin records the length of the body, after the head.
func (s *rest) begin(length int64) {
	s.left = length
	if length < 0 {
		return
	}
	inBody := min(int64(s.bytes), length)
	s.left -= inBody
	s.bytes -= int(inBody)
	s.lines = min(s.lines, s.bytes)
}

// addToBody adds what was received into a slice of a size while the body was read.
func (s *rest) addToBody(data []byte, size int) {
	switch {
	case size > serverBuffer:
		s.section, s.ended = section{}, false
		if s.left > 0 {
			s.left -= int64(len(data))
		}
	case s.left < 0:
		s.section, s.ended = sectionOf(data), endsBody(data)
	default:
		inBody := min(int64(len(data)), s.left)
		s.left -= inBody
		s.section = sectionOf(data[inBody:])
	}
}

// endsBody reports whether data ends like a body in chunks.
func endsBody(data []byte) bool { return bytes.HasSuffix(data, []byte("0\r\n\r\n")) }
