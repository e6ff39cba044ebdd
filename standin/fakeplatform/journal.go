package fakeplatform

import (
	"net/http"
	"strconv"
	"time"
)

// Arrivals returns when requests arrived, other than those for another target.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := make([]time.Time, len(t.journal))
	for i, a := range t.journal {
		times[i] = a.At
	}
	return times
}

// An Arrival is a request as it reached a target.
type Arrival struct {
	At      time.Time
	ID      string
	Tenant  string
	Salt    string // of the cache
	Parts   string // of the prompt
	From    string // the Last-Event-Id
	Version uint64 // of the weights
	Loads   uint64 // of weights that have ended
	Ran     bool
}

// Journal returns the arrivals, the oldest first.
func (t *Target) Journal() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.journal...)
}

// arrive records a request and sets the headers that all answers have.
// The result is the index of the request in the journal.
func (t *Target) arrive(r *http.Request, header http.Header) (entry int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.journal = append(t.journal, Arrival{
		At: time.Now(), ID: r.Header.Get("X-Hibiscuslb-Request-Id"), Tenant: r.Header.Get("X-Hibiscuslb-Tenant"),
		Salt: r.Header.Get("X-Hibiscuslb-Cache-Salt"), Parts: r.Header.Get("X-Hibiscuslb-Prefix-Hash"),
		From: r.Header.Get("Last-Event-Id"),
	})
	if t.limit > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(t.limit, 'f', -1, 64))
	}
	if t.brittle.named {
		header.Set("Server-Brittle", strconv.Itoa(t.brittle.withstands))
	}
	if t.leaving {
		header.Set("Server-Leaving", "1")
	}
	if t.pause > 0 {
		header.Set("Retry-After", strconv.FormatFloat(t.pause.Seconds(), 'f', -1, 64))
	}
	return len(t.journal) - 1
}
