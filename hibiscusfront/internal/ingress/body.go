package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
)

const (
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 5 * time.Second
	// dropTimeout limits the time for dropping the rest of a body that is not wanted.
	dropTimeout = time.Second
	// firstSegment is the longest first segment of a body whose length is known, and maxSegment the
	// longest of all.
	firstSegment = 16 << 10
	maxSegment   = 256 << 10
	// unknownSegment is the first segment of a body in chunks.
	unknownSegment = 4 << 10
)

// A TooLongError reports a body that is longer than allowed.
type TooLongError struct{ Limit fleet.Bytes }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("the request body has more than %d bytes", e.Limit)
}

// A TimeoutError reports a body that did not arrive in time.
type TimeoutError struct{ After time.Duration }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("the request body did not arrive within %v", e.After)
}

// Handler returns a handler that bounds how long clients may take for bodies, and what requests
// hold. What the next handler leaves of a body is dropped, for dropTimeout at most.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		defer c.end()
		if c.begin(r) != nil {
			panic(http.ErrAbortHandler) // ends the connection without an answer
		}
		if r.ContentLength != 0 {
			// The server reads the rest of a body before it answers, which may never come.
			_ = c.SetReadDeadline(time.Now().Add(dropTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads the whole body of a request, in segments. The error is a *TooLongError, a *TimeoutError, a
// *holding.SpentError or *holding.EvictedError if the host has no memory for it, or what
// reading it returned.
func ReadBody(w http.ResponseWriter, r *http.Request, limit fleet.Bytes) ([][]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, &TooLongError{limit}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c := connOf(r)
	if c != nil && r.ContentLength > 0 {
		if err := c.hold.Fits(c.headCost() + int(r.ContentLength)); err != nil {
			return nil, err
		}
	}
	control := http.NewResponseController(w)
	// The deadline can't be set on a writer of a test.
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := readSegments(r, limit, func(size int) error {
		if c == nil {
			return nil
		}
		return c.hold.Keep(c.headCost() + size)
	})
	if err == nil && c != nil {
		err = c.arrived()
	}
	if err != nil {
		return nil, c.cause(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// DropBody sends what was written of the answer, and then reads and drops the rest of the body for a
// moment: an answer is lost if its connection is closed with bytes unread.
func DropBody(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	// Errors end the connection, which the answer does anyway.
	_ = control.SetReadDeadline(time.Now().Add(dropTimeout))
	if control.Flush() == nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// cause returns why a body could not be read, by the error that reading it returned. The connection may be
// nil.
func (c *Conn) cause(err error) error {
	if c != nil && c.evicted.Load() {
		return &holding.EvictedError{Wanted: fleet.Bytes(c.headCost())}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &TimeoutError{bodyTimeout}
	}
	return err
}

// readSegments reads a body in segments. Keep is called with the size of all segments before one more is
// allocated.
func readSegments(r *http.Request, limit fleet.Bytes, keep func(size int) error) ([][]byte, error) {
	var body [][]byte
	for length, size := 0, 0; ; {
		next := nextSegment(int(r.ContentLength), length, size)
		if err := keep(size + next); err != nil {
			return nil, err
		}
		segment, err := fill(r.Body, make([]byte, next))
		size += next
		if length += len(segment); length > int(limit) {
			return nil, &TooLongError{limit}
		}
		if len(segment) > 0 {
			body = append(body, segment)
		}
		switch {
		case errors.Is(err, io.EOF), err == nil && int64(length) == r.ContentLength:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSegment returns the size of the next segment of a body, of which a length was read into
// segments of a size. A total below zero is not known.
func nextSegment(total, length, size int) int {
	if total < 0 {
		return min(max(unknownSegment, size), maxSegment)
	}
	return min(max(firstSegment, size), maxSegment, total-length)
}

// fill reads until the buffer is full or the reader returns an error, and returns what it has read.
func fill(reader io.Reader, buffer []byte) ([]byte, error) {
	for n := 0; ; {
		read, err := reader.Read(buffer[n:])
		n += read
		if err != nil || n == len(buffer) {
			return buffer[:n], err
		}
	}
}
