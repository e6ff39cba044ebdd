// Package keeper does the work of a target's keeper: it is the one place
// through which all work for that target passes.
//
// A Set holds the keepers of the targets that this host holds the duty for. A
// Keeper admits work within the target's limits, decides which cache blocks to
// fetch, dispatches, and passes the answer on piece by piece.
//
// Invariant: a keeper sends work to its target only after it has checked, as
// the last thing before, that the host's lease runs, that the duty is its own
// and that the target is in service.
package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/contract"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/wire"
)

// A Set is the keepers of one host. Fill in the exported fields, then call
// Run.
type Set struct {
	Control     *control.Control
	Pool        *peer.Pool
	Ledger      *Ledger
	CacheSecret cache.Secret // from which workspaces' secrets are derived
	Clock       fleet.Clock
	Metrics     *meter.Metrics
	Log         zerolog.Logger
	Limits      Limits

	mu           sync.Mutex
	ctx          context.Context // of Run
	keepers      map[fleet.TargetID]*Keeper
	slots        rollout.Slots
	weightsEpoch fleet.Epoch // of the weights duty as last seen
	tasks        task.Group
	inFlight     atomic.Int64
}

// Limits are the settings of a Set.
type Limits struct {
	MaxQueueLen int           // requests that may wait for one target
	CallTimeout time.Duration // of one service call
	IdleTimeout time.Duration // between two pieces of an answer
}

const (
	reconcileInterval = 500 * time.Millisecond
	// takeoverMargin covers what a former keeper sent just before it stopped.
	takeoverMargin = 500 * time.Millisecond
)

// Run keeps the set in step with the host's duties until the context ends and
// all its work is over.
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

// reconcile starts keepers for new duties, so that they know their targets
// before the first request, and stops those that are no longer this host's.
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

// lookup returns the keeper of a target that this host may act for.
func (s *Set) lookup(id fleet.TargetID) (*Keeper, *declaration.Target, error) {
	view := s.Control.View()
	if view == nil || !s.Control.MayAct() {
		return nil, nil, fleet.Refuse(fleet.ReasonConfigurationStale, "lease does not run")
	}
	target, ok := view.Declaration.Targets[id]
	if !ok {
		return nil, nil, fleet.Refuse(fleet.ReasonNoTarget, string(id))
	}
	epoch, ok := view.HeldEpoch(target)
	if !ok {
		return nil, nil, fleet.Refuse(fleet.ReasonNotHolder, string(id))
	}
	if !view.Declaration.TargetInService(target) {
		return nil, nil, fleet.Refuse(fleet.ReasonHostLeaving, string(id))
	}
	keeper := s.ensureKeeper(target, epoch)
	if keeper == nil {
		return nil, nil, fleet.Refuse(fleet.ReasonNotHolder, string(id))
	}
	return keeper, target, nil
}

// checkDispatch is the check right before each send.
func (s *Set) checkDispatch(keeper *Keeper) error {
	current, _, err := s.lookup(keeper.id)
	if err != nil {
		return err
	}
	if current != keeper {
		return fleet.Refuse(fleet.ReasonNotHolder, "duty was taken anew")
	}
	return nil
}

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

// HandleSlot grants or releases a slot for a weight load. It is called on the holder of the
// weights duty.
func (s *Set) HandleSlot(ask wire.SlotRequest) (wire.SlotResponse, error) {
	view := s.Control.View()
	if view == nil || !s.Control.MayAct() {
		return wire.SlotResponse{}, fleet.Refuse(fleet.ReasonConfigurationStale, "lease does not run")
	}
	owner, ok := view.WeightsHolder()
	target, declared := view.Declaration.Targets[ask.Target]
	if !ok || owner.Member != view.Self || !declared {
		return wire.SlotResponse{}, fleet.Refuse(fleet.ReasonNotHolder, "weights")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner.Epoch != s.weightsEpoch {
		s.weightsEpoch = owner.Epoch
		s.slots = rollout.Slots{}
		if owner.Epoch > 1 {
			s.slots.TakeOver(s.Clock())
		}
	}
	if ask.Over {
		s.slots.Release(ask.Target)
		return wire.SlotResponse{}, nil
	}
	siblings := len(view.Declaration.TargetsByModel(target.Model))
	return wire.SlotResponse{Granted: s.slots.Grant(s.Clock(), target.ID, target.Model, siblings)}, nil
}

// Statuses returns the state of all targets that this host keeps.
func (s *Set) Statuses() []contract.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make([]contract.Target, 0, len(s.keepers))
	for _, keeper := range s.keepers {
		statuses = append(statuses, keeper.status())
	}
	return statuses
}

// InFlight is how many requests of others and its own this host has under way at
// targets, those of duties that it has handed over included.
func (s *Set) InFlight() int64 { return s.inFlight.Load() }
