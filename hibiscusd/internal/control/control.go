package control

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/declstore"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/task"
)

// A Host identifies this host, as set in its settings.
type Host struct {
	ID           fleet.HostID
	DataCentre   fleet.DataCentreID
	Region       fleet.RegionID
	CallerAddr   fleet.Address // where callers connect
	PeerAddr     fleet.Address // where other hosts connect
	OperatorAddr fleet.Address // where operators connect
}

const (
	// tickInterval is the time between two ticks.
	tickInterval = 250 * time.Millisecond
	// heartbeatsPerLease is the number of heartbeats sent per lease length.
	heartbeatsPerLease = 5
	// handOverDelay is how long another host must be preferred for a duty before
	// it is handed over, so that the quick restart of a host moves no duties.
	handOverDelay = 10 * time.Second
	// watchTimeout is the longest wait of one Watch.
	watchTimeout = 10 * time.Second
	// watchRetryDelay is the time until a failed List or Watch is repeated.
	watchRetryDelay = 500 * time.Millisecond
	// callTimeout bounds a call started by startCall.
	callTimeout    = 3 * time.Second
	eventQueueSize = 256 // events
)

// A Control manages a host's control state. Set the exported fields before calling
// Run.
type Control struct {
	Host     Host
	Timing   lease.Timing
	Platform objectstore.Client // falls back to other hosts if the platform does not answer
	Direct   objectstore.Client // connects to the platform only; used for watches
	Pool     *peer.Pool
	Clock    fleet.Clock
	Log      zerolog.Logger

	view     atomic.Pointer[View]
	leaseEnd atomic.Int64 // end of the lease, as a fleet.Instant
	events   chan event
	ready    chan struct{} // closed with the first View
	once     sync.Once

	// Only the control goroutine accesses the fields below.
	holder          lease.Holder  // of this host's own lease
	witness         lease.Witness // answers the heartbeats of other members
	member          lease.Member  // this host's own, as last confirmed by the platform
	registered      bool
	started         fleet.Instant
	revision        *declstore.Revision
	declaration     *declaration.Declaration
	members         duty.Members
	memberVersions  map[fleet.HostID]fleet.Version
	dutyTables      map[fleet.DataCentreID]tableState
	endAttempts     map[fleet.HostID]*lease.EndAttempt
	memberChangedAt map[fleet.HostID]fleet.Instant // when this host learned of the latest version
	misplacedSince  map[duty.ID]fleet.Instant      // held duties for which another host is preferred, and since when
	handingOver     map[duty.ID]fleet.DataCentreID // being handed over, outcome of the write unknown
	lastHeartbeat   fleet.Instant
	leaving         bool
	viewOutdated    bool // a new View has to be published
	activeCalls     map[callName]bool
	calls           task.Group
	processName     string // random; tells this process from others that ran on this host
}

// tableState is a duty table with the version of its object.
type tableState struct {
	table   *duty.Table
	version fleet.Version
}

// heartbeatInterval returns the time between two heartbeats.
func (c *Control) heartbeatInterval() time.Duration { return c.Timing.Length / heartbeatsPerLease }

// suspectTimeout returns how long a member may be silent before its witnesses
// begin to end it: one heartbeat interval less than the length of a lease.
func (c *Control) suspectTimeout() time.Duration { return c.Timing.Length - c.heartbeatInterval() }

// event is a message to the control goroutine, which calls handle.
type event interface {
	handle(context.Context, *Control)
}

// callName identifies an asynchronous call. At most one call of a name runs at a
// time.
type callName string

// View returns the latest published view, or nil before the first one.
func (c *Control) View() *View { return c.view.Load() }

// LeaseEnd returns when this host's lease ends, as last published.
func (c *Control) LeaseEnd() fleet.Instant { return fleet.Instant(c.leaseEnd.Load()) }

// MayAct reports whether the lease is valid now, so that the host may act for its
// duties and accept new requests.
func (c *Control) MayAct() bool { return c.Clock() < c.LeaseEnd() }

