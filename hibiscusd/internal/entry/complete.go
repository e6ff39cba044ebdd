package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/answer"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/wire"
)

// A completion is one prompt on its way to its answer.
type completion struct {
	entry     *Entry
	caller    *caller
	model     fleet.ModelID
	prompt    []byte
	maxTokens fleet.Tokens
	emit      func(text string) error

	assembler answer.Assembler
	arrived   fleet.Instant
	lastPiece fleet.Instant
	usage     Usage
	tried     map[fleet.TargetID]bool
	refused   int   // keepers that have refused; hosts that are gone do not count
	callerErr error // emit failed: the caller has gone
}

// Usage tells a caller what its prompt took.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	CachedTokens     fleet.Tokens `json:"cached_tokens"`
}

// attemptsTried bounds the dispatches of one prompt, whatever the budget.
const attemptsTried = 6

// run serves the prompt until its answer is whole. Its error is a refusal.
func (c *completion) run(ctx context.Context) error {
	c.arrived = c.entry.Clock()
	c.tried = make(map[fleet.TargetID]bool)
	c.entry.retries.RecordFirstAttempt()
	var last error
	for range attemptsTried {
		err := c.attempt(ctx, last)
		if err == nil {
			return nil
		}
		if c.callerErr != nil || ctx.Err() != nil {
			return c.gaveUp(err)
		}
		var exhausted *exhaustedError
		if errors.As(err, &exhausted) {
			return c.final(last, err)
		}
		last = err
		if !notRun(err) && !c.entry.retries.TryRetry() {
			return c.final(err, fleet.RefuseWithRetryAfter(fleet.ReasonRetryBudget, time.Second))
		}
	}
	return last
}

// exhaustedError reports that no candidate is left.
type exhaustedError struct{ refusal error }

func (e *exhaustedError) Error() string { return e.refusal.Error() }
func (e *exhaustedError) Unwrap() error { return e.refusal }

// final picks the error that tells the caller most.
func (c *completion) final(last, otherwise error) error {
	if last != nil {
		return last
	}
	var exhausted *exhaustedError
	if errors.As(otherwise, &exhausted) {
		return exhausted.refusal
	}
	return otherwise
}

func (c *completion) gaveUp(err error) error {
	if c.callerErr != nil {
		return c.callerErr
	}
	return &fleet.RefusalError{Reason: fleet.ReasonStreamTimeout, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}

// notRun reports whether the error proves that the request did not run.
func notRun(err error) bool {
	var refusal *fleet.RefusalError
	var dial *peer.DialError
	return (errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun) || errors.As(err, &dial)
}

// attempt offers the prompt to the best candidate that was not tried yet.
func (c *completion) attempt(ctx context.Context, last error) error {
	view, err := c.entry.view()
	if err != nil {
		return &exhaustedError{err}
	}
	left, err := c.entry.remaining(c.caller)
	if err != nil && c.usage.CompletionTokens == 0 {
		return &exhaustedError{err}
	}
	candidates := c.candidates(view, last)
	if len(candidates) == 0 || c.refused >= candidatesTried {
		return &exhaustedError{fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, time.Second)}
	}
	best := c.choose(candidates)
	c.tried[best.ID] = true
	ask := &wire.GenerateRequest{
		Attempt: engine.Attempt(rand.Text()), Target: best.ID, Workspace: c.caller.workspace.ID,
		Class: c.caller.class.ID, Priority: c.caller.class.Priority, Policy: c.caller.workspace.Policy,
		Prompt: c.prompt, MaxTokens: c.maxTokens, Deadline: left,
		Last: len(candidates) == 1 || c.refused == candidatesTried-1,
	}
	if c.usage.CompletionTokens > 0 {
		ask.Deadline = 0 // it was met
	}
	ask.From = c.assembler.BeginAttempt(ask.Attempt)
	err = c.send(ctx, view, best, ask)
	if err == nil && !c.assembler.Complete() {
		err = &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: "no end mark"}
	}
	return err
}

// candidates ranks the targets that serve the model and were not tried. When
// there are no others, an answer that broke may go on where it broke.
func (c *completion) candidates(view *control.View, last error) []*declaration.Target {
	d := view.Declaration
	ranked := placement.Rank(uint64(cache.AffinityHashOf(c.caller.workspace.ID, c.prompt)), d.TargetsByModel(c.model),
		func(t *declaration.Target) string { return string(t.ID) },
		func(t *declaration.Target) float64 { return weight(view, t) })
	var left []*declaration.Target
	for _, target := range ranked {
		if !c.tried[target.ID] {
			left = append(left, target)
		}
	}
	if len(left) == 0 && last != nil && !notRun(last) {
		left = ranked
	}
	return c.entry.reachable(view, left)
}

