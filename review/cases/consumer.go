package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns the ID of one consumer attempt.
func newID() string { return fmt.Sprintf("%04x%012x", rand.IntN(1<<16), lastID.Add(1)) }

// A directory keeps the addresses of the last lookup. It looks up again after the time that the
// system says, and keeps the old addresses until it has new ones.
type directory struct {
	site    *site
	mu      sync.Mutex
	list    []string
	read    time.Time
	reading bool
}

// newDirectory returns a directory that has addresses.
func newDirectory(s *site) *directory { return &directory{site: s, list: s.lookup(), read: time.Now()} }

func (d *directory) refresh() {
	list := d.site.lookup()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reading = false
	if len(list) > 0 {
		d.list, d.read = list, time.Now()
	}
}

// pick returns a random address other than those that have failed.
func (d *directory) pick(failed map[string]bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.reading && time.Since(d.read) > time.Second {
		d.reading = true
		go d.refresh()
	}
	var good []string
	for _, a := range d.list {
		if !failed[a] {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		return ""
	}
	return good[rand.IntN(len(good))]
}

// A stream is what a consumer got of one stream over all its attempts.
type stream struct {
	attempts []string       // IDs
	versions map[string]int // software versions that wrote its events, with the number of events
	last     int            // ID of the last event
	complete bool
	resumed  bool
	mixed    bool
}

const (
	streamEvents   = 48
	streamDeadline = 12 * time.Second
	streamGap      = 3200 * time.Millisecond // four times the objective; eight times the pause is the same
	consumerTries  = 3
)

// consume sends a request for a stream that may be resumed, and takes it up if its channel breaks.
func consume(s *site, d *directory, key, prefix string) *stream {
	st := &stream{versions: make(map[string]int)}
	begin := time.Now()
	failed := make(map[string]bool)
	first := "" // the attempt that brought the first event
	for try := 0; try < consumerTries && !st.complete; try++ {
		left := streamDeadline - time.Since(begin)
		address := d.pick(failed)
		if left <= 0 || address == "" {
			break
		}
		id := newID()
		st.attempts = append(st.attempts, id)
		header := http.Header{
			"X-Hibiscuslb-Request-Id": {id}, "X-Hibiscuslb-Model": {modelName}, "X-Hibiscuslb-Token-Usage": {"877,48"},
			"X-Hibiscuslb-Prefix-Hash": {prefix}, "X-Hibiscuslb-Deadline-Ms": {strconv.FormatInt(left.Milliseconds(), 10)}, "Authorization": {"Token " + key},
		}
		if st.last > 0 {
			st.resumed = true
			header["Last-Event-Id"], header["Resumes"] = []string{strconv.Itoa(st.last)}, []string{first}
		}
		s.rec.add("consumer: %s to %s, Last-Event-Id %d, Resumes %q", id, address, st.last, first)
		retry, pause := st.attempt(s, address, id, header, left, &first)
		if !retry {
			break
		}
		if pause == 0 {
			failed[address] = true
		}
		time.Sleep(min(pause, (streamDeadline-time.Since(begin))/3))
	}
	return st
}

// attempt makes one attempt on a new channel. It reports whether the consumer may try again, and
// after which pause.
func (st *stream) attempt(s *site, address, id string, header http.Header, left time.Duration, first *string) (retry bool, pause time.Duration) {
	ctx, cancel := context.WithTimeout(s.ctx, left)
	defer cancel()
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/kafi500/2f", strings.NewReader("body of "+id))
	if err != nil {
		return false, 0
	}
	request.Host, request.Header = hostName, header
	gap := time.AfterFunc(streamGap, cancel)
	defer gap.Stop()
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.rec.add("consumer: %s has no answer: %v", id, err)
		return true, 0
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		s.rec.add("consumer: %s gets %d, Retry-After %q", id, response.StatusCode, response.Header.Get("Retry-After"))
		return true, max(10*time.Millisecond, time.Duration(seconds*float64(time.Second)))
	}
	reader := bufio.NewReader(response.Body)
	number, got := 0, 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			st.complete = err == io.EOF && st.last == streamEvents
			s.rec.add("consumer: %s ends after %d events, the last is %d, complete %t: %v", id, got, st.last, st.complete, err)
			return !st.complete, 0
		}
		gap.Reset(streamGap)
		line = strings.TrimSpace(line)
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ = strconv.Atoi(text)
		}
		text, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if *first == "" {
			*first = id
		}
		software, _, _ := strings.Cut(text, " ")
		if len(st.versions) == 1 && st.versions[software] == 0 {
			st.mixed = true
			s.rec.add("consumer: %s brings event %d of %s, the events before are of %v", id, number, software, st.versions)
		}
		st.versions[software]++
		st.last, got = number, got+1
	}
}
