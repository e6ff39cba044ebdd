package main

import (
	"sync"
	"time"

	"hibiscuslb/standin/fakeplatform"
)

// upgrade plays engines that start again under their ids with another version of their software, one after the other,
// while the store is down (trouble) or not.
func upgrade(r *record, binary string, trouble bool) (broken bool, err error) {
	s, err := newSite(r, binary, layout{hosts: 4, models: 7, plain: 1, pieces: 40, pause: 50 * time.Millisecond, work: 20 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	r.say("all hosts are ready")
	var mu sync.Mutex
	var talks []*talk
	c := newCrowd()
	c.steadily(42, func() {
		t := s.talk(order{method: "POST", path: "/digest/2f", deadline: 12 * time.Second, headers: longPrompt(2500)}, 4)
		mu.Lock()
		defer mu.Unlock()
		talks = append(talks, t)
	})
	time.Sleep(6 * time.Second)
	outage := make(chan struct{})
	go func() {
		defer close(outage)
		if !trouble {
			return
		}
		r.say("the store is down")
		s.setFault(fakeplatform.Down)
		time.Sleep(8 * time.Second)
		s.setFault(fakeplatform.Healthy)
		r.say("the store is back")
	}()
	time.Sleep(500 * time.Millisecond)
	for _, e := range s.engines[:3] {
		e.restart(time.Second, "v2")
		time.Sleep(1200 * time.Millisecond)
	}
	<-outage
	time.Sleep(6 * time.Second)
	c.end()
	complete, mixed := 0, 0
	for _, t := range talks {
		if t.complete {
			complete++
		}
		if t.mixed() {
			mixed++
			r.add("mixed stream:%s", t)
			for _, a := range t.attempts {
				r.add("  attempt %s, status %d, %d pieces", a.id, a.status, len(a.pieces))
			}
		}
	}
	r.say("%d streams, %d complete, %d with events of two versions of the software (more than 2 break ORDER)", len(talks), complete, mixed)
	return mixed > 2, nil
}
