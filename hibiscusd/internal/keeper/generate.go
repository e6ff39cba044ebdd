package keeper

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/fleet/target"
	"hibiscuslb/hibiscusd/internal/wire"
)

// basePatience is what a request waits at its first candidate even when it
// would lose nothing elsewhere: the cost of asking there.
const basePatience = 20 * time.Millisecond

// A job is one prompt on its way through a keeper.
type job struct {
	keeper         *Keeper
	ask            *wire.GenerateRequest
	target         *declaration.Target
	policy         placement.Policy
	version        fleet.WeightVersion
	chain          []cache.Key
	prompt         placement.Prompt
	deadline       fleet.Instant
	storedBlocks   int // leading blocks that a store has
	importedBlocks int // blocks that were fetched
}

// maxPlans bounds how often a prompt is planned anew because its target has
// loaded another version in between.
const maxPlans = 3

// Generate serves a prompt at a target that this host keeps. It calls emit
// with each piece of the answer. Its error is a *fleet.RefusalError.
func (s *Set) Generate(ctx context.Context, ask *wire.GenerateRequest, emit func(*wire.Piece) error) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	var err error
	for range maxPlans {
		var retry bool
		if retry, err = s.generate(ctx, ask, emit); !retry {
			break
		}
	}
	return err
}

// generate makes one plan and carries it out. It reports whether the target
// has provably not run it because of its version, so that a new plan may do.
func (s *Set) generate(ctx context.Context, ask *wire.GenerateRequest, emit func(*wire.Piece) error) (bool, error) {
	keeper, declared, err := s.lookup(ask.Target)
	if err != nil {
		return false, err
	}
	job, err := s.newJob(keeper, declared, ask)
	if err != nil {
		return false, err
	}
	id, err := keeper.acquire(ctx, job.ticket())
	if err != nil {
		return false, err
	}
	job.fetchBlocks(ctx, id)
	if err := s.checkDispatch(keeper); err != nil {
		keeper.release(id, target.ResultNotRun)
		return false, err
	}
	err = job.dispatch(ctx, id, emit)
	keeper.release(id, resultOf(ctx, err))
	if err != nil {
		refusal := job.refusalFor(ctx, err)
		var refused *engine.NotRunError
		return errors.As(err, &refused) && keeper.loadedVersion() != job.version, refusal
	}
	keeper.queueExport(job)
	return false, nil
}

func (s *Set) newJob(keeper *Keeper, declared *declaration.Target, ask *wire.GenerateRequest) (*job, error) {
	view := s.Control.View()
	workspace, ok := view.Declaration.Workspaces[ask.Workspace]
	if !ok {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "unknown workspace")
	}
	j := &job{keeper: keeper, ask: ask, target: declared, policy: placement.PolicyOf(ask.Policy)}
	if ask.Deadline > 0 {
		j.deadline = s.Clock().Add(ask.Deadline)
	}
	j.version = keeper.loadedVersion()
	if j.version == "" {
		j.version = view.Declaration.Models[declared.Model].Version
	}
	scope := cache.Scope{Secret: workspace.CacheSecret(s.CacheSecret), Model: declared.Model, Version: j.version}
	j.chain = scope.BlockKeys(ask.Prompt)
	j.prompt = placement.Prompt{
		Tokens: cache.TokenCount(len(ask.Prompt)) + ask.From,
		Rate:   declared.PrefillRate,
	}
	j.prompt.Resident = keeper.residentBlocks(j.chain)
	return j, nil
}

func (j *job) ticket() target.Ticket {
	work := j.prompt.ComputeTime(j.prompt.Resident)
	ticket := target.Ticket{
		Run: target.RunID(j.ask.Attempt), Workspace: j.ask.Workspace, Class: j.ask.Class, Priority: j.ask.Priority,
		Deadline: j.deadline, Work: work,
	}
	if !j.ask.Last {
		lost := j.prompt.ComputeTime(0) - work
		ticket.MaxWait = basePatience + j.policy.MaxWait(lost)
	}
	return ticket
}

// dispatch sends the prompt to the engine and passes the answer on.
func (j *job) dispatch(ctx context.Context, id target.TicketID, emit func(*wire.Piece) error) error {
	client := engine.Client{Address: j.target.Address, IdleLimit: j.keeper.set.Limits.IdleTimeout}
	request := engine.Request{
		Attempt: j.ask.Attempt, Workspace: j.ask.Workspace, Model: j.target.Model, Version: j.version,
		Priority: engine.Priority(j.ask.Priority), Prompt: j.ask.Prompt, Blocks: j.chain,
		MaxTokens: j.ask.MaxTokens, From: j.ask.From, Fence: j.keeper.epoch,
	}
	err := client.Generate(ctx, request, func(piece engine.Piece) error {
		if piece.Start != nil {
			j.recordStart(id, piece.Start)
		}
		return emit(&wire.Piece{
			Index: piece.Index, Text: piece.Text, Start: piece.Start, End: piece.End, Count: piece.Count,
			Wait: j.startWait(piece.Start != nil),
		})
	})
	var broken *engine.IncompleteError
	if errors.As(err, &broken) {
		j.cancel(ctx, &client)
	}
	return err
}

func (j *job) startWait(isStart bool) time.Duration {
	if !isStart {
		return 0
	}
	return j.keeper.estimatedWait()
}

// cancel tells the engine on another connection that nobody waits any more,
// since the one that broke may merely be silent.
func (j *job) cancel(ctx context.Context, client *engine.Client) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	// An engine that can not be reached has nobody to write to either.
	_ = client.Cancel(ctx, j.ask.Attempt)
}

func (j *job) recordStart(id target.TicketID, start *engine.Start) {
	k := j.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.notifyAll(k.admission.RecordStart(k.set.Clock(), id, start.Incarnation))
	expected, cached := j.prompt.Resident+j.importedBlocks, int(start.Cached/cache.BlockTokens)
	k.set.Metrics.Add("ExpectedBlocksMissed", int64(max(0, expected-cached)))
	k.set.Log.Debug().Str("Target", string(k.id)).Int("Blocks", len(j.chain)).Int("Resident", j.prompt.Resident).
		Int("Imported", j.importedBlocks).Int("Stored", j.storedBlocks).Int("Cached", cached).Msg("answer begins")
	if k.version == j.version {
		k.mirror.RecordUse(j.chain...)
	}
	metrics := k.set.Metrics
	metrics.Add("PromptTokens", int64(start.Cached+start.Computed))
	metrics.Add("ComputedTokens", int64(start.Computed))
}

func resultOf(ctx context.Context, err error) target.Result {
	var refused *engine.NotRunError
	switch {
	case err == nil:
		return target.ResultComplete
	case ctx.Err() != nil:
		return target.ResultCancelled
	case errors.As(err, &refused):
		return target.ResultNotRun
	default:
		return target.ResultIncomplete
	}
}

// refusalFor turns a failed dispatch into what the caller's host is told.
func (j *job) refusalFor(ctx context.Context, err error) error {
	var refused *engine.NotRunError
	if !errors.As(err, &refused) {
		return &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
	}
	if refused.Status == 0 && ctx.Err() == nil {
		j.keeper.markDown()
	} else {
		// It refuses what is known of it, such as its version: ask it.
		j.keeper.fetchReport(ctx)
	}
	return fleet.RefuseWithRetryAfter(fleet.ReasonTargetFailed, downPeriod)
}
