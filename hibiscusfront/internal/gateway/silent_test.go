package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
)

// TestSilentTargetIsAwaited has a sound target fall silent at each point of an exchange and go on. Its request must
// not be broken off or sent to another target, and the target must not count as failed.
func TestSilentTargetIsAwaited(t *testing.T) {
	const silence = 1200 * time.Millisecond
	head := fmt.Sprintf(rawHead, 200) + rawProof
	plain, streamed := head+"Content-Length: 4\r\n\r\nbody", head+"Transfer-Encoding: chunked\r\n\r\n"
	for event := range 4 {
		text := fmt.Sprintf("id: %d\ndata: %d\n\n", event+1, event+1)
		streamed += fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	streamed += "0\r\n\r\n"
	for _, test := range []struct {
		name   string
		answer string
		before string // the silence begins before this part of the answer
		kind   route.Kind
		want   string
	}{
		{"before the answer", plain, "HTTP", route.Idempotent, "body"},
		{"before the answer, may run once", plain, "HTTP", route.NonIdempotent, "body"},
		{"inside the head", plain, "Content", route.Idempotent, "body"},
		{"before the body", plain, "body", route.Idempotent, "body"},
		{"inside the body", plain, "dy", route.Idempotent, "body"},
		{"before a stream", streamed, "HTTP", route.Streaming, eventsTo(4)},
		{"before the first event", streamed, "f\r\n", route.Streaming, eventsTo(4)},
		{"between events", streamed, "id: 2", route.Streaming, eventsTo(4)},
		{"inside an event", streamed, "data: 3", route.Streaming, eventsTo(4)},
		{"before the end of a stream", streamed, "\r\n0\r\n\r\n", route.Streaming, eventsTo(4)},
	} {
		for _, resumable := range []bool{false, true} {
			if resumable && test.kind != route.Streaming {
				continue
			}
			t.Run(fmt.Sprintf("%s/resumable %t", test.name, resumable), func(t *testing.T) {
				t.Parallel()
				begin, end, ok := strings.Cut(test.answer, test.before)
				require.True(t, ok)
				target := func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					defer conn.Close()
					id := r.Header.Get("X-Hibiscuslb-Request-Id")
					_, _ = io.WriteString(conn, strings.ReplaceAll(begin, "ID", id))
					time.Sleep(silence)
					_, _ = io.WriteString(conn, strings.ReplaceAll(test.before+end, "ID", id))
				}
				b := startGateway(t, route.Route{Kind: test.kind, Resumable: resumable, Attempts: 3}, target, respondOK)
				start := time.Now()
				got, _ := b.callRaw(t, "1.1")
				require.GreaterOrEqual(t, time.Since(start), silence)
				status, body, whole := readAnswer(got, false)
				require.True(t, whole)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, test.want, body)
				require.Equal(t, 1, b.asked())
				require.Equal(t, plan.Done, b.lastReport(1))
			})
		}
	}
}
