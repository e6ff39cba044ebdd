package owner

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
	// importTimeoutFactor is how many times its estimated duration an import may
	// take.
	importTimeoutFactor = 4
	// importSlack is added so that short imports are not cut off.
	importSlack = findTimeout
	// evictionMarginBlocks is how many blocks the prompts that were sent earlier
	// may add to an engine's cache before the engine computes the next prompt.
	evictionMarginBlocks = 8
)

// storeFor returns the store for a chain of blocks. The store is chosen by the
// first block of the chain, so that all blocks of a conversation are in one store
// and one call finds them.
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

// fetchBlocks imports into the engine those stored blocks whose import costs less
// than computing them. Errors are counted but not returned: the engine computes
// the blocks that it lacks.
func (j *job) fetchBlocks(ctx context.Context, id target.TicketID) {
	set := j.owner.set
	// Other requests may have evicted blocks while this one was queued.
	j.prompt.Resident = j.owner.residentBlocks(j.chain)
	source, ok := storeFor(set.Control.View().Declaration, j.chain)
	if !ok || j.prompt.Resident == len(j.chain) {
		j.firstExport = len(j.chain) // no store, or all blocks are resident: export nothing
		return
	}
	client := store.Client{Address: source.Address}
	findCtx, cancel := context.WithTimeout(ctx, findTimeout)
	blocks, err := client.Find(findCtx, j.chain)
	cancel()
	if err != nil {
		set.Metrics.Add("StoreErrors", 1)
		j.firstExport = len(j.chain) // no exports to a store that does not answer
		return
	}
	j.firstExport = len(blocks)
	if len(blocks) <= j.prompt.Resident {
		return
	}
	wanted := blocks[j.prompt.Resident:]
	costs := make([]time.Duration, len(wanted))
	for i, block := range wanted {
		costs[i] = block.Rate.Time(block.Seal.Length)
	}
	costs[0] += wanted[0].Wait
	count, estimate := placement.PlanImports(j.policy, j.prompt, j.owner.setWork(id, 0), costs)
	j.owner.setWork(id, estimate.Compute)
	if count < len(wanted) {
		set.Metrics.Add("ImportsDeclined", int64(len(wanted)-count))
	}
	ctx, cancel = context.WithTimeout(ctx, importSlack+importTimeoutFactor*estimate.Import)
	defer cancel()
	j.importBlocks(ctx, source, wanted[:count])
}

// importBlocks starts all imports at once, so that they are scheduled back to
// back on the store's link. If each import waited for the previous one, imports
// of other prompts would be interleaved with them, and the first blocks would be
// evicted before the last one arrives.
func (j *job) importBlocks(ctx context.Context, source *declaration.Store, blocks []store.StoredBlock) {
	succeeded := make([]bool, len(blocks))
	var imports task.Group
	for i, block := range blocks {
		request := engine.Import{
			Key: j.chain[j.prompt.Resident+i], Version: j.version,
			Store: source.Address, Seal: block.Seal, Fence: j.owner.epoch,
		}
		if j.owner.set.checkDispatch(j.owner) != nil {
			break
		}
		imports.Go(ctx, func(ctx context.Context) { succeeded[i] = j.importBlock(ctx, request) })
	}
	imports.Wait()
	for j.importedBlocks < len(succeeded) && succeeded[j.importedBlocks] {
		j.importedBlocks++
	}
}

// importBlock imports one block and reports whether that succeeded.
func (j *job) importBlock(ctx context.Context, request engine.Import) bool {
	metrics := j.owner.set.Metrics
	client := engine.Client{Address: j.target.Address}
	if err := client.Import(ctx, request); err != nil {
		metrics.Add("ImportsFailed", 1)
		return false
	}
	j.owner.recordUse(request.Key)
	metrics.Add("ImportedBlocks", 1)
	metrics.Add("ImportedBytes", int64(request.Seal.Length))
	return true
}

// recordUse records in the mirror that the engine has used the blocks.
func (o *Owner) recordUse(keys ...cache.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mirror.RecordUse(keys...)
}

// residentBlocks returns how many leading blocks of the chain are in the engine's
// cache and are expected to stay there until the engine computes the prompt.
func (o *Owner) residentBlocks(chain []cache.Key) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mirror.ResidentPrefix(chain, evictionMarginBlocks)
}

// exportTask is a queued export of the blocks chain[first:].
type exportTask struct {
	chain  []cache.Key
	first  int
	target *declaration.Target
}

// queueExport queues an export of the blocks of the prompt from firstExport on. If
// the queue is full, they are dropped, since this costs no more than computing them
// again.
func (o *Owner) queueExport(j *job) {
	if j.firstExport >= len(j.chain) {
		return
	}
	select {
	case o.exportQueue <- exportTask{j.chain, j.firstExport, j.target}:
	default:
		o.set.Metrics.Add("ExportsDropped", 1)
	}
}

// exportLoop exports queued blocks one at a time, so that the exports of a target
// never use more than one share of a link.
func (o *Owner) exportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-o.exportQueue:
			o.export(ctx, e)
		}
	}
}

func (o *Owner) export(ctx context.Context, e exportTask) {
	destination, ok := storeFor(o.set.Control.View().Declaration, e.chain)
	if !ok {
		return
	}
	client := engine.Client{Address: e.target.Address}
	for _, key := range e.chain[e.first:] {
		if o.set.checkDispatch(o) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, exportTimeout)
		err := client.Export(ctx, engine.Export{Key: key, Store: destination.Address, Fence: o.epoch})
		cancel()
		if err != nil {
			o.set.Metrics.Add("ExportsFailed", 1)
			return
		}
		o.set.Metrics.Add("ExportedBlocks", 1)
	}
}
