package demo

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusload/internal/workload"
)

// load asks n prompts, a few at a time, while the function runs, and waits
// for both.
func (d *Demo) load(ctx context.Context, n int, during func() error) error {
	const atOnce = 6
	prompts := make(chan caller.CompletionRequest)
	var workers task.Group
	for range atOnce {
		workers.Go(ctx, func(ctx context.Context) {
			for prompt := range prompts {
				d.ask(ctx, d.clerks, prompt)
			}
		})
	}
	workers.Go(ctx, func(context.Context) {
		defer close(prompts)
		source := workload.NewSource(seed)
		for i := range n {
			text := source.Text(fmt.Sprintf("question %d", i%40), 500)
			prompts <- caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 20}
		}
	})
	err := during()
	workers.Wait()
	return err
}

// change makes a change of the declaration and waits until it is in force.
func (d *Demo) change(ctx context.Context, id string, change declaration.Change) error {
	_, read, err := d.Operator.Declaration(ctx)
	if err != nil {
		return err
	}
	change.ID = declaration.ChangeID(fmt.Sprintf("demo-%s-%d", id, time.Now().UnixNano()))
	begun := time.Now()
	number, err := d.Operator.Apply(ctx, read, change)
	if err != nil {
		return err
	}
	if err := d.Operator.AwaitVersion(ctx, number); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   version %d (%s) in force after %v\n", number, id, time.Since(begun).Round(time.Millisecond))
	return nil
}

// atDrained counts the requests that engines of the drained data centre met.
func (d *Demo) atDrained(ctx context.Context) int {
	counts, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return -1
	}
	return counts.Engines[2].Requests + counts.Engines[3].Requests
}

func (d *Demo) outAndBack(ctx context.Context) error {
	id := declaration.SectionID{Kind: declaration.KindException, Name: "demo-out"}
	out := declaration.Section{ID: id, Fields: []declaration.Field{
		{Key: "Reason", Text: "demo"}, {Key: "State", Text: "Out"}, {Key: "Subject", Text: "DataCentre " + drained},
	}}
	whole := d.tally.whole.Load()
	err := d.load(ctx, 300, func() error {
		return d.change(ctx, "out", declaration.Change{Put: []declaration.Section{out}})
	})
	if err != nil {
		return err
	}
	atOut := d.atDrained(ctx)
	if err := d.load(ctx, 200, func() error { return nil }); err != nil {
		return err
	}
	d.check(d.atDrained(ctx) == atOut, "engines of the data centre that is out get no new work")
	err = d.load(ctx, 300, func() error {
		return d.change(ctx, "back", declaration.Change{Drop: []declaration.SectionID{id}})
	})
	if err != nil {
		return err
	}
	d.check(d.atDrained(ctx) > atOut, "they get work again when it is back")
	d.check(d.tally.whole.Load()-whole == 800, "800 answers are whole")
	return nil
}

func (d *Demo) swap(ctx context.Context) error {
	section := declaration.Section{
		ID:     declaration.SectionID{Kind: declaration.KindModel, Name: model},
		Fields: []declaration.Field{{Key: "Version", Text: "v2"}},
	}
	whole := d.tally.whole.Load()
	err := d.load(ctx, 400, func() error {
		if err := d.change(ctx, "weights", declaration.Change{Put: []declaration.Section{section}}); err != nil {
			return err
		}
		loaded := await(ctx, func() bool {
			counts, err := d.Targets.ReadCounts(ctx)
			return err == nil && counts.Weights.Loads >= len(d.Targets.Engines)
		})
		d.check(loaded, "all engines load the new version")
		return nil
	})
	counts, failed := d.Targets.ReadCounts(ctx)
	if failed != nil {
		return failed
	}
	d.check(counts.Weights.PeakLoads <= 3, "no more than three load at once")
	d.check(d.tally.whole.Load()-whole == 400, "400 answers are whole")
	return err
}

func (d *Demo) stopNode(ctx context.Context) error {
	whole := d.tally.whole.Load()
	err := d.load(ctx, 400, func() error {
		if err := syscall.Kill(d.StopPID, syscall.SIGTERM); err != nil {
			return err
		}
		gone := await(ctx, func() bool {
			status, err := d.Operator.Status(ctx)
			if err != nil {
				return false
			}
			for _, member := range status.Members {
				if member.Host == "host-3" && member.State == "Ended" {
					return true
				}
			}
			return false
		})
		d.check(gone, "the node has ended")
		return nil
	})
	d.check(d.tally.whole.Load()-whole == 400, "400 answers are whole, none was cut")
	return err
}
