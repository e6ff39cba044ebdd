// Package traffic counts the bytes that a process sends and receives on its
// network connections, including the headers of the protocols on top of them.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Counter counts bytes. The zero value is ready for use.
type Counter struct{ Sent, Received atomic.Int64 }

// Dial returns a dial function that counts the bytes of its connections.
func (c *Counter) Dial(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: timeout}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{connection, c}, nil
	}
}

// Listener returns a listener that counts the bytes of the connections that l
// accepts.
func (c *Counter) Listener(l net.Listener) net.Listener { return &countingListener{l, c} }

type countingListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{connection, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}
