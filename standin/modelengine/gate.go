package modelengine

import (
	"container/heap"
	"context"
	"sync"

	"hibiscuslb/fleet/engine"
)

// gate lets one request at a time through, the smallest priority first.
type gate struct {
	mu      sync.Mutex
	busy    bool
	arrived int
	waiting queue
}

type waiter struct {
	priority engine.Priority
	arrived  int
	turn     chan struct{}
}

type queue []*waiter

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrived < q[j].arrived
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*waiter)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	return w
}

// enter waits for the turn and reports whether it came.
func (g *gate) enter(ctx context.Context, priority engine.Priority) bool {
	g.mu.Lock()
	if !g.busy {
		g.busy = true
		g.mu.Unlock()
		return true
	}
	g.arrived++
	w := &waiter{priority: priority, arrived: g.arrived, turn: make(chan struct{}, 1)}
	heap.Push(&g.waiting, w)
	g.mu.Unlock()
	select {
	case <-w.turn:
		return true
	case <-ctx.Done():
		g.abandon(w)
		return false
	}
}

// abandon takes the waiter out, or passes on a turn that came too late.
func (g *gate) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting {
		if other == w {
			heap.Remove(&g.waiting, i)
			return
		}
	}
	g.next()
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next()
}

func (g *gate) next() {
	if len(g.waiting) == 0 {
		g.busy = false
		return
	}
	heap.Pop(&g.waiting).(*waiter).turn <- struct{}{}
}
