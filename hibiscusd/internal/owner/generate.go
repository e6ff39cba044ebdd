package owner

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

// baseMaxWait is about the time that sending the request to another candidate
// takes. This wait is accepted at every candidate but the last, even if another
// candidate would need no additional work.
const baseMaxWait = 20 * time.Millisecond

// job is the state of one prompt that an owner serves.
type job struct {
	owner    *Owner
	request  *wire.GenerateRequest
	target   *declaration.Target
	policy   placement.Policy
	version  fleet.WeightVersion
	chain    []cache.Key
	prompt   placement.Prompt
	deadline fleet.Instant
	// firstExport is the number of blocks at the start of chain that are not
	// exported: those in the store, or all if there is no store, it does not
	// answer, or it is not needed since all blocks are resident.
	firstExport    int
	importedBlocks int // blocks imported from the store, following the resident ones
}

// maxJobs bounds the jobs made for one prompt whose target loads another weight
// version between newJob and dispatch.
const maxJobs = 3

// Generate serves a prompt at a target that this host owns. It calls emit
// with each piece of the answer. The error is a *fleet.RefusalError.
func (s *Set) Generate(ctx context.Context, request *wire.GenerateRequest, emit func(*wire.Piece) error) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	var err error
	for range maxJobs {
		var retry bool
		if retry, err = s.generate(ctx, request, emit); !retry {
			break
		}
	}
	return err
}

// generate makes one attempt to serve a prompt. It reports whether to retry with a
// new job: the target has provably not run the prompt, and its weight version
// differs from that of the job.
func (s *Set) generate(ctx context.Context, request *wire.GenerateRequest, emit func(*wire.Piece) error) (bool, error) {
	owner, declared, err := s.lookup(request.Target)
	if err != nil {
		return false, err
	}
	job, err := s.newJob(owner, declared, request)
	if err != nil {
		return false, err
	}
	id, err := owner.acquire(ctx, job.ticket())
	if err != nil {
		return false, err
	}
	job.fetchBlocks(ctx, id)
	if err := s.checkDispatch(owner); err != nil {
		owner.release(id, target.ResultNotRun)
		return false, err
	}
	err = job.dispatch(ctx, id, emit)
	owner.release(id, resultOf(ctx, err))
	if err != nil {
		refusal := job.refusalFor(ctx, err)
		var notRun *engine.NotRunError
		return errors.As(err, &notRun) && owner.loadedVersion() != job.version, refusal
	}
	owner.queueExport(job)
	return false, nil
}

func (s *Set) newJob(owner *Owner, declared *declaration.Target, request *wire.GenerateRequest) (*job, error) {
	view := s.Control.View()
	workspace, ok := view.Declaration.Workspaces[request.Workspace]
	if !ok {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "workspace "+string(request.Workspace)+" is not declared")
	}
	j := &job{owner: owner, request: request, target: declared, policy: placement.PolicyOf(request.Policy)}
	if request.Deadline > 0 {
		j.deadline = s.Clock().Add(request.Deadline)
	}
	j.version = owner.loadedVersion()
	if j.version == "" {
		j.version = view.Declaration.Models[declared.Model].Version
	}
	scope := cache.Scope{Secret: workspace.CacheSecret(s.CacheSecret), Model: declared.Model, Version: j.version}
	j.chain = scope.BlockKeys(request.Prompt)
	j.prompt = placement.Prompt{
		Tokens: cache.TokenCount(len(request.Prompt)) + request.From,
		Rate:   declared.PrefillRate,
	}
	j.prompt.Resident = owner.residentBlocks(j.chain)
	return j, nil
}

func (j *job) ticket() target.Ticket {
	work := j.prompt.ComputeTime(j.prompt.Resident)
	ticket := target.Ticket{
		Run: target.RunID(j.request.Attempt), Workspace: j.request.Workspace, Class: j.request.Class, Priority: j.request.Priority,
		Deadline: j.deadline, Work: work,
	}
	if !j.request.Last {
		lost := j.prompt.ComputeTime(0) - work
		ticket.MaxWait = baseMaxWait + j.policy.MaxWait(lost)
	}
	return ticket
}

// dispatch sends the prompt to the engine and passes each piece of the answer to
// emit.
func (j *job) dispatch(ctx context.Context, id target.TicketID, emit func(*wire.Piece) error) error {
	client := engine.Client{Address: j.target.Address, IdleLimit: j.owner.set.Limits.IdleTimeout}
	request := engine.Request{
		Attempt: j.request.Attempt, Workspace: j.request.Workspace, Model: j.target.Model, Version: j.version,
		Priority: engine.Priority(j.request.Priority), Prompt: j.request.Prompt, Blocks: j.chain,
		MaxTokens: j.request.MaxTokens, From: j.request.From, Fence: j.owner.epoch,
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
	var incomplete *engine.IncompleteError
	if errors.As(err, &incomplete) {
		j.cancel(ctx, &client)
	}
	return err
}

// startWait returns the estimated wait that is reported with the first piece of an
// answer, and zero for the other pieces.
func (j *job) startWait(isStart bool) time.Duration {
	if !isStart {
		return 0
	}
	return j.owner.estimatedWait()
}

// cancel cancels the attempt at the engine on a new connection, because the engine
// may still be running it if the old connection is merely silent.
func (j *job) cancel(ctx context.Context, client *engine.Client) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	// The error is ignored: an engine that cannot be reached cannot deliver the
	// answer either.
	_ = client.Cancel(ctx, j.request.Attempt)
}

// recordStart updates the admission state, the mirror and the metrics when the
// engine has started to answer.
func (j *job) recordStart(id target.TicketID, start *engine.Start) {
	o := j.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notifyAll(o.admission.RecordStart(o.set.Clock(), id, start.Incarnation))
	expected, cached := j.prompt.Resident+j.importedBlocks, int(start.Cached/cache.BlockTokens)
	o.set.Metrics.Add("ExpectedBlocksMissed", int64(max(0, expected-cached)))
	o.set.Log.Debug().Str("Target", string(o.id)).Int("Blocks", len(j.chain)).Int("Resident", j.prompt.Resident).
		Int("Imported", j.importedBlocks).Int("Stored", j.firstExport).Int("Cached", cached).Msg("engine started to answer prompt")
	if o.version == j.version {
		o.mirror.RecordUse(j.chain...)
	}
	metrics := o.set.Metrics
	metrics.Add("PromptTokens", int64(start.Cached+start.Computed))
	metrics.Add("ComputedTokens", int64(start.Computed))
}

// resultOf returns the admission result of a dispatch that returned err.
func resultOf(ctx context.Context, err error) target.Result {
	var notRun *engine.NotRunError
	switch {
	case err == nil:
		return target.ResultComplete
	case ctx.Err() != nil:
		return target.ResultCancelled
	case errors.As(err, &notRun):
		return target.ResultNotRun
	default:
		return target.ResultIncomplete
	}
}

// refusalFor converts the error of a failed dispatch into a refusal. It marks a
// target that could not be reached as down.
func (j *job) refusalFor(ctx context.Context, err error) error {
	var notRun *engine.NotRunError
	if !errors.As(err, &notRun) {
		return &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
	}
	if notRun.Status == 0 && ctx.Err() == nil {
		j.owner.markDown()
	} else {
		// The engine refused the request, so the owner's record of its state, such as
		// its weight version, may be outdated.
		j.owner.fetchReport(ctx)
	}
	return fleet.RefuseWithRetryAfter(fleet.ReasonTargetFailed, downPeriod)
}
