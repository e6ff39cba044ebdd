package gateway

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSplitterReturnsCompleteEvents(t *testing.T) {
	var s eventSplitter
	complete, err := s.add([]byte("id: 1\n\nid: 2\nda"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(complete))
	require.Equal(t, "1", s.lastID)
	complete, err = s.add([]byte("ta: x\n\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 2\ndata: x\n\n", string(complete))
	require.Equal(t, "2", s.lastID)
}

// A target in trouble may send bytes without an end, which are no event.
func TestSplitterLimitsIncompleteEvent(t *testing.T) {
	var s eventSplitter
	piece := bytes.Repeat([]byte("x"), relayBufferSize)
	for range 2 * maxEventBytes / len(piece) {
		if _, err := s.add(piece); err != nil {
			var tooLong *EventTooLongError
			require.ErrorAs(t, err, &tooLong)
			require.LessOrEqual(t, len(s.partial), maxEventBytes+len(piece))
			return
		}
	}
	require.Fail(t, "an event of any length is kept in memory")
}
