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
	tickTime = 250 * time.Millisecond
	// beatsPerLease is how many heartbeats go out in the time of a lease.
	beatsPerLease = 5
	// settleTime is how long a duty must be misplaced before it is handed over,
	// so that a host that restarts quickly does not cause moves.
	settleTime   = 10 * time.Second
	watchWait    = 10 * time.Second
	watchRetry   = 500 * time.Millisecond
	callTime     = 3 * time.Second
	eventsQueued = 256
)

// A Control runs a host's control state. Fill in the exported fields, then
// call Run.
type Control struct {
	Host     Host
	Terms    lease.Terms
	Platform record.Client // reaches the platform, through others if need be
	Direct   record.Client // reaches the platform directly, for watches
	Pool     *peer.Pool
	Clock    fleet.Clock
	Log      zerolog.Logger

	view   atomic.Pointer[View]
	until  atomic.Int64 // end of the lease, as a fleet.Instant
	events chan event
	ready  chan struct{} // closed with the first View
	once   sync.Once

	// All below belongs to the control goroutine.
	holder     lease.Holder
	witness    lease.Witness
	member     lease.Member // own, as last confirmed
	registered bool
	started    fleet.Instant
	edition    *edition.Edition
	built      *declaration.Declaration
	members    duty.Members
	versions   map[fleet.HostID]fleet.Version
	books      map[fleet.DataCentreID]bookState
	takeovers  map[fleet.HostID]*lease.Takeover
	seenAt     map[fleet.HostID]fleet.Instant // when a member object last changed
	misplaced  map[duty.ID]fleet.Instant
	releasing  map[duty.ID]fleet.DataCentreID // handed over, not yet settled
	lastBeat   fleet.Instant
	leaving    bool
	dirty      bool // the view has to be published anew
	busy       map[callName]bool
	calls      task.Group
	process    string // random name of this process
}

type bookState struct {
	book    *duty.Book
	version fleet.Version
}

// beatTime is the time between two heartbeats.
func (c *Control) beatTime() time.Duration { return c.Terms.Length / beatsPerLease }

// suspectTime is how long a member may be silent before its witnesses begin to
// end it: one heartbeat short of a lease.
func (c *Control) suspectTime() time.Duration { return c.Terms.Length - c.beatTime() }

// event is something that the control goroutine has to handle.
type event interface {
	handle(context.Context, *Control)
}

// callName names a call that is under way, so that it is not made twice.
type callName string

// View returns the latest view. It is nil before the first one.
func (c *Control) View() *View { return c.view.Load() }

// Until returns the end of the lease.
func (c *Control) LeaseEnd() fleet.Instant { return fleet.Instant(c.until.Load()) }

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
		c.events = make(chan event, eventsQueued)
		c.ready = make(chan struct{})
		c.members = make(duty.Members)
		c.versions = make(map[fleet.HostID]fleet.Version)
		c.books = make(map[fleet.DataCentreID]bookState)
		c.takeovers = make(map[fleet.HostID]*lease.Takeover)
		c.seenAt = make(map[fleet.HostID]fleet.Instant)
		c.misplaced = make(map[duty.ID]fleet.Instant)
		c.releasing = make(map[duty.ID]fleet.DataCentreID)
		c.busy = make(map[callName]bool)
		c.started = c.Clock()
		c.edition = &edition.Edition{Document: declaration.Document{}}
		c.built, _ = declaration.Build(c.edition.Document, time.Now())
		c.process = rand.Text()
		c.witness = lease.Witness{Terms: c.Terms, Self: lease.Seat{Host: c.Host.ID}, Started: c.started}
	})
}

// Run handles events until the context ends.
func (c *Control) Run(ctx context.Context) {
	c.init()
	var watching task.Group
	watching.Go(ctx, c.watch)
	defer c.calls.Wait()
	defer watching.Wait()
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.until.Store(0)
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
func (c *Control) start(ctx context.Context, name callName, call func(context.Context) event) {
	if c.busy[name] {
		return
	}
	c.busy[name] = true
	c.calls.Go(ctx, func(ctx context.Context) {
		calling, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		c.post(ctx, ended{name, call(calling)})
	})
}

// ended is the end of a call.
type ended struct {
	name   callName
	result event
}

func (e ended) handle(ctx context.Context, c *Control) {
	delete(c.busy, e.name)
	if e.result != nil {
		e.result.handle(ctx, c)
	}
}

func (c *Control) tick(ctx context.Context) {
	now := c.Clock()
	switch {
	case c.holder.Ended():
		c.reset()
	case !c.registered:
		c.register(ctx)
	default:
		c.beat(ctx, now)
		c.renew(ctx, now)
		c.endSilent(ctx, now)
		c.assign(ctx, now)
	}
	c.pursue(ctx, now)
	c.rebuild(false)
}

// publish shows the lease's end and, if anything changed, a new view.
func (c *Control) publish() {
	c.until.Store(int64(c.holder.Until()))
	if !c.dirty {
		return
	}
	c.dirty = false
	view := &View{
		Self: c.holder.Self, Declaration: c.built, Version: c.edition.Number, Leaving: c.leaving,
		Members: make(duty.Members, len(c.members)),
		Books:   make(map[fleet.DataCentreID]*duty.Book, len(c.books)),
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
