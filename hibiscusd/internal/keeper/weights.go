package keeper

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
func (k *Keeper) updateWeights(ctx context.Context, tasks *task.Group) {
	view := k.set.Control.View()
	k.mu.Lock()
	declared, version, busy := k.target, k.version, k.loading
	k.mu.Unlock()
	model, ok := view.Declaration.Models[declared.Model]
	if !ok || declared.Kind != declaration.TargetKindEngine || version == "" || model.Version == "" ||
		model.Version == version || busy || k.set.checkDispatch(k) != nil {
		return
	}
	holder, ok := view.WeightLoadingHolder()
	if !ok {
		return
	}
	var answer wire.SlotResponse
	request := wire.SlotRequest{Target: declared.ID}
	if err := k.set.Pool.Call(ctx, holder.Address, wire.KindSlot, request, &answer); err != nil || !answer.Granted {
		return
	}
	k.beginLoad()
	tasks.Go(ctx, func(ctx context.Context) {
		client := engine.Client{Address: declared.Address}
		load := engine.Load{Version: model.Version, Fence: k.epoch}
		err := client.Load(ctx, load)
		k.endLoad(model.Version, err)
		request.Over = true
		// The error is ignored: a slot that is not released expires.
		_ = k.set.Pool.Call(ctx, holder.Address, wire.KindSlot, request, &answer)
		k.fetchReport(ctx)
	})
}

func (k *Keeper) beginLoad() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading = true
}

// endLoad records the end of a load. After a failure, the version is taken from
// the next report.
func (k *Keeper) endLoad(version fleet.WeightVersion, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading = false
	k.loadedAt = k.set.Clock()
	if err != nil {
		k.set.Log.Warn().Err(err).Str("Target", string(k.id)).Msg("could not load weights; the next report determines the version of the target")
		return
	}
	k.version = version
	k.mirror.Clear()
}

// loadedVersion returns the target's last known weight version, or "" if unknown.
func (k *Keeper) loadedVersion() fleet.WeightVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}
