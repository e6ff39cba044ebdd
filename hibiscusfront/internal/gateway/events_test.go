package gateway

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/hibiscusfront/internal/backend"
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

// TestScannerFindsEndsOfEvents splits each stream at every byte: the result must not
// depend on how the bytes arrive.
func TestScannerFindsEndsOfEvents(t *testing.T) {
	for _, test := range []struct {
		stream    string
		end       int // of the last event
		truncated bool
	}{
		{"data: 1\n\n", 9, false},
		{"data: 1\n\ndata: 2\n", 9, true},
		{"data: 1\r\n\r\n", 11, false},
		{"data: 1\r\n\r\nd", 11, true},
		{"data: 1\r\rdata: 2\r", 9, true},
		{"data: 1\n\r\n", 10, false},
		{"data: 1\r\n", 0, true},
		{"\n\ndata: 1\n\n\n", 12, false},
		{"\n", 1, true}, // no event
		{"", 0, true},
	} {
		for cut := range len(test.stream) + 1 {
			var s eventScanner
			end := s.scan([]byte(test.stream[:cut]))
			if n := s.scan([]byte(test.stream[cut:])); n > 0 {
				end = cut + n
			}
			require.Equal(t, test.end, end, "%q cut at %d", test.stream, cut)
			require.Equal(t, test.truncated, s.checkEnd(backend.FramedByClose) != nil, "%q cut at %d", test.stream, cut)
		}
	}
}
