package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// Hidden queues.
//
// The planner estimates the queue of an engine by its own grants. It does not see what its predecessor
// has granted there, nor what deputies grant meanwhile; a deputy does not see what the planner and
// other deputies grant. Elsewhere the first pieces soon correct the estimate. But a run on replaced weights
// must not start late, so the queue that may be hidden counts for it.
//
// This handles a change of planners, or a partition that brings deputies about, while new weights are announced
// and the engines are busy. Hosts tell with each request which of their others wait at engines with replaced
// weights by another host's grant. What hosts have sent that have not asked yet is not known: an engine is taken to
// hold as much as a planner grants at most, each host having sent an equal share. It reads
// that in the time in which it does not read what it was granted since, which may be more urgent. Once it has started one of the
// least urgent requests of this tenure, it has started all that it held before. From then on, how much later than
// expected runs start tells what others send there.

// Waiting is what a host has sent to an engine by the grants of others than the one it asks, and that has not started.
type Waiting struct {
	Target fleet.TargetID
	Tokens fleet.Tokens // that the engine has to read
}

// LongestWait returns the longest wait at an engine of the service with which a request of any route is granted.
// Requests on routes without an objective are not counted.
func LongestWait(table *route.Table, service route.ServiceID) time.Duration {
	var longest time.Duration
	if table == nil {
		return 0
	}
	for i := range table.Routes {
		if r := &table.Routes[i]; r.Uses(service) {
			longest = max(longest, time.Duration(maxLateFactor*float64(r.LatencyObjective)))
		}
	}
	return longest
}

// leastUrgent returns the least urgent rank of requests for the service. Workspace is that of the
// least urgent workspace, and ranked is set if all workspaces have a rank.
func leastUrgent(table *route.Table, service route.ServiceID, workspace int, ranked bool) int {
	least := workspace
	for i := range table.Routes {
		if r := &table.Routes[i]; r.Uses(service) && (!ranked || r.Public) {
			least = max(least, r.Rank)
		}
	}
	return min(least, MaxRank)
}

// leastUrgentWorkspace returns the least urgent rank of a workspace, and whether all have a rank.
func leastUrgentWorkspace(table *route.Table) (rank int, ranked bool) {
	ranked = len(table.Workspaces) > 0
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		ranked = ranked && w.HasRank
		if w.HasRank {
			rank = max(rank, w.Rank)
		}
	}
	return rank, ranked
}

// hiddenQueue is what an engine may hold of requests that this host has not granted. The zero value
// holds nothing.
type hiddenQueue struct {
	reported fleet.Tokens  // that hosts say wait
	seen     bool          // the engine has started all that it held when the tenure began
	until    fleet.Instant // when it should have started that, if it held as much as it may
	late     fleet.Instant // when it should have started what others had sent, as the last start showed
}

// recordStart records that a run has started, how long the engine took to read its prompt, and how much
// later than expected it was. Last tells whether it was one of the least urgent.
func (h *hiddenQueue) recordStart(now fleet.Instant, read, late time.Duration, last bool) {
	switch {
	case last:
		h.seen, h.until = true, now
	case h.until > now:
		h.until = h.until.Add(read)
	}
	h.late = now.Add(max(0, late))
}

// A waitingShare is a host's part of what is reported of an engine.
type waitingShare struct {
	target *target
	tokens fleet.Tokens
}

// learnWaiting replaces what the host has reported.
func (f *Fleet) learnWaiting(host fleet.HostID, list []Waiting) {
	for _, s := range f.waiting[host] {
		s.target.hidden.reported -= s.tokens
	}
	var shares []waitingShare
	for _, w := range list {
		if t := f.targets[w.Target]; t != nil && w.Tokens > 0 {
			t.hidden.reported += w.Tokens
			shares = append(shares, waitingShare{t, w.Tokens})
		}
	}
	if f.waiting == nil {
		f.waiting = make(map[fleet.HostID][]waitingShare)
	}
	f.waiting[host] = shares
}

// hiddenWait returns how much later than estimated a request may start at the engine, since others have
// sent requests there.
func (f *Fleet) hiddenWait(now fleet.Instant, t *target) time.Duration {
	unknown := max(0, t.hidden.until.Sub(now))
	if f.Deputy && (f.Hosts > 0 || !t.hidden.seen) {
		unknown = t.service.longestWait // hosts that do not ask this one may ask the planner
	}
	if heard := len(f.waiting); heard > 0 && f.Hosts > 0 {
		unknown = unknown * time.Duration(max(0, f.Hosts-heard)) / time.Duration(f.Hosts)
	}
	hidden := unknown
	if t.hidden.reported > 0 {
		hidden += t.pace().readTime(t.hidden.reported)
	}
	// What was granted here is still to be read, even if that was expected to be over.
	overdue := max(0, t.pace().readTime(t.unreadTokens)-t.wait(now))
	return max(hidden, t.hidden.late.Sub(now)) + overdue
}
