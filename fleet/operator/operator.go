// Package operator is the operators' side of a fleet: it reads and changes the
// declaration through any host, and tells when a change is in force.
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
	"hibiscuslb/fleet/contract"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/task"
)

// A Client speaks to a fleet through the first of its hosts that answers.
type Client struct {
	Hosts []fleet.Address // operators' addresses
	Key   string
}

// A StatusError is a host's answer that a request failed.
type StatusError struct {
	Status  int
	Detail  string
	InDoubt bool
}

func (e *StatusError) Error() string { return e.Detail }

// A PendingError reports that a change is accepted and that some hosts have
// neither put it in force nor provably stopped.
type PendingError struct {
	Number fleet.Version
	Hosts  []fleet.HostID
}

func (e *PendingError) Error() string {
	names := make([]string, len(e.Hosts))
	for i, host := range e.Hosts {
		names[i] = string(host)
	}
	return fmt.Sprintf("version %d is accepted and not yet in force at %s", e.Number, strings.Join(names, ", "))
}

const (
	callTimeout = 5 * time.Second
	pollTime    = 100 * time.Millisecond
	applyTries  = 5
)

// Declaration returns the declaration in force and its number.
func (c *Client) Declaration(ctx context.Context) (declaration.Document, fleet.Version, error) {
	var answer contract.Declaration
	if err := c.any(ctx, http.MethodGet, "/declaration", nil, &answer); err != nil {
		return nil, 0, err
	}
	document, err := declaration.Parse("declaration in force", []byte(answer.Text))
	return document, answer.Number, err
}

// Status returns the state of the first host that answers.
func (c *Client) Status(ctx context.Context) (contract.Status, error) {
	var status contract.Status
	err := c.any(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}

// StatusAt returns the state of one host.
func (c *Client) StatusAt(ctx context.Context, host fleet.Address) (contract.Status, error) {
	var status contract.Status
	err := c.call(ctx, host, http.MethodGet, "/status", nil, &status)
	return status, err
}

// Apply stores the change if the version that was read is still in force. It
// is safe to try again after a lost answer, since the change has an id.
func (c *Client) Apply(ctx context.Context, read fleet.Version, change declaration.Change) (fleet.Version, error) {
	ask := contract.Apply{Read: read, Change: change}
	var last error
	for range applyTries {
		var answer contract.Applied
		last = c.any(ctx, http.MethodPost, "/apply", ask, &answer)
		if last == nil {
			return answer.Number, nil
		}
		var status *StatusError
		if errors.As(last, &status) && !status.InDoubt && status.Status != http.StatusServiceUnavailable {
			return 0, last
		}
		task.Sleep(ctx, pollTime)
	}
	return 0, last
}

// AwaitVersion returns when every live host has the version in force. If the context
// ends before, it returns a *PendingError that names the others.
func (c *Client) AwaitVersion(ctx context.Context, number fleet.Version) error {
	waiting := &PendingError{Number: number}
	for {
		status, err := c.Status(ctx)
		if err == nil {
			waiting.Hosts = c.behind(ctx, &status, number)
			if len(waiting.Hosts) == 0 {
				return nil
			}
		}
		if ctx.Err() != nil {
			return waiting
		}
		task.Sleep(ctx, pollTime)
	}
}

// behind lists the hosts that have not confirmed the version and that have
// not ended.
func (c *Client) behind(ctx context.Context, status *contract.Status, number fleet.Version) []fleet.HostID {
	var hosts []fleet.HostID
	for _, member := range status.Members {
		if member.State == string(lease.Ended) {
			continue
		}
		at, err := c.StatusAt(ctx, member.Operators)
		if err != nil || at.Host != member.Host || at.Number < number {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// any makes the call at the first host that answers.
func (c *Client) any(ctx context.Context, method, path string, body, answer any) error {
	var last error
	for _, host := range c.Hosts {
		last = c.call(ctx, host, method, path, body, answer)
		var status *StatusError
		if last == nil || (errors.As(last, &status) && status.Status != http.StatusServiceUnavailable) {
			return last
		}
	}
	if last == nil {
		return errors.New("no host is given")
	}
	return last
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
		return json.NewDecoder(response.Body).Decode(answer)
	}
	var failure contract.Failure
	if err := json.NewDecoder(response.Body).Decode(&failure); err != nil {
		failure.Detail = fmt.Sprintf("host %s answers %d", host, response.StatusCode)
	}
	return &StatusError{Status: response.StatusCode, Detail: failure.Detail, InDoubt: failure.InDoubt}
}
