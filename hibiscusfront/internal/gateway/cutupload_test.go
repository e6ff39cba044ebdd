package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/route"
)

// TestAnswerCutDuringUploadIsNotWhole guards against a target that answers before it has read a long request, without a
// length, and resets the connection: callers got the part framed as a whole answer.
func TestAnswerCutDuringUploadIsNotWhole(t *testing.T) {
	const (
		plays    = 6
		uploaded = 16 << 20
	)
	upload, events := make([]byte, uploaded), eventsTo(2)
	for _, r := range []route.Route{
		{Kind: route.NonIdempotent}, {Kind: route.Idempotent}, {Kind: route.Streaming}, {Kind: route.Streaming, Resumable: true},
	} {
		for _, status := range []int{http.StatusOK, http.StatusNotFound} {
			for name, body := range map[string]string{"short": events, "long": strings.Repeat(events, 8<<10)} {
				t.Run(fmt.Sprintf("%v %t/%d/%s", r.Kind, r.Resumable, status, name), func(t *testing.T) {
					head := fmt.Sprintf(rawHead, status) + rawProof + "\r\n"
					whole := 0
					for range plays {
						b := startGateway(t, r, func(w http.ResponseWriter, r *http.Request) {
							conn, _, err := http.NewResponseController(w).Hijack()
							if err != nil {
								panic(err)
							}
							defer conn.Close()
							_, _ = io.WriteString(conn, strings.ReplaceAll(head, "ID", r.Header.Get("X-Hibiscuslb-Request-Id"))+body)
							time.Sleep(2 * time.Millisecond)
							_ = conn.(*net.TCPConn).SetLinger(0)
						})
						r.Host, r.Prefix, r.Attempts, r.Splits = "127.0.0.1", "/", 1, []route.Split{{Service: "s", Weight: 1}}
						b.table.Store(route.NewTable(route.Config{
							Number: 1, Routes: []route.Route{r}, Limits: route.Limits{Body: uploaded},
							Workspaces: []route.Workspace{{ID: "w", Keys: []route.Key{"k"}}},
						}))
						request, err := http.NewRequest(http.MethodPost, b.url+"/x", bytes.NewReader(upload))
						require.NoError(t, err)
						request.Header.Set("X-Hibiscuslb-Request-Id", "9c41")
						request.Header.Set("Authorization", "Token k")
						response, err := b.client.Do(request)
						if err != nil {
							continue // the connection was closed
						}
						got, err := io.ReadAll(response.Body)
						_ = response.Body.Close()
						switch {
						case err != nil:
							require.True(t, strings.HasPrefix(body, string(got)))
						case response.StatusCode == status:
							whole++
						default:
							require.Equal(t, http.StatusBadGateway, response.StatusCode)
							require.Empty(t, got)
						}
					}
					require.Zero(t, whole, "of %d answers that were cut were framed as whole", plays)
				})
			}
		}
	}
}
