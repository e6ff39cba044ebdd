// Package peer carries messages between hosts, as CBOR over WebSocket.
//
// Two hosts share one connection in each direction of dialling. An exchange is
// one request with any number of replies, of which the last may end it; many exchanges run on a
// connection at once. Whoever ends an exchange early says so, and the other
// side's context ends.
//
// A connection can go silent while both ends believe it open. While exchanges
// are under way, each side therefore pings when it has heard nothing for a
// while, and gives the connection up if no answer comes. The next exchange
// uses a new connection. What a lost connection had under way ends in a
// LostError, from which nobody may conclude that the request did not run.
package peer

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
)

// Kind tells what a frame's body is. Kinds below firstControl are chosen by
// the user of the package.
type Kind uint8

const firstControl Kind = 200

// Kinds of frames that belong to the exchange itself.
const (
	kindReply Kind = firstControl + iota
	kindEnd
	kindFail
	kindCancel
)

// frame is one message on a connection.
type frame struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64
	Kind     Kind
	Body     cbor.RawMessage // the null value for none
}

// failure is the body of a kindFail frame.
type failure struct {
	_          struct{} `cbor:",toarray"`
	Reason     fleet.Reason
	Outcome    fleet.Outcome
	RetryAfter time.Duration
	Detail     string
}

// A ConnectionLostError reports that a connection was lost while an exchange was under
// way.
type ConnectionLostError struct {
	Address fleet.Address
	Cause   error
}

func (e *ConnectionLostError) Error() string {
	return fmt.Sprintf("peer %s: connection lost: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// A DialError reports that no connection could be made, so nothing was sent.
type DialError struct {
	Address fleet.Address
	Cause   error
}

func (e *DialError) Error() string {
	return fmt.Sprintf("peer %s: no connection: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

const (
	// FrameLimit bounds one message.
	FrameLimit = 16 << 20
	// SilenceLimit is how long a connection with exchanges under way may be
	// silent before it is pinged, and how long the ping may take.
	SilenceLimit = 2 * time.Second
	writeTimeout = 5 * time.Second
	dialTimeout  = time.Second
	// idleTime is how long a connection without exchanges is kept.
	idleTime = time.Minute
)

// null is the coded form of no body.
var null = cbor.RawMessage{0xf6}

var errClosed = errors.New("closed")

// encode marshals a body, which is always one of our own types.
func encode(body any) (cbor.RawMessage, error) {
	if body == nil {
		return null, nil
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return data, nil
}

// fail turns an error into the body of a kindFail frame.
func fail(err error) failure {
	var refusal *fleet.RefusalError
	if errors.As(err, &refusal) {
		return failure{
			Reason: refusal.Reason, Outcome: refusal.Outcome,
			RetryAfter: refusal.RetryAfter, Detail: refusal.Detail,
		}
	}
	return failure{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}

func (f *failure) error() error {
	return &fleet.RefusalError{Reason: f.Reason, Outcome: f.Outcome, RetryAfter: f.RetryAfter, Detail: f.Detail}
}
