package departure_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/departure"
)

// startServer serves with the handler of a departure, and returns its address.
func startServer(t *testing.T, d *departure.Departure, c *departure.Connections, idle, closeAfter time.Duration) (*http.Server, string) {
	t.Helper()
	server := &http.Server{
		Handler:     d.Handler(idle, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })),
		IdleTimeout: closeAfter, ReadHeaderTimeout: time.Second, ConnState: c.Record,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return server, listener.Addr().String()
}

// ask sends a request in two halves with a pause between them, and reads the answer.
func ask(t *testing.T, conn net.Conn, pause time.Duration) (*http.Response, error) {
	t.Helper()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	time.Sleep(pause)
	if _, err := io.WriteString(conn, "st: h\r\n\r\n"); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response, err
}

// TestAnswersNameTheIdleTime has a caller send on a connection that was idle for as long as the
// answers say, and checks that a stop ends it with an answer.
func TestAnswersNameTheIdleTime(t *testing.T) {
	const announced, closeAfter = time.Second, 1500 * time.Millisecond
	var d departure.Departure
	c := departure.Connections{Departure: &d}
	server, address := startServer(t, &d, &c, announced, closeAfter)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	for range 2 {
		response, err := ask(t, conn, 0)
		require.NoError(t, err)
		require.Equal(t, "timeout=1", response.Header.Get("Keep-Alive"))
		require.False(t, response.Close)
		time.Sleep(announced)
	}
	idle, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer idle.Close()
	_, err = ask(t, idle, 0)
	require.NoError(t, err)

	schedule := d.Begin(time.Now(), departure.Settings{})
	response, err := ask(t, conn, 50*time.Millisecond)
	require.NoError(t, err)
	require.True(t, response.Close)
	require.Empty(t, response.Header.Get("Keep-Alive"))
	require.Eventually(t, func() bool { return c.Open() == 1 }, time.Second, time.Millisecond)
	time.Sleep(time.Until(schedule.Close))
	ctx, cancel := context.WithDeadline(context.Background(), schedule.End)
	defer cancel()
	require.NoError(t, server.Shutdown(ctx))
	require.Eventually(t, func() bool { return c.Open() == 0 }, time.Second, time.Millisecond)
	ends := make(map[departure.End]int64)
	c.Each(func(end departure.End, n int64) { ends[end] = n })
	require.Equal(t, map[departure.End]int64{
		{Phase: departure.Leaving, On: http.StateActive}: 1, {Phase: departure.Closing, On: http.StateIdle}: 1,
	}, ends)
}