// weight is how much a target is to carry; zero if it has no keeper now or
// gets no new work.
func weight(view *control.View, target *declaration.Target) float64 {
	if !view.Declaration.TargetInService(target) {
		return 0
	}
	if _, ok := view.TargetHolder(target); !ok {
		return 0
	}
	return target.Share * view.Declaration.DataCentres[target.DataCentre].Share
}

// choose weighs the two best candidates by the workspace's policy. The first
// is expected to hold the prompt's blocks, the second to compute them.
func (c *completion) choose(candidates []*declaration.Target) *declaration.Target {
	if len(candidates) == 1 {
		return candidates[0]
	}
	now := c.entry.Clock()
	tokens := cache.TokenCount(len(c.prompt))
	estimates := []placement.Estimate{
		{Queue: c.entry.loads.wait(candidates[0].ID, now), Compute: rest(candidates[0], tokens)},
		{Queue: c.entry.loads.wait(candidates[1].ID, now), Compute: candidates[1].PrefillRate.Time(tokens)},
	}
	return candidates[placement.Best(placement.PolicyOf(c.caller.workspace.Policy), estimates)]
}

// rest is the time to compute what is beyond the prompt's whole blocks.
func rest(target *declaration.Target, tokens fleet.Tokens) time.Duration {
	return target.PrefillRate.Time(tokens % cache.BlockTokens)
}

// send passes the prompt to the target's keeper and takes its answer.
func (c *completion) send(ctx context.Context, view *control.View, target *declaration.Target, ask *wire.GenerateRequest) error {
	owner, ok := view.TargetHolder(target)
	if !ok {
		return fleet.Refuse(fleet.ReasonNotHolder, string(target.ID))
	}
	take := func(piece *wire.Piece) error { return c.take(ask, piece) }
	var err error
	if owner.Member == view.Self {
		err = c.entry.Keepers.Generate(ctx, ask, take)
	} else {
		err = c.forward(ctx, owner.Address, ask, take)
		c.entry.noteLost(owner.Address, err)
	}
	var refusal *fleet.RefusalError
	if errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun {
		c.refused++
	}
	if refusal != nil && refusal.RetryAfter > 0 {
		c.entry.loads.note(target.ID, refusal.RetryAfter, c.entry.Clock())
	}
	return err
}

func (c *completion) forward(ctx context.Context, address fleet.Address, ask *wire.GenerateRequest, take func(*wire.Piece) error) error {
	exchange, err := c.entry.Pool.Open(ctx, address, wire.KindGenerate, ask)
	if err != nil {
		return err
	}
	defer exchange.Close()
	for {
		var piece wire.Piece
		err := exchange.Next(ctx, &piece)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := take(&piece); err != nil {
			return err
		}
	}
}

// take passes a piece on if it is the one that is due.
func (c *completion) take(ask *wire.GenerateRequest, piece *wire.Piece) error {
	if piece.Start != nil {
		c.entry.loads.note(ask.Target, piece.Wait, c.entry.Clock())
		c.usage.CachedTokens = piece.Start.Cached
		c.usage.PromptTokens = cache.TokenCount(len(c.prompt))
		return nil
	}
	passOn, err := c.assembler.Accept(&engine.Piece{
		Attempt: ask.Attempt, Index: piece.Index, Text: piece.Text, End: piece.End, Count: piece.Count,
	})
	if err != nil || !passOn {
		return err
	}
	if err := c.emit(piece.Text); err != nil {
		c.callerErr = err
		return err
	}
	c.measure()
	return nil
}

func (c *completion) measure() {
	now := c.entry.Clock()
	series := meter.Series{Workspace: c.caller.workspace.ID, Class: c.caller.class.ID}
	if c.usage.CompletionTokens == 0 {
		c.entry.Metrics.FirstToken.Record(series, now.Sub(c.arrived))
	} else {
		c.entry.Metrics.BetweenTokens.Record(series, now.Sub(c.lastPiece))
	}
	c.lastPiece = now
	c.usage.CompletionTokens++
}
