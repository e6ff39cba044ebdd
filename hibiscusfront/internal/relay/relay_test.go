package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/relay"
	"hibiscuslb/hibiscusfront/internal/view"
)

func TestAnswerArrivesUnchangedByWayOfAnotherHost(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, test := range map[string]struct {
		answer  string
		body    string
		framing backend.Framing
		broken  bool
	}{
		"length":           {head + "Content-Length: 4\r\n\r\nabcd", "abcd", backend.FramedByLength, false},
		"long":             {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long), long, backend.FramedByLength, false},
		"chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n", "abcd", backend.FramedByChunks, false},
		"end of channel":   {head + "\r\nabcd", "abcd", backend.FramedByClose, false},
		"too short":        {head + "Content-Length: 5\r\n\r\nabcd", "abcd", backend.FramedByLength, true},
		"chunks break off": {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\nc", "abc", backend.FramedByChunks, true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan *http.Request, 1)
			target, requests := startTarget(t, func(conn net.Conn, r *http.Request) {
				received <- r
				_, _ = io.WriteString(conn, test.answer)
			})
			nodes := startNodes(t, 2, target)
			exchange, body, err := nodes[0].read(context.Background(), request(target))
			require.Equal(t, test.body, body)
			if test.broken {
				require.Error(t, err)
				require.NotErrorIs(t, err, io.EOF)
			} else {
				require.NoError(t, err)
			}
			require.NoError(t, exchange.CheckSignature())
			require.Equal(t, test.framing, exchange.Framing)
			require.Equal(t, nodes[1].Host, exchange.Via)
			r := <-received
			require.Equal(t, "/a?b=c", r.RequestURI)
			require.Equal(t, "h.example", r.Host)
			require.Less(t, len(r.Header.Get("X-Hibiscuslb-Deadline-Ms")), 5)
			require.NotEqual(t, "9000", r.Header.Get("X-Hibiscuslb-Deadline-Ms"), "the deadline shrinks")
			require.EqualValues(t, 1, requests.Load())
			require.Equal(t, []intake.Notice{{Limit: intake.Limit{Named: true, Rate: 5}}}, nodes[1].notices)
		})
	}
}

// TestRequestIsNotRelayedToTargetThatHasLeftWhileConnecting guards against requests that reach a target after the
// drain time by way of a host that learns while it connects that the target leaves.
func TestRequestIsNotRelayedToTargetThatHasLeftWhileConnecting(t *testing.T) {
	target, requests := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"Content-Length: 4\r\n\r\nabcd")
	})
	nodes := startNodes(t, 2, target)
	relaying := nodes[1]
	before := relaying.server.View()
	after := *before
	after.Targets = []roster.Target{before.Targets[0]}
	after.Targets[0].Leaving = true
	after.Freeze()
	var left atomic.Bool
	relaying.server.View = func() *view.View {
		if left.Load() {
			return &after
		}
		return before
	}
	dial := relaying.pool.Dial
	relaying.pool.Dial = func(ctx context.Context, address fleet.Address) (net.Conn, error) {
		left.Store(true)
		return dial(ctx, address)
	}
	_, _, err := nodes[0].read(context.Background(), request(target))
	var notSent *backend.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Zero(t, requests.Load())
	require.Equal(t, 1, relaying.results["true refused"])
}

// TestLostHostIsNoEndOfAnswer has an answer that ends with its connection, and the relaying host die midway.
func TestLostHostIsNoEndOfAnswer(t *testing.T) {
	begun := make(chan struct{})
	target, requests := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"\r\ndata: 1\n\n")
		close(begun)
		_, _ = conn.Read(make([]byte, 1))
	})
	nodes := startNodes(t, 2, target)
	exchange, err := nodes[0].Send(context.Background(), request(target))
	require.NoError(t, err)
	defer exchange.Close()
	<-begun
	nodes[1].die()
	_, err = io.ReadAll(exchange)
	var path *relay.PathError
	require.ErrorAs(t, err, &path, "the target is not to blame")
	require.NotErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, requests.Load())
}

// TestRequestIsSentOnce has the relaying host die, or the target break off, before there is an answer.
func TestRequestIsSentOnce(t *testing.T) {
	for _, dies := range []bool{false, true} {
		t.Run(fmt.Sprint("host dies: ", dies), func(t *testing.T) {
			var nodes []*node
			target, requests := startTarget(t, func(conn net.Conn, _ *http.Request) {
				if dies {
					for _, n := range nodes[1:] {
						n.die()
					}
				}
			})
			nodes = startNodes(t, 4, target)
			_, err := nodes[0].Send(context.Background(), request(target))
			var none *backend.NoResponseError
			require.ErrorAs(t, err, &none)
			require.EqualValues(t, 1, requests.Load())
			require.Equal(t, !dies, nodes[0].Blames("t", err))
		})
	}
}

