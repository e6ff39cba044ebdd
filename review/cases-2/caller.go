package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns an id for an attempt of a consumer.
func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1)) }

// dutyHolder returns the name of the host that holds the planner's duty. Only scripts that choose a process to
// kill ask for it.
func (s *site) dutyHolder() (string, bool) {
	o, ok := s.store.Get("duties", "planner")
	var record struct{ Holder string }
	if !ok || json.Unmarshal(o.Spec, &record) != nil || record.Holder == "" {
		return "", false
	}
	return record.Holder, true
}

// A piece is an event of a stream as a consumer got it.
type piece struct {
	number           int
	software, engine string
	attempt          string // whose answer it came with
}

// A result is what an attempt of a consumer came to.
type result struct {
	id       string
	host     *host
	sent     time.Time
	ended    time.Time
	status   int // zero without an answer
	complete bool
	body     string
	pieces   []piece
	after    time.Duration // Retry-After
	err      error
}

// An order is a request of a consumer.
type order struct {
	method, path string
	key          string
	deadline     time.Duration
	body         []byte
	headers      map[string]string
	stream       bool
}

// client returns a client for one channel.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// send makes one attempt at a host on a new channel.
func (s *site) send(h *host, o order, id string) *result {
	r := &result{id: id, host: h, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), o.deadline+500*time.Millisecond)
	defer cancel()
	if o.stream {
		// The text of the prompt, which differs like the chain of its parts.
		o.body = []byte(strings.Repeat(o.headers["X-Hibiscuslb-Prefix-Hash"]+" ", 20))
	}
	request, err := http.NewRequestWithContext(ctx, o.method, "http://"+h.front()+o.path, bytes.NewReader(o.body))
	if err != nil {
		r.err = err
		return r
	}
	request.Host = hostName
	key := o.key
	if key == "" {
		key = apiKey
	}
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("X-Hibiscuslb-Request-Id", id)
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", strconv.FormatInt(o.deadline.Milliseconds(), 10))
	for name, value := range o.headers {
		request.Header.Set(name, value)
	}
	s.record.add("sent %s to %s: %s %s %v", id, h.name, o.method, o.path, o.headers)
	response, err := client().Do(request)
	if err != nil {
		r.err = err
		s.record.add("answer %s: none, %v", id, err)
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		r.after = time.Duration(seconds * float64(time.Second))
	}
	if o.stream && r.status == http.StatusOK {
		s.readStream(r, response.Body)
	} else {
		data, err := io.ReadAll(response.Body)
		r.body, r.err, r.complete = string(data), err, err == nil
	}
	s.record.add("answer %s: %d complete %t, %d pieces, %v", id, r.status, r.complete, len(r.pieces), r.err)
	return r
}

// readStream reads the events of an answer.
func (s *site) readStream(r *result, body io.Reader) {
	reader := bufio.NewReader(body)
	number := 0
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF):
			r.complete = true
			return
		case err != nil:
			r.err = err
			return
		}
		if text, ok := strings.CutPrefix(line, "id:"); ok {
			number, _ = strconv.Atoi(strings.TrimSpace(text))
		}
		if text, ok := strings.CutPrefix(line, "data:"); ok {
			fields := strings.Fields(text)
			if len(fields) == 3 {
				r.pieces = append(r.pieces, piece{number, fields[1], fields[2], fields[0]})
			}
		}
	}
}

// A talk is a stream over all attempts of a consumer.
type talk struct {
	pieces   []piece
	attempts []*result
	complete bool
}

// mixed reports whether the stream has events of two versions of the software.
func (t *talk) mixed() bool {
	for _, p := range t.pieces {
		if p.software != t.pieces[0].software {
			return true
		}
	}
	return false
}

func (t *talk) String() string {
	var text strings.Builder
	last := ""
	for _, p := range t.pieces {
		if from := p.software + " at " + p.engine; from != last {
			fmt.Fprintf(&text, " %d: %s", p.number, from)
			last = from
		}
	}
	return text.String()
}

// talk reads a resumable stream. The consumer takes it up again on a new channel, at any host, after a broken one.
func (s *site) talk(o order, tries int) *talk {
	t := new(talk)
	end := time.Now().Add(o.deadline)
	first := ""
	for range tries {
		if o.deadline = time.Until(end); o.deadline < 300*time.Millisecond {
			return t
		}
		id := newID()
		headers := map[string]string{}
		for name, value := range o.headers {
			headers[name] = value
		}
		if n := len(t.pieces); n > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(t.pieces[n-1].number), first
		}
		again := o
		again.headers, again.stream = headers, true
		r := s.send(s.pick(), again, id)
		if first == "" && len(r.pieces) > 0 {
			first = id
		}
		t.attempts = append(t.attempts, r)
		t.pieces = append(t.pieces, r.pieces...)
		if t.complete = r.complete && r.status == http.StatusOK; t.complete {
			return t
		}
		switch r.status {
		case 400, 401, 404, 413, 431:
			return t
		}
		time.Sleep(max(10*time.Millisecond, min(r.after, o.deadline/3)))
	}
	return t
}

// pick returns a host that consumers are sent to.
func (s *site) pick() *host { return s.hosts[rand.IntN(len(s.hosts))] }

// prompt returns the headers of a generation request. Parts are shared by some requests, the last by none.
func prompt(parts ...string) map[string]string {
	if len(parts) == 0 {
		parts = []string{fmt.Sprintf("5c1e%04x", rand.IntN(4)), fmt.Sprintf("91bd%04x", rand.IntN(20))}
	}
	return longPrompt(300, parts...)
}

// longPrompt is like prompt, with shared parts of so many tokens.
func longPrompt(tokens int, parts ...string) map[string]string {
	if len(parts) == 0 {
		parts = []string{fmt.Sprintf("5c1e%04x", rand.IntN(4)), fmt.Sprintf("91bd%04x", rand.IntN(200))}
	}
	chain := ""
	for _, p := range parts {
		chain += fmt.Sprintf("%s:%d,", p, tokens)
	}
	chain += fmt.Sprintf("e440%06x:100", rand.IntN(1<<24))
	return map[string]string{
		"X-Hibiscuslb-Model": modelName, "X-Hibiscuslb-Token-Usage": fmt.Sprintf("%d,80", tokens*len(parts)+100), "X-Hibiscuslb-Prefix-Hash": chain,
	}
}

// A crowd sends requests at a rate until it is stopped.
type crowd struct {
	stop chan struct{}
	wait sync.WaitGroup
}

// every starts f at a rate a second, at random times, each in a goroutine of its own.
func (c *crowd) every(perSecond float64, f func()) {
	c.spaced(func() time.Duration { return time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)) }, f)
}

// steadily is like every, at equal intervals.
func (c *crowd) steadily(perSecond float64, f func()) {
	next := time.Now()
	c.spaced(func() time.Duration {
		next = next.Add(time.Duration(float64(time.Second) / perSecond))
		return time.Until(next)
	}, f)
}

func (c *crowd) spaced(wait func() time.Duration, f func()) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(wait()):
			}
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				f()
			}()
		}
	}()
}

func (c *crowd) end() {
	close(c.stop)
	c.wait.Wait()
}

func newCrowd() *crowd { return &crowd{stop: make(chan struct{})} }
