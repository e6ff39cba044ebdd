package modelengine

import (
	"container/heap"
	"context"
	"sync"

	"hibiscuslb/fleet/engine"
)

// priorityLock is a lock that is granted to the waiter with the smallest priority
// value, and among those with the same value to the one that waits longest.
type priorityLock struct {
	mu      sync.Mutex
	held    bool
	arrival int // arrival number of the latest waiter
	waiting queue
}

type waiter struct {
	priority engine.Priority
	arrival  int
	granted  chan struct{} // receives one element when the lock is granted
}

// queue implements heap.Interface.
type queue []*waiter

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*waiter)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	return w
}

// acquire waits until the lock is granted or the context is done. It reports
// whether the caller holds the lock.
func (l *priorityLock) acquire(ctx context.Context, priority engine.Priority) bool {
	l.mu.Lock()
	if !l.held {
		l.held = true
		l.mu.Unlock()
		return true
	}
	l.arrival++
	w := &waiter{priority: priority, arrival: l.arrival, granted: make(chan struct{}, 1)}
	heap.Push(&l.waiting, w)
	l.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
		l.abandon(w)
		return false
	}
}

// abandon removes a waiter from the queue. If the lock was granted to it in the
// meantime, abandon grants it to the next waiter.
func (l *priorityLock) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting {
		if other == w {
			heap.Remove(&l.waiting, i)
			return
		}
	}
	l.grantNext()
}

func (l *priorityLock) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantNext()
}

// grantNext grants the lock to the first waiter, or releases it if nothing waits.
// l.mu is held.
func (l *priorityLock) grantNext() {
	if len(l.waiting) == 0 {
		l.held = false
		return
	}
	heap.Pop(&l.waiting).(*waiter).granted <- struct{}{}
}
