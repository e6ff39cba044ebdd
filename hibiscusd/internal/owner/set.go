// Package owner implements the ownership of targets. The owner of a target is the
// host that holds the target's duty. It is the target's one admission point: all
// requests for the target pass through it.
//
// A Set holds an Owner for each target that this host owns. An Owner admits requests
// within the target's limits, decides which cache blocks to import, dispatches
// requests, and streams answers back. An order is a call of a plain service;
// OrderLogs records the claims and outcomes of orders that must not run twice.
//
// Invariant: immediately before it sends a request to its target, an Owner checks
// that the host's lease is valid, that the host still holds the duty in the same
// epoch, and that the target is in service.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/loadslots"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/operatorapi"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/wire"
)

// A Set manages the targets that one host owns. Set the exported fields, then call
// Run.
type Set struct {
	Control     *control.Control
	Pool        *peer.Pool
	OrderLogs   *OrderLogs
	CacheSecret cache.Secret // the workspaces' cache secrets are derived from it
	Clock       fleet.Clock
	Metrics     *meter.Metrics
	Log         zerolog.Logger
	Limits      Limits

	mu           sync.Mutex
	ctx          context.Context // of Run; nil before that
	owners       map[fleet.TargetID]*Owner
	slots        loadslots.Slots
	weightsEpoch fleet.Epoch // epoch of the duty WeightLoading to which slots belongs
	tasks        task.Group
	inFlight     atomic.Int64
}

// Limits holds the limits of a Set.
type Limits struct {
	MaxQueueLen int           // queued requests of one target
	CallTimeout time.Duration // for one order
	IdleTimeout time.Duration // between two pieces of an answer
}

const (
	reconcileInterval = 500 * time.Millisecond
	// takeoverMargin covers requests that the previous owner sent just before it
	// stopped and that the target had not yet received.
	takeoverMargin = 500 * time.Millisecond
)

// Run starts and stops Owners as the host's duties change. When ctx is done, it
// waits for them to return.
func (s *Set) Run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.tasks.Wait()
			return
		case <-ticker.C:
			s.reconcile()
		}
	}
}

// reconcile starts Owners for new duties, so that they have fetched their targets'
// reports before the first request arrives, and stops the Owners of duties that this
// host no longer holds.
func (s *Set) reconcile() {
	view := s.Control.View()
	if view == nil {
		return
	}
	for _, target := range view.Declaration.Targets {
		if epoch, ok := view.HeldEpoch(target); ok {
			s.ensureOwner(target, epoch)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, owner := range s.owners {
		target, declared := view.Declaration.Targets[id]
		epoch, held := fleet.Epoch(0), false
		if declared {
			epoch, held = view.HeldEpoch(target)
		}
		if !held || epoch != owner.epoch {
			owner.stop()
			delete(s.owners, id)
		}
	}
}

// lookup returns the Owner of a target, or a refusal if this host may not act for
// the target now.
func (s *Set) lookup(id fleet.TargetID) (*Owner, *declaration.Target, error) {
	view := s.Control.View()
	if view == nil || !s.Control.MayAct() {
		return nil, nil, fleet.Refuse(fleet.ReasonConfigurationStale, "host's lease has expired or was not granted yet")
	}
	target, ok := view.Declaration.Targets[id]
	if !ok {
		return nil, nil, fleet.Refuse(fleet.ReasonNoTarget, "target "+string(id)+" is not declared")
	}
	epoch, ok := view.HeldEpoch(target)
	if !ok {
		return nil, nil, fleet.Refuse(fleet.ReasonNotHolder, "host does not hold the duty of target "+string(id))
	}
	if !view.Declaration.TargetInService(target) {
		return nil, nil, fleet.Refuse(fleet.ReasonHostLeaving, "target "+string(id)+" is out of service")
	}
	owner := s.ensureOwner(target, epoch)
	if owner == nil {
		return nil, nil, fleet.Refuse(fleet.ReasonNotHolder, "host holds the duty of target "+string(id)+" but does not serve targets, because it is starting or stopping")
	}
	return owner, target, nil
}

// checkDispatch returns a refusal if the Owner may not send to its target now. It
// must be called immediately before each send.
func (s *Set) checkDispatch(owner *Owner) error {
	current, _, err := s.lookup(owner.id)
	if err != nil {
		return err
	}
	if current != owner {
		return fleet.Refuse(fleet.ReasonNotHolder, "duty of target "+string(owner.id)+" was reassigned before dispatch")
	}
	return nil
}

// ensureOwner returns the Owner of a target for an epoch of its duty and starts
// it if needed. It returns nil if the set is not running.
func (s *Set) ensureOwner(target *declaration.Target, epoch fleet.Epoch) *Owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil
	}
	if s.owners == nil {
		s.owners = make(map[fleet.TargetID]*Owner)
	}
	if owner, ok := s.owners[target.ID]; ok && owner.epoch >= epoch {
		owner.setDeclaration(target)
		return owner
	}
	owner := newOwner(s, target, epoch)
	ctx, cancel := context.WithCancel(s.ctx)
	owner.stop = cancel
	s.owners[target.ID] = owner
	s.tasks.Go(ctx, owner.run)
	return owner
}

// HandleSlot grants or releases the slot of a target for a weight load. The host
// must hold the duty WeightLoading.
func (s *Set) HandleSlot(request wire.SlotRequest) (wire.SlotResponse, error) {
	view := s.Control.View()
	if view == nil || !s.Control.MayAct() {
		return wire.SlotResponse{}, fleet.Refuse(fleet.ReasonConfigurationStale, "host's lease has expired or was not granted yet")
	}
	holder, ok := view.WeightLoadingHolder()
	target, declared := view.Declaration.Targets[request.Target]
	if !ok || holder.Member != view.Self || !declared {
		return wire.SlotResponse{}, fleet.Refuse(fleet.ReasonNotHolder, "host does not hold the duty WeightLoading, or target "+string(request.Target)+" is not declared")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if holder.Epoch != s.weightsEpoch {
		s.weightsEpoch = holder.Epoch
		s.slots = loadslots.Slots{}
		if holder.Epoch > 1 {
			s.slots.TakeOver(s.Clock())
		}
	}
	if request.Over {
		s.slots.Release(request.Target)
		return wire.SlotResponse{}, nil
	}
	siblings := len(view.Declaration.TargetsByModel(target.Model))
	return wire.SlotResponse{Granted: s.slots.Grant(s.Clock(), target.ID, target.Model, siblings)}, nil
}

// Statuses returns the states of all targets that this host owns.
func (s *Set) Statuses() []operatorapi.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]operatorapi.Target, 0, len(s.owners))
	for _, owner := range s.owners {
		statuses = append(statuses, owner.status())
	}
	return statuses
}

// InFlight returns the number of requests, received by this host or forwarded by
// others, that this host is serving as an owner, including those of duties that it has
// handed over since.
func (s *Set) InFlight() int64 { return s.inFlight.Load() }
