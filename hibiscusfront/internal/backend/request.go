package backend

import (
	"net/http"
	"time"

	"hibiscuslb/fleet"
)

// A Request is a request to a target. URI is the path and query as the caller
// sent them.
type Request struct {
	ID      fleet.RequestID
	Target  fleet.TargetID
	Address fleet.Address
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    [][]byte // in segments
	// SendOnce marks a request that may not be repeated. It is sent only on a
	// connection that is new or was idle for at most sendOnceMaxIdle: if the
	// target closes an idle connection just then, the request is lost.
	SendOnce bool
	// IdleOnly has it sent only on a connection that is open and idle.
	IdleOnly bool
	// DialLimit, if set, limits the opening of a connection instead of dialTimeout.
	DialLimit time.Duration
	// ExpiresAt is when the request's deadline ends. A host that sends it for this one ends it then.
	ExpiresAt time.Time
	// Check is called immediately before the first byte is written; an error prevents that.
	Check func() error // may be nil
}

// BodyLen returns the length of the body in bytes.
func (r *Request) BodyLen() int {
	n := 0
	for _, segment := range r.Body {
		n += len(segment)
	}
	return n
}
