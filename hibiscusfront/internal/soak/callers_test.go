package soak_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hibiscuslb/fleet/task"
)

// result is the outcome of one request as its caller observed it.
type result struct {
	id, kind  string
	workspace string // "w" if empty
	resumes   string // ID of the request whose stream this one takes up; empty if it takes none up
	from      int    // number of the last event of that stream
	callers   string // address of the host
	at, ended time.Time
	prefix    string // the parts of the prompt, if the request has one
	path      string // empty for that of most requests of the kind
	status    int    // zero if there was no answer
	body      string
	complete  bool // the body was read to its end
	recovered bool // sent after the faults had been cleared
}

// callers are concurrent clients of a site that record the result of each request.
type callers struct {
	site *site
	// Callers with an odd number send requests of the workspace v.
	workspaces bool
	takeUp     bool // streams that break off are taken up
	group      task.Group
	cancel     context.CancelFunc
	recovered  atomic.Bool // the faults have been cleared

	mu      sync.Mutex
	results []result
}

const callerCount = 8

func (s *site) startCallers(seed uint64) *callers {
	return s.startCallersOf(seed, 0, callerCount, "order", "order", "read", "talk", "resume")
}

// startCallersOf starts callers that are numbered from first on and send requests of some kinds.
func (s *site) startCallersOf(seed uint64, first, count int, kinds ...string) *callers {
	c := &callers{site: s}
	c.start(seed, first, count, kinds)
	return c
}

func (c *callers) start(seed uint64, first, count int, kinds []string) {
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	for i := range count {
		c.group.Go(ctx, func(ctx context.Context) { c.sendRequests(ctx, seed, first+i, kinds) })
	}
}

// markRecovered makes requests from now on count as sent after the faults.
func (c *callers) markRecovered() { c.recovered.Store(true) }

func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

// sendRequests sends requests one after the other until ctx ends. Connections
// are kept open for reuse.
func (c *callers) sendRequests(ctx context.Context, seed uint64, number int, kinds []string) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		address := c.lookup(client, random)
		if address == "" {
			task.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		kind := kinds[random.IntN(len(kinds))]
		prefix := fmt.Sprintf("aa:10,b%d:10,cc:10", number)
		r := result{id: fmt.Sprintf("%d-%d", number, i), kind: kind, prefix: prefix, recovered: c.recovered.Load()}
		if c.workspaces {
			r.workspace = []string{"w", "v"}[number%2]
		}
		send(client, address, &r)
		c.add(r)
		if !c.takeUp || !r.brokenOff() {
			task.Sleep(ctx, time.Duration(random.IntN(40))*time.Millisecond)
			continue
		}
		again := c.lookup(client, random)
		for range 20 { // other hosts may have ended too
			if again == "" {
				task.Sleep(ctx, 100*time.Millisecond)
				again = c.lookup(client, random)
			}
		}
		if again != "" {
			r = result{id: r.id + "-again", kind: kind, prefix: prefix, workspace: r.workspace, resumes: r.id, from: strings.Count(r.body, "\n\n"), recovered: c.recovered.Load()}
			send(client, again, &r)
			c.add(r)
		}
	}
}

func (c *callers) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// brokenOff reports whether the result is the beginning of a stream that may be taken up.
func (r *result) brokenOff() bool {
	return r.kind == "resume" && r.resumes == "" && r.status == http.StatusOK && !r.complete && strings.Contains(r.body, "\n\n")
}

// lookup queries the directory of randomly chosen hosts until one answers, and
// returns one of the addresses, or "" if none has answered.
func (c *callers) lookup(client *http.Client, random *rand.Rand) string {
	hosts := c.site.currentHosts()
	for range hosts {
		h := hosts[random.IntN(len(hosts))]
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.directory+"/-/lookup?region=r&zone=z", nil)
		if err != nil {
			cancel()
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			cancel()
			continue
		}
		var answer struct{ Addresses []string }
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		cancel()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses[random.IntN(len(answer.Addresses))]
		}
	}
	return ""
}

