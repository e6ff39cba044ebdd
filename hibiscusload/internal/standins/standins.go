// Package standins reads the counters of the stand-ins: engines, stores, the plain
// service and the weight store. The checks of the demo and the measurements of the
// experiments are based on these counters.
package standins

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/standin/modelengine"
	"hibiscuslb/standin/plainservice"
	"hibiscuslb/standin/storehost"
	"hibiscuslb/standin/weightstore"
)

// A Set holds the addresses of the stand-ins of a fleet.
type Set struct {
	Engines []fleet.Address
	Stores  []fleet.Address
	Service fleet.Address // empty if there is no plain service
	Weights fleet.Address // of the weight store; empty if there is none
}

// Counts holds the counters of all stand-ins.
type Counts struct {
	Engines     []modelengine.Counts // in the order of Set.Engines
	EngineTotal modelengine.Counts   // sum over all engines, but the maximum of PeakCold
	StoreTotal  storehost.Counts     // sum over all stores
	Service     plainservice.Counts
	Weights     weightstore.Counts
}

// readTimeout bounds one read of counters.
const readTimeout = 5 * time.Second

// ReadCounts reads the counters of all stand-ins over HTTP.
func (s *Set) ReadCounts(ctx context.Context) (*Counts, error) {
	result := new(Counts)
	for _, address := range s.Engines {
		var c modelengine.Counts
		if err := fetchCounts(ctx, address, &c); err != nil {
			return nil, err
		}
		result.Engines = append(result.Engines, c)
		addEngineCounts(&result.EngineTotal, &c)
	}
	for _, address := range s.Stores {
		var c storehost.Counts
		if err := fetchCounts(ctx, address, &c); err != nil {
			return nil, err
		}
		addStoreCounts(&result.StoreTotal, &c)
	}
	if s.Service != "" {
		if err := fetchCounts(ctx, s.Service, &result.Service); err != nil {
			return nil, err
		}
	}
	if s.Weights != "" {
		if err := fetchCounts(ctx, s.Weights, &result.Weights); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func addEngineCounts(sum, c *modelengine.Counts) {
	sum.Requests += c.Requests
	sum.Whole += c.Whole
	sum.PeakCold = max(sum.PeakCold, c.PeakCold)
	sum.Overloads += c.Overloads
	sum.ForeignReads += c.ForeignReads
	sum.BadImports += c.BadImports
	sum.Imports += c.Imports
	sum.Exports += c.Exports
	sum.PromptTokens += c.PromptTokens
	sum.CachedTokens += c.CachedTokens
	sum.StaleOrders += c.StaleOrders
	sum.VersionMisses += c.VersionMisses
}

func addStoreCounts(sum, c *storehost.Counts) {
	sum.Reads += c.Reads
	sum.Writes += c.Writes
	sum.MemoryBytes += c.MemoryBytes
	sum.DiskBytes += c.DiskBytes
	sum.WrittenBytes += c.WrittenBytes
	sum.LinkBusy += c.LinkBusy
	sum.RefusedReads += c.RefusedReads
}

// fetchCounts reads the counters of one stand-in into value.
func fetchCounts(ctx context.Context, address fleet.Address, value any) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/admin/counts", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in %s returned HTTP status %d for /admin/counts, want %d", address, response.StatusCode, http.StatusOK)
	}
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("decoding the counters of stand-in %s: %w", address, err)
	}
	return nil
}

// RecomputedShare returns the share of prompt tokens that engines computed, rather
// than taking them from a cache. It is 0 if there were no prompt tokens.
func (c *Counts) RecomputedShare() float64 {
	if c.EngineTotal.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(c.EngineTotal.CachedTokens)/float64(c.EngineTotal.PromptTokens)
}
