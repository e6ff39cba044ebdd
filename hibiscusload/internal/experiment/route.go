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

// An outcome is what came of one prompt.
type outcome struct {
	answer     *caller.Completion
	err        error
	workspace  fleet.WorkspaceID
	class      fleet.Class
	deadline   time.Duration
	began, end time.Time
}

// A route serves prompts.
type route interface {
	complete(ctx context.Context, prompt caller.CompletionRequest) (*caller.Completion, error)
}

// throughFleet is the system itself.
type throughFleet struct{ client *caller.Client }

func (r throughFleet) complete(ctx context.Context, prompt caller.CompletionRequest) (*caller.Completion, error) {
	return r.client.Complete(ctx, prompt)
}

// direct is a baseline: prompts go straight to an engine that pick chooses,
// without keepers and stores.
type direct struct {
	model   fleet.ModelID
	version fleet.WeightVersion
	pick    func(prompt []byte) fleet.Address
}

// randomly picks any engine.
func randomly(engines []fleet.Address) func([]byte) fleet.Address {
	return func([]byte) fleet.Address { return engines[mathrand.IntN(len(engines))] }
}

// byHash picks the engine of the conversation by hashing.
func byHash(engines []fleet.Address) func([]byte) fleet.Address {
	return func(prompt []byte) fleet.Address {
		root := uint64(cache.AffinityHashOf("", prompt))
		return placement.Rank(root, engines,
			func(a fleet.Address) string { return string(a) }, func(fleet.Address) float64 { return 1 })[0]
	}
}

func (r direct) complete(ctx context.Context, prompt caller.CompletionRequest) (*caller.Completion, error) {
	text := []byte(prompt.Text)
	scope := cache.Scope{Model: r.model, Version: r.version}
	request := engine.Request{
		Attempt: engine.Attempt(rand.Text()), Model: r.model, Version: r.version,
		Prompt: text, Blocks: scope.BlockKeys(text), MaxTokens: prompt.MaxTokens,
	}
	client := engine.Client{Address: r.pick(text)}
	result := new(caller.Completion)
	var answer strings.Builder
	begun := time.Now()
	var last time.Time
	err := client.Generate(ctx, request, func(piece engine.Piece) error {
		now := time.Now()
		switch {
		case piece.Start != nil:
			result.CachedTokens = piece.Start.Cached
			result.PromptTokens = piece.Start.Cached + piece.Start.Computed
		case !piece.End:
			if result.Tokens == 0 {
				result.FirstToken = now.Sub(begun)
			} else {
				result.PieceGaps = append(result.PieceGaps, now.Sub(last))
			}
			last = now
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

// refused reports whether the error is a refusal that proves "not run".
func refused(err error) bool {
	var refusal *fleet.RefusalError
	return errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun
}