// send sends one request and stores status and body in r.
func send(client *http.Client, address string, r *result) {
	r.callers, r.at = address, time.Now()
	defer func() { r.ended = time.Now() }()
	path := cmp.Or(r.path, "/"+r.kind+"/x")
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		return
	}
	request.ContentLength = 4
	request.Host = "h.example"
	request.Header.Set("X-Hibiscuslb-Request-Id", r.id)
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", "3000")
	request.Header.Set("X-Hibiscuslb-Tenant", "forged")
	request.Header.Set("Authorization", "Token key-"+cmp.Or(r.workspace, "w"))
	if r.resumes != "" {
		request.Header.Set("Resumes", r.resumes)
		request.Header.Set("Last-Event-Id", fmt.Sprint(r.from))
	}
	if r.kind == "talk" || r.kind == "resume" {
		request.Header.Set("X-Hibiscuslb-Model", model)
		request.Header.Set("X-Hibiscuslb-Token-Usage", "30,10")
		request.Header.Set("X-Hibiscuslb-Prefix-Hash", r.prefix)
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.body, r.complete = response.StatusCode, string(data), err == nil
}

// checkResults compares the answers that callers received with the requests that
// targets executed.
func (s *site) checkResults(t *testing.T, c *callers) {
	t.Helper()
	runs, workspaces := make(map[string]int), make(map[string]string)
	for _, target := range s.targets {
		ran, ranFor, leaked := target.Runs()
		for id, n := range ran {
			runs[id] += n
			workspaces[id] = ranFor[id]
		}
		for _, id := range leaked {
			t.Errorf("request %s: its key was forwarded to a target", id)
		}
		var highest uint64
		for _, epoch := range target.Epochs() {
			if epoch < highest {
				t.Errorf("target %s: got a weight order of epoch %d after one of epoch %d, want epochs that do not decrease", target.ID, epoch, highest)
			}
			highest = max(highest, epoch)
		}
	}
	served, recovered := 0, 0
	for _, r := range c.results {
		s.checkResult(t, &r, runs[r.id], workspaces[r.id])
		if r.recovered {
			recovered++
			if r.status == http.StatusOK && r.complete {
				served++
			}
		}
	}
	if recovered == 0 || served < recovered*95/100 {
		t.Errorf("after the faults %d of %d requests were served, want at least 95 %% of them and at least one request", served, recovered)
	}
	ok := 0
	for _, r := range c.results {
		if r.status == http.StatusOK && r.complete {
			ok++
		}
	}
	t.Logf("%d requests, %d served; after the faults %d of %d", len(c.results), ok, served, recovered)
}

// checkResult checks one answer against the number of executions and the workspace
// that targets recorded for the request.
func (s *site) checkResult(t *testing.T, r *result, runs int, workspace string) {
	t.Helper()
	if runs > 1 && (r.kind == "order" || r.kind == "talk") {
		t.Errorf("request %s (%s) was executed %d times, want at most once", r.id, r.kind, runs)
	}
	if want := cmp.Or(r.workspace, "w"); runs > 0 && workspace != want {
		t.Errorf("request %s was executed for workspace %q, want %q", r.id, workspace, want)
	}
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if runs > 0 {
			t.Errorf("request %s (%s) was executed but answered with status %d, which states that it was not", r.id, r.kind, r.status)
		}
	case http.StatusOK:
		engine := s.targets[0].Target
		if r.kind == "order" || r.kind == "read" {
			engine = s.targets[engineCount].Target
		}
		whole := engine.Body(r.id)
		for range r.from {
			_, whole, _ = strings.Cut(whole, "\n\n")
		}
		if r.complete && r.body != whole {
			t.Errorf("request %s (%s): got body %q, want %q", r.id, r.kind, r.body, whole)
		}
		if !r.complete && !strings.HasPrefix(whole, r.body) {
			t.Errorf("request %s (%s): got partial body %q, want a prefix of %q", r.id, r.kind, r.body, whole)
		}
	case http.StatusUnauthorized, http.StatusNotFound:
		t.Errorf("request %s (%s): got status %d, want no refusal of valid credentials and route", r.id, r.kind, r.status)
	}
}
