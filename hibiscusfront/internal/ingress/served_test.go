package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/clock"
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

// startHooked starts a server with a limit of connections that calls beforeWrite before each write. It counts
// how often connections became idle.
func startHooked(t *testing.T, connections int, beforeWrite func(time.Time), handler http.HandlerFunc) (l *ingress.Listener, idle *atomic.Int32) {
	t.Helper()
	l, idle = listenUnix(t, connections), new(atomic.Int32)
	l.Listener = &hookedListener{l.Listener, beforeWrite}
	web := &http.Server{Handler: ingress.Handler(handler), ConnContext: ingress.ConnContext, ConnState: func(conn net.Conn, state http.ConnState) {
		ingress.Record(conn, state)
		if state == http.StateIdle {
			idle.Add(1)
		}
	}}
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(l) }()
	t.Cleanup(func() {
		_ = web.Close()
		<-ended
	})
	return l, idle
}

func dialTo(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial(l.Addr().Network(), l.Addr().String())
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
	l, _ := startHooked(t, 0, func(deadline time.Time) {
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

// TestAnswerIsWrittenBeforeItsConnectionYields guards against the loss of the answer to a request that has
// run: short answers are written after the handler has returned, and the connection was then the one that
// was quiet the longest.
func TestAnswerIsWrittenBeforeItsConnectionYields(t *testing.T) {
	const limit = 2
	writing, proceed := make(chan struct{}, 1), make(chan struct{})
	l, _ := startHooked(t, limit, func(time.Time) {
		writing <- struct{}{}
		<-proceed
	}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") })
	served := dialTo(t, l)
	_, err := io.WriteString(served, getRequest)
	require.NoError(t, err)
	<-writing
	for range 2 * limit {
		dialTo(t, l)
	}
	require.Eventually(t, func() bool { return l.Counts().Evicted > limit }, 10*time.Second, time.Millisecond)
	close(proceed)
	status, _ := answer(served)
	require.Equal(t, http.StatusOK, status)
}

// TestQuietTimeBeginsWithTheAnswer guards against a connection that is closed as the one that was quiet the
// longest just after a long request on it was answered.
func TestQuietTimeBeginsWithTheAnswer(t *testing.T) {
	const limit = 2
	running, proceed := make(chan struct{}, 2), make(chan struct{})
	l, idle := startHooked(t, limit, func(time.Time) {}, func(w http.ResponseWriter, _ *http.Request) {
		running <- struct{}{}
		<-proceed
		fmt.Fprint(w, "answer")
	})
	served := dialTo(t, l)
	_, err := io.WriteString(served, getRequest)
	require.NoError(t, err)
	<-running
	dialTo(t, l)
	require.Eventually(t, func() bool { return l.Counts().Open == limit }, 10*time.Second, time.Millisecond)
	close(proceed)
	status, _ := answer(served)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return idle.Load() == 1 }, 10*time.Second, time.Millisecond)
	dialTo(t, l)
	require.Eventually(t, func() bool { return l.Counts().Evicted == 1 }, 10*time.Second, time.Millisecond)
	_, err = io.WriteString(served, getRequest)
	require.NoError(t, err)
	status, _ = answer(served)
	require.Equal(t, http.StatusOK, status)
}

// TestPipelinedHeadsShareTheBudget guards against heads that are received together with an earlier
// request: their lines were charged to that request only, and released with it.
func TestPipelinedHeadsShareTheBudget(t *testing.T) {
	lines := strings.Repeat("a:\n", 1100)
	for _, test := range []struct{ name, first, second string }{
		{"whole head", getRequest, post("/", lines+"Content-Length: 10\r\n")},
		{"head that goes on later", getRequest, "GET / HTTP/1.1\r\nHost: h\r\n" + lines},
		{"after a body", post("/", "Content-Length: 4\r\n") + "body", post("/", lines+"Content-Length: 10\r\n")},
		{"after a body in chunks that ends like one", post("/", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n", post("/", lines+"Content-Length: 10\r\nA: 0\r\n")},
		{"after a body in chunks", post("/", "Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n", post("/", lines+"Content-Length: 10\r\n")},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, 8<<20)
			conn := s.dial(t)
			_, err := io.WriteString(conn, test.first+test.second)
			require.NoError(t, err)
			status, _ := answer(conn)
			require.Equal(t, http.StatusOK, status)
			time.Sleep(50 * time.Millisecond)
			if strings.HasPrefix(test.second, "GET") {
				_, err = io.WriteString(conn, "b:\n")
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return s.budget.Used() > 200<<10 }, time.Second, time.Millisecond,
				"the head of the second request is in memory")
		})
	}
}

// TestHeadsThatEndReleaseTheirMemory guards against a budget that stays spent by connections that are closed:
// heads that came later were refused for those that had been refused, or that their clients had left half sent.
func TestHeadsThatEndReleaseTheirMemory(t *testing.T) {
	const limit = 1 << 20
	half := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 3000)
	for _, test := range []struct {
		name string
		end  func(t *testing.T, s *server, conn net.Conn)
	}{
		{"closed by the client", func(_ *testing.T, _ *server, conn net.Conn) { _ = conn.Close() }},
		{"refused", func(t *testing.T, s *server, conn net.Conn) {
			_, err := io.WriteString(conn, strings.Repeat("a:\n", 2000))
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.Counts().HeadsRefused == 1 }, 10*time.Second, time.Millisecond)
		}},
		{"not ended in time", func(t *testing.T, _ *server, conn net.Conn) {
			status, _ := answer(conn)
			require.Zero(t, status)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, limit)
			conn := s.dial(t)
			_, err := io.WriteString(conn, half)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.budget.Used() > limit/2 }, 2*time.Second, time.Millisecond)
			test.end(t, s, conn)
			require.Eventually(t, func() bool { return s.budget.Used() == 0 }, 2*time.Second, time.Millisecond)
		})
	}
}

