package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusload/internal/standins"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/fakeplatform"
)

// An OrderExperiment measures how many reads and writes of the platform's object store
// non-repeatable orders cause. The caller sets all fields.
type OrderExperiment struct {
	Client   *caller.Client
	Platform fleet.Address
	Standins standins.Set
	Requests int     // number of orders
	Rate     float64 // orders per second
	Seed     uint64
	Out      io.Writer
}

// Run sends all orders, each with its own idempotency key, and prints one row.
func (o *OrderExperiment) Run(ctx context.Context) error {
	before, err := o.readPlatformCounts(ctx)
	if err != nil {
		return err
	}
	var latencies meter.Histograms
	var mu sync.Mutex
	completed, notRun, unknown := 0, 0, 0
	source := workload.NewSource(o.Seed)
	runID := time.Now().UnixNano()
	start := time.Now()
	var orders task.Group
	for n := range o.Requests {
		time.Sleep(time.Duration(source.ExpFloat64() / o.Rate * float64(time.Second)))
		orders.Go(ctx, func(ctx context.Context) {
			sent := time.Now()
			_, err := o.Client.Order(ctx, caller.Order{
				Service: "ledger", Operation: "book", Key: fmt.Sprintf("%d-%d", runID, n), Body: []byte("one cylinder"),
			})
			mu.Lock()
			defer mu.Unlock()
			var refusal *fleet.RefusalError
			switch {
			case err == nil:
				completed++
				latencies.Record(meter.Series{}, time.Since(sent))
			case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
				notRun++
			default:
				unknown++
			}
		})
	}
	orders.Wait()
	seconds := time.Since(start).Seconds()
	after, err := o.readPlatformCounts(ctx)
	if err != nil {
		return err
	}
	counts, err := o.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	latency := latencies.Summaries()[meter.Series{}.String()]
	_, err = fmt.Fprintf(o.Out, "orders/s %.0f  completed %d  not run %d  unknown %d  ran twice %d  writes/s %.0f  reads/s %.0f  p50 %v  p95 %v  p99 %v\n",
		float64(o.Requests)/seconds, completed, notRun, unknown, counts.Service.Repeated,
		float64(after.Writes-before.Writes)/seconds, float64(after.Reads-before.Reads)/seconds,
		latency.P50.Round(time.Millisecond), latency.P95.Round(time.Millisecond), latency.P99.Round(time.Millisecond))
	return err
}

// readPlatformCounts reads the counters of the stand-in platform.
func (o *OrderExperiment) readPlatformCounts(ctx context.Context) (fakeplatform.Counts, error) {
	var counts fakeplatform.Counts
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(o.Platform)+"/admin/counts", nil)
	if err != nil {
		return counts, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return counts, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return counts, fmt.Errorf("decoding the counters of platform %s: %w", o.Platform, err)
	}
	return counts, nil
}
