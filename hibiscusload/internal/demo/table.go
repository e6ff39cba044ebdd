package demo

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// table prints what happened and checks what must never have.
func (d *Demo) table(ctx context.Context) error {
	counts, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "-- what must hold")
	d.check(d.tally.whole.Load() == d.tally.requests.Load(), "every request has its whole answer")
	d.check(d.tally.wrong.Load() == 0, "no answer is another caller's")
	d.check(counts.EngineTotal.Overloads == 0, "no cold engine got more than it bears (most at once: %d)", counts.EngineTotal.PeakCold)
	d.check(counts.Service.Repeated == 0, "no key ran twice")
	d.check(counts.EngineTotal.ForeignReads == 0, "no block of another workspace, prompt or version was read")
	d.check(counts.EngineTotal.BadImports == 0, "no block arrived that did not match its seal")
	d.check(counts.StoreTotal.RefusedReads == 0, "no read of a block that is freed or partly written")
	fmt.Fprintln(d.Out, "-- counts")
	w := tabwriter.NewWriter(d.Out, 3, 0, 2, ' ', 0)
	fmt.Fprintf(w, "   requests\t%d\n", d.tally.requests.Load())
	fmt.Fprintf(w, "   whole answers\t%d\n", d.tally.whole.Load())
	fmt.Fprintf(w, "   refused, not run\t%d\n", d.tally.refused.Load())
	fmt.Fprintf(w, "   outcome unknown\t%d\n", d.tally.unknown.Load())
	fmt.Fprintf(w, "   wrong content\t%d\n", d.tally.wrong.Load())
	fmt.Fprintf(w, "   service calls run\t%d\n", counts.Service.Calls)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "-- measures")
	fmt.Fprintf(w, "   share of prompt tokens computed\t%.3f\n", counts.RecomputedShare())
	fmt.Fprintf(w, "   store link, bytes read from memory\t%d\n", counts.StoreTotal.MemoryBytes)
	fmt.Fprintf(w, "   store link, bytes read from disk\t%d\n", counts.StoreTotal.DiskBytes)
	fmt.Fprintf(w, "   store link, bytes written\t%d\n", counts.StoreTotal.WrittenBytes)
	fmt.Fprintln(w, "   FIRST TOKEN\tcount\tp50\tp95\tp99")
	summaries := d.first.Summaries()
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[name]
		fmt.Fprintf(w, "   %s\t%d\t%v\t%v\t%v\n", name, s.Count,
			s.P50.Round(time.Millisecond), s.P95.Round(time.Millisecond), s.P99.Round(time.Millisecond))
	}
	return w.Flush()
}
