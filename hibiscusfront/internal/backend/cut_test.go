package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/backend"
)

// TestCutResponseIsAnError guards against a target that stops inside its response, in the head or the body, and
// closes or resets the connection: what had come must not pass for a whole response. It cuts each
// response after each of its bytes, on new and on used connections.
func TestCutResponseIsAnError(t *testing.T) {
	const (
		head   = "HTTP/1.1 %d Any\r\nX-Hibiscuslb-Request-Id: 7\r\nX-Hibiscuslb-Response-Signature: p\r\n"
		length = head + "Content-Length: 4\r\n\r\nbody"
		chunks = head + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
	)
	for _, test := range []struct{ name, response string }{
		{"length", fmt.Sprintf(length, 200)},
		{"chunks", fmt.Sprintf(chunks, 200)},
		{"close", fmt.Sprintf(head, 200) + "\r\nbody"},
		{"empty", fmt.Sprintf(head, 200) + "Content-Length: 0\r\n\r\n"},
		{"error with a length", fmt.Sprintf(length, 500)},
		{"error in chunks", fmt.Sprintf(chunks, 404)},
		{"error without an ID", "HTTP/1.1 503 Any\r\nContent-Length: 4\r\n\r\nbody"},
		{"after interim responses", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + fmt.Sprintf(length, 200)},
		{"after one to another request", "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 1\r\nContent-Length: 2\r\n\r\nno" + fmt.Sprintf(length, 200)},
	} {
		for _, reset := range []bool{false, true} {
			for _, used := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/reset %t/used %t", test.name, reset, used), func(t *testing.T) {
					t.Parallel()
					var cut atomic.Int64
					address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
						r, ok := readRequest(reader)
						if ok && r.Header.Get("X-Hibiscuslb-Request-Id") == "0" {
							writeResponse(conn, "0", "")
							_, _ = readRequest(reader)
						}
						_, _ = io.WriteString(conn, test.response[:cut.Load()])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					end := len(test.response)
					switch {
					case test.name != "close":
					case reset:
						end++ // a reset is no end of a response, though all of it came
					default:
						// Behind the head an early end looks like any other.
						end = strings.Index(test.response, "\r\n\r\n") + len("\r\n\r\n")
					}
					for n := range end {
						cut.Store(int64(n))
						var pool backend.Pool
						dials := uint64(1)
						if used {
							_, err := send(t, &pool, newRequest(address, "0"))
							require.NoError(t, err)
							dials++ // a busy machine may close the connection, see requestSent
						}
						_, err := send(t, &pool, newRequest(address, "7"))
						require.Error(t, err, "cut after %q", test.response[:n])
						var unsent *backend.NotSentError
						require.NotErrorAs(t, err, &unsent)
						require.LessOrEqual(t, pool.Dials, dials, "the request was sent again")
					}
				})
			}
		}
	}
}
