package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/backend"
)

const (
	longUpload  = 32 << 20 // bytes, more than the socket buffers hold
	shortUpload = 2 << 10  // bytes, written before the response is read
)

var upload = make([]byte, longUpload)

// startEarly starts a target that reads a part of the first request, answers it with the text and then does what end does.
func startEarly(t *testing.T, readBytes int64, text string, end func(conn *net.TCPConn, rest io.Reader)) fleet.Address {
	t.Helper()
	address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
		rest := io.Reader(reader)
		if readBytes > 0 {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			rest = r.Body
			_, _ = io.CopyN(io.Discard, rest, readBytes)
		}
		_, _ = io.WriteString(conn, text)
		end(conn.(*net.TCPConn), rest)
	})
	return address
}

// sendLong sends a request with a body of the length once waiting is done. It returns the status, the body and how it ended.
func sendLong(t *testing.T, address fleet.Address, length int, waiting time.Duration) (status int, body string, err error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := newRequest(address, "7")
	r.Body = [][]byte{upload[:length]}
	r.Check = func() error {
		time.Sleep(waiting)
		return nil
	}
	var pool backend.Pool
	exchange, err := pool.Send(ctx, r)
	if err != nil {
		return 0, "", err
	}
	defer exchange.Close()
	data, err := io.ReadAll(exchange)
	return exchange.Status, string(data), err
}

// TestAnswerCutDuringUploadIsAnError guards against a target that answers before it has read the request and resets the
// connection: a write took the error of the reset, and a part of the answer passed for all of it.
func TestAnswerCutDuringUploadIsAnError(t *testing.T) {
	const (
		plays = 10
		head  = "HTTP/1.1 %d Any\r\nX-Hibiscuslb-Request-Id: 7\r\nX-Hibiscuslb-Response-Signature: p\r\n%s\r\n"
		all   = "fourteen bytes"
	)
	for _, framing := range []struct{ name, header, body string }{
		{"close", "", all},
		{"length", fmt.Sprintf("Content-Length: %d\r\n", len(all)), all},
		{"cut length", fmt.Sprintf("Content-Length: %d\r\n", len(all)+1), all},
		{"chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(all), all)},
		{"cut chunks", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(all), all)},
	} {
		for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
			for _, upload := range []struct {
				name       string
				length     int
				read       int64
				resetAfter time.Duration
				waiting    time.Duration // of the sender, for a reset before it writes
			}{
				{"nothing read, reset at once", longUpload, 0, 0, 0},
				{"nothing read, reset 2 ms later", longUpload, 0, 2 * time.Millisecond, 0},
				{"nothing read, reset 50 ms later", longUpload, 0, 50 * time.Millisecond, 0},
				{"100 KB read, reset at once", longUpload, 100 << 10, 0, 0},
				{"100 KB read, reset 2 ms later", longUpload, 100 << 10, 2 * time.Millisecond, 0},
				{"100 KB read, reset 50 ms later", longUpload, 100 << 10, 50 * time.Millisecond, 0},
				{"short, reset before it is written", shortUpload, 0, 5 * time.Millisecond, 20 * time.Millisecond},
			} {
				t.Run(fmt.Sprintf("%s/%d/%s", framing.name, status, upload.name), func(t *testing.T) {
					t.Parallel()
					address := startEarly(t, upload.read, fmt.Sprintf(head, status, framing.header)+framing.body, func(conn *net.TCPConn, _ io.Reader) {
						time.Sleep(upload.resetAfter)
						_ = conn.SetLinger(0)
					})
					passed := 0
					for range plays {
						_, body, err := sendLong(t, address, upload.length, upload.waiting)
						if err == nil {
							require.Equal(t, all, body)
							passed++
						}
					}
					if framing.name != "length" && framing.name != "chunks" {
						require.Zero(t, passed, "of %d answers that were cut passed for whole", plays)
					}
				})
			}
		}
	}
}

// TestEarlyAnswerWithoutLengthIsWhole guards against a fix of the fault above that refuses a target which answers before
// it has read a long body, without a length, and reads on.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	const head = "HTTP/1.1 %d Any\r\nX-Hibiscuslb-Request-Id: 7\r\nX-Hibiscuslb-Response-Signature: p\r\n\r\n"
	readOn := func(_ *net.TCPConn, rest io.Reader) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, rest)
	}
	closeFirst := func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.CloseWrite()
		readOn(conn, rest)
	}
	for _, test := range []struct {
		name   string
		status int
		end    func(*net.TCPConn, io.Reader)
		whole  bool
	}{
		{"reads on and closes", 200, readOn, true},
		{"ends its answer, then reads on", 200, closeFirst, true},
		{"error, reads on and closes", 500, readOn, true},
		{"error, ends it, then reads on", 413, closeFirst, true},
		// Who refuses a body needs not read it; who answers with success and doesn't may as well be in trouble.
		{"error, ends it and closes", 413, func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
		}, true},
		{"ends its answer and closes", 200, func(conn *net.TCPConn, _ io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := startEarly(t, 100<<10, fmt.Sprintf(head, test.status)+"all", test.end)
			for range 10 {
				status, body, err := sendLong(t, address, longUpload, 0)
				require.Equal(t, test.status, status)
				require.Equal(t, "all", body)
				require.Equal(t, test.whole, err == nil, "%v", err)
			}
		})
	}
}

// TestEndDuringUploadWaitsForTheWriter checks that the wait for a writer that is stuck ends by itself and with the context.
func TestEndDuringUploadWaitsForTheWriter(t *testing.T) {
	const latest = 10 * time.Second
	done := make(chan struct{})
	address := startEarly(t, 0, "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: 7\r\n\r\nall", func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		<-done // reads nothing
	})
	defer close(done)
	began := time.Now()
	_, body, err := sendLong(t, address, longUpload, 0)
	require.Error(t, err)
	require.Equal(t, "all", body)
	require.Less(t, time.Since(began), latest)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var pool backend.Pool
	r := newRequest(address, "7")
	r.Body = [][]byte{upload}
	exchange, err := pool.Send(ctx, r)
	require.NoError(t, err)
	defer exchange.Close()
	time.AfterFunc(20*time.Millisecond, cancel)
	began = time.Now()
	_, err = io.ReadAll(exchange)
	require.Error(t, err)
	require.Less(t, time.Since(began), latest)
	_, again := exchange.Read(make([]byte, 1))
	require.Equal(t, err, again, "the error of a body stays")
}
