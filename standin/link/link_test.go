package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/link"
)

// TestServeForwardsWhatCameBeforeIt guards against fixtures that choose a port, close it and
// listen on it again: another process may have it by then.
func TestServeForwardsWhatCameBeforeIt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "yes") }))
	defer server.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	proxy := &link.Proxy{Target: fleet.Address(server.Listener.Addr().String())}
	go func() { ended <- proxy.Serve(ctx, listener) }()
	if answer, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(answer), "yes") {
		t.Errorf("read %q, %v; want an answer that ends with yes", answer, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := listener.Accept(); err == nil {
		t.Error("the listener is still open")
	}
}
