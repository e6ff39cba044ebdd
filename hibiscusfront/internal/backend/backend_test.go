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

// target serves connections by a script. Each connection runs the script once.
func target(t *testing.T, script func(conn net.Conn, reader *bufio.Reader)) (fleet.Address, *atomic.Int32) {
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

// next reads a request with its body.
func next(reader *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

func answer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(address fleet.Address, id string) *backend.Request {
	return &backend.Request{
		ID: fleet.RequestID(id), Target: "t", Address: address, Method: http.MethodPost, URI: "/a%2Fb?c=d", Host: "h.example",
		Header: http.Header{"X-Hibiscuslb-Request-Id": {id}}, Body: []byte("body"),
	}
}

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

func TestConnectionsAreUsedAgainAndRequestsArriveAsTheyWere(t *testing.T) {
	address, conns := target(t, func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, ok := next(reader)
			if !ok {
				return
			}
			answer(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), r.Host+r.RequestURI)
		}
	})
	var pool backend.Pool
	for i := range 40 {
		r := request(address, fmt.Sprint(i))
		if i%2 == 1 {
			r.Body = make([]byte, 32<<10) // is written beside the reading
		}
		body, err := send(t, &pool, r)
		require.NoError(t, err)
		require.Equal(t, "h.example/a%2Fb?c=d", body)
	}
	require.Equal(t, int32(1), conns.Load())
}

// A second answer to an earlier request may come where the next one is due.
func TestALateAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	address, _ := target(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := next(reader); !ok {
			return
		}
		answer(conn, "earlier", "not yours")
		answer(conn, "7", "yours")
	})
	var pool backend.Pool
	body, err := send(t, &pool, request(address, "7"))
	require.NoError(t, err)
	require.Equal(t, "yours", body)
}

func TestAConnectionWithUnreadBytesIsNotUsedAgain(t *testing.T) {
	address, conns := target(t, func(conn net.Conn, reader *bufio.Reader) {
		r, ok := next(reader)
		if !ok {
			return
		}
		answer(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "once")
		answer(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "twice")
		_, _ = next(reader)
	})
	var pool backend.Pool
	for i := range 3 {
		body, err := send(t, &pool, request(address, fmt.Sprint(i)))
		require.NoError(t, err)
		require.Equal(t, "once", body)
		time.Sleep(20 * time.Millisecond) // the second answer arrives
	}
	require.Equal(t, int32(3), conns.Load())
}

// The standard client would send an idempotent request again by itself; here it
// leaves once, and the caller hears that it may have run.
func TestARequestLeavesOnce(t *testing.T) {
	var arrived atomic.Int32
	address, _ := target(t, func(conn net.Conn, reader *bufio.Reader) {
		for i := 0; ; i++ {
			r, ok := next(reader)
			if !ok {
				return
			}
			arrived.Add(1)
			if i == 1 {
				return // breaks the kept connection instead of answering
			}
			answer(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "")
		}
	})
	var pool backend.Pool
	_, err := send(t, &pool, request(address, "1"))
	require.NoError(t, err)
	r := request(address, "2")
	r.Method, r.Body = http.MethodGet, nil
	_, err = send(t, &pool, r)
	var broken *backend.BrokenError
	require.ErrorAs(t, err, &broken)
	require.Equal(t, int32(2), arrived.Load())
}

func TestATargetThatIsNotThereWasSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := fleet.Address(listener.Addr().String())
	require.NoError(t, listener.Close())
	var pool backend.Pool
	_, err = send(t, &pool, request(address, "1"))
	var unsent *backend.NotSentError
	require.ErrorAs(t, err, &unsent)
}

func TestAnswersThatBreakOffAreNotWhole(t *testing.T) {
	tests := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := target(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, ok := next(reader); ok {
					_, _ = io.WriteString(conn, text)
				}
			})
			var pool backend.Pool
			_, err := send(t, &pool, request(address, "1"))
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// An answer without a length ends with its connection. One that is reset is not
// whole.
func TestAnAnswerWithoutLengthThatIsResetIsNotWhole(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := target(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, ok := next(reader); !ok {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nConnection: close\r\n\r\nall")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		var pool backend.Pool
		body, err := send(t, &pool, request(address, "1"))
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "all", body)
	}
}

// A target may answer before it has read a long body. What it reads later must
// be the rest of that body, or nothing.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	rest := make(chan int64, 1)
	address, conns := target(t, func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer(conn, r.Header.Get("X-Hibiscuslb-Request-Id"), "early")
		time.Sleep(50 * time.Millisecond)
		n, _ := io.Copy(io.Discard, r.Body)
		rest <- n
	})
	var pool backend.Pool
	r := request(address, "1")
	r.Body = make([]byte, 8<<20) // more than the sockets hold
	body, err := send(t, &pool, r)
	require.NoError(t, err)
	require.Equal(t, "early", body)
	require.Less(t, <-rest, int64(8<<20))
	_, err = send(t, &pool, request(address, "2"))
	require.NoError(t, err)
	require.Equal(t, int32(2), conns.Load())
}

func TestTheContextEndsAnExchange(t *testing.T) {
	closed := make(chan struct{})
	address, _ := target(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, ok := next(reader); ok {
			_, _ = reader.ReadByte()
			close(closed)
		}
	})
	var pool backend.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Send(ctx, request(address, "1"))
	require.True(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	<-closed
}
