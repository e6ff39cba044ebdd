package backend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/backend"
)

// TestInvalidStatusIsNoResponse guards against a target in trouble that answers with a status outside 100 to 599, or that
// changes to another protocol unasked: it was passed on, or skipped as an interim response and the bytes behind it taken.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const (
		fields = "X-Hibiscuslb-Request-Id: 7\r\nX-Hibiscuslb-Response-Signature: p\r\n"
		next   = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nnext"
	)
	for text, status := range map[string]int{"000": 0, "001": 1, "+20": 20, "099": 99, "101": 101, "600": 600, "999": 999} {
		for _, rest := range []string{"Content-Length: 4\r\n\r\nbody", "\r\nbody", "Content-Length: 0\r\n\r\n" + next, "\r\n" + next} {
			for _, used := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%q/used %t", text, rest, used), func(t *testing.T) {
					address, _ := startTarget(t, func(conn net.Conn, reader *bufio.Reader) {
						r, ok := readRequest(reader)
						if ok && r.Header.Get("X-Hibiscuslb-Request-Id") == "0" {
							writeResponse(conn, "0", "")
							_, _ = readRequest(reader)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 "+text+" Any\r\n"+fields+rest)
					})
					var pool backend.Pool
					if used {
						_, err := send(t, &pool, newRequest(address, "0"))
						require.NoError(t, err)
					}
					body, err := send(t, &pool, newRequest(address, "7"))
					var none *backend.NoResponseError
					require.ErrorAs(t, err, &none, "%q came as an answer", body)
					var invalid *backend.InvalidStatusError
					require.ErrorAs(t, err, &invalid)
					require.Equal(t, backend.InvalidStatusError{Target: "t", Status: status}, *invalid)
				})
			}
		}
	}
}
