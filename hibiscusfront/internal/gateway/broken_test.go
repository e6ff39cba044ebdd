package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/route"
)

// answerRaw answers with the text, in which ID stands for the ID of the request, and then closes or resets the
// connection.
func answerRaw(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would reset the connection
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Hibiscuslb-Request-Id")))
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// callRaw sends a request in a version of HTTP on a connection of its own. It returns all bytes that come, and
// whether the connection was reset behind them.
func (b *fixture) callRaw(t *testing.T, version string) (text string, reset bool) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /x HTTP/%s\r\nHost: 127.0.0.1\r\nX-Hibiscuslb-Request-Id: 9c41\r\nAuthorization: Token k\r\n"+
		"Connection: close\r\nContent-Length: 4\r\n\r\nbody", version)
	require.NoError(t, err)
	data, err := io.ReadAll(conn)
	if reset = errors.Is(err, syscall.ECONNRESET); !reset {
		require.NoError(t, err)
	}
	return string(data), reset
}

// readAnswer parses what a caller got. The status is zero if there is no answer.
func readAnswer(text string, reset bool) (status int, body string, whole bool) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return 0, "", false
	}
	data, err := io.ReadAll(response.Body)
	byClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return response.StatusCode, string(data), err == nil && (!byClose || !reset)
}

const (
	rawHead  = "HTTP/1.1 %d Any\r\nX-Hibiscuslb-Request-Id: ID\r\n"
	rawProof = signatureHeader + ": p1\r\n"
	rawMark  = "foreign" // in the head and the body of errors
)

// framed returns an answer in each framing, of which the body with a length or in chunks is cut at its end.
func framed(head, body string) map[string]string {
	return map[string]string{
		"length": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body),
		"chunks": fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body),
		"close":  head + "\r\n" + body,
	}
}

// TestStreamThatBrokeOffHoldsNoError guards against an error of the target that should resume a stream: its text, at
// times with its head, came in the middle of the stream, or ended the stream as if it were complete.
func TestStreamThatBrokeOffHoldsNoError(t *testing.T) {
	head := fmt.Sprintf(rawHead, 200) + rawProof
	failure := fmt.Sprintf(rawHead, 500) + "X-Detail: " + rawMark + "\r\n"
	whole := failure + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(rawMark), rawMark)
	next := map[string]string{
		"error":                         whole,
		"error in chunks":               failure + "Transfer-Encoding: chunked\r\n\r\n7\r\n" + rawMark + "\r\n0\r\n\r\n",
		"error to the close":            failure + "\r\n" + rawMark,
		"error with a proof":            failure + rawProof + "Content-Length: 7\r\n\r\n" + rawMark,
		"error without an ID":           strings.Replace(whole, "X-Hibiscuslb-Request-Id: ID\r\n", "", 1),
		"error with another ID":         strings.Replace(whole, "ID", "2", 1),
		"error behind interim answers":  "HTTP/1.1 103 Any\r\nLink: " + rawMark + "\r\n\r\n" + whole,
		"refusal":                       strings.Replace(whole, "500", "404", 1),
		"overload":                      strings.Replace(whole, "500", "503", 1),
		"rejection":                     strings.Replace(whole, "500 Any\r\n", "503 Any\r\nX-Hibiscuslb-Not-Executed: 1\r\n", 1),
		"redirection":                   strings.Replace(whole, "500", "302", 1),
		"success without a proof":       strings.Replace(whole, "500", "200", 1),
		"error cut in its body":         whole[:len(whole)-3],
		"interim answer and a cut":      "HTTP/1.1 103 Any\r\nLink: " + rawMark + "\r\n\r\n",
		"no answer":                     "",
		"bytes that are no answer":      rawMark + "\r\n\r\n" + rawMark,
		"head cut after its first line": "HTTP/1.1 500 " + rawMark + "\r\n",
		"head cut inside a line":        failure[:len(failure)-3],
		"head cut after a line":         failure,
		"head cut in the blank line":    failure + "\r",
		"success cut in its head":       head,
		"success without an event":      head + "\r\n",
		"success cut in its event":      head + "\r\nid: 4\ndata: " + rawMark,
	}
	for framing, begun := range framed(head, eventsTo(3)) {
		for name, cut := range map[string]string{"inside an event": begun + "id: 4\nda", "behind an event": begun} {
			for _, reset := range []bool{false, true} {
				if framing == "close" && name == "behind an event" && !reset {
					continue // a whole stream
				}
				begins := answerRaw(cut, reset)
				for answer, text := range next {
					for _, version := range []string{"1.1", "1.0"} {
						t.Run(fmt.Sprintf("%s/%s/reset %t/%s/%s", framing, name, reset, answer, version), func(t *testing.T) {
							t.Parallel()
							b := startGateway(t, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, begins, answerRaw(text, reset))
							got, wasReset := b.callRaw(t, version)
							require.NotContains(t, got, rawMark)
							status, body, complete := readAnswer(got, wasReset)
							require.False(t, complete, "the stream looks complete: %q", got)
							require.Equal(t, http.StatusOK, status)
							require.Equal(t, eventsTo(3), body)
						})
					}
				}
			}
		}
	}
}

