// Package experiment sends a workload through a fleet, or through a baseline
// without one, and measures what the users weigh: time to first token, share of
// prompt work recomputed, use of the store links, and service while something
// fails or leaves.
//
// Arrivals follow a Poisson process at a fixed rate, so that a slow system does
// not slow its callers. The same seed sends the same prompts at the same
// times.
package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/operator"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusload/internal/report"
	"hibiscuslb/hibiscusload/internal/target"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/script"
)

// An Experiment is one run. Fill in the fields.
type Experiment struct {
	Name          string
	Route         string // Fleet, Random or Hash
	Deployment    string // Kandyan or Kypseli
	Model         fleet.ModelID
	Workspace     fleet.WorkspaceID
	Key           string // caller key of the workspace
	EntryHosts    []fleet.Address
	Operator      operator.Client
	Platform      fleet.Address
	Targets       target.Set
	Conversations int
	Requests      int
	Rate          float64 // requests per second
	Seed          uint64
	Events        []Event
	Progress      io.Writer
}

// nudgeDeadline is the first-token target of the fleet.
const nudgeDeadline = 1600 * time.Millisecond

func (e *Experiment) kinds() []workload.Profile {
	if e.Deployment == "Kypseli" {
		return workload.KypseliProfiles
	}
	return workload.KandyanProfiles
}

func (e *Experiment) route() (route, error) {
	switch e.Route {
	case "Fleet":
		return throughFleet{&caller.Client{EntryHosts: e.EntryHosts, Key: e.Key}}, nil
	case "Random":
		return direct{model: e.Model, version: "v1", pick: randomly(e.Targets.Engines)}, nil
	case "Hash":
		return direct{model: e.Model, version: "v1", pick: byHash(e.Targets.Engines)}, nil
	default:
		return nil, fmt.Errorf("route %q is none of Fleet, Random, Hash", e.Route)
	}
}

// Run sends all requests and returns the measures.
func (e *Experiment) Run(ctx context.Context) (*report.Run, error) {
	route, err := e.route()
	if err != nil {
		return nil, err
	}
	source := workload.NewSource(e.Seed)
	conversations := workload.NewConversations(source, e.kinds(), e.Conversations)
	schedule := workload.Schedule(source, e.Conversations, e.Requests)
	before, err := e.Targets.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	collect := newCollector(e)
	begun := time.Now()
	var requests task.Group
	events := e.Events
	for n, who := range schedule {
		for len(events) > 0 && n >= int(events[0].At*float64(e.Requests)) {
			event := events[0]
			events = events[1:]
			if err := event.apply(ctx, e); err != nil {
				return nil, fmt.Errorf("event %s: %w", event.Name, err)
			}
			collect.mark(event.Name, time.Since(begun))
		}
		conversation := conversations[who]
		conversation.AddTurn(source)
		prompt := e.prompt(conversation)
		time.Sleep(time.Duration(source.ExpFloat64() / e.Rate * float64(time.Second)))
		requests.Go(ctx, func(ctx context.Context) { collect.add(e.ask(ctx, route, prompt), begun) })
		if e.Progress != nil && n%100 == 99 {
			fmt.Fprintf(e.Progress, "%s: %d of %d sent\n", e.Name, n+1, e.Requests)
		}
	}
	requests.Wait()
	after, err := e.Targets.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	return collect.run(before, after, time.Since(begun)), nil
}

func (e *Experiment) prompt(c *workload.Conversation) caller.CompletionRequest {
	prompt := caller.CompletionRequest{
		Model: e.Model, Class: c.Class, Text: c.Text, MaxTokens: workload.AnswerTokens(e.kinds(), c.Class),
	}
	if c.Class == "nudge" {
		prompt.Deadline = nudgeDeadline
	}
	return prompt
}

func (e *Experiment) ask(ctx context.Context, route route, prompt caller.CompletionRequest) outcome {
	result := outcome{workspace: e.Workspace, class: prompt.Class, deadline: prompt.Deadline, began: time.Now()}
	result.answer, result.err = route.complete(ctx, prompt)
	result.end = time.Now()
	if result.err == nil && result.answer.Text != script.New([]byte(prompt.Text)).Answer(prompt.MaxTokens) {
		result.err = errWrong
	}
	return result
}
