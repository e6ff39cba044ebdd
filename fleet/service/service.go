// Package service implements the client of hibiscusd's plain services, whose calls
// are forwarded unchanged. It is the only package that depends on their protocol.
//
// A call ends with the service's answer, with a NotRunError, which proves that
// the call did not run, or with an UnknownOutcomeError, after which it may have
// run. The client never sends a call twice.
package service

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/internal/call"
)

// Call is a call of one operation of a service.
type Call struct {
	Operation string
	Key       string // idempotency key; may be empty for repeatable calls
	Body      []byte
}

// Answer is the answer of a service.
type Answer struct {
	Status int // HTTP status
	Body   []byte
}

// AnswerLimit is the maximum length of an answer's body.
const AnswerLimit fleet.Bytes = 64 << 10

// NotRunError reports that a call provably did not run.
type NotRunError struct {
	Address fleet.Address
	Cause   error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("service %s did not run the call: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a call may have run, but has no complete
// answer.
type UnknownOutcomeError struct {
	Address fleet.Address
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("service %s: outcome of the call unknown: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Client calls one service.
type Client struct{ Address fleet.Address }

// Do sends the call once and returns its answer. A 4xx status that does not prove
// that the call did not run is an answer too.
func (c *Client) Do(ctx context.Context, request Call) (Answer, error) {
	header := http.Header{}
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	response, err := call.AnswerOnce(ctx, http.MethodPost, c.Address, "/call/"+request.Operation, header, request.Body)
	switch {
	case err == nil:
	case call.NotRun(err):
		return Answer{}, &NotRunError{Address: c.Address, Cause: err}
	default:
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(AnswerLimit)+1))
	if err != nil {
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: err}
	}
	if fleet.Bytes(len(body)) > AnswerLimit {
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: fmt.Errorf("answer exceeds %d bytes", AnswerLimit)}
	}
	return Answer{Status: response.StatusCode, Body: body}, nil
}
