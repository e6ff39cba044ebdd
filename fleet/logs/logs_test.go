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

// blockingWriter blocks writes while mu is locked.
type blockingWriter struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(p)
}

func TestBlockedReaderDoesNotBlockWrites(t *testing.T) {
	writer := new(blockingWriter)
	writer.mu.Lock()
	out := logs.NewOutput(writer)
	began := time.Now()
	const lines = 10 * logs.BufferLines
	for range lines {
		_, err := io.WriteString(out, "line\n")
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	require.ErrorIs(t, out.Close(), logs.ErrFlushTimeout)
	writer.mu.Unlock()
}

func TestDroppedLinesAreCounted(t *testing.T) {
	writer := new(blockingWriter)
	writer.mu.Lock()
	out := logs.NewOutput(writer)
	const lines = 3 * logs.BufferLines
	for range lines {
		_, err := io.WriteString(out, "line\n")
		require.NoError(t, err)
	}
	writer.mu.Unlock()
	require.NoError(t, out.Close())
	written := int64(bytes.Count(writer.lines.Bytes(), []byte("\n")))
	require.Positive(t, out.Dropped())
	require.Equal(t, int64(lines), written+out.Dropped())
}

func TestCloseWritesQueuedLines(t *testing.T) {
	writer := new(blockingWriter)
	out := logs.NewOutput(writer)
	_, err := io.WriteString(out, "the end\n")
	require.NoError(t, err)
	require.NoError(t, out.Close())
	require.Equal(t, "the end\n", writer.lines.String())
}
