package ingress_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/ingress"
)

func ExampleDefaultLimits() {
	fmt.Println(ingress.DefaultLimits(134<<20, 4100))
	fmt.Println(ingress.DefaultLimits(536<<20, 2870))
	fmt.Println(ingress.DefaultLimits(0, 0))
	// Output:
	// {1072 35127296}
	// {1335 140509184}
	// {0 0}
}

func TestOverride(t *testing.T) {
	base := ingress.DefaultLimits(134<<20, 4100)
	for _, test := range []struct {
		connections int
		memory      fleet.Bytes
		want        ingress.Limits
		wantErr     string
	}{
		{0, 0, base, ""},
		{500, 0, ingress.Limits{Connections: 500, Memory: base.Memory}, ""},
		{0, 64 << 20, ingress.Limits{Connections: base.Connections, Memory: 64 << 20}, ""},
		{-1, 0, base, "limit of connections is -1, want 0 for the default or 16 at least"},
		{0, 1, base, "limit of memory in bytes is 1, want 0 for the default or 8388608 at least"},
	} {
		got, err := base.Override(test.connections, test.memory)
		require.Equal(t, test.want, got)
		if test.wantErr == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorAs(t, err, new(*ingress.LimitError))
		require.EqualError(t, err, test.wantErr)
	}
}

const maxBody = 4 << 20

// server is a server of clients that answers with the length of the body.
type server struct {
	*ingress.Listener
	budget holding.Budget
	// proceed lets the handler answer, if it is not nil. The handler has sent to running before.
	proceed, running chan struct{}
	errs             chan error // of reading bodies
}

func startServer(t *testing.T, memory fleet.Bytes) *server {
	t.Helper()
	s := &server{budget: holding.Budget{Clock: clock.BootTime()}, errs: make(chan error, 100)}
	s.budget.SetLimit(memory)
	var err error
	s.Listener, err = ingress.Listen(context.Background(), "127.0.0.1:0", 0, &s.budget)
	require.NoError(t, err)
	s.serve(t, 3*time.Second)
	return s
}

// startLimited starts a server with a limit of connections whose handlers wait for proceed. Heads may take any time.
func startLimited(t *testing.T, connections int) *server {
	t.Helper()
	s := &server{
		Listener: listenUnix(t, connections),
		proceed:  make(chan struct{}), running: make(chan struct{}, connections+1), errs: make(chan error, 100),
	}
	s.serve(t, 0)
	return s
}

// listenUnix listens on a socket that no other process dials. A port may be one to which others still
// connect that had it before.
func listenUnix(t *testing.T, connections int) *ingress.Listener {
	t.Helper()
	dir, err := os.MkdirTemp("", "") // shorter than t.TempDir, as the path of a socket must be
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	l, err := net.Listen("unix", filepath.Join(dir, "s"))
	require.NoError(t, err)
	return &ingress.Listener{Listener: l, Connections: connections}
}

