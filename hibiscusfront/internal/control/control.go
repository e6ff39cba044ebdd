// Package control maintains a host's view of the fleet: its configuration,
// targets, hosts, announced weights, and which host is the planner.
//
// One goroutine owns this state. Other goroutines read the store, exchange
// heartbeats and decode messages, and pass their results to it. After each
// change it publishes a frozen view for the goroutines that serve requests.
//
// In this package, the store is the platform's object store. It counts the calls
// of each host, so not every host watches it. The planner does. Its heartbeat
// replies carry the revisions that it knows, and the other hosts fetch from it
// what has changed. A host that gets no reply from any host that watches the
// store watches it itself. A host that the store refuses or does not answer is
// therefore behind by one heartbeat at most.
package control

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/election"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/storeclock"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// DutyName is the name of the object that records which host is the planner.
const DutyName = "planner"

const (
	// tickInterval is the time between two ticks of the control goroutine.
	// Renewals and heartbeats happen at multiples of it.
	tickInterval = 25 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a host.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is how long a host counts as alive after its last heartbeat.
	// It also bounds the calls to other hosts: heartbeats, fetches of changes and
	// writes of the duty's object through a peer.
	heartbeatTimeout = 1100 * time.Millisecond
	// watcherTimeout is how long a host relies on others to watch the store
	// after the last reply of a host that does.
	watcherTimeout = 800 * time.Millisecond
	// rosterAge is how old a host's knowledge of the targets may be if it has to know all of
	// them. A host that hears no more of a planner begins to watch the store itself, and
	// has the first answer, within about as long.
	rosterAge = 1500 * time.Millisecond
	// startGrace is added to watcherTimeout for a host that starts. If all hosts
	// of a large fleet start together, the planner needs longer for its first replies.
	startGrace = time.Second
	// deadEntryTimeout is the time from a host's last heartbeat to the removal
	// of its entry from the store.
	deadEntryTimeout = 15 * time.Second
	// inboxSize is the number of messages that may wait for the control
	// goroutine.
	inboxSize = 256
)

// A Control owns the control state of a host. Set the exported fields before calling
// Run; OnPlanningChange, OnPublish, OnHostLost, CutOff, InTouch, WantsOrders, Quarantine and Versions may be nil.
type Control struct {
	Settings platform.Settings
	Store    *platform.Store
	Peers    *peer.Pool
	Clock    fleet.Clock
	Log      zerolog.Logger
	Self     wire.Host
	// OnPlanningChange is called on the control goroutine when the host begins
	// to plan (planning is true), with or without a lease, when the epoch in
	// which it plans changes, and when it stops.
	OnPlanningChange func(epoch fleet.Epoch, planning bool)
	// OnPublish is called on the control goroutine with each new view.
	OnPublish func(*view.View)
	// OnHostLost is called on the control goroutine when a host has missed its
	// heartbeats.
	OnHostLost func(fleet.HostID)
	// CutOff reports whether the host is cut off from the targets. It may be nil.
	CutOff func() bool
	// InTouch reports whether another host is known to reach targets that this one, the planner, does not. It may be nil.
	InTouch func(fleet.HostID) bool
	// WantsOrders reports whether the host has orders to send to targets.
	WantsOrders func() bool
	// Quarantine returns the suspected and withheld parts of prompts that the host knows
	// as the planner. They travel in the record of the duty.
	Quarantine func() quarantine.List
	// Versions returns the versions of targets that the host knows as the planner to have
	// begun streams. They travel in the same way.
	Versions func() origin.Versions

	view atomic.Pointer[view.View]
	// Instants that other goroutines read: the end of this host's tenure, the
	// end of planning without a lease, and the window in which orders are
	// allowed.
	tenureEnd, planWithoutLeaseUntil atomic.Int64
	orderFrom, orderUntil            atomic.Int64

	watching          atomic.Bool   // the host watches the store
	rosterCurrentTill atomic.Int64  // instant until which the host knows the targets of now
	rosterCertainFrom atomic.Int64  // instant from which targets that are missing in the store have left
	rosterEra         atomic.Uint64 // of the store from which the targets were read
	storeOutageShared atomic.Bool   // copy of storeOutage for other goroutines

	once   sync.Once
	runCtx context.Context // of Run, for tasks that outlive the message that started them
	inbox  chan func(now fleet.Instant)
	tasks  task.Group

	// The store's objects as this host knows them.
	replicas           map[string]*replica.Replica
	decodedTargets     map[string]decodedTarget  // by the name of the object
	malformedRevisions map[string]fleet.Revision // logged revisions of malformed objects, by kind and name
	lastStoreAnswer    fleet.Instant
	storeOutage        bool   // a call to the store failed, and the store has answered none since
	era                uint64 // of the store, as last logged

	// State derived from them.
	table           *route.Table
	storeClock      storeclock.Clock
	started         fleet.Instant  // when Run was called
	weightsRevision fleet.Revision // as of which the announced weights are known; zero before they have been read
	announcements   map[fleet.ModelID]weightupdate.Announcements
	targets         targets
	members         members
	evacuations     evacuations
	rollouts        rollouts
	bounds          platform.Bounds
	leaving         bool
	serving         bool   // a view with a configuration was published
	registeredIn    uint64 // era of the store in which this host's entry was written; zero while it is not

	// The planner's duty.
	duty          election.Duty
	planning      bool        // last value passed to OnPlanningChange
	reportedEpoch fleet.Epoch // last epoch passed to OnPlanningChange
	planningSince fleet.Instant
	dutyWriting   bool          // a write of the duty's object is under way
	lastDutyWrite fleet.Instant // start of the last write
	dutyReading   bool          // a read of the duty's object is under way
	lastDutyRead  fleet.Instant // start of the last read
	vacantSince   fleet.Instant // when this host found the duty vacant; zero if it has not, or cannot plan
	// vacantRevision is the revision of the duty's object at vacantSince.
	vacantRevision fleet.Revision

	cutOffSince fleet.Instant // when this host was found to be cut off; zero while it is not
	handOvers   atomic.Int64  // of the duty, since this host was cut off

	// Heartbeats.
	sent             sentHeartbeats
	lastFollower     fleet.Instant          // last heartbeat of a host that watches the store and reaches it
	lastWatcherReply fleet.Instant          // last reply of a host that watches the store
	lastPlannerReply fleet.Instant          // last reply of the planner
	live             liveList               // hosts that callers may be sent to; kept while this host is the planner
	packed           map[string]packedReply // last reply to a request for changes, by kind
}

