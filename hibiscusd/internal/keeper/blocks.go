package keeper

import (
	"context"
	"encoding/binary"
	"time"

	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/fleet/store"
	"hibiscuslb/fleet/target"
	"hibiscuslb/fleet/task"
)

const (
	findTimeout   = 300 * time.Millisecond
	exportTimeout = 5 * time.Second
	// importTimeoutFactor is how much longer than estimated an import may take.
	importTimeoutFactor = 4
	// evictionMarginBlocks is how many blocks the prompts that were sent before may add
	// to an engine's cache until it comes to the next one.
	evictionMarginBlocks = 8
)

// storeFor returns the store that holds a chain of blocks: all blocks of a
// conversation lie with its first one, so that one call finds them.
func storeFor(d *declaration.Declaration, chain []cache.Key) (*declaration.Store, bool) {
	if len(chain) == 0 {
		return nil, false
	}
	root := binary.LittleEndian.Uint64(chain[0][:])
	ranked := placement.Rank(root, d.SortedStores(),
		func(s *declaration.Store) string { return string(s.ID) },
		func(s *declaration.Store) float64 {
			if s.State == declaration.OutOfService || d.DataCentres[s.DataCentre].State == declaration.OutOfService {
				return 0
			}
			return 1
		})
	if len(ranked) == 0 {
		return nil, false
	}
	return ranked[0], true
}

// fetchBlocks imports the blocks for which that is better than computing them. It
// leaves out whatever fails: the engine computes what it lacks.
func (j *job) fetchBlocks(ctx context.Context, id target.TicketID) {
	set := j.keeper.set
	// While the request waited, others have used the cache.
	j.prompt.Resident = j.keeper.residentBlocks(j.chain)
	source, ok := storeFor(set.Control.View().Declaration, j.chain)
	if !ok || j.prompt.Resident == len(j.chain) {
		j.storedBlocks = len(j.chain)
		return
	}
	client := store.Client{Address: source.Address}
	findCtx, cancel := context.WithTimeout(ctx, findTimeout)
	holdings, err := client.Find(findCtx, j.chain)
	cancel()
	if err != nil {
		set.Metrics.Add("StoreErrors", 1)
		j.storedBlocks = len(j.chain) // do not write to a store that does not answer
		return
	}
	j.storedBlocks = len(holdings)
	if len(holdings) <= j.prompt.Resident {
		return
	}
	wanted := holdings[j.prompt.Resident:]
	costs := make([]time.Duration, len(wanted))
	for i, holding := range wanted {
		costs[i] = holding.Rate.Time(holding.Seal.Length)
	}
	costs[0] += wanted[0].Wait
	count, estimate := placement.PlanImports(j.policy, j.prompt, j.keeper.setWork(id, 0), costs)
	j.keeper.setWork(id, estimate.Compute)
	if count < len(wanted) {
		set.Metrics.Add("ImportsDeclined", int64(len(wanted)-count))
	}
	ctx, cancel = context.WithTimeout(ctx, findTimeout+importTimeoutFactor*estimate.Import)
	defer cancel()
	j.importBlocks(ctx, source, wanted[:count])
}

// importBlocks orders all imports at once, so that they are booked on the link
// one behind the other. If each waited for the one before, what other prompts
// fetch would come between, and the first blocks would be evicted before the
// last one arrives.
func (j *job) importBlocks(ctx context.Context, source *declaration.Store, holdings []store.StoredBlock) {
	succeeded := make([]bool, len(holdings))
	var imports task.Group
	for i, holding := range holdings {
		order := engine.Import{
			Key: j.chain[j.prompt.Resident+i], Version: j.version,
			Store: source.Address, Seal: holding.Seal, Fence: j.keeper.epoch,
		}
		if j.keeper.set.checkDispatch(j.keeper) != nil {
			break
		}
		imports.Go(ctx, func(ctx context.Context) { succeeded[i] = j.importBlock(ctx, order) })
	}
	imports.Wait()
	for j.importedBlocks < len(succeeded) && succeeded[j.importedBlocks] {
		j.importedBlocks++
	}
}

// importBlock reports whether the engine has taken the block.
func (j *job) importBlock(ctx context.Context, order engine.Import) bool {
	metrics := j.keeper.set.Metrics
	client := engine.Client{Address: j.target.Address}
	if err := client.Import(ctx, order); err != nil {
		metrics.Add("ImportsFailed", 1)
		return false
	}
	j.keeper.recordUse(order.Key)
	metrics.Add("ImportedBlocks", 1)
	metrics.Add("ImportedBytes", int64(order.Seal.Length))
	return true
}

// recordUse notes that the engine uses blocks.
func (k *Keeper) recordUse(keys ...cache.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mirror.RecordUse(keys...)
}

// residentBlocks returns how many of the chain's first blocks the engine has now and
// will still have when it comes to the prompt.
func (k *Keeper) residentBlocks(chain []cache.Key) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mirror.ResidentPrefix(chain, evictionMarginBlocks)
}

// An exportTask is a chain whose blocks from the given one on are to be stored.
type exportTask struct {
	chain  []cache.Key
	first  int
	target *declaration.Target
}

// queueExport queues the blocks that no store has. When too much is queued
// they are left out, since that only costs computing them again.
func (k *Keeper) queueExport(j *job) {
	if j.storedBlocks >= len(j.chain) {
		return
	}
	select {
	case k.exportQueue <- exportTask{j.chain, j.storedBlocks, j.target}:
	default:
		k.set.Metrics.Add("ExportsDropped", 1)
	}
}

// exportLoop writes queued blocks to their stores, one after the other, so that
// a target's exports never take more than one share of a link.
func (k *Keeper) exportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-k.exportQueue:
			k.export(ctx, e)
		}
	}
}

func (k *Keeper) export(ctx context.Context, task exportTask) {
	destination, ok := storeFor(k.set.Control.View().Declaration, task.chain)
	if !ok {
		return
	}
	client := engine.Client{Address: task.target.Address}
	for _, key := range task.chain[task.first:] {
		if k.set.checkDispatch(k) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, exportTimeout)
		err := client.Export(ctx, engine.Export{Key: key, Store: destination.Address, Fence: k.epoch})
		cancel()
		if err != nil {
			k.set.Metrics.Add("ExportsFailed", 1)
			return
		}
		k.set.Metrics.Add("ExportedBlocks", 1)
	}
}
