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
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/edition"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/record"
	"hibiscuslb/fleet/task"
)

// A Host is what a process knows of itself from its settings.
type Host struct {
	ID           fleet.HostID
	DataCentre   fleet.DataCentreID
	Region       fleet.RegionID
	CallerAddr   fleet.Address
	PeerAddr     fleet.Address
	OperatorAddr fleet.Address
}

const (
	tickInterval = 250 * time.Millisecond
	// beatsPerLease is how many heartbeats go out in the time of a lease.
	beatsPerLease = 5
	// settleTime is how long a duty must be misplaced before it is handed over,
	// so that a host that restarts quickly does not cause moves.
	handOverDelay   = 10 * time.Second
	watchTimeout    = 10 * time.Second
	watchRetryDelay = 500 * time.Millisecond
	callTimeout     = 3 * time.Second
	eventQueueSize  = 256
)

// A Control runs a host's control state. Fill in the exported fields, then
// call Run.
type Control struct {
	Host     Host
	Terms    lease.Timing
	Platform record.Client // reaches the platform, through others if need be
	Direct   record.Client // reaches the platform directly, for watches
	Pool     *peer.Pool
	Clock    fleet.Clock
	Log      zerolog.Logger

	view     atomic.Pointer[View]
	leaseEnd atomic.Int64 // end of the lease, as a fleet.Instant
	events   chan event
	ready    chan struct{} // closed with the first View
	once     sync.Once

	// All below belongs to the control goroutine.
	holder          lease.Holder
	witness         lease.Witness
	member          lease.Member // own, as last confirmed
	registered      bool
	started         fleet.Instant
	edition         *edition.Edition
	declaration     *declaration.Declaration
	members         duty.Members
	memberVersions  map[fleet.HostID]fleet.Version
	books           map[fleet.DataCentreID]bookState
	takeovers       map[fleet.HostID]*lease.Takeover
	memberChangedAt map[fleet.HostID]fleet.Instant // when a member object last changed
	misplacedSince  map[duty.ID]fleet.Instant
	releasing       map[duty.ID]fleet.DataCentreID // handed over, not yet settled
	lastBeat        fleet.Instant
	leaving         bool
	viewOutdated    bool // the view has to be published anew
	activeCalls     map[callName]bool
	calls           task.Group
	processName     string // random name of this process
}

type bookState struct {
	book    *duty.Table
	version fleet.Version
}

// beatTime is the time between two heartbeats.
func (c *Control) beatInterval() time.Duration { return c.Terms.Length / beatsPerLease }

// suspectTime is how long a member may be silent before its witnesses begin to
// end it: one heartbeat short of a lease.
func (c *Control) suspectTimeout() time.Duration { return c.Terms.Length - c.beatInterval() }

// event is something that the control goroutine has to handle.
type event interface {
	handle(context.Context, *Control)
}

// callName names a call that is under way, so that it is not made twice.
type callName string

// View returns the latest view. It is nil before the first one.
func (c *Control) View() *View { return c.view.Load() }

// Until returns the end of the lease.
func (c *Control) LeaseEnd() fleet.Instant { return fleet.Instant(c.leaseEnd.Load()) }

// MayAct reports whether the host may act for its duties, and take new work,
// at this moment.
func (c *Control) MayAct() bool { return c.Clock() < c.LeaseEnd() }

// Ready is closed when there is a view.
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
		c.books = make(map[fleet.DataCentreID]bookState)
		c.takeovers = make(map[fleet.HostID]*lease.Takeover)
		c.memberChangedAt = make(map[fleet.HostID]fleet.Instant)
		c.misplacedSince = make(map[duty.ID]fleet.Instant)
		c.releasing = make(map[duty.ID]fleet.DataCentreID)
		c.activeCalls = make(map[callName]bool)
		c.started = c.Clock()
		c.edition = &edition.Edition{Document: declaration.Document{}}
		c.declaration, _ = declaration.Build(c.edition.Document, time.Now())
		c.processName = rand.Text()
		c.witness = lease.Witness{Timing: c.Terms, Self: lease.MemberID{Host: c.Host.ID}, Started: c.started}
	})
}

// Run handles events until the context ends.
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

// post hands an event to the control goroutine.
func (c *Control) post(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// start makes a call beside the control goroutine unless the same one is under
// way. What the call returns is handled when it is over.
func (c *Control) startCall(ctx context.Context, name callName, call func(context.Context) event) {
	if c.activeCalls[name] {
		return
	}
	c.activeCalls[name] = true
	c.calls.Go(ctx, func(ctx context.Context) {
		calling, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		c.post(ctx, callEnded{name, call(calling)})
	})
}

// ended is the end of a call.
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

func (c *Control) tick(ctx context.Context) {
	now := c.Clock()
	switch {
	case c.holder.Ended():
		c.resetIncarnation()
	case !c.registered:
		c.register(ctx)
	default:
		c.sendBeats(ctx, now)
		c.renewMembership(ctx, now)
		c.endSilentMembers(ctx, now)
		c.assignDuties(ctx, now)
	}
	c.advanceTakeovers(ctx, now)
	c.rebuildDeclaration(false)
}

// publish shows the lease's end and, if anything changed, a new view.
func (c *Control) publish() {
	c.leaseEnd.Store(int64(c.holder.ValidUntil()))
	if !c.viewOutdated {
		return
	}
	c.viewOutdated = false
	view := &View{
		Self: c.holder.Self, Declaration: c.declaration, Version: c.edition.Number, Leaving: c.leaving,
		Members: make(duty.Members, len(c.members)),
		Books:   make(map[fleet.DataCentreID]*duty.Table, len(c.books)),
	}
	for id, member := range c.members {
		view.Members[id] = member
	}
	for id, state := range c.books {
		view.Books[id] = state.book
	}
	for id := range c.releasing {
		view.Releasing = append(view.Releasing, id)
	}
	if c.view.Swap(view) == nil {
		close(c.ready)
	}
}
