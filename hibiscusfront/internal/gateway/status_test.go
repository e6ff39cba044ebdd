package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/route"
)

// TestInvalidStatusIsNoAnswer guards against a target in trouble whose status is none of an answer: callers got it, or
// the bytes behind it.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		for name, fields := range map[string]string{"signed": rawProof, "not run": "X-Hibiscuslb-Not-Executed: 1\r\n"} {
			for _, r := range []struct {
				route.Route
				next http.HandlerFunc
				want string // empty for a failure
			}{
				{route.Route{Kind: route.NonIdempotent, Attempts: 2}, respondOK, ""},
				{route.Route{Kind: route.Idempotent, Attempts: 2}, respondOK, "fine"},
				{route.Route{Kind: route.Streaming, Attempts: 1}, respondOK, ""},
				{route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 2, true), eventsTo(2)},
			} {
				t.Run(fmt.Sprintf("%s/%s/%v %t", status, name, r.Kind, r.Resumable), func(t *testing.T) {
					head := "HTTP/1.1 " + status + " Any\r\nX-Hibiscuslb-Request-Id: ID\r\n" + fields
					foreign := fmt.Sprintf(rawHead, 200) + rawProof + "Content-Length: 7\r\n\r\n" + rawMark
					b := startGateway(t, r.Route, answerRaw(head+"Content-Length: 0\r\n\r\n"+foreign, false), r.next)
					text, reset := b.callRaw(t, "1.1")
					require.NotContains(t, text, rawMark)
					got, body, whole := readAnswer(text, reset)
					require.True(t, whole)
					require.Equal(t, r.want, body)
					if r.want == "" {
						require.Equal(t, http.StatusBadGateway, got, "it may have run")
						require.NotContains(t, text, signatureHeader)
					}
					require.Contains(t, fmt.Sprint(b.log.WithMessage("no complete response from the target")), "invalid status "+strings.Replace(status, "+", "0", 1), "the log names the status")
				})
			}
		}
	}
}
