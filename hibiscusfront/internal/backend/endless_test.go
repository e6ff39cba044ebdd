package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// sendEndlessly writes start and then repeat until the connection is closed.
func sendEndlessly(conn net.Conn, start, repeat string, pause time.Duration) {
	_, err := io.WriteString(conn, start)
	for err == nil {
		_, err = io.WriteString(conn, repeat)
		time.Sleep(pause)
	}
}

// A countedConn counts the bytes that are read from it.
type countedConn struct {
	*net.TCPConn
	read atomic.Int64
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	c.read.Add(int64(n))
	return n, err
}

// TestEndlessResponseEndsExchange has targets that send bytes without an end in place of
// a response. The exchange must end after a few responses' worth of bytes, long before the
// request's deadline, report that the request may have run, close the connection and keep
// little in memory, on many connections at once.
func TestEndlessResponseEndsExchange(t *testing.T) {
	const (
		connections = 40
		deadline    = dialLimit
		latest      = deadline * 2 / 5
		maxRead     = 512 << 10 // on a connection: three heads and bodies of 64 KB each, and what is read ahead
		maxMemory   = 64 << 20
	)
	long := strings.Repeat("x", 8<<10)
	other := "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: other\r\n"
	cases := map[string]struct{ start, repeat string }{
		"status line":                   {"HTTP/1.1 200 ", long},
		"bytes without a line":          {"", long},
		"header line":                   {"HTTP/1.1 200 OK\r\nA: ", long},
		"header lines":                  {"HTTP/1.1 200 OK\r\n", "A: " + long + "\r\n"},
		"interim responses":             {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"body of another request":       {other + "\r\n", long},
		"long body of another request":  {other + "Content-Length: 1000000000000\r\n\r\n", long},
		"chunk extension":               {other + "Transfer-Encoding: chunked\r\n\r\n1;", long},
		"chunks of another request":     {other + "Transfer-Encoding: chunked\r\n\r\n", "2000\r\n" + long + "\r\n"},
		"trailer":                       {other + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + long + "\r\n"},
		"responses to another requests": {"", other + "Content-Length: 1\r\n\r\nx"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, connections)
			address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); ok {
					sendEndlessly(conn, c.start, c.repeat, 0)
				}
				closed <- struct{}{}
			})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var direct, pool backend.Pool
			conns := make(chan *countedConn, connections)
			pool.Dial = func(ctx context.Context, address fleet.Address) (net.Conn, error) {
				conn, err := direct.Open(ctx, address, dialLimit)
				if err != nil {
					return nil, err
				}
				counted := &countedConn{TCPConn: conn.(*net.TCPConn)}
				conns <- counted
				return counted, nil
			}
			start := time.Now()
			errs := make(chan error, connections)
			var sending sync.WaitGroup
			for range connections {
				sending.Go(func() {
					_, err := pool.Send(ctx, newRequest(address, "7"))
					errs <- err
				})
			}
			sending.Wait()
			require.Less(t, time.Since(start), latest)
			runtime.ReadMemStats(&after)
			require.Less(t, after.HeapSys-min(before.HeapSys, after.HeapSys), uint64(maxMemory))
			for range connections {
				var unknown *backend.NoResponseError
				require.ErrorAs(t, <-errs, &unknown)
				require.NotErrorIs(t, unknown, context.DeadlineExceeded)
				require.LessOrEqual(t, (<-conns).read.Load(), int64(maxRead))
				select {
				case <-closed:
				case <-time.After(latest):
					require.Fail(t, "the connection stays open")
				}
			}
		})
	}
}

// A header that grows slowly ends at the same length, or at the deadline.
func TestSlowEndlessHeaderEndsAtDeadline(t *testing.T) {
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := readRequest(reader); ok {
			sendEndlessly(conn, "HTTP/1.1 200 OK\r\nA: ", "x", time.Millisecond)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var pool backend.Pool
	_, err := pool.Send(ctx, newRequest(address, "7"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
}
