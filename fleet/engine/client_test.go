package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/engine"
)

// TestIncompleteAnswersAreErrors serves a complete stream and streams with the
// faults of a broken engine or connection.
func TestIncompleteAnswersAreErrors(t *testing.T) {
	const (
		start = `{"Attempt":"a","Start":{"Incarnation":1}}`
		zero  = `{"Attempt":"a","Index":0,"Text":"x"}`
		one   = `{"Attempt":"a","Index":1,"Text":"y"}`
		end   = `{"Attempt":"a","End":true,"Count":2}`
	)
	cases := []struct {
		name     string
		lines    []string
		complete bool
	}{
		{"complete", []string{start, zero, one, end}, true},
		{"cut before the end mark", []string{start, zero, one}, false},
		{"cut within a line", []string{start, zero, one[:10]}, false},
		{"empty", nil, false},
		{"a piece is missing", []string{start, zero, end}, false},
		{"a piece is repeated", []string{start, zero, zero, one, end}, false},
		{"pieces are out of order", []string{start, one, zero, end}, false},
		{"a piece of another attempt", []string{start, zero, strings.Replace(one, `"a"`, `"b"`, 1), end}, false},
		{"the engine aborts the answer", []string{start, zero, `{"Attempt":"a","Failed":"out of memory"}`}, false},
		{"an end mark with a wrong count", []string{start, zero, one, strings.Replace(end, "2", "3", 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprint(w, strings.Join(c.lines, "\n"))
			}))
			defer server.Close()
			client := engine.Client{Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))}
			err := client.Generate(context.Background(), engine.Request{Attempt: "a"}, func(engine.Piece) error { return nil })
			if c.complete {
				require.NoError(t, err)
				return
			}
			var incomplete *engine.IncompleteError
			require.ErrorAs(t, err, &incomplete)
		})
	}
}

func TestIdleStreamIsAborted(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"Attempt":"a","Start":{"Incarnation":1}}`)
		w.(http.Flusher).Flush()
		<-release
	}))
	defer server.Close()
	defer close(release)
	client := engine.Client{
		Address:   fleet.Address(strings.TrimPrefix(server.URL, "http://")),
		IdleLimit: 50 * time.Millisecond,
	}
	err := client.Generate(context.Background(), engine.Request{Attempt: "a"}, func(engine.Piece) error { return nil })
	var incomplete *engine.IncompleteError
	require.ErrorAs(t, err, &incomplete)
	require.ErrorContains(t, err, "no piece received within the idle limit of 50ms")
}