// TestAnswerThatBrokeOffIsNotWhole guards against a target that stops in the head or the body of its answer: callers
// got a success with an empty or short body, framed as whole.
func TestAnswerThatBrokeOffIsNotWhole(t *testing.T) {
	success, failure := fmt.Sprintf(rawHead, 200)+rawProof, fmt.Sprintf(rawHead, 500)
	bodies, long, failures := framed(success, "id: 1\nda"), framed(success, strings.Repeat("x", 100<<10)), framed(failure, rawMark)
	for name, test := range map[string]struct {
		text      string
		begun     bool // the caller of any route has got a part
		resetOnly bool
	}{
		"nothing":                    {},
		"inside the status line":     {text: "HTTP/1.1 20"},
		"before the line ends":       {text: "HTTP/1.1 200 OK"},
		"behind the status line":     {text: "HTTP/1.1 200 OK\r\n"},
		"inside a header line":       {text: success[:len(success)-3]},
		"behind the header lines":    {text: success},
		"inside the blank line":      {text: success + "Content-Length: 0\r\n\r"},
		"behind an interim answer":   {text: "HTTP/1.1 103 Any\r\n\r\n"},
		"in the head of an error":    {text: failure},
		"body with a length":         {text: bodies["length"]},
		"body in chunks":             {text: bodies["chunks"]},
		"body to the close":          {text: bodies["close"], resetOnly: true},
		"long body with a length":    {text: long["length"], begun: true},
		"long body in chunks":        {text: long["chunks"], begun: true},
		"long body to the close":     {text: long["close"], begun: true, resetOnly: true},
		"error with a length":        {text: failures["length"]},
		"error in chunks":            {text: failures["chunks"]},
		"error to the close":         {text: failures["close"], resetOnly: true},
		"nothing behind a proof":     {text: bodies["length"][:strings.Index(bodies["length"], "id: 1")]},
		"bytes that are no answer":   {text: rawMark},
		"another answer and nothing": {text: strings.Replace(failure, "ID", "2", 1) + "Content-Length: 0\r\n\r\n"},
	} {
		for _, r := range []struct {
			route.Route
			next http.HandlerFunc
			want string // if the caller has got nothing; empty for a failure
		}{
			{route.Route{Kind: route.NonIdempotent, Attempts: 2}, respondOK, ""},
			{route.Route{Kind: route.Idempotent, Attempts: 1}, respondOK, ""},
			{route.Route{Kind: route.Idempotent, Attempts: 2}, respondOK, "fine"},
			{route.Route{Kind: route.Streaming, Attempts: 2}, stream(1, 2, true), ""},
			{route.Route{Kind: route.Streaming, Resumable: true, Attempts: 1}, stream(1, 2, true), ""},
			{route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, stream(1, 2, true), eventsTo(2)},
		} {
			for _, reset := range []bool{false, true} {
				if test.resetOnly && !reset {
					continue // a whole answer
				}
				for _, version := range []string{"1.1", "1.0"} {
					t.Run(fmt.Sprintf("%s/%v %t %d/reset %t/%s", name, r.Kind, r.Resumable, r.Attempts, reset, version), func(t *testing.T) {
						t.Parallel()
						b := startGateway(t, r.Route, answerRaw(test.text, reset), r.next)
						got, wasReset := b.callRaw(t, version)
						require.NotContains(t, got, rawMark)
						status, body, whole := readAnswer(got, wasReset)
						switch {
						case whole && status == http.StatusOK:
							require.NotEmpty(t, r.want, "it looks complete: %q", got)
							require.Equal(t, r.want, body)
						case whole:
							require.Equal(t, http.StatusBadGateway, status)
							require.Empty(t, body)
							require.NotContains(t, got, signatureHeader)
						default:
							require.True(t, test.begun || r.Kind == route.Streaming, "no answer: %q", got)
						}
						if r.want != "" && (!test.begun || r.Kind == route.Streaming) {
							require.True(t, whole)
							require.Equal(t, r.want, body)
						}
					})
				}
			}
		}
	}
}
