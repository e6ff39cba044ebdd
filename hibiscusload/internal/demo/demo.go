// Package demo sends requests through a running fleet in several steps, and checks the
// answers and the counters of the stand-ins.
//
// It expects the fleet of examples/kandyan.ini: engines 3 and 4 are in the data centre
// negombo, and the host with process StopPID is host-3.
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
	"hibiscuslb/hibiscusload/internal/standins"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/script"
)

// A Demo is one run. The caller sets the exported fields.
type Demo struct {
	EntryHosts []fleet.Address
	Operator   operator.Client
	Standins   standins.Set
	StopPID    int // process id of hibiscusd on host-3, which the demo shuts down
	Out        io.Writer

	source       workload.Source
	clerks       *caller.Client // of workspace clerks
	agents       *caller.Client // of workspace agents
	tally        tally
	firstToken   meter.Histograms // times to first token
	failedChecks atomic.Int64
}

// A tally counts requests by the result that the caller got.
type tally struct {
	requests atomic.Int64
	complete atomic.Int64 // complete and correct answers
	refused  atomic.Int64 // provably not run
	unknown  atomic.Int64 // failed, with an unknown outcome
	wrong    atomic.Int64 // answers with unexpected content
}

// ErrChecksFailed reports that the content of an answer or a counter differed from the
// expected value. The output has a line for each failed check.
var ErrChecksFailed = errors.New("demo: at least one check failed; see the lines marked WRONG")

const (
	seed              = 7
	model             = "answer"
	ledger            = "ledger"  // model of the plain service
	drainedDataCentre = "negombo" // taken out of service and returned
	waitLimit         = time.Minute
)

// Run executes all steps and prints the results of their checks. It returns
// ErrChecksFailed if a check failed, and stops at the first step that returns an error.
func (d *Demo) Run(ctx context.Context) error {
	d.source = workload.NewSource(seed)
	d.clerks = &caller.Client{EntryHosts: d.EntryHosts, Key: "clerks-key"}
	d.agents = &caller.Client{EntryHosts: d.EntryHosts, Key: "agents-key"}
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"every engine serves requests", d.awaitEngines},
		{"callers fetch host addresses and stream completions", d.streamCompletions},
		{"a conversation returns after its blocks are evicted from the engines' caches", d.returnConversation},
		{"a booking is sent twice with one idempotency key", d.repeatBooking},
		{"invalid requests are refused", d.sendInvalidRequests},
		{"a data centre is taken out of service and returned under load", d.drainAndReturn},
		{"engines load new weights under load", d.updateWeights},
		{"a host is shut down under load", d.stopHost},
	}
	for _, step := range steps {
		fmt.Fprintf(d.Out, "-- %s\n", step.name)
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	if err := d.checkAndPrintCounts(ctx); err != nil {
		return err
	}
	if d.failedChecks.Load() > 0 {
		return ErrChecksFailed
	}
	return nil
}

// check prints whether a condition holds, and counts a failed check if not.
func (d *Demo) check(holds bool, format string, args ...any) {
	result := "ok   "
	if !holds {
		result = "WRONG"
		d.failedChecks.Add(1)
	}
	fmt.Fprintf(d.Out, "   %s %s\n", result, fmt.Sprintf(format, args...))
}

// await polls until the condition holds. It returns false if the context ends or the
// condition does not hold within waitLimit.
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

