package service_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/service"
)

func address(server *httptest.Server) fleet.Address {
	return fleet.Address(strings.TrimPrefix(server.URL, "http://"))
}

// TestCallIsNeverSentTwice closes each connection after the call has run and
// before it is answered. An HTTP transport resends a request by itself if the
// connection was used before, the method or an Idempotency-Key allows it, and the
// body is empty or can be read again.
func TestCallIsNeverSentTwice(t *testing.T) {
	var runs atomic.Int32
	abort := new(atomic.Bool)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	client := service.Client{Address: address(server)}
	for _, body := range [][]byte{nil, []byte("x")} {
		call := service.Call{Operation: "book", Key: "k", Body: body}
		abort.Store(false)
		for range 3 {
			_, err := client.Do(context.Background(), call)
			require.NoError(t, err)
		}
		runs.Store(0)
		abort.Store(true)
		_, err := client.Do(context.Background(), call)
		var unknown *service.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		require.Equal(t, int32(1), runs.Load())
	}
}

func TestCallOutcomes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	// The port of a connection's other end refuses connections, and no other process can take it.
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	client := service.Client{Address: fleet.Address(conn.LocalAddr().String())}
	_, err = client.Do(context.Background(), service.Call{Operation: "book"})
	var notRun *service.NotRunError
	require.ErrorAs(t, err, &notRun, "connection refused: not run")

	cases := []struct {
		name        string
		status      int
		marked      bool // with the header Outcome: NotRun
		wantNotRun  bool
		wantUnknown bool
	}{
		{"an answer", http.StatusOK, false, false, false},
		{"a 4xx status of the service is its answer", http.StatusPaymentRequired, false, false, false},
		{"a 503 status with the header Outcome: NotRun", http.StatusServiceUnavailable, true, true, false},
		{"a 503 status without the header may have run", http.StatusServiceUnavailable, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.marked {
					w.Header().Set("Outcome", "NotRun")
				}
				w.WriteHeader(c.status)
			}))
			defer server.Close()
			client := service.Client{Address: address(server)}
			answer, err := client.Do(context.Background(), service.Call{Operation: "book"})
			var notRun *service.NotRunError
			var unknown *service.UnknownOutcomeError
			switch {
			case c.wantNotRun:
				require.ErrorAs(t, err, &notRun)
			case c.wantUnknown:
				require.ErrorAs(t, err, &unknown)
			default:
				require.NoError(t, err)
				require.Equal(t, c.status, answer.Status)
			}
		})
	}
}

// TestFailureThatBrokeOffIsUnknown guards against a service that stops in the body of an answer with a 4xx status, and
// checks that a long one arrives whole: a part passed for all of it.
func TestFailureThatBrokeOffIsUnknown(t *testing.T) {
	whole := strings.Repeat(" reason\n", 1000)
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		for _, sent := range []int{0, 5, 600, len(whole)} {
			t.Run(fmt.Sprint(status, sent), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
					w.WriteHeader(status)
					_, _ = io.WriteString(w, whole[:sent])
				}))
				defer server.Close()
				client := service.Client{Address: address(server)}
				answer, err := client.Do(context.Background(), service.Call{Operation: "book"})
				if sent < len(whole) {
					var unknown *service.UnknownOutcomeError
					require.ErrorAs(t, err, &unknown, "%d bytes came as an answer", len(answer.Body))
					return
				}
				require.NoError(t, err)
				require.Equal(t, service.Answer{Status: status, Body: []byte(whole)}, answer)
			})
		}
	}
}
