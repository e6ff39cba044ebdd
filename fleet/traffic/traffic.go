// Package traffic counts the bytes that a process sends and receives on its
// connections, as the connections carry them.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// A Counter counts bytes. The zero value is ready.
type Counter struct{ Sent, Received atomic.Int64 }

// Dial returns a dial function whose connections are counted.
func (c *Counter) Dial(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{connection, c}, nil
	}
}

// Listener returns the listener with its connections counted.
func (c *Counter) Listener(l net.Listener) net.Listener { return &listener{l, c} }

type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{connection, l.counter}, nil
}

type conn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}
