package call

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// A CutError reports that a connection ended after a write on it had failed, so that
// what was read of it may have been cut.
type CutError struct {
	Address string
	Cause   error // of the write
}

func (e *CutError) Error() string {
	return fmt.Sprintf("connection to %s ended after a write had failed: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// A wholeConn is a connection whose reader gets the error of a reset although a writer
// beside it has got it: the kernel gives it to one call only, and the end of the
// connection to the next. An answer without a length that was cut would pass for whole.
type wholeConn struct {
	net.Conn
	writing  chan struct{} // has an element while a write is under way
	writeErr error         // the first; guarded by writing
}

// endTimeout is how long the end of a connection waits for a write that is under way. A
// reset ends the write at once.
const endTimeout = 2 * time.Second

var errWriting = errors.New("a write is under way")

// dialWhole returns a dial function that opens connections of this kind by another one.
func dialWhole(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &wholeConn{Conn: conn, writing: make(chan struct{}, 1)}, nil
	}
}

// Write implements net.Conn.
func (c *wholeConn) Write(data []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns a *CutError in place of io.EOF if a write has failed.
func (c *wholeConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF, or a *CutError if a write may have got the error of a reset.
// One that fails with EPIPE has met a connection that the other end had closed in order.
func (c *wholeConn) checkEnd() error {
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	err := errWriting
	select {
	case c.writing <- struct{}{}:
		err = c.writeErr
		<-c.writing
	case <-timer.C:
	}
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return io.EOF
	}
	return &CutError{c.RemoteAddr().String(), err}
}
