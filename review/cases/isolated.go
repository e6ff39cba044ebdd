package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	isolatedHosts   = 3
	isolatedEngines = 3
	keyA            = "fqasnmgkcuyj8pjbvk9m"
	keyB            = "68k7b2ex5wa5xwyhks8n"
	sharedPrompts   = 12
)

// playIsolated has two tenants that ask on the same shared parts. A new manifest makes the first
// tenant isolated. Well after it is in force, the second tenant asks again: its requests may not
// use what requests of the first tenant have made.
func playIsolated(s *site) (bool, error) {
	s.putWeights()
	s.putManifest(7, []any{tenant("pulo780", keyA, false), tenant("wuno96b", keyB, false)})
	peers := new(engines)
	var all []*engine
	for i := range isolatedEngines {
		e, err := s.startEngine(peers, 100+i, &engine{service: "huvo11a", software: "v1", events: streamEvents, pause: 20 * time.Millisecond})
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	if err := s.startHosts(isolatedHosts); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	d := newDirectory(s)
	served := 0
	ask := func(key string) {
		var consumers sync.WaitGroup
		var mu sync.Mutex
		for i := range sharedPrompts {
			consumers.Go(func() {
				st := consume(s, d, key, fmt.Sprintf("5c1e07%02x:650,91bd3f%02x:410,%s:177", i, i, newID()))
				mu.Lock()
				defer mu.Unlock()
				if st.complete {
					served++
				}
			})
		}
		consumers.Wait()
	}
	ask(keyA)
	time.Sleep(time.Second)
	isolated := trouble() // what manifest 9 says of pulo780
	s.rec.add("operator: manifest 9, pulo780 isolated %t", isolated)
	s.putManifest(9, []any{tenant("pulo780", keyA, isolated), tenant("wuno96b", keyB, false)})
	acked := time.Now()
	time.Sleep(6 * time.Second) // configApplyMs is 2 s
	ask(keyA)
	ask(keyB)
	broken, reused := 0, 0
	for _, e := range all {
		e.mu.Lock()
		for _, u := range e.used {
			if u.at.Before(acked) || u.maker.tenant == u.tenant {
				continue
			}
			reused++
			s.rec.add("engine %s: request %s of tenant %s uses part %s (salt %q, %d tokens), made by request %s of tenant %s, %.1f s after the ack of manifest 9",
				e.id, u.request, u.tenant, u.part, u.salt, u.maker.tokens, u.maker.request, u.maker.tenant, u.at.Sub(acked).Seconds())
			if isolated && (u.maker.tenant == "pulo780" || u.tenant == "pulo780") {
				broken++
			}
		}
		e.mu.Unlock()
	}
	s.rec.tell("%d of %d streams complete; after manifest 9, %d parts made by one tenant were used by the other, %d of them while one is isolated", served, 3*sharedPrompts, reused, broken)
	if served < 3*sharedPrompts*9/10 {
		return false, fmt.Errorf("only %d streams were complete", served)
	}
	return broken > 0, nil
}
