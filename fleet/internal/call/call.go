// Package call makes HTTP calls to back ends and distinguishes calls that provably
// did not run from those whose outcome is unknown.
//
// A call provably did not run if its request could not be built, if no connection
// could be established, or if the response states so in the Outcome header. In every
// other case it may have run.
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

// OutcomeHeader has the value NotRunValue in responses to requests that did not run.
const (
	OutcomeHeader = "Outcome"
	NotRunValue   = "NotRun"
)

const dialTimeout = time.Second

// Traffic counts the bytes of all calls.
var Traffic traffic.Counter

// pooledClient is shared by all clients of back ends, so that idle connections are reused.
var pooledClient = &http.Client{Transport: &http.Transport{
	DialContext:         dialWhole(Traffic.Dial(dialTimeout)),
	MaxIdleConnsPerHost: 64,
	IdleConnTimeout:     30 * time.Second,
}}

// onceClient opens a new connection for every call. A transport may send a request
// again when a reused connection fails, even a POST if it has an Idempotency-Key
// header; on a new connection it never does.
var onceClient = &http.Client{Transport: &http.Transport{
	DialContext:       dialWhole(Traffic.Dial(dialTimeout)),
	DisableKeepAlives: true,
}}

// A StatusError reports a response with a status other than 2xx, or a request that
// could not be built.
type StatusError struct {
	Status int    // HTTP status; zero if the request could not be built
	NotRun bool   // the call provably did not run
	Detail string // start of the response's body, or the error
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

// NotRun reports whether the error proves that the call did not run.
func NotRun(err error) bool {
	var status *StatusError
	if errors.As(err, &status) {
		return status.NotRun
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Open makes a call and returns its response, whose body the caller must close. A
// response with a status other than 2xx is returned as a *StatusError.
func Open(ctx context.Context, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	return open(ctx, pooledClient, method, address, path, header, body)
}

// OpenOnce is like Open, but sends the request at most once even if the connection
// fails.
func OpenOnce(ctx context.Context, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	return open(ctx, onceClient, method, address, path, header, body)
}

// AnswerOnce is like OpenOnce, but also returns a response with a 4xx status that does
// not prove that the call did not run.
func AnswerOnce(ctx context.Context, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	response, err := do(ctx, onceClient, method, address, path, header, body)
	if err != nil || response.StatusCode/100 == 4 && response.Header.Get(OutcomeHeader) != NotRunValue {
		return response, err
	}
	return checkStatus(response)
}

func open(ctx context.Context, client *http.Client, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	response, err := do(ctx, client, method, address, path, header, body)
	if err != nil {
		return nil, err
	}
	return checkStatus(response)
}

func do(ctx context.Context, client *http.Client, method string, address fleet.Address, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, &StatusError{NotRun: true, Detail: err.Error()}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	return client.Do(request)
}

// checkStatus returns a response with a 2xx status, and turns any other into a
// *StatusError.
func checkStatus(response *http.Response) (*http.Response, error) {
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

// JSON makes a call with body encoded as JSON, or without a body if it is nil. It
// decodes the JSON response into answer, or discards it if answer is nil.
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

// Status returns the HTTP status of a *StatusError, or zero for another error.
func Status(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status
	}
	return 0
}
