// Package task runs groups of goroutines, whose owner can wait until all of them
// have returned.
//
// Each goroutine receives a context and signals its end on a channel that Wait
// reads. Goroutines may be started at any time, also while Wait is running. The
// signal never blocks, even if no goroutine is in Wait.
package task

import (
	"context"
	"sync"
)

// A Group is a set of goroutines. The zero value is an empty group. Go may be called
// concurrently; Wait must be called by one goroutine at a time.
type Group struct {
	mu      sync.Mutex
	running int           // goroutines that have not returned
	ended   chan struct{} // has one element if a goroutine returned since Wait last read it
}

// Go calls f with the context in a new goroutine of the group.
func (g *Group) Go(ctx context.Context, f func(context.Context)) {
	g.mu.Lock()
	if g.ended == nil {
		g.ended = make(chan struct{}, 1)
	}
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.signalEnd()
		f(ctx)
	}()
}

// signalEnd records the end of a goroutine. It drops the signal if the channel has
// one already, since Wait reads the number of running goroutines after each signal.
func (g *Group) signalEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	select {
	case g.ended <- struct{}{}:
	default:
	}
}

// Wait returns when no goroutine of the group is running.
func (g *Group) Wait() {
	for {
		g.mu.Lock()
		running, ended := g.running, g.ended
		g.mu.Unlock()
		if running == 0 {
			return
		}
		<-ended
	}
}
