// Package call makes HTTP calls to back ends and tells provable refusals from
// unknown outcomes.
//
// A call has provably not run when no connection could be made, or when the
// back end's answer says so in the Outcome header. In every other case without
// an answer it may have run.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/traffic"
)

// OutcomeHeader is set to NotRunValue on answers that refuse a request.
const (
	OutcomeHeader = "Outcome"
	NotRunValue   = "NotRun"
)

const dialTimeout = time.Second

// Traffic counts the bytes of all calls.
var Traffic traffic.Counter

// Client is shared by all bindings, so that idle connections are reused.
var Client = &http.Client{Transport: &http.Transport{
	DialContext:         Traffic.Dial(dialTimeout),
	MaxIdleConnsPerHost: 64,
	IdleConnTimeout:     30 * time.Second,
}}

// once makes every call on a connection of its own. A transport may send a
// request again when a kept connection fails, even a POST if it has an
// Idempotency-Key header; on a fresh connection it never does.
var once = &http.Client{Transport: &http.Transport{
	DialContext:       Traffic.Dial(dialTimeout),
	DisableKeepAlives: true,
}}

// A StatusError reports an answer that is not a success.
type StatusError struct {
	Status int
	NotRun bool
	Detail string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

// NotRun reports whether the error proves that the call had no effect.
func NotRun(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.NotRun
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Open makes a call and returns its response, whose body the caller closes.
// Answers other than a success are turned into a *StatusError.
func Open(ctx context.Context, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	return open(ctx, Client, method, address, path, header, body)
}

// OpenOnce is like Open and sends the request at most once, whatever happens
// to the connection.
func OpenOnce(ctx context.Context, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	return open(ctx, once, method, address, path, header, body)
}

func open(ctx context.Context, client *http.Client, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, &StatusError{NotRun: true, Detail: err.Error()}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 512))
	return nil, &StatusError{
		Status: response.StatusCode,
		NotRun: response.Header.Get(OutcomeHeader) == NotRunValue,
		Detail: string(bytes.TrimSpace(detail)),
	}
}

// JSON makes a call with a JSON body, or none for nil, and decodes the JSON
// answer unless it is nil.
func JSON(ctx context.Context, method string, address fleet.Address, path string, body, answer any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return &StatusError{NotRun: true, Detail: err.Error()}
		}
	}
	response, err := Open(ctx, method, address, path, nil, data)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// Status returns the HTTP status of the error, or zero.
func Status(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}
