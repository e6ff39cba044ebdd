package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/hibiscusfront/internal/testlog"
	"hibiscuslb/hibiscusfront/internal/view"
)

// TestBodiesThatAreNotReadAreRefused guards against refusals that promise something else than "not run" for
// a request whose body the host does not read, and against a client that sends its body all the same
// and loses the answer.
func TestBodiesThatAreNotReadAreRefused(t *testing.T) {
	const limit = 1 << 20
	chooser := &scriptedChooser{refusal: fleet.Refuse(fleet.ReasonOverloaded, "")}
	table := route.NewTable(route.Config{
		Number: 1, Limits: route.Limits{Body: limit}, Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
		Routes: []route.Route{{Host: "h", Prefix: "/", Attempts: 1, Splits: []route.Split{{Service: "s", Weight: 1}}}},
	})
	var (
		log    testlog.Lines
		budget holding.Budget
	)
	budget.SetLimit(limit / 2)
	listener, err := ingress.Listen(context.Background(), "127.0.0.1:0", 0, &budget)
	require.NoError(t, err)
	server := &http.Server{ConnContext: ingress.ConnContext, ConnState: ingress.Record, Handler: ingress.Handler(&gateway.Gateway{
		View: func() *view.View { return &view.View{Table: table} }, Chooser: chooser, Pool: new(backend.Pool), Meter: discardMeter{},
		Log: log.Logger(), Departure: new(departure.Departure),
	})}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	for _, test := range []struct {
		name         string
		length, sent int
		chunked      bool
		want         int
		retryAfter   string
	}{
		{"no memory for the length", limit, limit, false, http.StatusServiceUnavailable, "1.000"},
		{"no memory for the chunks", limit, limit, true, http.StatusServiceUnavailable, "1.000"},
		{"longer than allowed", 3 * limit, 3 * limit, false, http.StatusRequestEntityTooLarge, ""},
		{"stands still", 100, 50, false, http.StatusRequestTimeout, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			head, body := fmt.Sprintf("Content-Length: %d\r\n\r\n", test.length), strings.Repeat("x", test.sent)
			if test.chunked {
				head, body = "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", test.length, body)
			}
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nX-Hibiscuslb-Request-Id: 1\r\nAuthorization: Token k\r\n"+head+body)
			require.NoError(t, err, "the host reads what it drops")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, test.want, response.StatusCode)
			require.Equal(t, test.retryAfter, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
		})
	}
	require.Empty(t, chooser.requests, "none was passed on")
}
