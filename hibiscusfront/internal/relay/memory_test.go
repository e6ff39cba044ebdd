package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/holding"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// TestSmallPiecesAreBounded has a target write its answer byte by byte to a host that reads nothing of it.
func TestSmallPiecesAreBounded(t *testing.T) {
	const most, all = 200, 2000
	pieces := make(chan struct{}, 1)
	target, _ := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"\r\n")
		for range all {
			_, _ = io.WriteString(conn, "x")
			select {
			case <-pieces:
			case <-time.After(time.Second):
				return
			}
		}
	})
	n := startNodes(t, 2, target)[1]
	r := request(target)
	encoded, err := cbor.Marshal(wire.RelayRequest{
		Number: 1, Host: "h0", ID: r.ID, Target: r.Target, Address: r.Address, Method: r.Method, URI: r.URI, HostName: r.Host, Header: r.Header, Left: 2 * time.Second,
	})
	require.NoError(t, err)
	sent := 0
	_, err = n.server.Serve(context.Background(), encoded, func(body any) error {
		switch body.(wire.RelayPart).Result {
		case wire.RelayReady:
			_, err := n.server.Go(wire.RelayGo{Number: 1, Host: "h0", Left: 2 * time.Second, Window: 1 << 20})
			return err
		case wire.RelayMore:
			sent++
			pieces <- struct{}{}
		}
		return nil
	})
	require.NoError(t, err)
	require.Less(t, sent, most)
}

// TestRelayedRequestsDrawOnBudgets has more answers under way than the budget has windows for. They arrive all
// the same, and what was held is given back.
func TestRelayedRequestsDrawOnBudgets(t *testing.T) {
	const count, length = 8, 200 << 10
	target, _ := startTarget(t, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, head+"Connection: close\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
	})
	nodes := startNodes(t, 2, target)
	var answers, requests, relayed holding.Budget
	answers.SetLimit(64 << 10)
	requests.SetLimit(1 << 20)
	relayed.SetLimit(1 << 20)
	nodes[0].Answers, nodes[0].Requests, nodes[1].server.Budget = &answers, &requests, &relayed
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var bodies []io.ReadCloser
	for range count {
		r := request(target)
		r.Body = [][]byte{make([]byte, 50<<10)}
		exchange, err := nodes[0].Send(ctx, r)
		require.NoError(t, err)
		bodies = append(bodies, struct {
			io.Reader
			io.Closer
		}{exchange, closer(exchange.Close)})
	}
	require.Greater(t, int(answers.Used()), 0)
	require.Greater(t, int(answers.Refused()), 0, "the budget was to be spent")
	require.GreaterOrEqual(t, int(requests.Highest()), 50<<10)
	require.GreaterOrEqual(t, int(relayed.Used()), count*50<<10)
	for _, body := range bodies {
		read, err := io.ReadAll(body)
		require.NoError(t, err)
		require.Len(t, read, length)
		require.NoError(t, body.Close())
	}
	require.Zero(t, answers.Used())
	require.Zero(t, requests.Used())
	require.Eventually(t, func() bool { return relayed.Used() == 0 }, 5*time.Second, time.Millisecond)
}

// A closer closes by a function without an error.
type closer func()

func (c closer) Close() error { c(); return nil }
