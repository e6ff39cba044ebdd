package chooser

import (
	"context"
	"slices"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/wire"
)

const (
	// startsPause is the time after a call that did not deliver starts to the planner.
	startsPause = 200 * time.Millisecond
	// maxStarts bounds the starts that wait. The oldest are dropped: their streams end first.
	maxStarts = 4096
)

// starts holds the starts of streams that the planner does not know from reports on its own
// grants: a deputy or this host chose the target, or the planner that did is gone. They are kept
// until a planner has them, or the streams can't be taken up any more.
type starts struct {
	mu      sync.Mutex
	current fleet.Address // of the planner
	waiting []start
	due     chan struct{} // has an element if starts were added since sendStarts last read it
}

type start struct {
	at fleet.Instant
	origin.Start
}

func newStarts() starts { return starts{due: make(chan struct{}, 1)} }

// follow records the planner's address.
func (s *starts) follow(planner fleet.Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = planner
}

func (s *starts) planner() fleet.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *starts) add(now fleet.Instant, o origin.Start) {
	s.mu.Lock()
	s.waiting = append(s.waiting, start{now, o})
	s.waiting = s.waiting[max(0, len(s.waiting)-maxStarts):]
	s.mu.Unlock()
	select {
	case s.due <- struct{}{}:
	default:
	}
}

// take removes and returns the starts that wait, but for those that are too old to be of use.
func (s *starts) take(now fleet.Instant) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := slices.DeleteFunc(s.waiting, func(st start) bool { return now.Sub(st.at) > max(st.Deadline, origin.MinRetention) })
	s.waiting = nil
	return taken
}

// putBack queues starts again before those that were added since.
func (s *starts) putBack(taken []start) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(taken, s.waiting...)
	s.waiting = s.waiting[max(0, len(s.waiting)-maxStarts):]
}

// sendStarts tells the planner of streams that have begun until the context ends.
func (c *Chooser) sendStarts(ctx context.Context) {
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.starts.due:
		case <-retry.C:
		}
		if !task.Sleep(ctx, batchDelay) {
			return
		}
		taken := c.starts.take(c.Clock())
		if len(taken) == 0 {
			continue
		}
		if !c.deliverStarts(ctx, taken) {
			c.starts.putBack(taken)
			retry.Reset(startsPause)
		}
	}
}

// deliverStarts reports whether the planner has taken the starts.
func (c *Chooser) deliverStarts(ctx context.Context, taken []start) bool {
	list := make([]origin.Start, len(taken))
	for i, s := range taken {
		list[i] = s.Start
	}
	planner := c.starts.planner()
	switch planner {
	case "":
		return false
	case c.PeerAddress:
		return c.Planner.RecordStarts(ctx, list)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply wire.ReportsReply
	err := c.Peers.Call(ctx, planner, wire.KindReports, wire.Reports{Starts: list}, &reply)
	if err != nil {
		c.Log.Info().Err(err).Str("Planner", string(planner)).Int("Starts", len(list)).Msg("the planner was not told which versions began streams; trying again")
	}
	return err == nil && reply.Planning
}
