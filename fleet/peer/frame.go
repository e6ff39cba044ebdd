// Package peer carries messages between hosts, as CBOR over WebSocket.
//
// Each host dials at most one connection to each other host. An exchange is one request
// with any number of replies; the last reply can be part of the frame that ends it. Many
// exchanges share a connection concurrently. The side that has opened an exchange can
// cancel it, which ends the context of the handler on the other side.
//
// A network fault can stop a connection without an error on either end. While exchanges
// are open, each side therefore pings after a time of silence, and closes the connection
// if the ping fails. The next exchange uses a new connection. Exchanges that were open on
// a lost connection end with a ConnectionLostError, which does not imply that the request
// did not run.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
)

// Kind identifies the content of a frame's body. Kinds below 200 (firstControl) are
// requests and are defined by the users of the package.
type Kind uint8

// firstControl is the first kind that the package itself uses.
const firstControl Kind = 200

// Kinds of frames other than requests.
const (
	kindReply  Kind = firstControl + iota
	kindEnd         // normal end, with a last reply or the null value
	kindFail        // end with a failure
	kindCancel      // cancellation by the side that has opened the exchange
)

// frame is one message on a connection.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64
	Kind     Kind
	Body     cbor.RawMessage // the null value if there is none
}

// failure is the body of a kindFail frame.
type failure struct {
	_          struct{} `cbor:",toarray"`
	Reason     fleet.Reason
	Outcome    fleet.Outcome
	RetryAfter time.Duration
	Detail     string
}

// A ConnectionLostError reports that a connection was lost while an exchange was open. The
// request may have run.
type ConnectionLostError struct {
	Address fleet.Address
	Cause   error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("peer %s: connection lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// A DialError reports that there was no connection, so nothing was sent.
type DialError struct {
	Address fleet.Address
	Cause   error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("peer %s: request not sent, no connection: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

const (
	// MaxFrameBytes is the maximum size of a frame.
	MaxFrameBytes = 16 << 20
	// SilenceLimit is how long a connection with open exchanges may be silent
	// before it is pinged, and how long the ping may take.
	SilenceLimit = 2 * time.Second
	// writeTimeout bounds the write of a frame.
	writeTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout is how long a connection without exchanges is kept open.
	idleTimeout = time.Minute
)

// nullBody is the CBOR null value, the encoding of no body.
var nullBody = cbor.RawMessage{0xf6}

var (
	errConnClosed = errors.New("connection closed")
	errPoolClosed = errors.New("connection pool is not running")
)

// encode encodes a body, or nullBody for nil.
func encode(body any) (cbor.RawMessage, error) {
	if body == nil {
		return nullBody, nil
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("peer: encoding body of type %T: %w", body, err)
	}
	return data, nil
}

// failureOf converts an error to the body of a kindFail frame. An error other than a
// refusal becomes a failure of the target with unknown outcome.
func failureOf(err error) failure {
	var refusal *fleet.RefusalError
	if errors.As(err, &refusal) {
		return failure{
			Reason: refusal.Reason, Outcome: refusal.Outcome,
			RetryAfter: refusal.RetryAfter, Detail: refusal.Detail,
		}
	}
	return failure{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}

// error converts the failure back to a refusal.
func (f *failure) error() error {
	return &fleet.RefusalError{Reason: f.Reason, Outcome: f.Outcome, RetryAfter: f.RetryAfter, Detail: f.Detail}
}