// TestRequestsInTurnDrawOnNothing guards against ordinary requests that are refused when long ones have spent
// the budget: lines of a body that came with its head counted as lines of the head. What was sent before must not
// count for the next request either.
func TestRequestsInTurnDrawOnNothing(t *testing.T) {
	s := startServer(t, 8<<20)
	conn := s.dial(t)
	body, lines := strings.Repeat("\n", 12<<10), strings.Repeat("A: b\r\n", 10)
	for _, request := range []string{
		post("/", lines+"Content-Length: 12288\r\n") + body,
		post("/", lines+"Content-Length: 100\r\n") + body[:100],
		post("/", lines+"Transfer-Encoding: chunked\r\n") + "400\r\n" + body[:1<<10] + "\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n",
	} {
		for range 3 {
			_, err := io.WriteString(conn, request)
			require.NoError(t, err)
			status, _ := answer(conn)
			require.Equal(t, http.StatusOK, status)
		}
	}
	require.Zero(t, s.budget.Highest())
}

// TestEvictedWhenAllHasArrived guards against a body that is used although its memory was given to others
// between its last byte and the end of its reading.
func TestEvictedWhenAllHasArrived(t *testing.T) {
	const length = 256 << 10
	budget := holding.Budget{Clock: clock.BootTime()}
	budget.SetLimit(length)
	l, err := ingress.Listen(context.Background(), "127.0.0.1:0", 0, &budget)
	require.NoError(t, err)
	errs := make(chan error, 1)
	web := &http.Server{ConnState: ingress.Record, ConnContext: ingress.ConnContext, Handler: ingress.Handler(http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			r.Body = &atEnd{ReadCloser: r.Body, left: length, do: func() {
				time.Sleep(holding.StallTime)
				other := holding.Hold{Budget: &budget, Evict: func() {}}
				errs <- other.Keep(length)
			}}
			_, err := ingress.ReadBody(w, r, length)
			errs <- err
			w.Header().Set("Connection", "close")
		}))}
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(l) }()
	defer func() {
		_ = web.Close()
		<-ended
	}()
	_, err = io.WriteString(dialTo(t, l), post("/", fmt.Sprintf("Content-Length: %d\r\n", length))+strings.Repeat("x", length))
	require.NoError(t, err)
	require.NoError(t, <-errs)
	require.ErrorAs(t, <-errs, new(*holding.EvictedError))
}

// atEnd calls a function when its last byte has been read.
type atEnd struct {
	io.ReadCloser
	left int
	do   func()
}

func (r *atEnd) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if r.left -= n; r.left == 0 {
		r.do()
	}
	return n, err
}
