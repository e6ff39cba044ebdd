package explain_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusctl/internal/explain"
)

const logs = `
  3.0 b {"level":"info","Host":"b","Target":"i-1","Service":"s","time":"2026-02-08T16:43:50Z","message":"target entered"}
{"level":"warn","Host":"a","Target":"i-1","error":"i/o timeout","time":"2026-02-08T16:43:59Z","message":"engine does not answer; it gets no new work"}
{"level":"info","Host":"b","Request":"other","Target":"i-1","time":"2026-02-08T16:44:00Z","message":"request ended"}
{"level":"info","Host":"a","Request":"r1","Reason":"overloaded","Waiting":3,"time":"2026-02-08T16:44:01Z","message":"refused a request"}
not a log line
{"level":"info","Host":"b","Request":"r1","Target":"i-1","Status":503,"Reason":"overloaded","Outcome":"not run","time":"2026-02-08T16:44:01Z","message":"request ended"}
`

func TestExplainSelectsLinesOfRequestHostsAndTargets(t *testing.T) {
	var out strings.Builder
	require.NoError(t, explain.Explain("r1", strings.NewReader(logs), &out))
	require.Equal(t, `  16:43:59 a: engine does not answer; it gets no new work Target="i-1" error="i/o timeout"
* 16:44:01 a: refused a request Reason="overloaded" Waiting=3
* 16:44:01 b: request ended Outcome="not run" Reason="overloaded" Status=503 Target="i-1"
`, out.String())
}

func TestExplainReturnsNotFoundErrorForUnknownRequest(t *testing.T) {
	var notFound *explain.NotFoundError
	require.ErrorAs(t, explain.Explain("r2", strings.NewReader(logs), new(strings.Builder)), &notFound)
}

// TestExplainOnRecordedLog uses the log of a simulated day, reduced to the lines
// around three requests.
func TestExplainOnRecordedLog(t *testing.T) {
	for request, want := range map[string]string{
		"4dd6c52595382011": "refused a request",
		"cba402cad8eac5c4": "Status=504",
		"56d7bb753e2b17d5": "Status=401",
	} {
		file, err := os.Open("testdata/scale-1.log")
		require.NoError(t, err)
		var out strings.Builder
		require.NoError(t, explain.Explain(request, file, &out))
		require.NoError(t, file.Close())
		require.Contains(t, out.String(), want)
		require.Contains(t, out.String(), "request ended")
	}
}
