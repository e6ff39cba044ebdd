// Package service binds hibiscuslb to plain services, whose calls are passed
// through as they are.
//
// A call ends in one of three ways: with the service's answer, with a
// RefusedError that proves that it did not run, or with a BrokenError after
// which it may have run. The binding never sends a call twice.
//
// This is the only package that knows how services are spoken to.
package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/internal/call"
)

// A Call is one call of a service's operation.
type Call struct {
	Operation string
	Key       string // idempotency key, may be empty for repeatable calls
	Body      []byte
}

// An Answer is what the service said.
type Answer struct {
	Status int
	Body   []byte
}

// AnswerLimit bounds the body of an answer.
const AnswerLimit fleet.Bytes = 64 << 10

// A NotRunError reports that a call provably did not run.
type NotRunError struct {
	Address fleet.Address
	Cause   error
}

func (e *NotRunError) Error() string {
	return fmt.Sprintf("service %s refused: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// A UnknownOutcomeError reports that a call may have run.
type UnknownOutcomeError struct {
	Address fleet.Address
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("service %s: no answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// A Client speaks to one service.
type Client struct{ Address fleet.Address }

// Do sends the call once.
func (c *Client) Do(ctx context.Context, request Call) (Answer, error) {
	header := http.Header{}
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	response, err := call.OpenOnce(ctx, http.MethodPost, c.Address, "/call/"+request.Operation, header, request.Body)
	var status *call.StatusError
	switch {
	case err == nil:
	case call.NotRun(err):
		return Answer{}, &NotRunError{Address: c.Address, Cause: err}
	case errors.As(err, &status) && status.Status >= 400 && status.Status < 500:
		// The service itself answered: that is its whole answer.
		return Answer{Status: status.Status, Body: []byte(status.Detail)}, nil
	default:
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(AnswerLimit)+1))
	if err != nil {
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: err}
	}
	if fleet.Bytes(len(body)) > AnswerLimit {
		return Answer{}, &UnknownOutcomeError{Address: c.Address, Cause: fmt.Errorf("answer over %d bytes", AnswerLimit)}
	}
	return Answer{Status: response.StatusCode, Body: body}, nil
}
