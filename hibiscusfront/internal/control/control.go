// Package control keeps what a host believes of the fleet.
//
// One goroutine owns that state. Others read the store, exchange heartbeats
// and decode messages, and hand it what they learn; after each change it
// publishes a frozen view for the traffic.
//
// The store counts each call of each host, so not every host watches it. The
// host that plans does; the others hear from it, by heartbeats that tell which
// revisions it knows, and ask it for what has changed. A host that hears from
// nobody who watches the store watches it itself. So a host that the store
// turns away is behind by a heartbeat and no more.
package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/fleet/wave"
	"hibiscuslb/hibiscusfront/internal/replica"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

// DutyName is the name of the object that says who plans.
const DutyName = "planner"

const (
	// tickInterval is the step of the control goroutine: renewals and heartbeats
	// are multiples of it.
	tickInterval = 25 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a host.
	heartbeatInterval = 300 * time.Millisecond
	// heartbeatTimeout is how long a host counts as alive after its last heartbeat.
	heartbeatTimeout = 1100 * time.Millisecond
	// watcherTimeout is how long a host relies on others to watch the store after
	// it last heard from one.
	watcherTimeout = 800 * time.Millisecond
	// deadEntryTimeout is how long after a host's last heartbeat its entry is
	// removed.
	deadEntryTimeout = 15 * time.Second
	// inboxSize is how many messages may wait for the control goroutine.
	inboxSize = 256
)

// replicatedKinds are the kinds of objects that every host follows.
var replicatedKinds = []string{
	platform.KindConfiguration, platform.KindTargets, platform.KindEvacuations, platform.KindWeights,
	platform.KindHosts,
}

// A Control is the control state of a host.
type Control struct {
	Settings platform.Settings
	Store    *platform.Store
	Peers    *peer.Pool
	Clock    fleet.Clock
	Log      zerolog.Logger
	Self     wire.Host
	// OnTenureChange is called, on the control goroutine, when the host begins to
	// plan (true) or ends.
	OnTenureChange func(epoch fleet.Epoch, planning bool)
	// OnPublish is called, on the control goroutine, after a new view.
	OnPublish func(*view.View)
	// OnHostLost is called, on the control goroutine, when a host is lost.
	OnHostLost func(fleet.HostID)
	// WantsOrders reports whether the host wants to give orders.
	WantsOrders func() bool

	view atomic.Pointer[view.View]
	// Instants, for other goroutines: the end of the own tenure, that of
	// planning without one, and the span in which orders are allowed.
	tenureEnd, degradedUntil atomic.Int64
	orderFrom, orderUntil    atomic.Int64

	watching  atomic.Bool // the host watches the store
	storeDown atomic.Bool // the store does not answer

	once   sync.Once
	runCtx context.Context // of Run, for what outlives the message that began it
	inbox  chan func(now fleet.Instant)
	tasks  task.Group

	// What the host knows of the store's objects.
	replicas           map[string]*replica.Replica
	malformedRevisions map[string]fleet.Version // revisions of objects that can not be read
	lastStoreAnswer    fleet.Instant            // last answer of the store
	outage             bool

	// What the host believes by them.
	table       *route.Table
	weightsRead bool // whether weights were read before
	namings     map[fleet.ModelID]wave.Announcements
	targets     targets
	members     members
	bounds      platform.Bounds
	leaving     bool

	// The planner's duty.
	duty          tenure.Duty
	planning      bool          // whether OnTenureChange was told that the host plans
	reportedEpoch fleet.Epoch   // that OnTenureChange was told
	planningSince fleet.Instant // of planning
	dutyWriting   bool          // a write of the duty's object is under way
	lastDutyWrite fleet.Instant // when it was last begun
	dutyReading   bool          // a read of the duty's object is under way
	lastDutyRead  fleet.Instant // when it was last begun
	vacantSince   fleet.Instant // since when the duty could be taken over

	// Heartbeats.
	sent             sentHeartbeats
	lastWatcherReply fleet.Instant          // last pulse of a host that watches the store
	lastPlannerReply fleet.Instant          // last pulse of the planner
	liveVersion      wire.MembershipVersion // of the list of live hosts that this host tells as the planner
	liveHosts        []wire.Host
}

// View returns the current view; never nil once Run has begun.
func (c *Control) View() *view.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return new(view.View)
}

