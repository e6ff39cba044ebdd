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
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/view"
)

// always grants one target.
type always struct{ address fleet.Address }

func (a always) Choose(_ context.Context, _ *view.View, ask *plan.Request) plan.Decision {
	return plan.Decision{Request: ask, Grant: &plan.Grant{Target: "t", Address: a.address}}
}

func (always) Report(*plan.Grant, plan.Progress) {}

// closings notes which connections a server has closed, and so served to the end.
type closings struct{ conns sync.Map }

func (c *closings) note(conn net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		c.conns.Store(conn.RemoteAddr().String(), true)
	}
}

// await ends a connection from the caller's side and waits until the server has
// done all that it will do for it.
func (c *closings) await(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.(*net.TCPConn).CloseWrite()
	for range 5000 {
		if _, closed := c.conns.LoadAndDelete(conn.LocalAddr().String()); closed {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the gateway keeps a connection whose caller has gone")
}

// startFuzzed returns the address of a gateway in front of one target.
func startFuzzed(f *testing.F, target fleet.Address, kind route.Kind, closed *closings) string {
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
		View: func() *view.View { return &view.View{Table: table} }, Chooser: always{target}, Pool: new(backend.Pool),
		Meter: noMeter{}, Log: zerolog.Nop(), Closing: func() bool { return false },
	})
	server.Config.ConnState = closed.note
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // bad requests are what is sent
	server.Start()
	f.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// connect opens a connection that ends with the test.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// quietTime is how long a gateway says nothing once it has answered all that it
// will: the target of these tests answers at once.
const quietTime = 30 * time.Millisecond

// forged are headers that the system alone sets.
var forged = []string{
	"X-Hibiscuslb-Hold", "X-Hibiscuslb-Pin-Ms", "X-Hibiscuslb-Kv-Backup", "Kv-From", "X-Hibiscuslb-Kv-Fetch",
	"X-Hibiscuslb-Kv-Save", "X-Hibiscuslb-Kv-Until", "X-Hibiscuslb-Cache-Salt", "Authorization",
}

// FuzzRequest sends what a caller could: the target runs nothing that the caller
// did not ask for in so many words, and nothing that only the system may ask.
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
	}))
	f.Cleanup(target.Close)
	var closed closings
	address := startFuzzed(f, fleet.Address(strings.TrimPrefix(target.URL, "http://")), route.NonIdempotent, &closed)
	f.Fuzz(func(t *testing.T, request []byte) {
		mu.Lock()
		ran = nil
		mu.Unlock()
		conn := connect(t, address)
		// A gateway that refuses the bytes may close before it has read them.
		_, _ = conn.Write(request)
		for buffer := make([]byte, 4096); ; {
			_ = conn.SetReadDeadline(time.Now().Add(quietTime))
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
				t.Fatalf("%q ran %q %d times", request, id, times[id])
			}
			if tenant := r.Header.Values("X-Hibiscuslb-Tenant"); len(tenant) != 1 || tenant[0] != "w" {
				t.Fatalf("%q ran for %q", request, tenant)
			}
			for _, name := range forged {
				if r.Header.Get(name) != "" && name != "X-Hibiscuslb-Cache-Salt" {
					t.Fatalf("%q passed %s on", request, name)
				}
			}
		}
	})
}

// FuzzAnswer lets a target answer anything: a caller gets a success only if it is
// the answer to its own request, and whole.
func FuzzAnswer(f *testing.F) {
	const good = "HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: a1\r\nX-Hibiscuslb-Response-Signature: p\r\n"
	for _, seed := range []string{
		good + "Content-Length: 4\r\n\r\nbody",
		good + "Content-Length: 9\r\n\r\nbody",
		good + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		good + "Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
		good + "\r\nuntil the end",
		good + "Content-Length: 0\r\n\r\n" + good + "Content-Length: 4\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nX-Hibiscuslb-Request-Id: other\r\nContent-Length: 4\r\n\r\nbody" + good + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 503 Busy\r\nX-Hibiscuslb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
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
	address := startFuzzed(f, fleet.Address(target.Addr().String()), route.NonIdempotent, new(closings))
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
			t.Fatalf("no end of the answer after %q", bytes)
		}
		if err != nil || got.StatusCode >= http.StatusMultipleChoices {
			return // broken off, which nobody takes for a whole answer, or a failure
		}
		if got.Header.Get("X-Hibiscuslb-Request-Id") != "a1" || !strings.Contains(string(bytes), string(body)) && !strings.Contains(strings.ToLower(string(bytes)), "chunked") {
			t.Fatalf("%q became %d %q with %v", bytes, got.StatusCode, body, got.Header)
		}
	})
}
