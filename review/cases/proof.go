package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	proofRequests = 1600
	proofShare    = 0.02 // of the answers of a faulty server
)

// playProof has one of three servers spoil a small share of its answers: the line with the proof
// is lost. No consumer may get such an answer as a success.
func playProof(s *site) (bool, error) {
	s.putWeights()
	s.putManifest(7, []any{tenant("pulo780", keyA, false)})
	peers := new(engines)
	for i := range 3 {
		e := &engine{service: "kafi81c", software: "v1", pause: 15 * time.Millisecond}
		if i == 0 && trouble() {
			e.spoil = func() bool { return rand.Float64() < proofShare }
		}
		if _, err := s.startEngine(peers, 100+i, e); err != nil {
			return false, err
		}
	}
	if err := s.startHosts(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	d := newDirectory(s)
	var consumers sync.WaitGroup
	var mu sync.Mutex
	bare, good, other := 0, 0, 0
	for range 8 {
		consumers.Go(func() {
			transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 2}
			defer transport.CloseIdleConnections()
			for range proofRequests / 8 {
				status, complete, err := s.book(transport, d.pick(nil), newID(), []byte("booking"))
				mu.Lock()
				switch {
				case err != nil || status != http.StatusOK:
					other++
				case complete:
					good++
				default:
					bare++
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	consumers.Wait()
	s.rec.tell("%d requests served with a proof, %d successes without a proof, %d failed", good, bare, other)
	if good < proofRequests/2 {
		return false, fmt.Errorf("only %d requests were served", good)
	}
	return bare > 0, nil
}