// View returns the current view. It is empty before the first one is published.
func (c *Control) View() *view.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return new(view.View)
}

// MayPlan reports whether the host may plan now, with or without a lease.
func (c *Control) MayPlan() bool {
	now := int64(c.Clock())
	return now < c.tenureEnd.Load() || now < c.planWithoutLeaseUntil.Load()
}

// HoldsDuty reports whether the host holds the planner's duty now, and may
// therefore free parts of cache stores.
func (c *Control) HoldsDuty() bool { return int64(c.Clock()) < c.tenureEnd.Load() }

// MayOrder reports whether the host may send orders to targets now.
func (c *Control) MayOrder() bool {
	now := int64(c.Clock())
	return now < c.tenureEnd.Load() && c.orderFrom.Load() <= now && now < c.orderUntil.Load()
}

// TenureEnd returns the end of this host's tenure unless it is renewed.
func (c *Control) TenureEnd() fleet.Instant { return fleet.Instant(c.tenureEnd.Load()) }

// RosterCurrent reports whether the host knows the targets of now, but for changes of the last
// rosterAge: it reads the store, or hears from a host that does, and those that are missing in
// the store have left. That is not certain for a while after an outage and after the store came
// back from a copy, which any call may have noticed before the roster was read again.
func (c *Control) RosterCurrent() bool {
	now := int64(c.Clock())
	return now < c.rosterCurrentTill.Load() && now >= c.rosterCertainFrom.Load() &&
		!c.storeOutageShared.Load() && c.Store.Era() <= c.rosterEra.Load()
}

// Run owns the control state until the context ends.
func (c *Control) Run(ctx context.Context) {
	c.runCtx, c.started = ctx, c.Clock()
	c.initInbox()
	c.replicas = make(map[string]*replica.Replica)
	c.malformedRevisions = make(map[string]fleet.Revision)
	c.packed = make(map[string]packedReply)
	c.announcements = make(map[fleet.ModelID]weightupdate.Announcements)
	c.bounds = c.Settings.Bounds
	// The lists that the host reads now are as fresh as a reply.
	c.lastWatcherReply, c.lastPlannerReply = c.Clock().Add(startGrace), c.Clock()
	c.duty = election.Duty{Self: c.Settings.Host, Address: c.Settings.Peers}
	for _, kind := range c.kinds() {
		c.replicas[kind] = new(replica.Replica)
		c.tasks.Go(ctx, func(ctx context.Context) { c.follow(ctx, kind) })
	}
	c.tasks.Go(ctx, c.register)
	c.readDuty(ctx, c.Clock())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.tasks.Wait()
			return
		case f := <-c.inbox:
			f(c.Clock())
		case <-ticker.C:
			c.tick(ctx, c.Clock())
		}
	}
}

