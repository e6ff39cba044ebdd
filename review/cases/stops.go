package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopHosts     = 4
	stopConsumers = 480
	clumpPause    = 250 * time.Millisecond // from one clump of requests to the next
	clumpTime     = 6 * time.Millisecond   // within which the requests of a clump are sent
	stopTime      = 100 * time.Second
	stopGap       = 700 * time.Millisecond
	graceTime     = 8 * time.Second
)

// addresses returns the addresses of the last lookup.
func (d *directory) addresses() []string {
	d.pick(nil)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// A channel is a connection that a consumer keeps.
type channel struct {
	net.Conn
	reader  *bufio.Reader
	address string
}

// An unanswered request ended with its channel and without an answer.
type unanswered struct {
	id, address string
	at          time.Time
	err         error
}

// busyStop stops a host while it answers a request: at the moment at which a request that was
// sent to it begins to run at a server.
type busyStop struct {
	mu   sync.Mutex
	host *host             // to be stopped; nil if there is none
	sent map[string]string // addresses by request ID
	done chan struct{}     // closed when the signal was sent
}

func (b *busyStop) recordSent(id, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sent == nil {
		b.sent = make(map[string]string)
	}
	b.sent[id] = address
}

// recordRun is called when a request begins to run.
func (b *busyStop) recordRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	address := b.sent[id]
	delete(b.sent, id)
	if b.host == nil || address != fmt.Sprintf("%s:%d", b.host.ip, callersPort) {
		return
	}
	b.host.signal(syscall.SIGTERM)
	b.host = nil
	close(b.done)
}

// stop sends SIGTERM to the host as soon as it is busy.
func (b *busyStop) stop(h *host) {
	b.mu.Lock()
	b.host, b.done = h, make(chan struct{})
	done := b.done
	b.mu.Unlock()
	<-done
}

// bookings is a consumer that books again and again over a channel that it keeps. The requests
// of all consumers come in clumps.
func (s *site) bookings(d *directory, b *busyStop, stop <-chan struct{}, answered *[600]int, mu *sync.Mutex, lost *[]unanswered) {
	var c *channel
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(time.Now().Add(clumpPause).Truncate(clumpPause)) + rand.N(clumpTime)):
		}
		if c != nil && !slices.Contains(d.addresses(), c.address) {
			c.Close()
			c = nil
		}
		if c == nil {
			address := d.pick(nil)
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				continue
			}
			c = &channel{conn, bufio.NewReader(conn), address}
		}
		id := newID()
		b.recordSent(id, c.address)
		status, keep, err := c.book(id)
		mu.Lock()
		if err == nil {
			answered[min(status, len(answered)-1)]++
		} else if !errors.Is(err, os.ErrDeadlineExceeded) {
			*lost = append(*lost, unanswered{id, c.address, time.Now(), err})
		}
		mu.Unlock()
		if err != nil || !keep {
			c.Close()
			c = nil
		}
	}
}

// book sends a request that may run once, and reports whether the channel is kept.
func (c *channel) book(id string) (status int, keep bool, err error) {
	if err := c.SetDeadline(time.Now().Add(1500 * time.Millisecond)); err != nil {
		return 0, false, err
	}
	_, err = fmt.Fprintf(c, "POST /boye613/2f HTTP/1.1\r\nHost: %s\r\nX-Hibiscuslb-Request-Id: %s\r\nX-Hibiscuslb-Deadline-Ms: 1500\r\nAuthorization: Token %s\r\nContent-Length: 7\r\n\r\nbooking",
		hostName, id, keyA)
	if err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false, err
	}
	if response.StatusCode == http.StatusOK && string(body) != "answer to "+id {
		return 0, false, fmt.Errorf("the answer to %s is %q", id, body)
	}
	return response.StatusCode, !response.Close, nil
}

// stopInTurn stops the hosts one after the other and starts them again, until the time is over.
func (s *site) stopInTurn(b *busyStop, until time.Time) (stops int) {
	for i := 0; time.Until(until) > graceTime; i++ {
		h := s.hosts[i%len(s.hosts)]
		b.stop(h)
		stops++
		select {
		case <-h.ended:
		case <-time.After(graceTime):
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		time.Sleep(300 * time.Millisecond)
		if err := h.start(); err != nil {
			s.rec.add("platform: cannot start %s: %v", h.name, err)
		}
		for !h.ready() {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(stopGap)
	}
	return stops
}

// playStops has consumers book over channels that they keep, while the hosts are stopped and
// started in turn. No request that a host has passed on may end without an answer.
func playStops(s *site) (bool, error) {
	s.putWeights()
	s.putManifest(7, []any{tenant("pulo780", keyA, false)})
	peers, b := new(engines), new(busyStop)
	var all []*engine
	for i := range 4 {
		e, err := s.startEngine(peers, 100+i, &engine{service: "kafi81c", software: "v1", pause: 10 * time.Millisecond, quiet: true, onRun: b.recordRun})
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	if err := s.startHosts(stopHosts); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	d := newDirectory(s)
	stop := make(chan struct{})
	var (
		consumers sync.WaitGroup
		mu        sync.Mutex
		answered  [600]int
		lost      []unanswered
	)
	for range stopConsumers {
		consumers.Go(func() { s.bookings(d, b, stop, &answered, &mu, &lost) })
	}
	end := time.Now().Add(stopTime)
	time.Sleep(4 * time.Second)
	stops := 0
	if trouble() {
		stops = s.stopInTurn(b, end)
	}
	time.Sleep(time.Until(end))
	close(stop)
	consumers.Wait()
	run, notRun := 0, 0
	for _, u := range lost {
		ran := 0
		for _, e := range all {
			ran += e.ran(u.id)
		}
		s.rec.add("at %.4f s the channel to %s ended without an answer to %s, which was passed on to %d servers: %v", u.at.Sub(s.rec.begin).Seconds(), u.address, u.id, ran, u.err)
		if ran > 0 {
			run++
		} else {
			notRun++
		}
	}
	var statuses strings.Builder
	total := 0
	for status, n := range answered {
		if total += n; n > 0 {
			fmt.Fprintf(&statuses, " %d: %d", status, n)
		}
	}
	s.rec.tell("%d planned stops; answers:%s; channels that ended without an answer: %d to requests that were passed on to a server, %d to others", stops, statuses.String(), run, notRun)
	if answered[200] < total*8/10 || trouble() && stops < 4 {
		return false, errors.New("too few requests were served, or too few hosts stopped")
	}
	return run > 0, nil
}
