// Package keeper implements the keepers of targets. The keeper of a target is on
// the host that holds the target's duty, and all requests for the target pass
// through it.
//
// A Set holds the keepers of the targets whose duties this host holds. A Keeper
// admits requests within the target's limits, decides which cache blocks to
// import, dispatches requests, and streams answers back. An order is a call of a
// plain service; OrderLogs records the claims and outcomes of orders that must not
// run twice.
//
// Invariant: immediately before it sends a request to its target, a keeper checks
// that the host's lease is valid, that the host still holds the duty in the same
// epoch, and that the target is in service.
package keeper

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

// Set manages the keepers of one host. Set the exported fields, then call Run.
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
	keepers      map[fleet.TargetID]*Keeper
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
	// takeoverMargin covers requests that the previous keeper sent just before it
	// stopped and that the target had not yet received.
	takeoverMargin = 500 * time.Millisecond
)

// Run starts and stops keepers as the host's duties change. When ctx is done, it
// waits for the keepers to return.
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

// reconcile starts keepers for new duties, so that they have fetched their
// targets' reports before the first request arrives, and stops the keepers of
// duties that this host no longer holds.
func (s *Set) reconcile() {
	view := s.Control.View()
	if view == nil {
		return
	}
	for _, target := range view.Declaration.Targets {
		if epoch, ok := view.HeldEpoch(target); ok {
			s.ensureKeeper(target, epoch)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, keeper := range s.keepers {
		target, declared := view.Declaration.Targets[id]
		epoch, held := fleet.Epoch(0), false
		if declared {
			epoch, held = view.HeldEpoch(target)
		}
		if !held || epoch != keeper.epoch {
			keeper.stop()
			delete(s.keepers, id)
		}
	}
}

// lookup returns the keeper of a target, or a refusal if this host may not act for
// the target now.
func (s *Set) lookup(id fleet.TargetID) (*Keeper, *declaration.Target, error) {
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
	keeper := s.ensureKeeper(target, epoch)
	if keeper == nil {
		return nil, nil, fleet.Refuse(fleet.ReasonNotHolder, "no keeper is running on this host for target "+string(id))
	}
	return keeper, target, nil
}

// checkDispatch returns a refusal if the keeper may not send to its target now. It
// must be called immediately before each send.
func (s *Set) checkDispatch(keeper *Keeper) error {
	current, _, err := s.lookup(keeper.id)
	if err != nil {
		return err
	}
	if current != keeper {
		return fleet.Refuse(fleet.ReasonNotHolder, "duty of target "+string(keeper.id)+" was reassigned before dispatch")
	}
	return nil
}

// ensureKeeper returns the keeper of a target for an epoch of its duty and starts
// it if needed. It returns nil if the set is not running.
func (s *Set) ensureKeeper(target *declaration.Target, epoch fleet.Epoch) *Keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == nil || s.ctx.Err() != nil {
		return nil
	}
	if s.keepers == nil {
		s.keepers = make(map[fleet.TargetID]*Keeper)
	}
	if keeper, ok := s.keepers[target.ID]; ok && keeper.epoch >= epoch {
		keeper.setDeclaration(target)
		return keeper
	}
	keeper := newKeeper(s, target, epoch)
	ctx, cancel := context.WithCancel(s.ctx)
	keeper.stop = cancel
	s.keepers[target.ID] = keeper
	s.tasks.Go(ctx, keeper.run)
	return keeper
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

// Statuses returns the states of all targets whose keepers are on this host.
func (s *Set) Statuses() []operatorapi.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]operatorapi.Target, 0, len(s.keepers))
	for _, keeper := range s.keepers {
		statuses = append(statuses, keeper.status())
	}
	return statuses
}

// InFlight returns the number of requests, from this host and from others, that
// the keepers are serving, including those of duties that were handed over since.
func (s *Set) InFlight() int64 { return s.inFlight.Load() }
