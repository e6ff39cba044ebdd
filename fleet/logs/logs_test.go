package logs_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/logs"
)

// slow is a reader that stands still until it is told to go on.
type slow struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lines.Write(p)
}

func TestAReaderThatStandsStillHoldsNothingUp(t *testing.T) {
	reader := new(slow)
	reader.mu.Lock()
	out := logs.NewOutput(reader)
	began := time.Now()
	const lines = 10 * logs.BufferLines
	for range lines {
		_, err := io.WriteString(out, "line\n")
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	require.ErrorIs(t, out.Close(), logs.ErrFlushTimeout)
	reader.mu.Unlock()
}

func TestDroppedLinesAreCounted(t *testing.T) {
	reader := new(slow)
	reader.mu.Lock()
	out := logs.NewOutput(reader)
	const lines = 3 * logs.BufferLines
	for range lines {
		_, err := io.WriteString(out, "line\n")
		require.NoError(t, err)
	}
	reader.mu.Unlock()
	require.NoError(t, out.Close())
	written := int64(bytes.Count(reader.lines.Bytes(), []byte("\n")))
	require.Positive(t, out.Dropped())
	require.Equal(t, int64(lines), written+out.Dropped())
}

func TestTheLastLinesAreWritten(t *testing.T) {
	reader := new(slow)
	out := logs.NewOutput(reader)
	_, err := io.WriteString(out, "the end\n")
	require.NoError(t, err)
	require.NoError(t, out.Close())
	require.Equal(t, "the end\n", reader.lines.String())
}
