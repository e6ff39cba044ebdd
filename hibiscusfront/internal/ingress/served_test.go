package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/ingress"
)

// hookedListener calls a function before each write on a connection that it accepts, with the write
// deadline of the connection.
type hookedListener struct {
	net.Listener
	beforeWrite func(deadline time.Time)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: conn, listener: l}, nil
}

type hookedConn struct {
	net.Conn
	listener *hookedListener
	deadline time.Time
}

func (c *hookedConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *hookedConn) Write(data []byte) (int, error) {
	c.listener.beforeWrite(c.deadline)
	return c.Conn.Write(data)
}

// startHooked starts a server with a limit of connections that calls beforeWrite before each write.
func startHooked(t *testing.T, connections int, beforeWrite func(time.Time), handler http.HandlerFunc) *ingress.Listener {
	t.Helper()
	l, err := ingress.Listen(context.Background(), "127.0.0.1:0", connections, nil)
	require.NoError(t, err)
	l.Listener = &hookedListener{l.Listener, beforeWrite}
	web := &http.Server{Handler: ingress.Handler(handler), ConnState: ingress.Record, ConnContext: ingress.ConnContext}
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(l) }()
	t.Cleanup(func() {
		_ = web.Close()
		<-ended
	})
	return l
}

func dialTo(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(30*time.Second)))
	return conn
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestEachWriteHasADeadline guards against a client that asks twice within a second and reads nothing of the
// second answer: the server clears the deadline after each answer, and the write never ended.
func TestEachWriteHasADeadline(t *testing.T) {
	var unlimited atomic.Int64
	l := startHooked(t, 0, func(deadline time.Time) {
		if deadline.IsZero() {
			unlimited.Add(1)
		}
	}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })
	conn := dialTo(t, l)
	for range 3 {
		_, err := io.WriteString(conn, getRequest)
		require.NoError(t, err)
		status, _ := answer(conn)
		require.Equal(t, http.StatusOK, status)
	}
	require.Zero(t, unlimited.Load(), "writes without a deadline")
}