// A host that is cut off too says so, and another one is asked. None passes a relayed request on.
func TestHostsThatCannotSendAreSkipped(t *testing.T) {
	answer := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"Content-Length: 4\r\n\r\nabcd")
	}
	for name, test := range map[string]struct {
		change func(n *node)
		served bool
	}{
		"sound":   {func(*node) {}, true},
		"parted":  {func(n *node) { n.parted.Store(true) }, false},
		"closed":  {func(n *node) { n.closed = []fleet.TargetID{"t"} }, false},
		"leaving": {func(n *node) { n.leaving.Store(true) }, false},
		"gone":    {(*node).die, false},
	} {
		for _, rest := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", one is sound: ", rest), func(t *testing.T) {
				target, requests := startTarget(t, answer)
				nodes := startNodes(t, 4, target)
				for _, n := range nodes[1:3] {
					test.change(n)
				}
				if !rest {
					test.change(nodes[3])
				}
				_, body, err := nodes[0].read(context.Background(), request(target))
				if rest || test.served {
					require.NoError(t, err)
					require.Equal(t, "abcd", body)
					require.EqualValues(t, 1, requests.Load())
					return
				}
				require.Zero(t, requests.Load())
				require.ErrorAs(t, err, new(*backend.NotSentError))
			})
		}
	}
}

// TestKeptConnectionServes has new connections refused while one that was open lives on. It is used once an
// answer has shown that it lives.
func TestKeptConnectionServes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Hibiscuslb-Request-Id", r.Header.Get("X-Hibiscuslb-Request-Id"))
		w.Header().Set("X-Hibiscuslb-Response-Signature", "p")
		_, _ = io.WriteString(w, r.RemoteAddr)
	}))
	t.Cleanup(server.Close)
	target := strings.TrimPrefix(server.URL, "http://")
	nodes := startNodes(t, 2, target)
	send := func(id string, once bool) string {
		r := request(target)
		r.ID, r.SendOnce = fleet.RequestID(id), once
		r.Header.Set("X-Hibiscuslb-Request-Id", id)
		_, connection, err := nodes[0].read(context.Background(), r)
		require.NoError(t, err)
		return connection
	}
	nodes[0].parted.Store(false)
	first := send("1", true)
	nodes[0].parted.Store(true)
	nodes[0].ways.Failed("t")
	require.NotEqual(t, first, send("2", false))
	nodes[0].ways.Answered("t")
	require.Equal(t, first, send("3", false))
	require.Equal(t, first, send("4", true))
}

// TestHostsOfDataCentreAreCutOff has all hosts of a data centre parted, more than are asked for a request.
func TestHostsOfDataCentreAreCutOff(t *testing.T) {
	const parted, sound, count = 12, 4, 40
	target, requests := startTarget(t, func(conn net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 204 No Content\r\nX-Hibiscuslb-Request-Id: %s\r\nX-Hibiscuslb-Response-Signature: p\r\n\r\n", r.Header.Get("X-Hibiscuslb-Request-Id"))
	})
	nodes := startNodes(t, parted+sound, target)
	for i, n := range nodes {
		n.parted.Store(i < parted)
		if i >= parted {
			n.View().Hosts[i].DataCentre = "b"
		}
	}
	served := 0
	for i := range count {
		r := request(target)
		r.ID = fleet.RequestID(fmt.Sprint(i))
		r.Header.Set("X-Hibiscuslb-Request-Id", fmt.Sprint(i))
		if _, _, err := nodes[0].read(context.Background(), r); err == nil {
			served++
		}
	}
	require.GreaterOrEqual(t, served, count*9/10)
	require.EqualValues(t, served, requests.Load())
}

// TestCallerWhoLeavesEndsRelayedRequest ends the context of a request whose answer is under way.
func TestCallerWhoLeavesEndsRelayedRequest(t *testing.T) {
	closed := make(chan error, 1)
	target, _ := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"Content-Length: 9\r\n\r\nabcd")
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := conn.Read(make([]byte, 1))
		closed <- err
	})
	nodes := startNodes(t, 2, target)
	ctx, cancel := context.WithCancel(context.Background())
	exchange, err := nodes[0].Send(ctx, request(target))
	require.NoError(t, err)
	cancel()
	_, err = io.ReadAll(exchange)
	require.ErrorIs(t, err, context.Canceled)
	exchange.Close()
	err = <-closed
	require.False(t, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT), "the target was not told: %v", err)
}

// TestSlowReceiverStopsAnswer reads nothing of an answer without end. The target must not be able to send more
// than the window and the buffers of the kernel hold.
func TestSlowReceiverStopsAnswer(t *testing.T) {
	const most = 8 << 20
	var sent atomic.Int64
	target, _ := startTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, head+"\r\n")
		piece := make([]byte, 16<<10)
		for {
			n, err := conn.Write(piece)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	nodes := startNodes(t, 2, target)
	exchange, err := nodes[0].Send(context.Background(), request(target))
	require.NoError(t, err)
	last := int64(-1)
	require.Eventually(t, func() bool {
		now := sent.Load()
		still := now == last
		last = now
		return still && now > 0
	}, 10*time.Second, 300*time.Millisecond)
	require.Less(t, last, int64(most))
	exchange.Close()
}