// MayPlan reports whether the host may plan right now.
func (c *Control) MayPlan() bool {
	now := int64(c.Clock())
	return now < c.tenureEnd.Load() || now < c.degradedUntil.Load()
}

// HoldsDuty reports whether the host holds the planner's duty right now, and may
// therefore free parts of stores.
func (c *Control) HoldsDuty() bool { return int64(c.Clock()) < c.tenureEnd.Load() }

// MayOrder reports whether the host may give orders right now.
func (c *Control) MayOrder() bool {
	now := int64(c.Clock())
	return now < c.tenureEnd.Load() && c.orderFrom.Load() <= now && now < c.orderUntil.Load()
}

// TenureEnd is the end of the own tenure unless it is renewed.
func (c *Control) TenureEnd() fleet.Instant { return fleet.Instant(c.tenureEnd.Load()) }

// Run keeps the state until the context ends.
func (c *Control) Run(ctx context.Context) {
	c.runCtx = ctx
	c.open()
	c.replicas = make(map[string]*replica.Replica)
	c.malformedRevisions = make(map[string]fleet.Version)
	c.namings = make(map[fleet.ModelID]wave.Announcements)
	c.bounds = c.Settings.Bounds
	c.lastWatcherReply, c.lastPlannerReply = c.Clock(), c.Clock()
	c.duty = tenure.Duty{Self: c.Settings.Host, Address: c.Settings.Peers}
	for _, kind := range replicatedKinds {
		c.replicas[kind] = new(replica.Replica)
		c.tasks.Go(ctx, func(ctx context.Context) { c.follow(ctx, kind) })
	}
	c.tasks.Go(ctx, c.register)
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

// open makes the inbox: messages may come before Run does.
func (c *Control) open() { c.once.Do(func() { c.inbox = make(chan func(fleet.Instant), inboxSize) }) }

// do runs f on the control goroutine, unless the context ends first.
func (c *Control) do(ctx context.Context, f func(now fleet.Instant)) {
	c.open()
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	}
}

// ask runs f on the control goroutine and waits for its end.
func (c *Control) ask(ctx context.Context, f func(now fleet.Instant)) bool {
	done := make(chan struct{})
	c.do(ctx, func(now fleet.Instant) {
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

func (c *Control) tick(ctx context.Context, now fleet.Instant) {
	c.watching.Store(c.planning || now.Sub(c.lastWatcherReply) > watcherTimeout+c.standbyDelay())
	c.readDuty(ctx, now)
	c.renew(ctx, now)
	c.sendHeartbeats(ctx, now)
	if c.targets.expire(now) {
		c.publish()
	}
	if c.members.expire(now, c) {
		c.publish()
	}
	c.removeDeadEntries(ctx, now)
}

// Leave takes the host out of what callers are told, and gives the duty up.
func (c *Control) Leave(ctx context.Context) {
	c.ask(ctx, func(now fleet.Instant) {
		c.leaving = true
		c.publish()
		c.resign(ctx, now)
	})
}

// SetBounds takes the bounds of new settings.
func (c *Control) SetBounds(ctx context.Context, bounds platform.Bounds) {
	c.do(ctx, func(fleet.Instant) { c.bounds = bounds })
}

// publish builds and publishes the view.
func (c *Control) publish() {
	hosts := c.callerHosts()
	if c.planning && !slices.Equal(hosts, c.liveHosts) {
		c.liveVersion.Number++
		c.liveHosts = hosts
	}
	v := &view.View{
		Table: c.table, Targets: c.targets.list(), Evacuated: c.evacuated(), Weights: maps.Clone(c.namings),
		Hosts: hosts, Duty: c.duty.Record(), Leaving: c.leaving,
	}
	c.view.Store(v.Freeze())
	if c.OnPublish != nil {
		c.OnPublish(v)
	}
}

// malformed logs an object that can not be read, once for each of its revisions.
func (c *Control) logMalformed(o platform.Object, err error) {
	name := o.Kind + "/" + o.Name
	if c.malformedRevisions[name] == o.Revision {
		return
	}
	c.malformedRevisions[name] = o.Revision
	c.Log.Warn().Err(err).Str("Object", name).Uint64("Revision", uint64(o.Revision)).
		Msg("object of another writer can not be read; it names nothing")
}
