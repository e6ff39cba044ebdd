package owner

import (
	"context"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusd/internal/wire"
)

// updateWeights starts loading the declared weight version if the target runs
// another one and the holder of the duty WeightLoading grants a slot. Requests that
// are already running keep the version with which they started.
func (o *Owner) updateWeights(ctx context.Context, tasks *task.Group) {
	view := o.set.Control.View()
	o.mu.Lock()
	declared, version, loading := o.target, o.version, o.loading
	o.mu.Unlock()
	model, ok := view.Declaration.Models[declared.Model]
	if !ok || declared.Kind != declaration.TargetKindEngine || version == "" || model.Version == "" ||
		model.Version == version || loading || o.set.checkDispatch(o) != nil {
		return
	}
	holder, ok := view.WeightLoadingHolder()
	if !ok {
		return
	}
	var answer wire.SlotResponse
	request := wire.SlotRequest{Target: declared.ID}
	if err := o.set.Pool.Call(ctx, holder.Address, wire.KindSlot, request, &answer); err != nil || !answer.Granted {
		return
	}
	o.beginLoad()
	tasks.Go(ctx, func(ctx context.Context) {
		client := engine.Client{Address: declared.Address}
		load := engine.Load{Version: model.Version, Fence: o.epoch}
		err := client.Load(ctx, load)
		o.endLoad(model.Version, err)
		request.Over = true
		// The error is ignored: a slot that is not released expires.
		_ = o.set.Pool.Call(ctx, holder.Address, wire.KindSlot, request, &answer)
		o.fetchReport(ctx)
	})
}

func (o *Owner) beginLoad() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = true
}

// endLoad records the end of a load. After a failure, the version is taken from
// the next report.
func (o *Owner) endLoad(version fleet.WeightVersion, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loading = false
	o.loadedAt = o.set.Clock()
	if err != nil {
		o.set.Log.Warn().Err(err).Str("Target", string(o.id)).Msg("could not load weights; the next report determines the version of the target")
		return
	}
	o.version = version
	o.mirror.Clear()
}

// loadedVersion returns the target's last known weight version, or "" if unknown.
func (o *Owner) loadedVersion() fleet.WeightVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}
