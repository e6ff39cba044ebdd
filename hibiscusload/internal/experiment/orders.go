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
	"hibiscuslb/hibiscusload/internal/target"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/prepared"
)

// OrderExperiment measures what orders that may not repeat cost the platform. Fill in
// the fields.
type OrderExperiment struct {
	Client   *caller.Client
	Platform fleet.Address
	Targets  target.Set
	Requests int
	Rate     float64 // orders per second
	Seed     uint64
	Out      io.Writer
}

// Run sends all orders, each under a key of its own, and prints one row.
func (o *OrderExperiment) Run(ctx context.Context) error {
	before, err := o.counts(ctx)
	if err != nil {
		return err
	}
	var times meter.Histograms
	var mu sync.Mutex
	whole, refusedCount, unknown := 0, 0, 0
	source := workload.NewSource(o.Seed)
	run := time.Now().UnixNano()
	begun := time.Now()
	var orders task.Group
	for n := range o.Requests {
		time.Sleep(time.Duration(source.ExpFloat64() / o.Rate * float64(time.Second)))
		orders.Go(ctx, func(ctx context.Context) {
			sent := time.Now()
			_, err := o.Client.Order(ctx, caller.Order{
				Model: "ledger", Operation: "book", Key: fmt.Sprintf("%d-%d", run, n), Body: []byte("one cylinder"),
			})
			mu.Lock()
			defer mu.Unlock()
			var refusal *fleet.RefusalError
			switch {
			case err == nil:
				whole++
				times.Record(meter.Series{}, time.Since(sent))
			case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
				refusedCount++
			default:
				unknown++
			}
		})
	}
	orders.Wait()
	took := time.Since(begun).Seconds()
	after, err := o.counts(ctx)
	if err != nil {
		return err
	}
	service, err := o.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	s := times.Summaries()[meter.Series{}.String()]
	_, err = fmt.Fprintf(o.Out, "orders/s %.0f  whole %d  not run %d  unknown %d  ran twice %d  writes/s %.0f  reads/s %.0f  p50 %v  p95 %v  p99 %v\n",
		float64(o.Requests)/took, whole, refusedCount, unknown, service.Service.Repeated,
		float64(after.Writes-before.Writes)/took, float64(after.Reads-before.Reads)/took,
		s.P50.Round(time.Millisecond), s.P95.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	return err
}

// counts reads the platform's counters.
func (o *OrderExperiment) counts(ctx context.Context) (prepared.Counts, error) {
	var totals prepared.Counts
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(o.Platform)+"/admin/counts", nil)
	if err != nil {
		return totals, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return totals, err
	}
	defer response.Body.Close()
	return totals, json.NewDecoder(response.Body).Decode(&totals)
}
