package planner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// A RolloutStore stores the state of roll-outs.
type RolloutStore interface {
	// WriteRolloutRecord writes a record in place of the object's revision.
	WriteRolloutRecord(ctx context.Context, revision fleet.Revision, record rollout.Record) (platform.Object, error)
	// WriteRolloutStatus writes the status of an order, if the object is unchanged.
	WriteRolloutStatus(ctx context.Context, order platform.Object, state platform.RolloutState) (platform.Object, error)
}

var _ RolloutStore = (*platform.Store)(nil)

// rolloutRetryPause is the time after a write that failed. Writes are priced.
const rolloutRetryPause = 200 * time.Millisecond

// rollouts is the planner's side of roll-outs: what has been read and written.
type rollouts struct {
	orders   map[route.ServiceID]view.Rollout
	statuses map[route.ServiceID]*statusWrite
	pauses   map[route.ServiceID]fleet.Instant // ends of pauses after failed writes of records
	logged   map[route.ServiceID]loggedStage
	list     atomic.Pointer[[]plan.RolloutSummary]
}

// statusWrite is the state of the writes of an order's status.
type statusWrite struct {
	writing bool
	pause   fleet.Instant   // no write before
	object  platform.Object // as last written or found
}

// loggedStage is what was logged last of a roll-out.
type loggedStage struct {
	order rollout.Order
	stage rollout.Stage
	share float64
}

// stop forgets the writes of a tenure.
func (r *rollouts) stop() {
	r.statuses, r.pauses, r.logged = nil, nil, nil
	r.list.Store(nil)
}

// followRollouts takes over what the object store holds of roll-outs.
func (p *Planner) followRollouts(now fleet.Instant, v *view.View) {
	if v.Rollouts == nil {
		return
	}
	p.rollouts.orders = v.Rollouts
	known := make(map[route.ServiceID]rollout.Known, len(v.Rollouts))
	for id, r := range v.Rollouts {
		known[id] = r.Known
	}
	p.fleet.SetRollouts(now, known)
}

// dispatchRollouts starts the writes that roll-outs require. Without the duty nothing is
// written: what was not reserved can't be used, and no stage changes.
func (p *Planner) dispatchRollouts(ctx context.Context, now fleet.Instant) {
	if len(p.rollouts.orders) == 0 || !p.active {
		return
	}
	if p.rollouts.statuses == nil {
		p.rollouts.statuses = make(map[route.ServiceID]*statusWrite)
		p.rollouts.pauses = make(map[route.ServiceID]fleet.Instant)
		p.rollouts.logged = make(map[route.ServiceID]loggedStage)
	}
	for _, write := range p.fleet.DueRollouts(now) {
		service := write.Record.Order.Service
		if p.Rollouts == nil || !p.Permissions.HoldsDuty() || now < p.rollouts.pauses[service] {
			p.fleet.RecordRollout(now, write, false, nil, fleet.Revision{})
			continue
		}
		epoch := p.epoch
		p.tasks.Go(ctx, func(ctx context.Context) { p.writeRollout(ctx, epoch, write) })
	}
	list := p.fleet.Rollouts()
	for _, s := range list {
		p.logRollout(s)
		p.writeStatusIfDue(ctx, now, s)
	}
	p.rollouts.list.Store(&list)
}

// writeRollout writes the record of a roll-out in the tenure of the epoch.
func (p *Planner) writeRollout(ctx context.Context, epoch fleet.Epoch, write plan.RolloutWrite) {
	o, err := p.Rollouts.WriteRolloutRecord(ctx, write.Revision, write.Record)
	p.enqueue(ctx, func(now fleet.Instant) {
		if !p.active || p.epoch != epoch {
			return
		}
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			p.fleet.RecordRollout(now, write, true, nil, o.Revision)
			return
		case errors.As(err, &conflict):
			var found *rollout.Record
			if record, decodeErr := platform.DecodeRolloutRecord(conflict.Current); decodeErr == nil {
				found = &record
			}
			p.fleet.RecordRollout(now, write, false, found, conflict.Current.Revision)
		default:
			p.fleet.RecordRollout(now, write, false, nil, fleet.Revision{})
		}
		p.rollouts.pauses[write.Record.Order.Service] = now.Add(rolloutRetryPause)
		p.Log.Warn().Err(err).Str("Service", string(write.Record.Order.Service)).Stringer("Stage", write.Record.Stage).Int("Reserved", write.Record.Reserved).
			Uint64("Epoch", uint64(epoch)).Msg("the state of a roll-out was not written; nothing beyond the stored state takes effect")
	})
}

// writeStatusIfDue writes the status of an order that differs from the stage of its roll-out.
func (p *Planner) writeStatusIfDue(ctx context.Context, now fleet.Instant, s plan.RolloutSummary) {
	service := s.Order.Service
	order := p.rollouts.orders[service]
	if order.Order == nil || *order.Order != s.Order || p.Rollouts == nil || !p.Permissions.HoldsDuty() {
		return
	}
	w, ok := p.rollouts.statuses[service]
	if !ok {
		w = new(statusWrite)
		p.rollouts.statuses[service] = w
	}
	object, status := order.Object, order.Status
	if w.object.Revision.After(object.Revision) {
		// The host has not read what it wrote itself, or what a conflict has shown.
		if found, err := platform.DecodeRollout(w.object); err != nil || found.Order != s.Order {
			return
		} else {
			object, status = w.object, found.Status
		}
	}
	state := platform.RolloutStateOf(s.Stage)
	if w.writing || now < w.pause || status == (platform.RolloutStatus{State: state, To: s.Order.To}) {
		return
	}
	w.writing = true
	epoch := p.epoch
	p.tasks.Go(ctx, func(ctx context.Context) {
		written, err := p.Rollouts.WriteRolloutStatus(ctx, object, state)
		p.enqueue(ctx, func(now fleet.Instant) {
			if !p.active || p.epoch != epoch {
				return
			}
			w.writing = false
			p.Log.Info().AnErr("Cause", err).Str("Service", string(service)).Str("State", string(state)).Uint64("Revision", uint64(object.Revision.Number)).
				Uint64("Epoch", uint64(epoch)).Msg("wrote the status of a roll-out")
			var conflict *platform.ConflictError
			switch {
			case err == nil:
				w.object = written
			case errors.As(err, &conflict):
				w.object = conflict.Current
			default:
				w.pause = now.Add(rolloutRetryPause)
			}
		})
	})
}

// logRollout logs a change of a roll-out's stage or share.
func (p *Planner) logRollout(s plan.RolloutSummary) {
	current := loggedStage{s.Order, s.Stage, s.Share}
	if p.rollouts.logged[s.Order.Service] == current {
		return
	}
	p.rollouts.logged[s.Order.Service] = current
	p.Log.Info().Str("Service", string(s.Order.Service)).Str("To", string(s.Order.To)).Stringer("Stage", s.Stage).Float64("Share", s.Share).
		Int("Exposure", s.Exposure).Int("Bad", s.Bad).Str("Evidence", p.fleet.RolloutEvidence(s.Order.Service)).Str("Reason", s.Reason).Uint64("Epoch", uint64(p.epoch)).Msg("roll-out")
}

// RolloutList returns the roll-outs that this host runs as the planner, as of the last tick.
func (p *Planner) RolloutList() []plan.RolloutSummary {
	if list := p.rollouts.list.Load(); list != nil {
		return *list
	}
	return nil
}
