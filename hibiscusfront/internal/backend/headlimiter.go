package backend

import (
	"fmt"
	"net"

	"hibiscuslb/fleet/holding"
)

// maxHeadBytes is the most that is read of a connection to get the status line and the
// header of one response.
const maxHeadBytes = 64 << 10

// A HeadTooLongError reports that a target sent more than Limit bytes without
// completing the header of a response.
type HeadTooLongError struct{ Limit int }

func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("the response header is not complete after %d bytes", e.Limit)
}

// headLimiter reads from a connection, and limits the bytes that it reads between start
// and end. A target in trouble may send bytes without an end, which the reader of a
// header would keep in memory.
type headLimiter struct {
	conn    net.Conn
	inHead  bool
	headLen int // bytes read since start
	hold    holding.Hold
}

// headCopies is how often the bytes of a head are in memory while it is parsed.
const headCopies = 2

// freeHeadBytes is what the head of a sound target has in memory at most. It draws on no budget.
const freeHeadBytes = headCopies * 4 << 10

func (l *headLimiter) start() { l.inHead, l.headLen = true, 0 }

func (l *headLimiter) end() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(buffer []byte) (int, error) {
	if l.inHead && l.headLen >= maxHeadBytes {
		return 0, &HeadTooLongError{maxHeadBytes}
	}
	n, err := l.conn.Read(buffer)
	l.headLen += n
	if l.inHead {
		if spent := l.hold.Keep(headCopies * l.headLen); spent != nil {
			return 0, spent
		}
	}
	return n, err
}
