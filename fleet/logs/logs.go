// Package logs writes a process's log lines without ever holding the process up.
//
// Lines wait in a bounded buffer for whoever reads standard output. When the
// reader is too slow, the oldest lines are dropped and counted; how many were
// dropped shows when the reader goes on.
package logs

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// Lines is how many lines wait for a slow reader.
	BufferLines = 2048
	// lastLinesTime bounds the writing of the last lines. It is part of what a
	// process leaves of its grace time.
	flushTimeout = 200 * time.Millisecond
)

// ErrUnread reports that the last lines were not written, since nobody reads.
var ErrFlushTimeout = errors.New("logs: nobody reads the last lines")

// An Output is a bounded buffer in front of a writer. Make one with NewOutput. It
// is safe for concurrent use.
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

// Write takes one line. It never waits for the reader.
func (o *Output) Write(line []byte) (int, error) { return o.writer.Write(line) }

// Dropped returns how many lines were dropped, as far as the reader has come.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

// Close writes the lines that wait. It gives up on a reader that stands still,
// and returns ErrUnread.
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
