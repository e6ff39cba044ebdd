package soak_test

import (
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

// result is what a caller saw of one request.
type result struct {
	id, kind string
	status   int // zero if there was no answer
	body     string
	whole    bool
	marked   bool // sent after the faults were over
}

type callers struct {
	site   *site
	group  task.Group
	cancel context.CancelFunc
	marked atomic.Bool

	mu      sync.Mutex
	results []result
}

const callerCount = 8

func (s *site) startCallers(seed uint64) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{site: s, cancel: cancel}
	for i := range callerCount {
		c.group.Go(ctx, func(ctx context.Context) { c.use(ctx, seed, i) })
	}
	return c
}

// mark notes that the faults are over.
func (c *callers) mark() { c.marked.Store(true) }

func (c *callers) stop() {
	c.cancel()
	c.group.Wait()
}

// use sends requests one after the other, on connections that stay open as
// long as their host lives.
func (c *callers) use(ctx context.Context, seed uint64, number int) {
	random := rand.New(rand.NewPCG(seed, uint64(number)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	kinds := []string{"order", "order", "read", "talk", "resume"}
	for i := 0; ctx.Err() == nil; i++ {
		address := c.lookup(client, random)
		if address == "" {
			task.Pause(ctx, 50*time.Millisecond)
			continue
		}
		kind := kinds[random.IntN(len(kinds))]
		r := result{id: fmt.Sprintf("%d-%d", number, i), kind: kind, marked: c.marked.Load()}
		send(client, address, &r)
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		task.Pause(ctx, time.Duration(random.IntN(40))*time.Millisecond)
	}
}

// lookup asks hosts for addresses until one answers.
func (c *callers) lookup(client *http.Client, random *rand.Rand) string {
	for range len(c.site.hosts) {
		h := c.site.hosts[random.IntN(len(c.site.hosts))]
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

// send sends one request and notes what came of it.
func send(client *http.Client, address string, r *result) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+r.kind+"/x", io.NopCloser(strings.NewReader("body")))
	if err != nil {
		return
	}
	request.ContentLength = 4
	request.Host = "h.example"
	request.Header.Set("X-Hibiscuslb-Request-Id", r.id)
	request.Header.Set("X-Hibiscuslb-Deadline-Ms", "3000")
	request.Header.Set("X-Hibiscuslb-Tenant", "forged")
	request.Header.Set("Authorization", "Token key-w")
	if r.kind == "talk" || r.kind == "resume" {
		request.Header.Set("X-Hibiscuslb-Model", model)
		request.Header.Set("X-Hibiscuslb-Token-Usage", "30,10")
		request.Header.Set("X-Hibiscuslb-Prefix-Hash", "aa:10,bb:10,cc:10")
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	r.status, r.body, r.whole = response.StatusCode, string(data), err == nil
}

// judge compares what callers saw with what targets did.
func (s *site) judge(t *testing.T, c *callers) {
	t.Helper()
	runs, tenants := make(map[string]int), make(map[string]string)
	for _, target := range s.targets {
		ran, as, leaked := target.Runs()
		for id, n := range ran {
			runs[id] += n
			tenants[id] = as[id]
		}
		for _, id := range leaked {
			t.Errorf("request %s: the key reached a target", id)
		}
		var highest uint64
		for _, epoch := range target.Epochs() {
			if epoch < highest {
				t.Errorf("target %s: an order of epoch %d after one of %d", target.ID, epoch, highest)
			}
			highest = max(highest, epoch)
		}
	}
	served, marked := 0, 0
	for _, r := range c.results {
		s.judgeOne(t, &r, runs[r.id], tenants[r.id])
		if r.marked {
			marked++
			if r.status == http.StatusOK && r.whole {
				served++
			}
		}
	}
	if marked == 0 || served < marked*95/100 {
		t.Errorf("after the faults %d of %d requests were served", served, marked)
	}
	ok := 0
	for _, r := range c.results {
		if r.status == http.StatusOK && r.whole {
			ok++
		}
	}
	t.Logf("%d requests, %d served; after the faults %d of %d", len(c.results), ok, served, marked)
}

func (s *site) judgeOne(t *testing.T, r *result, runs int, tenant string) {
	t.Helper()
	if runs > 1 && (r.kind == "order" || r.kind == "talk") {
		t.Errorf("request %s (%s) ran %d times", r.id, r.kind, runs)
	}
	if runs > 0 && tenant != "w" {
		t.Errorf("request %s ran for workspace %q", r.id, tenant)
	}
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if runs > 0 {
			t.Errorf("request %s (%s) ran and was said not to have run", r.id, r.kind)
		}
	case http.StatusOK:
		engine := s.targets[0].Target
		if r.kind == "order" || r.kind == "read" {
			engine = s.targets[engineCount].Target
		}
		if r.whole && r.body != engine.Body(r.id) {
			t.Errorf("request %s (%s) got another answer: %q", r.id, r.kind, r.body)
		}
		if !r.whole && !strings.HasPrefix(engine.Body(r.id), r.body) {
			t.Errorf("request %s (%s) got other bytes: %q", r.id, r.kind, r.body)
		}
	case http.StatusUnauthorized, http.StatusNotFound:
		t.Errorf("request %s (%s) was refused with status %d", r.id, r.kind, r.status)
	}
}
