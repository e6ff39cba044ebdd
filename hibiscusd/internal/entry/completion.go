package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
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

// A completion serves one prompt. It dispatches the prompt to candidates in turn
// and passes the pieces of the answer on to the caller.
type completion struct {
	server    *Server
	caller    *caller
	model     fleet.ModelID
	prompt    []byte
	maxTokens fleet.Tokens
	emit      func(text string) error

	assembler     answer.Assembler
	arrivalTime   fleet.Instant
	lastPieceTime fleet.Instant
	usage         Usage
	tried         map[fleet.TargetID]bool
	refusals      int   // refusals by owners; unreachable hosts are not counted
	callerErr     error // of emit, when the caller has disconnected
}

// Usage reports to the caller how many tokens its prompt and answer have, and how
// many tokens of the prompt were found in the cache.
type Usage struct {
	PromptTokens     fleet.Tokens `json:"prompt_tokens"`
	CompletionTokens fleet.Tokens `json:"completion_tokens"`
	CachedTokens     fleet.Tokens `json:"cached_tokens"`
}

// maxAttempts limits the dispatches of one prompt, even if the retry budget allows
// more.
const maxAttempts = 6

// run serves the prompt until its answer is complete. asRefusal converts the error, if
// any, to the refusal that the caller receives.
func (c *completion) run(ctx context.Context) error {
	c.arrivalTime = c.server.Clock()
	c.tried = make(map[fleet.TargetID]bool)
	c.server.retries.RecordFirstAttempt()
	var last error
	for range maxAttempts {
		err := c.attempt(ctx, last)
		if err == nil {
			return nil
		}
		if c.callerErr != nil || ctx.Err() != nil {
			return c.interruptedError(err)
		}
		var terminal *terminalError
		if errors.As(err, &terminal) {
			return c.finalError(last, err)
		}
		last = err
		if !provesNotRun(err) && !c.server.retries.TryRetry() {
			return c.finalError(err, fleet.RefuseWithRetryAfter(fleet.ReasonRetryBudget, time.Second))
		}
	}
	return last
}

// terminalError reports that no further attempt is made: no candidate is left,
// maxCandidates owners have refused, the deadline has passed or this host's lease
// has ended.
type terminalError struct{ refusal error }

func (e *terminalError) Error() string { return e.refusal.Error() }
func (e *terminalError) Unwrap() error { return e.refusal }

// finalError returns the error of the last attempt if there was one, since it is
// more specific, or else the given error.
func (c *completion) finalError(last, otherwise error) error {
	if last != nil {
		return last
	}
	var terminal *terminalError
	if errors.As(otherwise, &terminal) {
		return terminal.refusal
	}
	return otherwise
}

// interruptedError returns the error of a request that ended because the caller
// disconnected or the request's time limit passed.
func (c *completion) interruptedError(err error) error {
	if c.callerErr != nil {
		return c.callerErr
	}
	return &fleet.RefusalError{Reason: fleet.ReasonStreamTimeout, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
}

// provesNotRun reports whether the error proves that the request did not run.
func provesNotRun(err error) bool {
	var refusal *fleet.RefusalError
	var dial *peer.DialError
	return (errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun) || errors.As(err, &dial)
}

// attempt dispatches the prompt to the best candidate that was not tried yet.
func (c *completion) attempt(ctx context.Context, last error) error {
	view, err := c.server.activeView()
	if err != nil {
		return &terminalError{err}
	}
	left, err := c.server.remainingTime(c.caller)
	if err != nil && c.usage.CompletionTokens == 0 {
		return &terminalError{err}
	}
	candidates := c.candidates(view, last)
	if len(candidates) == 0 || c.refusals >= maxCandidates {
		return &terminalError{fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, time.Second)}
	}
	best := c.chooseTarget(candidates)
	c.tried[best.ID] = true
	request := &wire.GenerateRequest{
		Attempt: engine.Attempt(rand.Text()), Target: best.ID, Workspace: c.caller.workspace.ID,
		Class: c.caller.class.ID, Priority: c.caller.class.Priority, Policy: c.caller.workspace.Policy,
		Prompt: c.prompt, MaxTokens: c.maxTokens, Deadline: left,
		Last: len(candidates) == 1 || c.refusals == maxCandidates-1,
	}
	if c.usage.CompletionTokens > 0 {
		request.Deadline = 0 // the first token has already been sent in time
	}
	request.From = c.assembler.BeginAttempt(request.Attempt)
	err = c.send(ctx, view, best, request)
	if err == nil && !c.assembler.Complete() {
		err = &fleet.RefusalError{
			Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown,
			Detail: "answer of target " + string(best.ID) + " ended without an end mark",
		}
	}
	return err
}

