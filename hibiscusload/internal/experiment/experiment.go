// Package experiment sends a workload through a fleet, or to the engines directly as
// a baseline, and measures what users judge a fleet by: time to first token, share of
// prompt tokens that are recomputed, use of the store links, and availability while
// parts of the fleet fail or leave.
//
// The load is open-loop: arrivals follow a Poisson process with a fixed rate, so that
// a slow system does not reduce the load. The same seed sends the same prompts after
// the same pauses.
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
	"hibiscuslb/hibiscusload/internal/standins"
	"hibiscuslb/hibiscusload/internal/workload"
	"hibiscuslb/standin/script"
)

// An Experiment is one run. The caller sets the exported fields.
type Experiment struct {
	Name          string
	Route         string // Fleet, or one of the baselines Random and Hash
	Deployment    string // whose workload is sent: Kandyan or Kypseli
	Model         fleet.ModelID
	Workspace     fleet.WorkspaceID
	Key           string // caller key of the workspace
	EntryHosts    []fleet.Address
	Operator      operator.Client
	Platform      fleet.Address // for events that set its faults
	Standins      standins.Set
	Conversations int     // number of conversations
	Requests      int     // number of requests
	Rate          float64 // requests per second
	Seed          uint64
	Events        []Event   // in the order in which they are applied
	Progress      io.Writer // receives a line for every 100 requests sent; may be nil
}

// nudgeDeadline is the fleet's objective for the time to the first token of a nudge.
const nudgeDeadline = 1600 * time.Millisecond

// profiles returns the workload of the deployment.
func (e *Experiment) profiles() []workload.Profile {
	if e.Deployment == "Kypseli" {
		return workload.KypseliProfiles
	}
	return workload.KandyanProfiles
}

// route returns the way in which requests are sent.
func (e *Experiment) route() (route, error) {
	switch e.Route {
	case "Fleet":
		return fleetRoute{&caller.Client{EntryHosts: e.EntryHosts, Key: e.Key}}, nil
	case "Random":
		return directRoute{model: e.Model, version: "v1", pick: pickRandom(e.Standins.Engines)}, nil
	case "Hash":
		return directRoute{model: e.Model, version: "v1", pick: pickByHash(e.Standins.Engines)}, nil
	default:
		return nil, fmt.Errorf("unknown route %q, want Fleet, Random or Hash", e.Route)
	}
}

// Run sends all requests, applies the events between them and returns the
// measurements.
func (e *Experiment) Run(ctx context.Context) (*report.Run, error) {
	route, err := e.route()
	if err != nil {
		return nil, err
	}
	source := workload.NewSource(e.Seed)
	conversations := workload.NewConversations(source, e.profiles(), e.Conversations)
	schedule := workload.Schedule(source, e.Conversations, e.Requests)
	before, err := e.Standins.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	outcomes := newCollector(e)
	start := time.Now()
	var requests task.Group
	events := e.Events
	for n, index := range schedule {
		for len(events) > 0 && n >= int(events[0].At*float64(e.Requests)) {
			event := events[0]
			events = events[1:]
			if err := event.apply(ctx, e); err != nil {
				return nil, fmt.Errorf("applying event %q: %w", event.Name, err)
			}
			outcomes.recordEvent(event.Name, time.Since(start))
		}
		conversation := conversations[index]
		conversation.AddTurn(source)
		request := e.newRequest(conversation)
		time.Sleep(time.Duration(source.ExpFloat64() / e.Rate * float64(time.Second)))
		requests.Go(ctx, func(ctx context.Context) { outcomes.recordOutcome(e.send(ctx, route, request), start) })
		if e.Progress != nil && n%100 == 99 {
			fmt.Fprintf(e.Progress, "run %s: sent %d of %d requests\n", e.Name, n+1, e.Requests)
		}
	}
	requests.Wait()
	after, err := e.Standins.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	return outcomes.finish(before, after, time.Since(start)), nil
}

// newRequest returns the next request of a conversation.
func (e *Experiment) newRequest(c *workload.Conversation) caller.CompletionRequest {
	request := caller.CompletionRequest{
		Model: e.Model, Class: c.Class, Text: c.Text, MaxTokens: workload.AnswerTokens(e.profiles(), c.Class),
	}
	if c.Class == "nudge" {
		request.Deadline = nudgeDeadline
	}
	return request
}

// send sends the request and compares the answer with the one that the stand-in
// engines generate for its prompt.
func (e *Experiment) send(ctx context.Context, route route, request caller.CompletionRequest) outcome {
	result := outcome{workspace: e.Workspace, class: request.Class, deadline: request.Deadline, start: time.Now()}
	result.answer, result.err = route.complete(ctx, request)
	result.end = time.Now()
	if result.err == nil && result.answer.Text != script.New([]byte(request.Text)).Answer(request.MaxTokens) {
		result.err = errWrongAnswer
	}
	return result
}
