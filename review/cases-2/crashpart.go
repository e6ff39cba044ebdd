package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	badPart   = "deadbeef"
	crashDown = 3 * time.Second // until an engine that crashed is back
)

// crashPart plays a part of prompts that crashes each engine which begins to write an answer on it, at a time of little
// traffic. Without trouble no request has that part.
func crashPart(r *record, binary string, trouble bool) (broken bool, err error) {
	s, err := newSite(r, binary, layout{hosts: 4, models: 6, plain: 2, pieces: 12, pause: 20 * time.Millisecond, work: 20 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	var mu sync.Mutex
	var crashes, reached []time.Time
	for _, e := range s.engines {
		e.crashes = func(q *http.Request) bool {
			if e.model == "" || !strings.Contains(q.Header.Get("X-Hibiscuslb-Prefix-Hash"), badPart+":") {
				return false
			}
			now := time.Now()
			mu.Lock()
			crashes, reached = append(crashes, now), append(reached, now)
			n := len(crashes)
			mu.Unlock()
			r.say("engine %s begins to write an answer on the part and crashes, number %d, request %s", e.id, n, q.Header.Get("X-Hibiscuslb-Request-Id"))
			go e.restart(crashDown, "v1")
			time.Sleep(5 * time.Millisecond)
			return true
		}
	}
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	r.say("all hosts are ready")
	digest := func(headers map[string]string) order {
		return order{method: "POST", path: "/digest/2f", deadline: 12 * time.Second, headers: headers, stream: true}
	}
	sound, served := 0, 0
	c := newCrowd()
	c.every(1, func() {
		answer := s.send(s.pick(), digest(prompt()), newID())
		mu.Lock()
		defer mu.Unlock()
		sound++
		if answer.complete && answer.status == http.StatusOK {
			served++
		}
	})
	c.every(20, func() {
		s.send(s.pick(), order{method: "GET", path: "/status/2f", deadline: 1500 * time.Millisecond}, newID())
	})
	time.Sleep(10 * time.Second)
	bad := newCrowd()
	if trouble {
		r.say("requests with the part come, 1.2 a second on average")
		bad.every(1.2, func() {
			first := []string{"5c1e0000", "5c1e0001", "5c1e0002", "5c1e0003"}[rand.IntN(4)]
			s.send(s.pick(), digest(prompt(first, badPart)), newID())
		})
	}
	time.Sleep(32 * time.Second)
	bad.end()
	c.end()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.Sub(crashes[4]) > stableWindow {
				late++
			}
		}
	}
	r.say("%d sound streams, %d served", sound, served)
	r.say("%d crashes; %d requests with the part reached engines later than %v after the fifth (more than 3 break BUDGET)", len(crashes), late, stableWindow)
	return late > 3, nil
}
