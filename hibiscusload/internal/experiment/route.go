package experiment

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"strings"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/placement"
)

// An outcome is the result of one request.
type outcome struct {
	answer     *caller.Completion
	err        error // errWrongAnswer if the answer is not the expected one
	workspace  fleet.WorkspaceID
	class      fleet.Class
	deadline   time.Duration // for the first token; zero for none
	start, end time.Time
}

// A route is a way of sending completion requests to engines.
type route interface {
	complete(ctx context.Context, request caller.CompletionRequest) (*caller.Completion, error)
}

// fleetRoute sends requests through the hosts of the fleet.
type fleetRoute struct{ client *caller.Client }

func (r fleetRoute) complete(ctx context.Context, request caller.CompletionRequest) (*caller.Completion, error) {
	return r.client.Complete(ctx, request)
}

// directRoute is a baseline without admission control and block stores: it sends each
// prompt directly to the engine that pick returns.
type directRoute struct {
	model   fleet.ModelID
	version fleet.WeightVersion
	pick    func(prompt []byte) fleet.Address
}

// pickRandom returns a function that picks an engine at random.
func pickRandom(engines []fleet.Address) func([]byte) fleet.Address {
	return func([]byte) fleet.Address { return engines[mathrand.IntN(len(engines))] }
}

// pickByHash returns a function that picks an engine by rendezvous hashing over the
// affinity hash of the prompt, so that a conversation always gets the same engine.
func pickByHash(engines []fleet.Address) func([]byte) fleet.Address {
	return func(prompt []byte) fleet.Address {
		affinity := uint64(cache.AffinityHashOf("", prompt))
		return placement.Rank(affinity, engines,
			func(a fleet.Address) string { return string(a) }, func(fleet.Address) float64 { return 1 })[0]
	}
}

func (r directRoute) complete(ctx context.Context, request caller.CompletionRequest) (*caller.Completion, error) {
	prompt := []byte(request.Text)
	scope := cache.Scope{Model: r.model, Version: r.version}
	engineRequest := engine.Request{
		Attempt: engine.Attempt(rand.Text()), Model: r.model, Version: r.version,
		Prompt: prompt, Blocks: scope.BlockKeys(prompt), MaxTokens: request.MaxTokens,
	}
	client := engine.Client{Address: r.pick(prompt)}
	result := new(caller.Completion)
	var answer strings.Builder
	start := time.Now()
	var lastPiece time.Time
	err := client.Generate(ctx, engineRequest, func(piece engine.Piece) error {
		now := time.Now()
		switch {
		case piece.Start != nil:
			result.CachedTokens = piece.Start.Cached
			result.PromptTokens = piece.Start.Cached + piece.Start.Computed
		case !piece.End:
			if result.Tokens == 0 {
				result.FirstToken = now.Sub(start)
			} else {
				result.PieceGaps = append(result.PieceGaps, now.Sub(lastPiece))
			}
			lastPiece = now
			result.Tokens++
			answer.WriteString(piece.Text)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	result.Text = answer.String()
	return result, nil
}

// refused reports whether the error is a refusal of a request that provably did not
// run.
func refused(err error) bool {
	var refusal *fleet.RefusalError
	return errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun
}
