package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	stableWindow = 3 * time.Second
	kills        = 5
	killGap      = 9 * time.Second
)

// takeUp plays kills of single processes, each time that which last wrote to the store under a condition, while engines
// of two versions of the software serve. Consumers take up the streams that this breaks off at the other hosts.
func takeUp(r *record, binary string, trouble bool) (broken bool, err error) {
	s, err := newSite(r, binary, layout{hosts: 4, models: 6, plain: 1, pieces: 8, pause: 20 * time.Millisecond, work: 20 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	// Three engines of another version take the places of three: the entries say so long before the first request.
	for _, e := range s.engines[:3] {
		e.restart(time.Second, "v2")
	}
	time.Sleep(4 * time.Second)
	r.say("all hosts are ready, and engines of two versions serve, three each")
	var mu sync.Mutex
	var talks []*talk
	c := newCrowd()
	c.every(200, func() {
		t := s.talk(order{method: "POST", path: "/digest/2f", deadline: 12 * time.Second, headers: prompt()}, 4)
		mu.Lock()
		defer mu.Unlock()
		talks = append(talks, t)
	})
	for range kills {
		time.Sleep(killGap)
		if h := s.planner(); h != nil && trouble {
			r.say("kill -9 of the process on %s; it is started again", h.name)
			h.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(5 * time.Second)
	c.end()
	began, fresh, taken, wentOn, mixed := 0, 0, 0, 0, 0
	for _, t := range talks {
		if t.mixed() {
			mixed++
		}
		if first := t.attempts[0]; first.inTouch() {
			fresh++
			if len(first.pieces) > 0 {
				began++
			}
		}
		had, tried, on := 0, 0, false
		for _, a := range t.attempts {
			if had > 0 && a.inTouch() {
				tried++
				on = on || len(a.pieces) > 0
			}
			had += len(a.pieces)
		}
		if tried > 0 {
			taken++
			r.add("taken up %d times at machines in touch, goes on %t, begun by attempt %s:%s", tried, on, t.attempts[0].id, t)
		}
		if on {
			wentOn++
		}
	}
	if fresh == 0 {
		return false, nil
	}
	newShare, share := float64(began)/float64(fresh), 1.0
	if taken > 0 {
		share = float64(wentOn) / float64(taken)
	}
	r.say("new streams at machines in touch: %d, %d began (%.3f)", fresh, began, newShare)
	r.say("streams taken up at machines in touch: %d, %d went on (%.3f; 12 or more, and under half of the other share, break LOST)", taken, wentOn, share)
	r.say("streams with events of two versions: %d", mixed)
	return taken >= 12 && share < newShare/2, nil
}

// inTouch reports whether the process that the attempt was made at had run for stableWindow then, and was not killed
// before the answer ended.
func (a *result) inTouch() bool {
	h := a.host
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, start := range h.starts[1:] {
		// A process is started again 0.3 s after its end.
		if a.ended.After(start.Add(-time.Second)) && a.sent.Before(start.Add(stableWindow)) {
			return false
		}
	}
	return true
}
