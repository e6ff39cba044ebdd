// Package logs writes a process's log lines without ever blocking the process.
//
// Lines are queued in a bounded buffer until standard output accepts them. If
// its reader is too slow, the oldest lines are dropped. The drops are counted
// once the reader continues.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// BufferLines is the capacity of the buffer.
	BufferLines = 2048
	// flushTimeout bounds the writing of the remaining lines in Close. It must
	// fit into what is left of the process's grace period at that point.
	flushTimeout = 200 * time.Millisecond
)

// ErrFlushTimeout reports that Close did not write all remaining lines, because
// the reader is blocked.
var ErrFlushTimeout = fmt.Errorf("logs: output blocked for %v", flushTimeout)

// An Output is a bounded buffer in front of a writer, created by NewOutput. It is
// safe for concurrent use.
type Output struct {
	writer  diode.Writer
	dropped atomic.Int64
}

var _ io.WriteCloser = (*Output)(nil)

// NewOutput returns an output that writes to w.
func NewOutput(w io.Writer) *Output {
	o := new(Output)
	o.writer = diode.NewWriter(w, BufferLines, 0, func(missed int) { o.dropped.Add(int64(missed)) })
	return o
}

// Write queues one line. It never waits for the reader.
func (o *Output) Write(line []byte) (int, error) { return o.writer.Write(line) }

// Dropped returns how many lines were dropped before those that the reader has
// received so far.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the queued lines. If the reader does not accept them within 200 ms
// (flushTimeout), it returns ErrFlushTimeout.
func (o *Output) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- o.writer.Close() }()
	select {
	case err := <-closed:
		return err
	case <-time.After(flushTimeout):
		return ErrFlushTimeout
	}
}
