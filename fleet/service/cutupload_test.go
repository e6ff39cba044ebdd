package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/service"
)

// startRaw starts a service that writes the text on each connection and then does what end does.
func startRaw(t *testing.T, text string, end func(conn *net.TCPConn)) *service.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 100)
				if _, err := conn.Read(buffer); err == nil {
					_, _ = io.WriteString(conn, text)
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return &service.Client{Address: fleet.Address(listener.Addr().String())}
}

// TestAnswerCutDuringUploadIsUnknown guards against a service that answers before it has read the call, without a length,
// and resets the connection: a part of its answer passed for all of it.
func TestAnswerCutDuringUploadIsUnknown(t *testing.T) {
	const plays = 20
	body := make([]byte, 16<<20)
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		for _, after := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(status, after), func(t *testing.T) {
				client := startRaw(t, fmt.Sprintf("HTTP/1.1 %d Any\r\n\r\nfourteen bytes", status), func(conn *net.TCPConn) {
					time.Sleep(after)
					_ = conn.SetLinger(0)
				})
				passed := 0
				for range plays {
					_, err := client.Do(context.Background(), service.Call{Operation: "book", Body: body})
					if err == nil {
						passed++
						continue
					}
					var unknown *service.UnknownOutcomeError
					require.ErrorAs(t, err, &unknown)
				}
				require.Zero(t, passed, "of %d answers that were cut passed for whole", plays)
			})
		}
	}
}

// TestEarlyAnswerWithoutLengthIsWhole has a service answer before it has read a long call, without a length, and read on.
func TestEarlyAnswerWithoutLengthIsWhole(t *testing.T) {
	body := make([]byte, 16<<20)
	client := startRaw(t, "HTTP/1.1 200 OK\r\n\r\nall", func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, conn, int64(len(body)))
	})
	for range 10 {
		answer, err := client.Do(context.Background(), service.Call{Operation: "book", Body: body})
		require.NoError(t, err)
		require.Equal(t, "all", string(answer.Body))
	}
}
