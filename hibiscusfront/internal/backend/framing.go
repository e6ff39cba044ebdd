package backend

import "net/http"

// A Framing is how the end of a response body is marked.
type Framing uint8

const (
	// FramingUnknown means that no response was received.
	FramingUnknown Framing = iota
	// FramedByLength means that the header gives the length of the body, or that
	// the response has none.
	FramedByLength
	// FramedByChunks means that the body is sent in chunks, of which the last is empty.
	FramedByChunks
	// FramedByClose means that the body ends with its connection. An early end
	// looks the same unless the connection is reset or the request was not read.
	FramedByClose
)

// String returns the framing for logs and metrics.
func (f Framing) String() string {
	switch f {
	case FramedByLength:
		return "length"
	case FramedByChunks:
		return "chunks"
	case FramedByClose:
		return "close"
	}
	return "unknown"
}

// framingOf returns the framing of a response. Package http removes the chunked encoding
// from the header and lists it in TransferEncoding.
func framingOf(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	case response.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}