// candidates returns the targets that serve the model and were not tried, best
// first. If there are none and the last attempt may have run, it returns the tried
// ones too, so that a broken answer can be continued by the same target.
func (c *completion) candidates(view *control.View, last error) []*declaration.Target {
	d := view.Declaration
	ranked := placement.Rank(uint64(cache.AffinityHashOf(c.caller.workspace.ID, c.prompt)), d.TargetsByModel(c.model),
		func(t *declaration.Target) string { return string(t.ID) },
		func(t *declaration.Target) float64 { return targetWeight(view, t) })
	var left []*declaration.Target
	for _, target := range ranked {
		if !c.tried[target.ID] {
			left = append(left, target)
		}
	}
	if len(left) == 0 && last != nil && !provesNotRun(last) {
		left = ranked
	}
	return c.server.reachableFirst(view, left)
}

// targetWeight returns the target's share of the load, or zero if it has no owner
// or is not in service.
func targetWeight(view *control.View, target *declaration.Target) float64 {
	if !view.Declaration.TargetInService(target) {
		return 0
	}
	if _, ok := view.Owner(target); !ok {
		return 0
	}
	return target.Share * view.Declaration.DataCentres[target.DataCentre].Share
}

// chooseTarget chooses one of the two best candidates by the workspace's policy.
// The first is expected to have the prompt's blocks in its cache, the second to
// compute them.
func (c *completion) chooseTarget(candidates []*declaration.Target) *declaration.Target {
	if len(candidates) == 1 {
		return candidates[0]
	}
	now := c.server.Clock()
	tokens := cache.TokenCount(len(c.prompt))
	estimates := []placement.Estimate{
		{Queue: c.server.queueTimes.wait(candidates[0].ID, now), Compute: partialBlockTime(candidates[0], tokens)},
		{Queue: c.server.queueTimes.wait(candidates[1].ID, now), Compute: candidates[1].PrefillRate.Time(tokens)},
	}
	return candidates[placement.Best(placement.PolicyOf(c.caller.workspace.Policy), estimates)]
}

// partialBlockTime returns the time to compute the tokens after the last whole
// block of a prompt.
func partialBlockTime(target *declaration.Target, tokens fleet.Tokens) time.Duration {
	return target.PrefillRate.Time(tokens % cache.BlockTokens)
}

// send dispatches the prompt to the target's owner, this or another host, and
// receives the answer.
func (c *completion) send(ctx context.Context, view *control.View, target *declaration.Target, request *wire.GenerateRequest) error {
	holder, ok := view.Owner(target)
	if !ok {
		return fleet.Refuse(fleet.ReasonNotHolder, fmt.Sprintf("no host holds the duty for target %q", target.ID))
	}
	receive := func(piece *wire.Piece) error { return c.acceptPiece(request, piece) }
	var err error
	if holder.Member == view.Self {
		err = c.server.Owners.Generate(ctx, request, receive)
	} else {
		err = c.forward(ctx, holder.Address, request, receive)
		c.server.recordUnreachable(holder.Address, err)
	}
	var refusal *fleet.RefusalError
	if errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun {
		c.refusals++
	}
	if refusal != nil && refusal.RetryAfter > 0 {
		c.server.queueTimes.record(target.ID, refusal.RetryAfter, c.server.Clock())
	}
	return err
}

// forward sends the prompt to the owner, another host, and receives the answer.
func (c *completion) forward(ctx context.Context, address fleet.Address, request *wire.GenerateRequest, receive func(*wire.Piece) error) error {
	exchange, err := c.server.Pool.Open(ctx, address, wire.KindGenerate, request)
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
		if err := receive(&piece); err != nil {
			return err
		}
	}
}

// acceptPiece passes a piece on to the caller if it is the next one of the answer.
// From a piece with Start it records the usage and the queue time of the target.
func (c *completion) acceptPiece(request *wire.GenerateRequest, piece *wire.Piece) error {
	if piece.Start != nil {
		c.server.queueTimes.record(request.Target, piece.Wait, c.server.Clock())
		c.usage.CachedTokens = piece.Start.Cached
		c.usage.PromptTokens = cache.TokenCount(len(c.prompt))
		return nil
	}
	passOn, err := c.assembler.Accept(&engine.Piece{
		Attempt: request.Attempt, Index: piece.Index, Text: piece.Text, End: piece.End, Count: piece.Count,
	})
	if err != nil || !passOn {
		return err
	}
	if err := c.emit(piece.Text); err != nil {
		c.callerErr = err
		return err
	}
	c.recordPiece()
	return nil
}

// recordPiece records the time to the first token, or between two tokens, and
// counts the token.
func (c *completion) recordPiece() {
	now := c.server.Clock()
	series := meter.Series{Workspace: c.caller.workspace.ID, Class: c.caller.class.ID}
	if c.usage.CompletionTokens == 0 {
		c.server.Metrics.FirstToken.Record(series, now.Sub(c.arrivalTime))
	} else {
		c.server.Metrics.BetweenTokens.Record(series, now.Sub(c.lastPieceTime))
	}
	c.lastPieceTime = now
	c.usage.CompletionTokens++
}
