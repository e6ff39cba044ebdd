// Package demo sends real requests through a running fleet, step by step, and
// checks what came of them against the counters of the stand-ins.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/hibiscusload/internal/target"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/script"
)

// A Demo is one run. Fill in the exported fields.
type Demo struct {
	EntryHosts []fleet.Address
	Operator   operator.Client
	Targets    target.Set
	StopPID    int // of the node that is stopped
	Out        io.Writer

	source   workload.Source
	clerks   *caller.Client
	agents   *caller.Client
	tally    tally
	first    meter.Histograms
	problems atomic.Int64
}

// tally counts what callers were told.
type tally struct {
	requests, whole, refused, unknown, wrong atomic.Int64
}

// ErrChecksFailed is returned when a count or a content was not as it must be.
var ErrChecksFailed = errors.New("demo: some checks have failed")

const (
	seed      = 7
	model     = "answer"
	ledger    = "ledger"
	drained   = "negombo"
	waitLimit = time.Minute
)

// Run carries out all steps.
func (d *Demo) Run(ctx context.Context) error {
	d.source = workload.NewSource(seed)
	d.clerks = &caller.Client{EntryHosts: d.EntryHosts, Key: "clerks-key"}
	d.agents = &caller.Client{EntryHosts: d.EntryHosts, Key: "agents-key"}
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{"the fleet serves", d.awaitService},
		{"callers ask for an address and stream completions", d.complete},
		{"a conversation returns after its engine's cache has lost it", d.returns},
		{"a booking is sent twice under one key", d.book},
		{"bad requests are refused", d.refuse},
		{"a data centre goes out and comes back under load", d.outAndBack},
		{"new weights under load", d.swap},
		{"a node is stopped under load", d.stopNode},
	}
	for _, step := range steps {
		fmt.Fprintf(d.Out, "-- %s\n", step.name)
		if err := step.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	if err := d.table(ctx); err != nil {
		return err
	}
	if d.problems.Load() > 0 {
		return ErrChecksFailed
	}
	return nil
}

// check reports a condition that must hold.
func (d *Demo) check(holds bool, format string, args ...any) {
	mark := "ok   "
	if !holds {
		mark = "WRONG"
		d.problems.Add(1)
	}
	fmt.Fprintf(d.Out, "   %s %s\n", mark, fmt.Sprintf(format, args...))
}

// await polls until the condition holds.
func await(ctx context.Context, holds func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// awaitService waits until every engine has served a request.
func (d *Demo) awaitService(ctx context.Context) error {
	n := 0
	served := await(ctx, func() bool {
		n++
		_, err := d.clerks.Complete(ctx, caller.CompletionRequest{Model: model, Text: fmt.Sprintf("hello %d", n), MaxTokens: 1})
		counts, failed := d.Targets.ReadCounts(ctx)
		if err != nil || failed != nil {
			return false
		}
		for _, engine := range counts.Engines {
			if engine.Whole == 0 {
				return false
			}
		}
		return true
	})
	if !served {
		return errors.New("no service within a minute")
	}
	return nil
}

// ask sends a prompt and checks its answer's content.
func (d *Demo) ask(ctx context.Context, client *caller.Client, prompt caller.CompletionRequest) *caller.Completion {
	d.tally.requests.Add(1)
	completion, err := client.Complete(ctx, prompt)
	var refusal *fleet.RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
		d.tally.refused.Add(1)
	case err != nil:
		d.tally.unknown.Add(1)
	case completion.Text != script.New([]byte(prompt.Text)).Answer(prompt.MaxTokens):
		d.tally.wrong.Add(1)
	default:
		d.tally.whole.Add(1)
		workspace := fleet.WorkspaceID("clerks")
		if client == d.agents {
			workspace = "agents"
		}
		d.first.Record(meter.Series{Workspace: workspace, Class: prompt.Class}, completion.FirstToken)
		return completion
	}
	if err != nil {
		fmt.Fprintf(d.Out, "   request failed: %v\n", err)
	}
	return nil
}

