// Package caller is a client library for callers of a fleet of hibiscusd. A Client
// fetches the addresses of hosts, caches them for their time to live, sends requests
// to one of these hosts and checks that answers are complete.
//
// A request that provably did not run is sent to another host. So is a completion
// whose stream broke, since generating it again has no side effects. An order
// whose outcome is unknown is not sent again by this package: the program that uses
// it can send the order again with the same idempotency key and gets the recorded
// answer.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/task"
)

// A Client sends the requests of one workspace to one fleet. Its methods can be
// called from several goroutines.
type Client struct {
	EntryHosts  []fleet.Address // hosts from which addresses are fetched
	Key         string          // caller key of the workspace
	HTTP        *http.Client    // nil for a shared default
	MaxAttempts int             // attempts at one request; zero for four (defaultMaxAttempts)

	mu        sync.Mutex
	addresses []fleet.Address // cached addresses of hosts
	expiry    time.Time       // of the cached addresses
}

// A CompletionRequest asks for a completion.
type CompletionRequest struct {
	Model     fleet.ModelID
	Class     fleet.Class
	Text      string
	MaxTokens fleet.Tokens
	Deadline  time.Duration // for the first token; zero for that of the class
}

// A Completion is a complete answer to a CompletionRequest.
type Completion struct {
	Text         string
	Tokens       fleet.Tokens // generated
	PromptTokens fleet.Tokens
	CachedTokens fleet.Tokens    // of the prompt, that were not computed again
	FirstToken   time.Duration   // from the start of the request to the first piece
	PieceGaps    []time.Duration // times between successive pieces
}

// An Order asks a plain service to run an operation.
type Order struct {
	Service   fleet.ModelID
	Operation string
	Class     fleet.Class
	Key       string // idempotency key; may be empty for a repeatable operation
	Body      []byte
}

// An Answer is a service's answer.
type Answer struct {
	Status   int // HTTP status
	Body     []byte
	Repeated bool // recorded answer of an earlier order with the same key
}

const (
	dialTimeout        = time.Second // also bounds a fetch of addresses
	defaultMaxAttempts = 4
	retryDelay         = 50 * time.Millisecond
	maxLineLength      = 1 << 20 // bytes of one line of a stream
)

// defaultHTTPClient is shared by all clients whose HTTP field is nil.
var defaultHTTPClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: 256,
	IdleConnTimeout:     10 * time.Second,
}}

// A NoHostError reports that no host answered a request for addresses. Its Cause is the
// error of the last host that was asked, or nil if there was no host to ask.
type NoHostError struct{ Cause error }

func (e *NoHostError) Error() string {
	return fmt.Sprintf("caller: no host answered a request for addresses: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoHostError) Unwrap() error { return e.Cause }

func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTPClient
}

// address returns a random host of the cached addresses. It fetches addresses if
// there are none or they have expired.
func (c *Client) address(ctx context.Context) (fleet.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expiry) && len(c.addresses) > 0 {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	hosts := append(append([]fleet.Address(nil), c.addresses...), c.EntryHosts...)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var lastErr error
	for _, host := range hosts {
		if lastErr = c.fetchAddresses(ctx, host); lastErr == nil {
			return c.addresses[rand.IntN(len(c.addresses))], nil
		}
	}
	return "", &NoHostError{lastErr}
}

// fetchAddresses caches the addresses that one host returns. The caller holds c.mu.
func (c *Client) fetchAddresses(ctx context.Context, host fleet.Address) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(host)+"/v1/address", nil)
	if err != nil {
		return err
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []fleet.Address
		TTL       string
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return fmt.Errorf("host %s returned malformed addresses: %w", host, err)
	}
	ttl, err := time.ParseDuration(answer.TTL)
	if err != nil || len(answer.Addresses) == 0 {
		return fmt.Errorf("host %s returned %d addresses with TTL %q, want an address and a duration", host, len(answer.Addresses), answer.TTL)
	}
	c.addresses, c.expiry = answer.Addresses, time.Now().Add(ttl)
	return nil
}

