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

// loadDuring sends n requests, a few of them at a time, while during runs. It returns
// the error of during after all requests have ended.
func (d *Demo) loadDuring(ctx context.Context, n int, during func() error) error {
	const concurrency = 6
	requests := make(chan caller.CompletionRequest)
	var workers task.Group
	for range concurrency {
		workers.Go(ctx, func(ctx context.Context) {
			for request := range requests {
				d.send(ctx, d.clerks, request)
			}
		})
	}
	workers.Go(ctx, func(context.Context) {
		defer close(requests)
		source := workload.NewSource(seed)
		for i := range n {
			text := source.Text(fmt.Sprintf("question %d", i%40), 500)
			requests <- caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 20}
		}
	})
	err := during()
	workers.Wait()
	return err
}

// applyChange applies a change of the declaration and waits until it is in force. The
// label is part of the ID of the change.
func (d *Demo) applyChange(ctx context.Context, label string, change declaration.Change) error {
	_, version, err := d.Operator.Declaration(ctx)
	if err != nil {
		return err
	}
	change.ID = declaration.ChangeID(fmt.Sprintf("demo-%s-%d", label, time.Now().UnixNano()))
	start := time.Now()
	newVersion, err := d.Operator.Apply(ctx, version, change)
	if err != nil {
		return err
	}
	if err := d.Operator.AwaitVersion(ctx, newVersion); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   declaration version %d (%s) in force after %v\n", newVersion, label, time.Since(start).Round(time.Millisecond))
	return nil
}

// drainedRequests returns the number of requests to the engines of drainedDataCentre,
// which are the third and the fourth, or -1 if the counters cannot be read.
func (d *Demo) drainedRequests(ctx context.Context) int {
	counts, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return -1
	}
	return counts.Engines[2].Requests + counts.Engines[3].Requests
}

// drainAndReturn takes a data centre out of service and returns it. It checks that the
// engines there get no new requests while it is out, and that no request fails.
func (d *Demo) drainAndReturn(ctx context.Context) error {
	id := declaration.SectionID{Kind: declaration.KindException, Name: "demo-out"}
	exception := declaration.Section{ID: id, Fields: []declaration.Field{
		{Key: "Reason", Text: "demo"}, {Key: "State", Text: "Out"}, {Key: "Subject", Text: "DataCentre " + drainedDataCentre},
	}}
	completeBefore := d.tally.complete.Load()
	err := d.loadDuring(ctx, 300, func() error {
		return d.applyChange(ctx, "out", declaration.Change{Put: []declaration.Section{exception}})
	})
	if err != nil {
		return err
	}
	requestsWhenOut := d.drainedRequests(ctx)
	if err := d.loadDuring(ctx, 200, func() error { return nil }); err != nil {
		return err
	}
	d.check(d.drainedRequests(ctx) == requestsWhenOut, "engines of the data centre that is out of service get no new requests")
	err = d.loadDuring(ctx, 300, func() error {
		return d.applyChange(ctx, "back", declaration.Change{Drop: []declaration.SectionID{id}})
	})
	if err != nil {
		return err
	}
	d.check(d.drainedRequests(ctx) > requestsWhenOut, "engines of the data centre get requests again after its return to service")
	d.check(d.tally.complete.Load()-completeBefore == 800, "all 800 answers are complete")
	return nil
}

// updateWeights declares a new weight version. It checks that all engines load it, at
// most three at once, and that no request fails meanwhile.
func (d *Demo) updateWeights(ctx context.Context) error {
	section := declaration.Section{
		ID:     declaration.SectionID{Kind: declaration.KindModel, Name: model},
		Fields: []declaration.Field{{Key: "Version", Text: "v2"}},
	}
	completeBefore := d.tally.complete.Load()
	err := d.loadDuring(ctx, 400, func() error {
		if err := d.applyChange(ctx, "weights", declaration.Change{Put: []declaration.Section{section}}); err != nil {
			return err
		}
		loaded := await(ctx, func() bool {
			counts, err := d.Standins.ReadCounts(ctx)
			return err == nil && counts.Weights.Loads >= len(d.Standins.Engines)
		})
		d.check(loaded, "all engines load the new version")
		return nil
	})
	counts, countsErr := d.Standins.ReadCounts(ctx)
	if countsErr != nil {
		return countsErr
	}
	d.check(counts.Weights.PeakLoads <= 3, "at most 3 engines load weights at once")
	d.check(d.tally.complete.Load()-completeBefore == 400, "all 400 answers are complete")
	return err
}

// stopHost shuts down host-3 with SIGTERM. It checks that the host ends and that no
// request fails meanwhile.
func (d *Demo) stopHost(ctx context.Context) error {
	completeBefore := d.tally.complete.Load()
	err := d.loadDuring(ctx, 400, func() error {
		if err := syscall.Kill(d.StopPID, syscall.SIGTERM); err != nil {
			return fmt.Errorf("sending SIGTERM to process %d of host-3: %w", d.StopPID, err)
		}
		ended := await(ctx, func() bool {
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
		d.check(ended, "host-3 has the state Ended")
		return nil
	})
	d.check(d.tally.complete.Load()-completeBefore == 400, "all 400 answers are complete, no stream breaks")
	return err
}
