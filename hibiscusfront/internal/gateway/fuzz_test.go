package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/view"
)

// A fixedChooser grants every request the same target.
type fixedChooser struct{ address fleet.Address }

func (c fixedChooser) Choose(_ context.Context, _ *view.View, req *plan.Request) plan.Decision {
	return plan.Decision{Request: req, Grant: &plan.Grant{Target: "t", Address: c.address}}
}

func (fixedChooser) Report(*plan.Grant, plan.Progress) {}

func (fixedChooser) ObserveNotice(*view.View, *plan.Grant, intake.Notice) {}

// A closeTracker records which connections a server has closed, that is, has
// finished serving.
type closeTracker struct{ conns sync.Map }

func (c *closeTracker) record(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		c.conns.Store(conn.RemoteAddr().String(), true)
	}
}

// await half-closes a connection on the caller's side and waits until the
// server has closed it, so that no more requests of it can run.
func (c *closeTracker) await(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.(*net.TCPConn).CloseWrite()
	for range 5000 {
		if _, closed := c.conns.LoadAndDelete(conn.LocalAddr().String()); closed {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("gateway did not close the connection within 5 s after its caller closed it")
}

// startFuzzed starts a gateway in front of one target and returns its address.
func startFuzzed(f *testing.F, target fleet.Address, kind route.Kind, closed *closeTracker) string {
	f.Helper()
	r := route.Route{
		Name: "r", Host: "h.example", Prefix: "/", Kind: kind, Attempts: 1, Timeout: time.Second,
		Splits: []route.Split{{Service: "s", Weight: 1}},
	}
	table := route.NewTable(route.Config{
		Number: 1, Routes: []route.Route{r}, Limits: route.Limits{Body: 1000},
		Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
	})
	server := httptest.NewUnstartedServer(&gateway.Gateway{
		View: func() *view.View { return &view.View{Table: table} }, Chooser: fixedChooser{target}, Pool: new(backend.Pool),
		Meter: discardMeter{}, Log: zerolog.Nop(), Departure: new(departure.Departure),
	})
	server.Config.ConnState = closed.record
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // the fuzzer sends invalid requests
	server.Start()
	f.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// connect opens a connection that is closed when the test ends.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// readTimeout is how long to wait for more of the gateway's response before it is
// taken as complete. The target of these tests answers at once.
const readTimeout = 30 * time.Millisecond

// systemHeaders are request headers of which a caller's own value must not reach a
// target: some of those that package platform removes from a caller's request.
var systemHeaders = []string{
	"X-Hibiscuslb-Hold", "X-Hibiscuslb-Pin-Ms", "X-Hibiscuslb-Kv-Backup", "Kv-From", "X-Hibiscuslb-Kv-Fetch",
	"X-Hibiscuslb-Kv-Save", "X-Hibiscuslb-Kv-Until", "X-Hibiscuslb-Cache-Salt", "Authorization",
}

// FuzzRequest sends arbitrary bytes as a caller. It checks that the target runs
// a request no more often than its ID occurs in the bytes, for the caller's own
// workspace, and without the caller's own system headers.
func FuzzRequest(f *testing.F) {
	const good = "POST /x HTTP/1.1\r\nHost: h.example\r\nX-Hibiscuslb-Request-Id: a1\r\nAuthorization: Token k\r\n"
	for _, seed := range []string{
		good + "Content-Length: 4\r\n\r\nbody",
		good + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		good + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\nHost: h.example\r\nX-Hibiscuslb-Request-Id: a2\r\nAuthorization: Token k\r\n\r\n",
		good + "Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody",
		good + "X-Hibiscuslb-Hold: 1\r\nKv-From: 10.0.0.1:1/2\r\nX-Hibiscuslb-Tenant: other\r\nContent-Length: 0\r\n\r\n",
		good + "x-hibiscuslb-kv-fetch: 10.0.0.1:1\r\nCONNECTION: X-Hibiscuslb-Request-Id\r\nContent-Length: 0\r\n\r\n",
		"GET http://h.example/../x HTTP/1.1\r\nHost: other\r\nX-Hibiscuslb-Request-Id: a\tb\r\nAuthorization: Token k\r\n\r\n",
		"GET /\x00 HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	var mu sync.Mutex
	var ran []*http.Request
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		ran = append(ran, r)
		mu.Unlock()
		w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
		w.Header().Set(signatureHeader, "p")
	}))
	f.Cleanup(target.Close)
	var closed closeTracker
	address := startFuzzed(f, fleet.Address(strings.TrimPrefix(target.URL, "http://")), route.NonIdempotent, &closed)
	f.Fuzz(func(t *testing.T, request []byte) {
		mu.Lock()
		ran = nil
		mu.Unlock()
		conn := connect(t, address)
		// The write may fail: a gateway that refuses the request may close the
		// connection before it has read all bytes.
		_, _ = conn.Write(request)
		for buffer := make([]byte, 4096); ; {
			_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
			if _, err := conn.Read(buffer); err != nil {
				break
			}
		}
		closed.await(t, conn)
		mu.Lock()
		defer mu.Unlock()
		times := make(map[string]int)
		for _, r := range ran {
			id := r.Header.Get("X-Hibiscuslb-Request-Id")
			times[id]++
			if id == "" || times[id] > bytes.Count(request, []byte(id)) {
				t.Fatalf("request %q: target ran ID %q %d times, more often than it was sent", request, id, times[id])
			}
			if tenant := r.Header.Values("X-Hibiscuslb-Tenant"); len(tenant) != 1 || tenant[0] != "w" {
				t.Fatalf("request %q: target got tenant %q, want [\"w\"]", request, tenant)
			}
			for _, name := range systemHeaders {
				if r.Header.Get(name) != "" && name != "X-Hibiscuslb-Cache-Salt" {
					t.Fatalf("request %q: target got system header %s of the caller", request, name)
				}
			}
		}
	})
}

// FuzzAnswer answers with arbitrary bytes as a target. It checks that the caller
// gets a success status only for a complete and signed response to its own request, and
// no invalid status.
func FuzzAnswer(f *testing.F) {
	const good = "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: a1\r\nX-Hibiscuslb-Response-Signature: p\r\n"
	for _, seed := range []string{
		good + "Content-Length: 4\r\n\r\nbody",
		good + "Content-Length: 9\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: a1\r\nContent-Length: 4\r\n\r\nbody",
		good + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		good + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		good + "\r\nuntil the end",
		good + "Content-Length: 0\r\n\r\n" + good + "Content-Length: 4\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody" + good + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Busy\r\nX-Hibiscuslb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Any\r\nX-Hibiscuslb-Request-Id: a1\r\n\r\n" + good + "Content-Length: 4\r\n\r\nbody",
		strings.Replace(good, "200", "600", 1) + "Content-Length: 4\r\n\r\nbody", strings.Replace(good, "200", "101", 1) + "\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 999999 x\r\n\r\n", "\x00\x01\x02", "",
	} {
		f.Add([]byte(seed))
	}
	var mu sync.Mutex
	var answer []byte
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				mu.Lock()
				bytes := answer
				mu.Unlock()
				_, _ = conn.Write(bytes)
			}()
		}
	}()
	address := startFuzzed(f, fleet.Address(target.Addr().String()), route.NonIdempotent, new(closeTracker))
	const request = "GET /x HTTP/1.1\r\nHost: h.example\r\nX-Hibiscuslb-Request-Id: a1\r\nX-Hibiscuslb-Deadline-Ms: 1000\r\nAuthorization: Token k\r\n\r\n"
	f.Fuzz(func(t *testing.T, bytes []byte) {
		mu.Lock()
		answer = bytes
		mu.Unlock()
		conn := connect(t, address)
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		var body []byte
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			body, err = io.ReadAll(got.Body)
		}
		var late net.Error
		if errors.As(err, &late) && late.Timeout() {
			t.Fatalf("target sent %q: gateway did not end the response within 5 s", bytes)
		}
		if err == nil && got.StatusCode >= 600 {
			t.Fatalf("target sent %q: caller got the invalid status %d", bytes, got.StatusCode)
		}
		if err != nil || got.StatusCode >= http.StatusMultipleChoices {
			return // a truncated response or an error status, both of which the caller can recognize
		}
		if got.Header.Get("X-Hibiscuslb-Request-Id") != "a1" || got.Header.Get(signatureHeader) == "" || !strings.Contains(string(bytes), string(body)) && !strings.Contains(strings.ToLower(string(bytes)), "chunked") {
			t.Fatalf("target sent %q: caller got status %d, body %q, header %v", bytes, got.StatusCode, body, got.Header)
		}
	})
}
