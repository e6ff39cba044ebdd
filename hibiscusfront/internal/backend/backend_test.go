package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// startTarget starts a target that runs the script once for each connection. It
// returns the address and the number of connections accepted.
func startTarget(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) (fleet.Address, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var conns atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return fleet.Address(listener.Addr().String()), &conns
}

// readRequest reads a request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

func writeResponse(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: %s\r\nX-Hibiscuslb-Response-Signature: p\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// dialLimit is longer than any stall of the machine: these tests are about what follows a dial.
const dialLimit = time.Minute

func newRequest(address fleet.Address, id string) *backend.Request {
	return &backend.Request{
		ID: fleet.RequestID(id), Target: "t", Address: address, Method: http.MethodPost, URI: "/a%2Fb?c=d", Host: "h.example",
		Header: http.Header{"X-Hibiscuslb-Request-Id": {id}}, Body: [][]byte{[]byte("bo"), []byte("dy")},
		DialLimit: dialLimit,
	}
}

// send sends the request and returns the response body.
func send(t *testing.T, p *backend.Pool, r *backend.Request) (string, error) {
	t.Helper()
	exchange, err := p.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer exchange.Close()
	body, err := io.ReadAll(exchange)
	return string(body), err
}

func TestConnectionIsReusedAndRequestArrivesUnchanged(t *testing.T) {
	address, conns := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, ok := readRequest(reader)
			if !ok {
				return
			}
			writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), r.Host+r.RequestURI)
		}
	})
	var pool backend.Pool
	for i := range 40 {
		r := newRequest(address, fmt.Sprint(i))
		if i%2 == 1 {
			r.Body = [][]byte{make([]byte, 32<<10)} // written concurrently with the reading
		}
		body, err := send(t, &pool, r)
		require.NoError(t, err)
		require.Equal(t, "h.example/a%2Fb?c=d", body)
	}
	require.Equal(t, int32(1), conns.Load())
}

// TestResponseToEarlierRequestIsSkipped checks that a late second response to an
// earlier request is not returned as the response to the current one.
func TestResponseToEarlierRequestIsSkipped(t *testing.T) {
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := readRequest(reader); !ok {
			return
		}
		writeResponse(conn, "earlier", "not yours")
		writeResponse(conn, "7", "yours")
	})
	var pool backend.Pool
	body, err := send(t, &pool, newRequest(address, "7"))
	require.NoError(t, err)
	require.Equal(t, "yours", body)
}

func TestConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	written := make(chan struct{}, 1)
	address, conns := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		r, ok := readRequest(reader)
		if !ok {
			return
		}
		writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "once")
		writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "twice")
		written <- struct{}{}
		_, _ = readRequest(reader)
	})
	var pool backend.Pool
	for i := range 3 {
		body, err := send(t, &pool, newRequest(address, fmt.Sprint(i)))
		require.NoError(t, err)
		require.Equal(t, "once", body)
		<-written
		time.Sleep(20 * time.Millisecond) // lets the second response arrive
	}
	require.Equal(t, int32(3), conns.Load())
}

// TestRequestIsSentOnce checks that a request on a reused connection that fails is
// not sent again and that the error tells that it may have run. The client of
// net/http would send an idempotent request again by itself.
func TestRequestIsSentOnce(t *testing.T) {
	var arrived atomic.Int32
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		for i := 0; ; i++ {
			r, ok := readRequest(reader)
			if !ok {
				return
			}
			arrived.Add(1)
			if i == 1 {
				return // closes the reused connection instead of responding
			}
			writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "")
		}
	})
	var pool backend.Pool
	_, err := send(t, &pool, newRequest(address, "1"))
	require.NoError(t, err)
	r := newRequest(address, "2")
	r.Method, r.Body = http.MethodGet, nil
	_, err = send(t, &pool, r)
	var noResponse *backend.NoResponseError
	require.ErrorAs(t, err, &noResponse)
	require.Equal(t, int32(2), arrived.Load())
}

func TestRefusedConnectionIsNotSentError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	// The port of a connection's other end refuses connections, and no other process can take it.
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	var pool backend.Pool
	_, err = send(t, &pool, newRequest(fleet.Address(conn.LocalAddr().String()), "1"))
	var unsent *backend.NotSentError
	require.ErrorAs(t, err, &unsent)
}

