package demo

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// checkAndPrintCounts checks the invariants that must hold over all steps, and prints
// the results of the requests and the measurements.
func (d *Demo) checkAndPrintCounts(ctx context.Context) error {
	counts, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "-- invariants")
	d.check(d.tally.complete.Load() == d.tally.requests.Load(), "every request got a complete answer")
	d.check(d.tally.wrong.Load() == 0, "no answer belongs to another prompt")
	d.check(counts.EngineTotal.Overloads == 0, "no cold engine got more concurrent requests than its limit (peak: %d)", counts.EngineTotal.PeakCold)
	d.check(counts.Service.Repeated == 0, "no order ran twice under one idempotency key")
	d.check(counts.EngineTotal.ForeignReads == 0, "no block of another workspace, prompt or version was read")
	d.check(counts.EngineTotal.BadImports == 0, "no imported block differed from its seal")
	d.check(counts.StoreTotal.RefusedReads == 0, "no store got a read of a freed or partly written block")
	fmt.Fprintln(d.Out, "-- request counts")
	w := tabwriter.NewWriter(d.Out, 3, 0, 2, ' ', 0)
	fmt.Fprintf(w, "   requests\t%d\n", d.tally.requests.Load())
	fmt.Fprintf(w, "   complete answers\t%d\n", d.tally.complete.Load())
	fmt.Fprintf(w, "   refused (not run)\t%d\n", d.tally.refused.Load())
	fmt.Fprintf(w, "   outcome unknown\t%d\n", d.tally.unknown.Load())
	fmt.Fprintf(w, "   wrong answers\t%d\n", d.tally.wrong.Load())
	fmt.Fprintf(w, "   calls run by the plain service\t%d\n", counts.Service.Calls)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "-- measurements")
	fmt.Fprintf(w, "   share of prompt tokens computed\t%.3f\n", counts.RecomputedShare())
	fmt.Fprintf(w, "   bytes read from store memory\t%d\n", counts.StoreTotal.MemoryBytes)
	fmt.Fprintf(w, "   bytes read from store disk\t%d\n", counts.StoreTotal.DiskBytes)
	fmt.Fprintf(w, "   bytes written to stores\t%d\n", counts.StoreTotal.WrittenBytes)
	fmt.Fprintln(w, "   FIRST TOKEN\tcount\tp50\tp95\tp99")
	summaries := d.firstToken.Summaries()
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[name]
		fmt.Fprintf(w, "   %s\t%d\t%v\t%v\t%v\n", name, s.Count,
			s.P50.Round(time.Millisecond), s.P95.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	}
	return w.Flush()
}