// removeAddress removes a host from the cached addresses.
func (c *Client) removeAddress(address fleet.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []fleet.Address
	for _, cached := range c.addresses {
		if cached != address {
			rest = append(rest, cached)
		}
	}
	c.addresses = rest
}

// retry makes the call until it succeeds, fails with an error that is not
// retryable, or has used up its attempts. Each attempt uses a random cached host. A
// host that fails without a refusal, or whose configuration is stale, is removed
// from the cache before the next attempt.
func (c *Client) retry(ctx context.Context, retryable func(error) bool, call func(fleet.Address) error) error {
	var lastErr error
	attempts := c.MaxAttempts
	if attempts == 0 {
		attempts = defaultMaxAttempts
	}
	for attempt := range attempts {
		if attempt > 0 {
			task.Sleep(ctx, retryDelay)
		}
		address, err := c.address(ctx)
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			continue
		}
		if lastErr = call(address); lastErr == nil || ctx.Err() != nil {
			return lastErr
		}
		var refusal *fleet.RefusalError
		refused := errors.As(lastErr, &refusal)
		// A stale configuration is a fault of this host: others may accept the call.
		stale := refused && refusal.Reason == fleet.ReasonConfigurationStale
		if !refused || stale {
			c.removeAddress(address)
		}
		if !stale && !retryable(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

// isDialError reports whether the error is a failure to connect, which proves that
// the request was not sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Complete generates a completion and returns it when it is complete. An error may
// be a *fleet.RefusalError or a *NoHostError.
func (c *Client) Complete(ctx context.Context, request CompletionRequest) (*Completion, error) {
	var completion *Completion
	start := time.Now()
	retryable := func(err error) bool {
		var refusal *fleet.RefusalError
		return !errors.As(err, &refusal) // a refusal applies to the whole fleet
	}
	err := c.retry(ctx, retryable, func(address fleet.Address) error {
		var err error
		completion, err = c.completeAt(ctx, address, request, start)
		return err
	})
	return completion, err
}

func (c *Client) completeAt(ctx context.Context, address fleet.Address, request CompletionRequest, start time.Time) (*Completion, error) {
	body, err := json.Marshal(map[string]any{
		"model": request.Model, "prompt": request.Text, "max_tokens": request.MaxTokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if request.Deadline > 0 {
		header.Set("Request-Deadline", request.Deadline.String())
	}
	response, err := c.post(ctx, address, "/v1/completions", request.Class, header, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return readStream(address, response.Body, start)
}

// Order runs an operation of a plain service. An error may be a
// *fleet.RefusalError or a *NoHostError.
func (c *Client) Order(ctx context.Context, order Order) (*Answer, error) {
	var answer *Answer
	err := c.retry(ctx, isDialError, func(address fleet.Address) error {
		header := http.Header{}
		if order.Key != "" {
			header.Set("Idempotency-Key", order.Key)
		}
		path := "/v1/services/" + string(order.Service) + "/" + order.Operation
		response, err := c.post(ctx, address, path, order.Class, header, order.Body)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return fmt.Errorf("caller: answer of host %s is incomplete: %w", address, err)
		}
		answer = &Answer{
			Status: response.StatusCode, Body: body,
			Repeated: response.Header.Get("Idempotency-Repeated") == "true",
		}
		return nil
	})
	return answer, err
}

func (c *Client) post(ctx context.Context, address fleet.Address, path string, class fleet.Class, header http.Header, body []byte) (*http.Response, error) {
	// NopCloser hides the type of the reader, so that the transport cannot rewind the
	// body and send the request again by itself.
	reader := io.NopCloser(bytes.NewReader(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(address)+path, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if class != "" {
		request.Header.Set("Request-Class", string(class))
	}
	response, err := c.httpClient().Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || response.Header.Get("Outcome") == "Ran" {
		return response, nil
	}
	defer response.Body.Close()
	var failed struct{ Error *refusal }
	if err := json.NewDecoder(response.Body).Decode(&failed); err != nil || failed.Error == nil {
		return nil, fmt.Errorf("caller: host %s answered status %d without a readable error object", address, response.StatusCode)
	}
	return nil, failed.Error.error()
}