// TestCheckPrecedesEachByte guards against a request that is sent although what it was granted
// under has changed while its target was dialled.
func TestCheckPrecedesEachByte(t *testing.T) {
	var received atomic.Int32
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := readRequest(reader); ok {
			received.Add(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 2\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var pool backend.Pool
	r := newRequest(address, "1")
	dials := uint64(0)
	r.Check = func() error {
		dials = pool.Dials
		return io.ErrNoProgress
	}
	_, err := send(t, &pool, r)
	var unsent *backend.NotSentError
	require.ErrorAs(t, err, &unsent)
	require.ErrorIs(t, err, io.ErrNoProgress)
	require.Equal(t, uint64(1), dials, "checked before the connection")
	r = newRequest(address, "2")
	r.Check = func() error { return nil }
	_, err = send(t, &pool, r)
	require.NoError(t, err)
	require.Equal(t, int32(1), received.Load())
}

func TestTruncatedResponseIsUnexpectedEOF(t *testing.T) {
	tests := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := readRequest(reader); ok {
					_, _ = io.WriteString(conn, text)
				}
			})
			var pool backend.Pool
			_, err := send(t, &pool, newRequest(address, "1"))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// TestResponseWithoutLengthEndsWithConnection checks that a response without a
// length is complete when the connection is closed, but not when it is reset.
func TestResponseWithoutLengthEndsWithConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := readRequest(reader); !ok {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nConnection: close\r\n\r\nall")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		var pool backend.Pool
		body, err := send(t, &pool, newRequest(address, "1"))
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "all", body)
	}
}

// TestEarlyResponseEndsConnection checks that a connection is not reused when the
// target has responded before reading a long body. Otherwise the target would
// read a later request as the rest of that body.
func TestEarlyResponseEndsConnection(t *testing.T) {
	ended, rest := make(chan struct{}), make(chan int64, 1)
	address, conns := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "early")
		<-ended
		n, _ := io.Copy(io.Discard, r.Body)
		rest <- n
	})
	var pool backend.Pool
	r := newRequest(address, "1")
	r.Body = [][]byte{make([]byte, 8<<20)} // more than the socket buffers hold
	body, err := send(t, &pool, r)
	require.NoError(t, err)
	require.Equal(t, "early", body)
	close(ended)
	require.Less(t, <-rest, int64(8<<20))
	_, err = send(t, &pool, newRequest(address, "2"))
	require.NoError(t, err)
	require.Equal(t, int32(2), conns.Load())
}

func TestContextEndsExchange(t *testing.T) {
	closed := make(chan struct{})
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := readRequest(reader); ok {
			_, _ = reader.ReadByte()
			close(closed)
		}
	})
	var pool backend.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Send(ctx, newRequest(address, "1"))
	require.True(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	<-closed
}

// TestRefusalWrittenAgainIsNotBelieved guards against a target that writes an earlier refusal
// once more on a kept connection: a caller was told "not run" for a request that ran.
func TestRefusalWrittenAgainIsNotBelieved(t *testing.T) {
	refuse := func(conn net.Conn, id string) {
		header := ""
		if id != "" {
			header = "X-Hibiscuslb-Request-Id: " + id + "\r\n"
		}
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sX-Hibiscuslb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", header)
	}
	for _, test := range []struct {
		name    string
		refused string // ID in the refusal
		second  string // ID of the second request
		conns   int32  // that are needed; on a new one, the refusal is one of the second request
	}{
		{"without an ID", "", "2", 1},
		{"with the ID of another request", "1", "2", 1},
		{"with the ID that was sent on the connection before", "1", "1", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, conns := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
				for first := true; ; first = false {
					r, ok := readRequest(reader)
					if !ok {
						return
					}
					refuse(conn, test.refused)
					if !first {
						time.Sleep(20 * time.Millisecond) // the request runs
						writeResponse(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "ran")
					}
				}
			})
			var pool backend.Pool
			for i, id := range []string{"1", test.second} {
				exchange, err := pool.Send(context.Background(), newRequest(address, id))
				if err != nil {
					var noResponse *backend.NoResponseError
					require.ErrorAs(t, err, &noResponse, "the request may have run")
					continue
				}
				if exchange.Answer.NotRun && i == 1 {
					require.Equal(t, int32(2), conns.Load(), "the refusal of an earlier request is believed")
				}
				_, _ = io.ReadAll(exchange)
				exchange.Close()
			}
			require.Equal(t, test.conns, conns.Load())
		})
	}
}
