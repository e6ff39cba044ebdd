package keeper

import (
	"context"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusd/internal/wire"
)

// updateWeights loads the declared weight version, when the holder of the weights duty
// gives leave. Requests that run keep the version that they began with.
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
	leader, ok := view.WeightsHolder()
	if !ok {
		return
	}
	var answer wire.SlotResponse
	ask := wire.SlotRequest{Target: declared.ID}
	if err := k.set.Pool.Call(ctx, leader.Address, wire.KindSlot, ask, &answer); err != nil || !answer.Granted {
		return
	}
	k.beginLoad()
	tasks.Go(ctx, func(ctx context.Context) {
		client := engine.Client{Address: declared.Address}
		load := engine.Load{Version: model.Version, Fence: k.epoch}
		err := client.Load(ctx, load)
		k.endLoad(model.Version, err)
		ask.Over = true
		// A slot that is not given back ends by itself.
		_ = k.set.Pool.Call(ctx, leader.Address, wire.KindSlot, ask, &answer)
		k.fetchReport(ctx)
	})
}

func (k *Keeper) beginLoad() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading = true
}

// endLoad takes the end of a load. After a failure the version is what the next
// report says.
func (k *Keeper) endLoad(version fleet.WeightVersion, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.loading = false
	k.loadedAt = k.set.Clock()
	if err != nil {
		k.set.Log.Warn().Err(err).Str("Target", string(k.id)).Msg("weights not loaded")
		return
	}
	k.version = version
	k.mirror.Clear()
}

func (k *Keeper) loadedVersion() fleet.WeightVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version
}
