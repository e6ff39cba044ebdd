package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/backend"
)

// TestUnsignedSuccessEndsConnection guards against reusing the connection of a target that
// lost part of a response header, even if the response was read to its end.
func TestUnsignedSuccessEndsConnection(t *testing.T) {
	const signature = "X-Hibiscuslb-Response-Signature: p\r\n"
	for _, test := range []struct {
		status   int
		header   string
		accepted bool
	}{
		{200, signature, true},
		{200, "", false},
		{200, "X-Hibiscuslb-Response-Signature:\r\n", false},
		{299, "", false},
		{300, "", true},
		{404, "", true},
		{500, "", true},
	} {
		t.Run(fmt.Sprintf("%d %q", test.status, test.header), func(t *testing.T) {
			address, conns := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
				for {
					r, ok := readRequest(reader)
					if !ok {
						return
					}
					fmt.Fprintf(conn, "HTTP/1.1 %d Any\r\nX-Hibiscuslb-Request-Id: %s\r\n%sContent-Length: 4\r\n\r\nbody",
						test.status, r.Header.Get("X-Hibiscuslb-Request-Id"), test.header)
				}
			})
			var pool backend.Pool
			for i := range 2 {
				exchange, err := pool.Send(context.Background(), newRequest(address, fmt.Sprint(i)))
				require.NoError(t, err)
				_, err = io.ReadAll(exchange)
				require.NoError(t, err)
				err = exchange.CheckSignature()
				exchange.Close()
				if test.accepted {
					require.NoError(t, err)
					continue
				}
				var unsigned *backend.UnsignedError
				require.ErrorAs(t, err, &unsigned)
				require.Equal(t, backend.UnsignedError{Target: fleet.TargetID("t"), Status: test.status}, *unsigned)
			}
			want := int32(2)
			if test.accepted {
				want = 1
			}
			require.Equal(t, want, conns.Load())
		})
	}
}