// initInbox makes the inbox on its first call. Messages may arrive before Run is
// called.
func (c *Control) initInbox() {
	c.once.Do(func() { c.inbox = make(chan func(fleet.Instant), inboxSize) })
}

// enqueue queues f for the control goroutine and does not wait for it to run. If
// the context ends while the inbox is full, f is dropped; if it has ended before the
// call, f may be dropped.
func (c *Control) enqueue(ctx context.Context, f func(now fleet.Instant)) {
	c.initInbox()
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	}
}

// enqueueAndWait runs f on the control goroutine and waits until it has returned. It
// reports false if the context ends first.
func (c *Control) enqueueAndWait(ctx context.Context, f func(now fleet.Instant)) bool {
	done := make(chan struct{})
	c.enqueue(ctx, func(now fleet.Instant) {
		f(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// tick does the work that is due by time: the duty, heartbeats, and the expiry of
// targets, hosts and their entries.
func (c *Control) tick(ctx context.Context, now fleet.Instant) {
	c.watching.Store(c.planning || c.silent(now, c.lastWatcherReply))
	c.rosterCurrentTill.Store(int64(max(c.lastStoreAnswer, min(c.lastWatcherReply, now)).Add(rosterAge)))
	c.rosterCertainFrom.Store(int64(c.targets.uncertainUntil))
	c.rosterEra.Store(c.targets.era)
	c.logRestore()
	c.noteCutOff(now)
	c.readDuty(ctx, now)
	c.writeDutyIfDue(ctx, now)
	c.sendHeartbeats(ctx, now)
	if c.targets.expire(now) {
		c.publish()
	}
	if c.evacuations.expire(now) {
		c.Log.Info().Interface("DataCentres", c.evacuations.list()).Msg("evacuations changed: one that the restored object store lacks was not written again")
		c.publish()
	}
	if c.rollouts.expire(now) {
		c.Log.Info().Msg("orders of roll-outs changed: one that the restored object store lacks was not written again")
		c.publish()
	}
	if c.members.expire(now, c) {
		c.publish()
	}
	c.members.dropMissing(now)
	c.removeDeadEntries(ctx, now)
}

// logRestore logs that the store has come back from a copy.
func (c *Control) logRestore() {
	era := c.Store.Era()
	if era == c.era {
		return
	}
	if c.era > 0 {
		c.Log.Warn().Uint64("Era", era).Uint64("Before", c.era).
			Msg("the object store was restored from a copy: it has lost changes, and gives out their revisions again")
	}
	c.era = era
}

// Leave removes the host from those that callers are sent to, and resigns the
// duty in favour of a host that is likely to stay.
func (c *Control) Leave(ctx context.Context) {
	c.enqueueAndWait(ctx, func(now fleet.Instant) {
		c.leaving = true
		c.publish()
		c.resign(ctx, now, c.members.heir(now, c.Self.ID), 0)
	})
}

// SetBounds applies the bounds of reloaded settings.
func (c *Control) SetBounds(ctx context.Context, bounds platform.Bounds) {
	c.enqueue(ctx, func(fleet.Instant) { c.bounds = bounds })
}

// publish builds and publishes a new view. Before the host knows what restricts the use of targets, the view has no
// configuration, so that the host neither serves nor plans yet.
func (c *Control) publish() {
	hosts := c.callerHosts()
	if c.planning {
		c.live.set(hosts)
	}
	v := &view.View{
		Targets: c.targets.list(), Removed: c.targets.removedIDs(), Evacuated: c.evacuations.list(), Weights: maps.Clone(c.announcements),
		Hosts: hosts, Duty: c.duty.Record(), Leaving: c.leaving,
	}
	if c.knowsRestrictions() {
		v.Table = c.table
	}
	if v.Table != nil && !c.serving {
		c.serving = true
		c.Log.Info().Uint64("Number", uint64(v.Table.Number)).Int("Targets", len(v.Targets)).Int("Weights", len(v.Weights)).Strs("Unread", c.unread()).
			Msg("serving: the first configuration is in force")
	}
	if c.Settings.Bounds.ExposeShare > 0 {
		v.Rollouts = c.rollouts.list()
	}
	c.view.Store(v.Freeze())
	if c.OnPublish != nil {
		c.OnPublish(v)
	}
}

// logMalformed logs an object that cannot be decoded, once per revision.
func (c *Control) logMalformed(o platform.Object, err error) {
	name := o.Kind + "/" + o.Name
	if c.malformedRevisions[name] == o.Revision {
		return
	}
	c.malformedRevisions[name] = o.Revision
	c.Log.Warn().Err(err).Str("Object", name).Uint64("Revision", uint64(o.Revision.Number)).
		Msg("ignored malformed object in the object store")
}