func (d *Demo) complete(ctx context.Context) error {
	for i := range 10 {
		text := d.source.Text(fmt.Sprintf("stock question %d", i), 200)
		d.ask(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 8})
		d.ask(ctx, d.agents, caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 8})
	}
	d.check(d.tally.whole.Load() == 20, "20 answers are whole and the callers' own")
	return nil
}

// blocks is the length of the returning conversation, in cache blocks.
const blocks = 3

func (d *Demo) returns(ctx context.Context) error {
	text := d.source.Text("refill history of the cafe", blocks*cache.BlockTokens)
	first := d.ask(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: text, MaxTokens: 8})
	if first == nil {
		return nil
	}
	fmt.Fprintf(d.Out, "   first time: %d of %d tokens from cache, first token after %v\n",
		first.CachedTokens, first.PromptTokens, first.FirstToken.Round(time.Millisecond))
	stored := await(ctx, func() bool {
		counts, err := d.Targets.ReadCounts(ctx)
		return err == nil && counts.StoreTotal.Writes >= blocks
	})
	d.check(stored, "its %d blocks are in a store", blocks)
	// Other customers' files push it out of all engines' caches.
	for i := range 60 {
		other := d.source.Text(fmt.Sprintf("file %d", i), 4*cache.BlockTokens)
		d.ask(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: other, MaxTokens: 1})
	}
	before, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	text += d.source.Text(" and what did they order last", 40)
	again := d.ask(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: text, MaxTokens: 8})
	if again == nil {
		return nil
	}
	after, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   on return:  %d of %d tokens from cache, first token after %v\n",
		again.CachedTokens, again.PromptTokens, again.FirstToken.Round(time.Millisecond))
	d.check(again.CachedTokens == blocks*cache.BlockTokens, "its whole blocks were not computed again")
	d.check(after.StoreTotal.Reads-before.StoreTotal.Reads == blocks, "its %d blocks came from the store", blocks)
	return nil
}

func (d *Demo) book(ctx context.Context) error {
	before, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	order := caller.Order{Model: ledger, Operation: "book", Class: "booking", Key: "poya-eve-1", Body: []byte("two cylinders")}
	var answers [2]*caller.Answer
	for i := range answers {
		d.tally.requests.Add(1)
		if answers[i], err = d.clerks.Order(ctx, order); err != nil {
			return err
		}
		d.tally.whole.Add(1)
	}
	after, err := d.Targets.ReadCounts(ctx)
	if err != nil {
		return err
	}
	d.check(after.Service.Calls-before.Service.Calls == 1, "the booking ran once")
	d.check(string(answers[0].Body) == string(answers[1].Body), "both callers have the same answer")
	d.check(!answers[0].Repeated && answers[1].Repeated, "the second is told that its answer is the recorded one")
	return nil
}

func (d *Demo) refuse(ctx context.Context) error {
	reasonOf := func(err error) fleet.Reason {
		var refusal *fleet.RefusalError
		if !errors.As(err, &refusal) || refusal.Outcome != fleet.OutcomeNotRun {
			return ""
		}
		return refusal.Reason
	}
	order := func(client *caller.Client, o caller.Order) fleet.Reason {
		_, err := client.Order(ctx, o)
		return reasonOf(err)
	}
	stranger := &caller.Client{EntryHosts: d.EntryHosts, Key: "nobody"}
	book := caller.Order{Model: ledger, Operation: "book", Body: []byte("x")}
	d.check(order(d.clerks, book) == fleet.ReasonNoIdempotencyKey, "a booking without a key")
	book.Key = "poya-eve-1"
	d.check(order(d.clerks, book) == fleet.ReasonIdempotencyKeyReused, "another booking under a used key")
	d.check(order(d.agents, book) == fleet.ReasonForbidden, "a booking by a workspace that may not")
	d.check(order(stranger, book) == fleet.ReasonUnauthorized, "a booking by a stranger")
	_, err := d.clerks.Complete(ctx, caller.CompletionRequest{Model: "none", Text: "x", MaxTokens: 1})
	d.check(reasonOf(err) == fleet.ReasonUnknownModel, "a prompt for an unknown model")
	return nil
}
