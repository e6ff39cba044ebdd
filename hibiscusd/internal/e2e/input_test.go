package e2e

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBadInputIsRefusedAsNotRun sends invalid requests. None of them may reach a
// target, and no prompt may be written to a log.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	b := newTestbed(t, 2)
	const secret = "the prompt of a member"
	const prompt = `{"model":"answer","prompt":"` + secret + `","max_tokens":1`
	book := func(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }
	cases := []struct {
		name, path, body string
		header           map[string]string
		status           int
	}{
		{"invalid JSON", "/v1/completions", "{" + secret, nil, 400},
		{"a field of the wrong type", "/v1/completions", `{"model":7,"prompt":"` + secret + `"}`, nil, 400},
		{"too many tokens", "/v1/completions", prompt + `00000000}`, nil, 400},
		{"a negative number of tokens", "/v1/completions", `{"model":"answer","prompt":"x","max_tokens":-1}`, nil, 400},
		{"an unknown model", "/v1/completions", `{"model":"other","prompt":"` + secret + `"}`, nil, 404},
		{"no credentials", "/v1/completions", prompt + "}", map[string]string{"Authorization": ""}, 401},
		{"unknown credentials", "/v1/completions", prompt + "}", map[string]string{"Authorization": "Bearer nobody"}, 401},
		{"another workspace's name as key", "/v1/completions", prompt + "}", map[string]string{"Authorization": "Bearer agents"}, 401},
		{"an unknown class", "/v1/completions", prompt + "}", map[string]string{"Request-Class": "vip"}, 400},
		{"a bad deadline", "/v1/completions", prompt + "}", map[string]string{"Request-Deadline": "soon"}, 400},
		{"an oversized body", "/v1/completions", prompt + `,"x":"` + strings.Repeat("y", 5<<20) + `"}`, nil, 413},
		{"no idempotency key", "/v1/services/ledger/book", "x", nil, 400},
		{"a key with path elements", "/v1/services/ledger/book", "x", book("../admin"), 400},
		{"a key that is too long", "/v1/services/ledger/book", "x", book(strings.Repeat("k", 300)), 400},
		{"an undeclared operation", "/v1/services/ledger/refund", "x", book("k"), 404},
		{"an operation with path traversal", "/v1/services/ledger/..%2F..%2Fadmin%2Fdrop", "x", book("k"), 404},
		{"an undeclared service", "/v1/services/none/book", "x", book("k"), 404},
	}
	calls := b.service.Counts().Calls
	requests := 0
	for _, engine := range b.engines {
		requests += engine.Counts().Requests
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "http://"+string(b.hosts[0].callerAddr)+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer clerks-key")
			for name, value := range c.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, response.StatusCode, string(body))
			require.NotContains(t, string(body), secret)
			if !strings.Contains(c.path, "..") { // the HTTP router itself rejects these paths
				require.Equal(t, "NotRun", response.Header.Get("Outcome"))
				require.Contains(t, string(body), `"Reason"`)
			}
		})
	}
	require.Equal(t, calls, b.service.Counts().Calls)
	after := 0
	for _, engine := range b.engines {
		after += engine.Counts().Requests
	}
	require.Equal(t, requests, after)
	logs, err := filepath.Glob(filepath.Join(b.dir, "*.log"))
	require.NoError(t, err)
	require.NotEmpty(t, logs)
	for _, file := range logs {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.NotContains(t, string(text), secret)
	}
}
