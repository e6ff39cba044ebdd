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
	// importSlack is how much longer than estimated an import may take.
	importSlack = 4
	// blocksAhead is how many blocks the prompts that were sent before may add
	// to an engine's cache until it comes to the next one.
	blocksAhead = 8
)

// storeOf returns the store that holds a chain of blocks: all blocks of a
// conversation lie with its first one, so that one call finds them.
func storeOf(d *declaration.Declaration, chain []cache.Key) (*declaration.Store, bool) {
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

// fetch imports the blocks for which that is better than computing them. It
// leaves out whatever fails: the engine computes what it lacks.
func (j *job) fetch(ctx context.Context, id target.TicketID) {
	set := j.keeper.set
	// While the request waited, others have used the cache.
	j.prompt.Resident = j.keeper.resident(j.chain)
	host, ok := storeOf(set.Control.View().Declaration, j.chain)
	if !ok || j.prompt.Resident == len(j.chain) {
		j.stored = len(j.chain)
		return
	}
	client := store.Client{Address: host.Address}
	finding, cancel := context.WithTimeout(ctx, findTimeout)
	holdings, err := client.Find(finding, j.chain)
	cancel()
	if err != nil {
		set.Metrics.Add("StoreErrors", 1)
		j.stored = len(j.chain) // do not write to a store that does not answer
		return
	}
	j.stored = len(holdings)
	if len(holdings) <= j.prompt.Resident {
		return
	}
	wanted := holdings[j.prompt.Resident:]
	costs := make([]time.Duration, len(wanted))
	for i, holding := range wanted {
		costs[i] = holding.Rate.Time(holding.Seal.Length)
	}
	costs[0] += wanted[0].Wait
	count, estimate := placement.PlanImports(j.policy, j.prompt, j.keeper.expect(id, 0), costs)
	j.keeper.expect(id, estimate.Compute)
	if count < len(wanted) {
		set.Metrics.Add("ImportsDeclined", int64(len(wanted)-count))
	}
	ctx, cancel = context.WithTimeout(ctx, findTimeout+importSlack*estimate.Import)
	defer cancel()
	j.importBlocks(ctx, host, wanted[:count])
}

// importBlocks orders all imports at once, so that they are booked on the link
// one behind the other. If each waited for the one before, what other prompts
// fetch would come between, and the first blocks would be evicted before the
// last one arrives.
func (j *job) importBlocks(ctx context.Context, host *declaration.Store, holdings []store.StoredBlock) {
	arrived := make([]bool, len(holdings))
	var imports task.Group
	for i, holding := range holdings {
		order := engine.Import{
			Key: j.chain[j.prompt.Resident+i], Version: j.version,
			Store: host.Address, Seal: holding.Seal, Fence: j.keeper.epoch,
		}
		if j.keeper.set.mayDispatch(j.keeper) != nil {
			break
		}
		imports.Go(ctx, func(ctx context.Context) { arrived[i] = j.importBlock(ctx, order) })
	}
	imports.Wait()
	for j.imported < len(arrived) && arrived[j.imported] {
		j.imported++
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
	j.keeper.use(order.Key)
	metrics.Add("ImportedBlocks", 1)
	metrics.Add("ImportedBytes", int64(order.Seal.Length))
	return true
}

// use notes that the engine uses blocks.
func (k *Keeper) use(keys ...cache.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mirror.RecordUse(keys...)
}

// resident returns how many of the chain's first blocks the engine has now and
// will still have when it comes to the prompt.
func (k *Keeper) resident(chain []cache.Key) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mirror.ResidentPrefix(chain, blocksAhead)
}

// An export is a chain whose blocks from the given one on are to be stored.
type export struct {
	chain   []cache.Key
	from    int
	address *declaration.Target
}

// exportLater queues the blocks that no store has. When too much is queued
// they are left out, since that only costs computing them again.
func (k *Keeper) exportLater(j *job) {
	if j.stored >= len(j.chain) {
		return
	}
	select {
	case k.exports <- export{j.chain, j.stored, j.target}:
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
		case e := <-k.exports:
			k.export(ctx, e)
		}
	}
}

func (k *Keeper) export(ctx context.Context, e export) {
	host, ok := storeOf(k.set.Control.View().Declaration, e.chain)
	if !ok {
		return
	}
	client := engine.Client{Address: e.address.Address}
	for _, key := range e.chain[e.from:] {
		if k.set.mayDispatch(k) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, exportTimeout)
		err := client.Export(ctx, engine.Export{Key: key, Store: host.Address, Fence: k.epoch})
		cancel()
		if err != nil {
			k.set.Metrics.Add("ExportsFailed", 1)
			return
		}
		k.set.Metrics.Add("ExportedBlocks", 1)
	}
}