// awaitEngines sends requests until every engine has completed one.
func (d *Demo) awaitEngines(ctx context.Context) error {
	n := 0
	served := await(ctx, func() bool {
		n++
		_, err := d.clerks.Complete(ctx, caller.CompletionRequest{Model: model, Text: fmt.Sprintf("hello %d", n), MaxTokens: 1})
		counts, countsErr := d.Standins.ReadCounts(ctx)
		if err != nil || countsErr != nil {
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
		return fmt.Errorf("not every engine completed a request within %v", waitLimit)
	}
	return nil
}

// send sends the request, compares the answer with the one that the stand-in engines
// generate for its prompt and counts the result. It returns nil unless the answer is
// complete and correct.
func (d *Demo) send(ctx context.Context, client *caller.Client, request caller.CompletionRequest) *caller.Completion {
	d.tally.requests.Add(1)
	completion, err := client.Complete(ctx, request)
	var refusal *fleet.RefusalError
	switch {
	case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
		d.tally.refused.Add(1)
	case err != nil:
		d.tally.unknown.Add(1)
	case completion.Text != script.New([]byte(request.Text)).Answer(request.MaxTokens):
		d.tally.wrong.Add(1)
	default:
		d.tally.complete.Add(1)
		workspace := fleet.WorkspaceID("clerks")
		if client == d.agents {
			workspace = "agents"
		}
		d.firstToken.Record(meter.Series{Workspace: workspace, Class: request.Class}, completion.FirstToken)
		return completion
	}
	if err != nil {
		fmt.Fprintf(d.Out, "   request of class %s failed: %v\n", request.Class, err)
	}
	return nil
}

// streamCompletions sends the same prompts from two workspaces.
func (d *Demo) streamCompletions(ctx context.Context) error {
	for i := range 10 {
		text := d.source.Text(fmt.Sprintf("stock question %d", i), 200)
		d.send(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 8})
		d.send(ctx, d.agents, caller.CompletionRequest{Model: model, Class: "lookup", Text: text, MaxTokens: 8})
	}
	d.check(d.tally.complete.Load() == 20, "all 20 answers are complete and match their prompts")
	return nil
}

// conversationBlocks is the length of the returning conversation, in cache blocks.
const conversationBlocks = 3

// returnConversation sends a conversation, evicts its blocks from the engines by other
// prompts, and sends it again with one more turn, which must read the blocks from a
// store.
func (d *Demo) returnConversation(ctx context.Context) error {
	text := d.source.Text("refill history of the cafe", conversationBlocks*cache.BlockTokens)
	first := d.send(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: text, MaxTokens: 8})
	if first == nil {
		return nil
	}
	fmt.Fprintf(d.Out, "   first request:  %d of %d tokens from cache, first token after %v\n",
		first.CachedTokens, first.PromptTokens, first.FirstToken.Round(time.Millisecond))
	stored := await(ctx, func() bool {
		counts, err := d.Standins.ReadCounts(ctx)
		return err == nil && counts.StoreTotal.Writes >= conversationBlocks
	})
	d.check(stored, "its %d blocks are saved in a store", conversationBlocks)
	// Prompts with other files evict its blocks from the caches of all engines.
	for i := range 60 {
		other := d.source.Text(fmt.Sprintf("file %d", i), 4*cache.BlockTokens)
		d.send(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: other, MaxTokens: 1})
	}
	before, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	text += d.source.Text(" and what did they order last", 40)
	again := d.send(ctx, d.clerks, caller.CompletionRequest{Model: model, Class: "summary", Text: text, MaxTokens: 8})
	if again == nil {
		return nil
	}
	after, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   second request: %d of %d tokens from cache, first token after %v\n",
		again.CachedTokens, again.PromptTokens, again.FirstToken.Round(time.Millisecond))
	d.check(again.CachedTokens == conversationBlocks*cache.BlockTokens, "its %d blocks are not recomputed", conversationBlocks)
	d.check(after.StoreTotal.Reads-before.StoreTotal.Reads == conversationBlocks, "its %d blocks are read from a store", conversationBlocks)
	return nil
}

// repeatBooking sends a non-repeatable order twice with the same idempotency key. It
// checks that the order runs once and that the second request gets the recorded answer.
func (d *Demo) repeatBooking(ctx context.Context) error {
	before, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	order := caller.Order{Service: ledger, Operation: "book", Class: "booking", Key: "poya-eve-1", Body: []byte("two cylinders")}
	var answers [2]*caller.Answer
	for i := range answers {
		d.tally.requests.Add(1)
		if answers[i], err = d.clerks.Order(ctx, order); err != nil {
			return err
		}
		d.tally.complete.Add(1)
	}
	after, err := d.Standins.ReadCounts(ctx)
	if err != nil {
		return err
	}
	d.check(after.Service.Calls-before.Service.Calls == 1, "the booking runs once")
	d.check(string(answers[0].Body) == string(answers[1].Body), "both requests get the same answer")
	d.check(!answers[0].Repeated && answers[1].Repeated, "only the second answer is marked as a recorded one")
	return nil
}

// sendInvalidRequests checks the reasons with which invalid requests are refused.
func (d *Demo) sendInvalidRequests(ctx context.Context) error {
	reasonOf := func(err error) fleet.Reason {
		var refusal *fleet.RefusalError
		if !errors.As(err, &refusal) || refusal.Outcome != fleet.OutcomeNotRun {
			return ""
		}
		return refusal.Reason
	}
	reasonOfOrder := func(client *caller.Client, o caller.Order) fleet.Reason {
		_, err := client.Order(ctx, o)
		return reasonOf(err)
	}
	unknownCaller := &caller.Client{EntryHosts: d.EntryHosts, Key: "nobody"}
	book := caller.Order{Service: ledger, Operation: "book", Body: []byte("x")}
	d.check(reasonOfOrder(d.clerks, book) == fleet.ReasonNoIdempotencyKey, "a booking without an idempotency key is refused")
	book.Key = "poya-eve-1"
	d.check(reasonOfOrder(d.clerks, book) == fleet.ReasonIdempotencyKeyReused, "another booking with a used idempotency key is refused")
	d.check(reasonOfOrder(d.agents, book) == fleet.ReasonForbidden, "a booking by a workspace without access to the model is refused")
	d.check(reasonOfOrder(unknownCaller, book) == fleet.ReasonUnauthorized, "a booking with an unknown caller key is refused")
	_, err := d.clerks.Complete(ctx, caller.CompletionRequest{Model: "none", Text: "x", MaxTokens: 1})
	d.check(reasonOf(err) == fleet.ReasonUnknownModel, "a prompt for an unknown model is refused")
	return nil
}
