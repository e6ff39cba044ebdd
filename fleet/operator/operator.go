// Package operator is a client library for operators of a fleet of hibiscusd. It reads
// and changes the declaration through any host, reads the status of hosts, and waits
// until a change is in force at all of them.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/operatorapi"
	"hibiscuslb/fleet/task"
)

// A Client sends each request to the first of its hosts that answers.
type Client struct {
	Hosts []fleet.Address // addresses at which hosts serve operators, tried in this order
	Key   string          // operators' key
}

// A StatusError reports that a host answered with a failure.
type StatusError struct {
	Host    fleet.Address
	Status  int // HTTP status
	Detail  string
	InDoubt bool // the change may have been committed nevertheless
}

func (e *StatusError) Error() string {
	text := fmt.Sprintf("host %s answered status %d: %s", e.Host, e.Status, e.Detail)
	if e.InDoubt {
		text += "; the change may have been committed nevertheless"
	}
	return text
}

// A PendingError reports that a change is committed, but that some hosts have
// neither put it in force nor provably stopped.
type PendingError struct {
	Number fleet.Version
	Hosts  []fleet.HostID // sorted
}

func (e *PendingError) Error() string {
	names := make([]string, len(e.Hosts))
	for i, host := range e.Hosts {
		names[i] = string(host)
	}
	return fmt.Sprintf("version %d is accepted but not yet in force at %s", e.Number, strings.Join(names, ", "))
}

const (
	callTimeout   = 5 * time.Second
	pollInterval  = 100 * time.Millisecond
	applyAttempts = 5
)

// Declaration returns the latest committed declaration and its version.
func (c *Client) Declaration(ctx context.Context) (declaration.Document, fleet.Version, error) {
	var answer operatorapi.Declaration
	if err := c.callAny(ctx, http.MethodGet, "/declaration", nil, &answer); err != nil {
		return nil, 0, err
	}
	document, err := declaration.Parse("latest committed declaration", []byte(answer.Text))
	return document, answer.Number, err
}

// Status returns the status of the first host that answers.
func (c *Client) Status(ctx context.Context) (operatorapi.Status, error) {
	var status operatorapi.Status
	err := c.callAny(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// StatusAt returns the status of the host that serves operators at the address.
func (c *Client) StatusAt(ctx context.Context, host fleet.Address) (operatorapi.Status, error) {
	var status operatorapi.Status
	err := c.call(ctx, host, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Apply commits the change if the version that was read is still the current one, and
// returns the number of the new version. Apply repeats a request that got no answer,
// which is safe since the change has an ID.
func (c *Client) Apply(ctx context.Context, read fleet.Version, change declaration.Change) (fleet.Version, error) {
	request := operatorapi.Apply{Read: read, Change: change}
	var lastErr error
	for range applyAttempts {
		var answer operatorapi.Applied
		lastErr = c.callAny(ctx, http.MethodPost, "/apply", request, &answer)
		if lastErr == nil {
			return answer.Number, nil
		}
		var status *StatusError
		if errors.As(lastErr, &status) && !status.InDoubt && status.Status != http.StatusServiceUnavailable {
			return 0, lastErr
		}
		task.Sleep(ctx, pollInterval)
	}
	return 0, lastErr
}

// AwaitVersion waits until the version is in force at every host that has not ended.
// If the context ends first, it returns a *PendingError with the remaining hosts.
func (c *Client) AwaitVersion(ctx context.Context, number fleet.Version) error {
	pending := &PendingError{Number: number}
	for {
		status, err := c.Status(ctx)
		if err == nil {
			pending.Hosts = c.pendingHosts(ctx, &status, number)
			if len(pending.Hosts) == 0 {
				return nil
			}
		}
		if ctx.Err() != nil {
			return pending
		}
		task.Sleep(ctx, pollInterval)
	}
}

// pendingHosts returns the members that have not ended and have not confirmed that
// the version is in force. A member does not confirm if another host answers at its
// address.
func (c *Client) pendingHosts(ctx context.Context, status *operatorapi.Status, number fleet.Version) []fleet.HostID {
	var hosts []fleet.HostID
	for _, member := range status.Members {
		if member.State == string(lease.Ended) {
			continue
		}
		hostStatus, err := c.StatusAt(ctx, member.Operators)
		if err != nil || hostStatus.Host != member.Host || hostStatus.Number < number {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// callAny makes the call at the hosts in order until one succeeds or answers with a
// failure other than 503. A 503 means that the host cannot serve the call now, so
// the next one is tried.
func (c *Client) callAny(ctx context.Context, method, path string, body, answer any) error {
	var lastErr error
	for _, host := range c.Hosts {
		lastErr = c.call(ctx, host, method, path, body, answer)
		var status *StatusError
		if lastErr == nil || (errors.As(lastErr, &status) && status.Status != http.StatusServiceUnavailable) {
			return lastErr
		}
	}
	if lastErr == nil {
		return errors.New("no hosts to call: want at least one address at which a host serves operators")
	}
	return lastErr
}

func (c *Client) call(ctx context.Context, host fleet.Address, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(host)+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
			return fmt.Errorf("host %s: decode answer to %s %s: %w", host, method, path, err)
		}
		return nil
	}
	var failure operatorapi.Failure
	if err := json.NewDecoder(response.Body).Decode(&failure); err != nil {
		failure.Detail = fmt.Sprintf("no readable failure message: %v", err)
	}
	return &StatusError{Host: host, Status: response.StatusCode, Detail: failure.Detail, InDoubt: failure.InDoubt}
}