// Ready returns a channel that is closed when the first view is published.
func (c *Control) Ready() <-chan struct{} {
	c.init()
	return c.ready
}

func (c *Control) init() {
	c.once.Do(func() {
		c.events = make(chan event, eventQueueSize)
		c.ready = make(chan struct{})
		c.members = make(duty.Members)
		c.memberVersions = make(map[fleet.HostID]fleet.Version)
		c.dutyTables = make(map[fleet.DataCentreID]tableState)
		c.endAttempts = make(map[fleet.HostID]*lease.EndAttempt)
		c.memberChangedAt = make(map[fleet.HostID]fleet.Instant)
		c.misplacedSince = make(map[duty.ID]fleet.Instant)
		c.handingOver = make(map[duty.ID]fleet.DataCentreID)
		c.activeCalls = make(map[callName]bool)
		c.started = c.Clock()
		c.revision = &declstore.Revision{Document: declaration.Document{}}
		c.declaration, _ = declaration.Build(c.revision.Document, time.Now())
		c.processName = rand.Text()
		c.witness = lease.Witness{Timing: c.Timing, Self: lease.MemberID{Host: c.Host.ID}, Started: c.started}
	})
}

// Run handles events until the context ends. It then sets the published end of
// the lease to zero, so that MayAct is false, and waits for the calls in progress.
func (c *Control) Run(ctx context.Context) {
	c.init()
	var watching task.Group
	watching.Go(ctx, c.watchObjects)
	defer c.calls.Wait()
	defer watching.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.leaseEnd.Store(0)
			return
		case e := <-c.events:
			e.handle(ctx, c)
		case <-ticker.C:
			c.tick(ctx)
		}
		c.publish()
	}
}

// post queues an event for the control goroutine. The event may be lost once the
// context has ended.
func (c *Control) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// startCall runs a call in its own goroutine, unless a call of the same name is
// running. The event that the call returns, if any, is handled when it ends.
func (c *Control) startCall(ctx context.Context, name callName, call func(context.Context) event) {
	if c.activeCalls[name] {
		return
	}
	c.activeCalls[name] = true
	c.calls.Go(ctx, func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		c.post(ctx, callEnded{name, call(callCtx)})
	})
}

// callEnded reports that the named call has returned result, which may be nil.
type callEnded struct {
	name   callName
	result event
}

func (e callEnded) handle(ctx context.Context, c *Control) {
	delete(c.activeCalls, e.name)
	if e.result != nil {
		e.result.handle(ctx, c)
	}
}

// tick starts the periodic work that is due at this moment.
func (c *Control) tick(ctx context.Context) {
	now := c.Clock()
	switch {
	case c.holder.Ended():
		c.resetIncarnation()
	case !c.registered:
		c.register(ctx)
	default:
		c.sendHeartbeats(ctx, now)
		c.renewMembership(ctx, now)
		c.endSilentMembers(ctx, now)
		c.assignDuties(ctx, now)
	}
	c.advanceEndAttempts(ctx, now)
	c.rebuildDeclaration(false)
}

// publish publishes the end of the lease and, if the state has changed, a new
// view.
func (c *Control) publish() {
	c.leaseEnd.Store(int64(c.holder.ValidUntil()))
	if !c.viewOutdated {
		return
	}
	c.viewOutdated = false
	view := &View{
		Self: c.holder.Self, Declaration: c.declaration, Version: c.revision.Number, Leaving: c.leaving,
		Members:    make(duty.Members, len(c.members)),
		DutyTables: make(map[fleet.DataCentreID]*duty.Table, len(c.dutyTables)),
	}
	for id, member := range c.members {
		view.Members[id] = member
	}
	for id, state := range c.dutyTables {
		view.DutyTables[id] = state.table
	}
	for id := range c.handingOver {
		view.HandingOver = append(view.HandingOver, id)
	}
	if c.view.Swap(view) == nil {
		close(c.ready)
	}
}
