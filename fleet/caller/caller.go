// Package caller is the callers' side of a fleet: it asks which host to use,
// keeps the answer for its time, connects itself, and checks that what arrives
// is whole.
//
// A call that provably did not run is sent to another host. So is a completion
// whose stream broke, since generating again is harmless. An order whose
// outcome is unknown is not sent again by this package: its user repeats it
// under the same idempotency key, and gets the recorded answer.
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

// A Client calls one fleet for one workspace.
type Client struct {
	EntryHosts  []fleet.Address // some hosts to ask for addresses
	Key         string          // the workspace's key
	HTTP        *http.Client    // nil for a default
	MaxAttempts int             // most hosts that one call is sent to; zero for a default

	mu        sync.Mutex
	addresses []fleet.Address
	until     time.Time
}

// A CompletionRequest asks for a completion.
type CompletionRequest struct {
	Model     fleet.ModelID
	Class     fleet.Class
	Text      string
	MaxTokens fleet.Tokens
	Deadline  time.Duration // to the first token; zero for that of the class
}

// A Completion is a whole answer.
type Completion struct {
	Text         string
	Tokens       fleet.Tokens
	PromptTokens fleet.Tokens
	CachedTokens fleet.Tokens
	FirstToken   time.Duration
	PieceGaps    []time.Duration // between the pieces
}

// An Order asks for a service call.
type Order struct {
	Model     fleet.ModelID
	Operation string
	Class     fleet.Class
	Key       string // idempotency key
	Body      []byte
}

// An Answer is a service's answer.
type Answer struct {
	Status   int
	Body     []byte
	Repeated bool
}

const (
	dialTimeout  = time.Second
	defaultTries = 4
	retryPause   = 50 * time.Millisecond
	lineLimit    = 1 << 20
)

// transport is shared by all clients.
var transport = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: 256,
	IdleConnTimeout:     10 * time.Second,
}}

// A NoHostError reports that no host could be asked or reached.
type NoHostError struct{ Cause error }

func (e *NoHostError) Error() string { return fmt.Sprintf("caller: no host: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoHostError) Unwrap() error { return e.Cause }

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return transport
}

// address returns the host to use, asking for it when the kept answer is old.
func (c *Client) address(ctx context.Context) (fleet.Address, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) && len(c.addresses) > 0 {
		return c.addresses[rand.IntN(len(c.addresses))], nil
	}
	ask := append(append([]fleet.Address(nil), c.addresses...), c.EntryHosts...)
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	var last error
	for _, entry := range ask {
		if last = c.ask(ctx, entry); last == nil {
			return c.addresses[rand.IntN(len(c.addresses))], nil
		}
	}
	return "", &NoHostError{last}
}

// ask fetches the addresses from one host. c.mu is held.
func (c *Client) ask(ctx context.Context, entry fleet.Address) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(entry)+"/v1/address", nil)
	if err != nil {
		return err
	}
	response, err := c.http().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []fleet.Address
		TTL       string
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	ttl, err := time.ParseDuration(answer.TTL)
	if err != nil || len(answer.Addresses) == 0 {
		return fmt.Errorf("host %s names no address", entry)
	}
	c.addresses, c.until = answer.Addresses, time.Now().Add(ttl)
	return nil
}

// avoid drops a host that could not be reached from the kept answer.
func (c *Client) avoid(address fleet.Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left []fleet.Address
	for _, kept := range c.addresses {
		if kept != address {
			left = append(left, kept)
		}
	}
	c.addresses = left
}

// each makes the call at one host after the other until it ends well or must
// not be made again.
func (c *Client) each(ctx context.Context, again func(error) bool, call func(fleet.Address) error) error {
	var last error
	tries := c.MaxAttempts
	if tries == 0 {
		tries = defaultTries
	}
	for try := range tries {
		if try > 0 {
			task.Sleep(ctx, retryPause)
		}
		address, err := c.address(ctx)
		if err != nil {
			if last == nil {
				last = err
			}
			continue
		}
		if last = call(address); last == nil || ctx.Err() != nil {
			return last
		}
		var refusal *fleet.RefusalError
		refused := errors.As(last, &refusal)
		unfit := refused && refusal.Reason == fleet.ReasonConfigurationStale // the host, not the fleet
		if !refused || unfit {
			c.avoid(address)
		}
		if !unfit && !again(last) {
			return last
		}
	}
	return last
}

// notSent reports whether the error proves that no connection was made.
func notSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Complete asks for a completion and returns its whole answer.
func (c *Client) Complete(ctx context.Context, prompt CompletionRequest) (*Completion, error) {
	var completion *Completion
	begun := time.Now()
	again := func(err error) bool {
		var refusal *fleet.RefusalError
		return !errors.As(err, &refusal) // a refusal is the fleet's last word
	}
	err := c.each(ctx, again, func(address fleet.Address) error {
		var err error
		completion, err = c.completeAt(ctx, address, prompt, begun)
		return err
	})
	return completion, err
}

func (c *Client) completeAt(ctx context.Context, address fleet.Address, prompt CompletionRequest, begun time.Time) (*Completion, error) {
	body, err := json.Marshal(map[string]any{
		"model": prompt.Model, "prompt": prompt.Text, "max_tokens": prompt.MaxTokens, "stream": true,
	})
	if err != nil {
		return nil, err
	}
	header := http.Header{}
	if prompt.Deadline > 0 {
		header.Set("Request-Deadline", prompt.Deadline.String())
	}
	response, err := c.post(ctx, address, "/v1/completions", prompt.Class, header, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return readStream(response.Body, begun)
}

// Order makes a service call.
func (c *Client) Order(ctx context.Context, order Order) (*Answer, error) {
	var answer *Answer
	err := c.each(ctx, notSent, func(address fleet.Address) error {
		header := http.Header{}
		if order.Key != "" {
			header.Set("Idempotency-Key", order.Key)
		}
		path := "/v1/services/" + string(order.Model) + "/" + order.Operation
		response, err := c.post(ctx, address, path, order.Class, header, order.Body)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return err
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
	// The body is wrapped so that the transport can not send it twice by itself.
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
	response, err := c.http().Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK || response.Header.Get("Outcome") == "Ran" {
		return response, nil
	}
	defer response.Body.Close()
	var failed struct{ Error *refusal }
	if err := json.NewDecoder(response.Body).Decode(&failed); err != nil || failed.Error == nil {
		return nil, fmt.Errorf("caller: status %d without a reason", response.StatusCode)
	}
	return nil, failed.Error.error()
}
