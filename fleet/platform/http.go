package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/traffic"
)

// HTTPClient speaks to the object service over HTTP. Its calls are counted by
// kind, since the service limits their rates.
type HTTPClient struct {
	Address fleet.Address
	Timeout time.Duration // of one call; a watch may wait longer by its wait

	Traffic                traffic.Counter
	Reads, Writes, Watches atomic.Uint64

	once sync.Once
	http http.Client
}

var _ Client = (*HTTPClient)(nil)

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
	idleConns      = 16
)

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, name Name) (Object, error) {
	c.Reads.Add(1)
	var object Object
	err := c.call(ctx, http.MethodGet, "/objects/"+string(name), nil, nil, 0, name, 0, &object)
	return object, err
}

// Write implements Client.
func (c *HTTPClient) Write(ctx context.Context, name Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	c.Writes.Add(1)
	query := url.Values{"Version": {strconv.FormatUint(uint64(seen), 10)}}
	var object Object
	err := c.call(ctx, http.MethodPut, "/objects/"+string(name), query, value, 0, name, seen, &object)
	return object.Version, err
}

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, name Name, seen fleet.Version) error {
	c.Writes.Add(1)
	query := url.Values{"Version": {strconv.FormatUint(uint64(seen), 10)}}
	return c.call(ctx, http.MethodDelete, "/objects/"+string(name), query, nil, 0, name, seen, nil)
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, prefix Name) (Listing, error) {
	c.Reads.Add(1)
	var listing Listing
	query := url.Values{"Prefix": {string(prefix)}}
	err := c.call(ctx, http.MethodGet, "/list", query, nil, 0, prefix, 0, &listing)
	return listing, err
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, prefix Name, since fleet.Version, wait time.Duration) (Listing, error) {
	c.Watches.Add(1)
	var listing Listing
	query := url.Values{
		"Prefix": {string(prefix)},
		"Since":  {strconv.FormatUint(uint64(since), 10)},
		"Wait":   {wait.String()},
	}
	err := c.call(ctx, http.MethodGet, "/watch", query, nil, wait, prefix, 0, &listing)
	return listing, err
}

func (c *HTTPClient) call(ctx context.Context, method, path string, query url.Values, body []byte,
	extra time.Duration, name Name, seen fleet.Version, answer any,
) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+extra)
	defer cancel()
	target := "http://" + string(c.Address) + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &UnknownError{Name: name, Cause: err}
	}
	c.once.Do(func() {
		c.http.Transport = &http.Transport{
			DialContext: c.Traffic.Dial(dialTimeout), MaxIdleConnsPerHost: idleConns, IdleConnTimeout: time.Minute,
		}
	})
	response, err := c.http.Do(request)
	if err != nil {
		return &UnknownError{Name: name, Cause: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return &UnknownError{Name: name, Cause: err}
	}
	return decode(response.StatusCode, data, name, seen, answer)
}

func decode(status int, data []byte, name Name, seen fleet.Version, answer any) error {
	switch status {
	case http.StatusOK:
		if answer == nil {
			return nil
		}
		if err := json.Unmarshal(data, answer); err != nil {
			return &UnknownError{Name: name, Cause: err}
		}
		return nil
	case http.StatusNotFound:
		return &NotFoundError{Name: name}
	case http.StatusConflict:
		var current Object
		if err := json.Unmarshal(data, &current); err != nil {
			return &UnknownError{Name: name, Cause: err}
		}
		return &ConflictError{Name: name, Seen: seen, Current: current.Version}
	default:
		return &UnknownError{Name: name, Cause: fmt.Errorf("status %d", status)}
	}
}
