package relay_test

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
	"hibiscuslb/hibiscusfront/internal/wire"
)

// TestRelayedAnswerCutDuringUploadIsNotComplete guards against a target that answers a request of another host before
// it has read it, without a length, and resets the connection: the host that sent it called the part complete.
func TestRelayedAnswerCutDuringUploadIsNotComplete(t *testing.T) {
	const plays = 20
	for _, length := range []int{2 << 10, 1 << 20} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						// The other host opens the connection before it gets the word to send.
						_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
						time.Sleep(5 * time.Millisecond)
						_, _ = io.WriteString(conn, head+"\r\nfourteen bytes")
						time.Sleep(2 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					}()
				}
			}()
			target := listener.Addr().String()
			nodes := startNodes(t, 2, target)
			complete := 0
			for range plays {
				r := request(target)
				r.Body = [][]byte{make([]byte, length)}
				r.Check = func() error {
					if length < 64<<10 {
						time.Sleep(20 * time.Millisecond) // the connection is reset meanwhile
					}
					return nil
				}
				exchange, _, err := nodes[0].read(context.Background(), r)
				if err == nil {
					require.Equal(t, http.StatusOK, exchange.Status)
					require.Equal(t, fleet.HostID("h1"), exchange.Via)
					complete++
				}
			}
			require.Positive(t, nodes[0].relayed(wire.RelayBegun), "no answer began")
			require.Zero(t, complete, "of %d answers that were cut came as complete", plays)
		})
	}
}