func (s *server) serve(t *testing.T, headTimeout time.Duration) {
	web := &http.Server{
		Handler: ingress.Handler(s), ConnState: ingress.Record, ConnContext: ingress.ConnContext,
		ReadHeaderTimeout: headTimeout, MaxHeaderBytes: 16 << 10,
	}
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(s.Listener) }()
	t.Cleanup(func() {
		_ = web.Close()
		<-ended
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	body, err := ingress.ReadBody(w, r, maxBody)
	if err != nil {
		s.errs <- err
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		ingress.DropBody(w, r)
		return
	}
	if s.proceed != nil {
		s.running <- struct{}{}
		<-s.proceed
	}
	length := 0
	for _, segment := range body {
		length += len(segment)
	}
	fmt.Fprint(w, length)
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	return dialTo(t, s)
}

// answer reads an answer and returns its status and body; the status is zero if there is none.
func answer(conn net.Conn) (int, string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func post(path, head string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + head + "\r\n"
}

// TestBadInput sends requests that are odd, contradict themselves or do not end. Each must have a stated
// answer or a closed connection, and an ordinary request an answer afterwards.
func TestBadInput(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	s := startServer(t, 16<<20)
	for _, test := range []struct {
		name, request string
		want          int // status; zero for a connection that is closed
		wantBody      string
	}{
		{"ordinary", post("/", "Content-Length: 4\r\n") + "body", 200, "4"},
		{"length too small", post("/", "Content-Length: 2\r\nConnection: close\r\n") + "body", 200, "2"},
		{"length too large", post("/", "Content-Length: 20\r\n") + "body", 503, ""},
		{"length of 2^63", post("/", "Content-Length: 9223372036854775808\r\n") + "body", 400, "400 Bad Request"},
		{"length beyond the limit", post("/", "Content-Length: 9223372036854775807\r\n") + "body", 503, ""},
		{"negative length", post("/", "Content-Length: -1\r\n") + "body", 400, "400 Bad Request"},
		{"two lengths that differ", post("/", "Content-Length: 4\r\nContent-Length: 5\r\n") + "body", 400, "400 Bad Request"},
		{"the same length twice", post("/", "Content-Length: 4\r\nContent-Length: 4\r\n") + "body", 200, "4"},
		{"length and chunks", post("/", "Content-Length: 2\r\n"+chunked) + "4\r\nbody\r\n0\r\n\r\n", 200, "4"},
		{"chunks of one byte", post("/", chunked) + strings.Repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n", 200, "1000"},
		{"chunk that does not end", post("/", chunked) + "ffffffff\r\nx", 503, ""},
		{"chunk with a negative length", post("/", chunked) + "-1\r\nx\r\n0\r\n\r\n", 503, ""},
		{"chunk extension without end", post("/", chunked) + "4;" + strings.Repeat("x", 100<<10), 503, ""},
		{"many chunk extensions", post("/", chunked) + strings.Repeat("1;"+strings.Repeat("x", 3000)+"\r\nx\r\n", 100) + "0\r\n\r\n", 503, ""},
		{"trailer without end", post("/", chunked) + "0\r\n" + strings.Repeat("a:\r\n", 10_000), 503, ""},
		{"hundred thousand lines", post("/", strings.Repeat("a:\n", 100_000)), 431, "431 Request Header Fields Too Large"},
		{"line without end", "POST / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("x", 100<<10), 431, "431 Request Header Fields Too Large"},
		{"folded line", post("/", "A: b\r\n c\r\nContent-Length: 0\r\n"), 200, "0"},
		{"empty name", post("/", ": b\r\n"), 400, "400 Bad Request"},
		{"name with a space", post("/", "a b: c\r\n"), 400, "400 Bad Request"},
		{"half a head", "POST / HTTP/1.1\r\nHost: h\r\n", 0, ""},
		{"half a line", "POST / HTTP/1.1\r\nHost: h\r\nA", 400, "400 Bad Request"},
		{"half a body that nobody reads", post("/unread", "Content-Length: 10\r\n") + "body", 401, ""},
		{"no request", "\x16\x03\x01\x02\x00", 400, "400 Bad Request"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			conn := s.dial(t)
			go func() { _, _ = io.WriteString(conn, test.request) }() // fails if the server answers early
			status, body := answer(conn)
			require.Equal(t, test.want, status)
			require.Contains(t, body, test.wantBody)
			ordinary := s.dial(t)
			_, err := io.WriteString(ordinary, post("/", "Content-Length: 4\r\n")+"body")
			require.NoError(t, err)
			status, _ = answer(ordinary)
			require.Equal(t, http.StatusOK, status)
		})
	}
}

// TestBodiesShareTheBudget guards against bodies of legal size that together take more memory than
// the host has.
func TestBodiesShareTheBudget(t *testing.T) {
	s := startServer(t, maxBody+maxBody/2)
	long := bytes.Repeat([]byte("x"), maxBody)
	stalled := s.dial(t)
	_, err := stalled.Write(append([]byte(post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody))), long[:maxBody-10]...))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.budget.Used() > maxBody/2 }, 10*time.Second, time.Millisecond)

	refused := s.dial(t)
	_, err = io.WriteString(refused, post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody)))
	require.NoError(t, err)
	status, _ := answer(refused)
	require.Equal(t, http.StatusServiceUnavailable, status, "it is refused before its body is read")
	require.ErrorAs(t, <-s.errs, new(*holding.SpentError))

	small := s.dial(t)
	_, err = io.WriteString(small, post("/", "Content-Length: 12288\r\n")+string(long[:12288]))
	require.NoError(t, err)
	status, body := answer(small)
	require.Equal(t, http.StatusOK, status, "ordinary requests need nothing of the budget")
	require.Equal(t, "12288", body)

	time.Sleep(holding.StallTime + 100*time.Millisecond)
	for range 2 {
		next := s.dial(t)
		_, err = next.Write(append([]byte(post("/", fmt.Sprintf("Content-Length: %d\r\n", maxBody))), long...))
		require.NoError(t, err)
		status, body = answer(next)
		require.Equal(t, http.StatusOK, status, "a body that stood still yields")
		require.Equal(t, fmt.Sprint(maxBody), body)
	}
	require.ErrorAs(t, <-s.errs, new(*holding.EvictedError))
	require.Eventually(t, func() bool { return s.budget.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// TestHeadsShareTheBudget guards against heads of many short lines, which take far more memory than
// their length. Those that do not fit have no answer, so that no caller takes it for one to its request. Heads
// that arrive together fit in any order; those that do are refused when their bodies do not come.
func TestHeadsShareTheBudget(t *testing.T) {
	const connections, fitting = 4, 3
	s := startServer(t, 2<<20)
	var lines strings.Builder
	for i := 0; lines.Len() < 14<<10; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	statuses := make(chan int)
	for range connections {
		conn := s.dial(t)
		_, err := io.WriteString(conn, post("/", lines.String()+"Content-Length: 10\r\n"))
		require.NoError(t, err)
		go func() {
			status, _ := answer(conn)
			statuses <- status
		}()
	}
	require.Eventually(t, func() bool { return s.Counts().HeadsRefused > 0 }, 10*time.Second, time.Millisecond)
	counts := make(map[int]int)
	for range connections {
		counts[<-statuses]++
	}
	require.Equal(t, connections, counts[0]+counts[http.StatusServiceUnavailable], "no answer or a true one: %v", counts)
	require.GreaterOrEqual(t, counts[0], connections-fitting, "heads that do not fit have no answer: %v", counts)
	require.Len(t, s.errs, counts[http.StatusServiceUnavailable], "each answer is that to a body that did not come")
	for range len(s.errs) {
		require.ErrorAs(t, <-s.errs, new(*ingress.TimeoutError))
	}
	require.LessOrEqual(t, s.budget.Highest(), fleet.Bytes(2<<20))
}

// TestConnectionsAreLimited guards against more connections than the host has descriptors for: a new one
// takes the place of the one that was quiet the longest, never of one that is served.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 4
	s := startLimited(t, limit)
	served := s.dial(t)
	_, err := io.WriteString(served, post("/", "Content-Length: 4\r\n")+"body")
	require.NoError(t, err)
	<-s.running
	quietest := s.dial(t) // sends nothing, and so was quiet since it was accepted
	for range 3*limit - 1 {
		_, err := io.WriteString(s.dial(t), "POST / HTTP/1.1\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Counts().Evicted == 2*limit+1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, limit, s.Counts().Open)
	_, err = quietest.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it is closed")

	ordinary := s.dial(t)
	_, err = io.WriteString(ordinary, post("/", "Content-Length: 4\r\n")+"body")
	require.NoError(t, err)
	close(s.proceed)
	for _, conn := range []net.Conn{served, ordinary} {
		status, _ := answer(conn)
		require.Equal(t, http.StatusOK, status)
	}
}

// TestAllServedRefusesNewConnections has all connections serve requests.
func TestAllServedRefusesNewConnections(t *testing.T) {
	const limit = 3
	s := startLimited(t, limit)
	var running []net.Conn
	for range limit {
		conn := s.dial(t)
		_, err := io.WriteString(conn, post("/", "Content-Length: 4\r\n")+"body")
		require.NoError(t, err)
		running = append(running, conn)
	}
	for range limit {
		<-s.running
	}
	status, _ := answer(s.dial(t))
	require.Zero(t, status)
	require.EqualValues(t, 1, s.Counts().Refused)
	close(s.proceed)
	for _, conn := range running {
		status, _ := answer(conn)
		require.Equal(t, http.StatusOK, status)
	}
}

// TestBodyEndsInTime has a body stand still for longer than the time for it.
func TestBodyEndsInTime(t *testing.T) {
	s := startServer(t, 0)
	conn := s.dial(t)
	_, err := io.WriteString(conn, post("/", "Content-Length: 10\r\n")+"body")
	require.NoError(t, err)
	status, _ := answer(conn)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.ErrorAs(t, <-s.errs, new(*ingress.TimeoutError))
}

// TestBodyArrivesWhole sends bodies of lengths around those of segments.
func TestBodyArrivesWhole(t *testing.T) {
	for _, length := range []int{1, 4 << 10, 16 << 10, 16<<10 + 1, 32 << 10, 1<<20 + 3} {
		for _, chunked := range []bool{false, true} {
			data := make([]byte, length)
			for i := range data {
				data[i] = byte(i * 7)
			}
			r, err := http.NewRequest(http.MethodPost, "/", bytes.NewReader(data))
			require.NoError(t, err)
			if chunked {
				r.ContentLength = -1
			}
			body, err := ingress.ReadBody(discard{}, r, fleet.Bytes(length))
			require.NoError(t, err)
			require.Equal(t, data, bytes.Join(body, nil))
			r.Body = io.NopCloser(bytes.NewReader(data))
			_, err = ingress.ReadBody(discard{}, r, fleet.Bytes(length-1))
			require.ErrorAs(t, err, new(*ingress.TooLongError))
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(data[:length/2]), failing{}))
			_, err = ingress.ReadBody(discard{}, r, fleet.Bytes(length))
			require.ErrorIs(t, err, errFailing)
		}
	}
}

type discard struct{ http.ResponseWriter }

var errFailing = errors.New("connection lost")

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errFailing }
