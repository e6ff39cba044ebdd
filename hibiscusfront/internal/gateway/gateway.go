// Package gateway serves callers: it finds a request's route, checks its key,
// asks the planner for a target, sends the request there and passes the answer
// on.
//
// The host that a caller has connected to speaks to the target itself. The
// planner only says which one; if it does not answer in time, a deputy does, or
// this host chooses alone (see package chooser).
//
// Invariants: a request that may not be repeated is sent again only after its
// target said that it has not run it; "not run" is said only of such requests;
// an answer that is not whole never looks whole to the caller.
package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// A Chooser decides where requests go, and hears what became of them.
type Chooser interface {
	Choose(ctx context.Context, v *view.View, ask *plan.Request) plan.Decision
	Report(grant *plan.Grant, progress plan.Progress)
}

// A Gateway serves callers.
type Gateway struct {
	Host    fleet.HostID
	Near    fleet.DataCentreID // where the host stands
	View    func() *view.View
	Chooser Chooser
	Pool    *backend.Pool
	Meter   Meter
	Log     zerolog.Logger
	// Closing reports whether new requests are turned away, since the host
	// stops before they could end.
	Closing func() bool
}

// A Meter counts what becomes of requests.
type Meter interface {
	// Chosen tells how long it took to choose a target, with the time for
	// which the request had to wait.
	Chosen(workspace fleet.WorkspaceID, route string, took time.Duration)
	// Sent tells of a request that goes to a target: for the first time or
	// again, chosen by the planner or by this host alone.
	Sent(repeat, planned bool)
	Ended(workspace fleet.WorkspaceID, route string, status int, reason fleet.Reason, first, total time.Duration)
}

const (
	// startPause is what a caller is told to wait for while the host does not
	// know a configuration yet.
	startPause = 300 * time.Millisecond
	// defaultTime bounds a request that says no deadline on a route without a
	// timeout.
	defaultTime = 30 * time.Second
	// bodyTime bounds the reading of a request's body.
	bodyTime = 5 * time.Second
)

// call is one request under way.
type call struct {
	*Gateway
	platform.Call
	ctx       context.Context
	w         http.ResponseWriter
	r         *http.Request
	view      *view.View
	route     *route.Route
	workspace *route.Workspace
	service   route.ServiceID
	body      []byte
	began     time.Time
	deadline  time.Time // of the caller or the route, whichever is first

	tried   []fleet.TargetID
	sends   int           // to targets that may have run it
	outcome fleet.Outcome // Unknown once a target may have run it
	first   time.Duration // to the first piece
	started bool          // the head of an answer has been passed on
	status  int
	reason  fleet.Reason
	grant   *plan.Grant // under way
}

var _ http.Handler = (*Gateway)(nil)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Gateway: g, Call: platform.DecodeCall(r.Header), w: w, r: r, view: g.View(), began: time.Now()}
	refusal := c.admit()
	if refusal == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		c.ctx = ctx
		refusal = c.serve()
	}
	if refusal != nil {
		c.refuse(refusal)
	}
	c.end()
}

// admit reads the request and finds its route and workspace.
func (c *call) admit() *fleet.RefusalError {
	if c.view.Table == nil {
		return fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, startPause)
	}
	if c.Closing() {
		return fleet.RefuseWithRetryAfter(fleet.ReasonHostLeaving, leavingPause)
	}
	host := c.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.view.Table.Match(host, path)
	if c.route == nil {
		return fleet.Refuse(fleet.ReasonUnknownRoute, "")
	}
	if c.view.Table.RequiresKey() && !c.route.Public {
		if c.workspace = c.view.Table.Workspace(c.Key); c.workspace == nil {
			return fleet.Refuse(fleet.ReasonUnauthorized, "")
		}
	}
	if c.ID == "" {
		return fleet.Refuse(fleet.ReasonMalformed, "no request id")
	}
	c.service = c.route.Service(requestHash(c.ID))
	c.deadline = c.began.Add(defaultTime)
	if c.Deadline > 0 {
		c.deadline = c.began.Add(c.Deadline)
	}
	if t := c.route.Timeout; t > 0 && c.began.Add(t).Before(c.deadline) {
		c.deadline = c.began.Add(t)
	}
	return c.readBody()
}

// readBody reads the whole body, so that the request can be sent whole, and
// again if it may be.
func (c *call) readBody() *fleet.RefusalError {
	limit := int64(c.view.Table.Limits.Body)
	if limit > 0 && c.r.ContentLength > limit {
		return fleet.Refuse(fleet.ReasonTooLarge, "")
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		c.Log.Warn().Err(err).Msg("no deadline for a body")
	}
	reader := io.Reader(c.r.Body)
	if limit > 0 {
		reader = io.LimitReader(c.r.Body, limit+1)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return fleet.Refuse(fleet.ReasonMalformed, "body: "+err.Error())
	}
	if limit > 0 && int64(len(body)) > limit {
		return fleet.Refuse(fleet.ReasonTooLarge, "")
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(time.Time{}); err != nil {
		c.Log.Warn().Err(err).Msg("the deadline of a body stays")
	}
	c.body = body
	return nil
}

// ask is the question for the planner.
func (c *call) ask() *plan.Request {
	ask := &plan.Request{
		ID: c.ID, Host: c.Host, Near: c.Near, Service: c.service, Prompt: c.Prompt, Rank: c.route.Rank,
		Objective: c.route.LatencyObjective - time.Since(c.began), Deadline: time.Until(c.deadline),
		Avoid: c.tried, Repeat: len(c.tried) > 0,
	}
	if c.workspace != nil {
		ask.Workspace, ask.Isolated = c.workspace.ID, c.workspace.Isolated
		if c.workspace.HasRank {
			ask.Rank = c.workspace.Rank
		}
	}
	return ask
}

// mayRepeat reports whether the request may be sent to another target after one
// has, or may have, run it.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.sends < c.route.Attempts
}

// triesLimit bounds the targets that refuse a request before it is given up.
const triesLimit = 4

// serve sends the request to targets until one has answered, and returns why
// there is no answer.
func (c *call) serve() *fleet.RefusalError {
	for {
		if refusal := c.expired(); refusal != nil {
			return refusal
		}
		asked := time.Now()
		verdict := c.Chooser.Choose(c.ctx, c.view, c.ask())
		c.Meter.Chosen(c.workspaceID(), c.route.Name, time.Since(asked))
		if verdict.Refusal != nil {
			verdict.Refusal.Outcome = c.outcome
			return verdict.Refusal
		}
		again, refusal := c.try(verdict.Grant)
		if !again {
			return refusal
		}
		if c.outcome == fleet.NotRun && len(c.tried) >= triesLimit {
			return fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, busyPause)
		}
		if c.outcome != fleet.NotRun && !c.mayRepeat() {
			return &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.Unknown}
		}
		c.view = c.View()
	}
}

const (
	// busyPause is what a caller is told to wait for after several targets
	// have refused its request.
	busyPause = 200 * time.Millisecond
	// leavingPause is what a caller is told to wait for when the host stops;
	// another host takes it at once.
	leavingPause = 20 * time.Millisecond
)

// expired returns a refusal if the caller has left or its time is over.
func (c *call) expired() *fleet.RefusalError {
	err := c.ctx.Err()
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &fleet.RefusalError{Reason: fleet.ReasonDeadline, Outcome: c.outcome}
	}
	return &fleet.RefusalError{Reason: fleet.ReasonCallerDisconnected, Outcome: c.outcome}
}

// try sends the request to the granted target. Again tells to try another one.
func (c *call) try(g *plan.Grant) (again bool, refusal *fleet.RefusalError) {
	c.grant = g
	c.tried = append(c.tried, g.Target)
	request := c.request(g)
	// Sends is counted before: from here on the target may run the request.
	c.Meter.Sent(c.sends > 0, g.By != "")
	c.sends++
	before := c.outcome
	c.outcome = fleet.Unknown
	exchange, err := c.Pool.Send(c.ctx, request)
	if err != nil {
		var unsent *backend.NotSentError
		if errors.As(err, &unsent) {
			c.sends--
			c.outcome = before
			c.report(plan.Unreachable)
			c.decided(g, "no connection to the target", err)
			return true, nil
		}
		return c.broken(g, err)
	}
	defer exchange.Close()
	if exchange.Answer.NotRun {
		c.sends--
		c.outcome = before
		progress := plan.Rejected
		if exchange.Answer.Elsewhere {
			progress = plan.Mismatched
		}
		c.report(progress)
		c.decided(g, "the target has not run the request", nil)
		c.discard(exchange)
		return true, nil
	}
	return c.pass(g, exchange)
}

// broken decides after a target gave no whole answer.
func (c *call) broken(g *plan.Grant, err error) (again bool, refusal *fleet.RefusalError) {
	if refusal := c.expired(); refusal != nil {
		c.report(plan.Abandoned)
		return false, refusal
	}
	c.report(plan.Failed)
	c.decided(g, "the target broke its answer off", err)
	if c.mayRepeat() {
		return true, nil
	}
	return false, &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.Unknown}
}

// discard reads a short answer to its end, so that its connection can be kept.
func (c *call) discard(exchange *backend.Exchange) {
	const shortAnswer = 4 << 10
	// What is left unread makes Close end the connection.
	_, _ = io.CopyN(io.Discard, exchange, shortAnswer)
}

func (c *call) report(progress plan.Progress) {
	c.Chooser.Report(c.grant, progress)
}

// request builds what is sent to the granted target.
func (c *call) request(g *plan.Grant) *backend.Request {
	d := platform.Dispatch{
		Target: g.Target, Deadline: time.Until(c.deadline), Version: g.Version, Salt: g.Salt,
		Fetch: g.Fetch, Save: g.Save, Until: g.Until, LastEvent: c.LastEvent,
	}
	if c.workspace != nil {
		d.Workspace = c.workspace.ID
	}
	if c.Prompt != nil {
		d.Priority, d.HasRank = g.Rank, true
	}
	return &backend.Request{
		ID: c.ID, Target: g.Target, Address: g.Address, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host,
		Header: platform.Forward(c.r.Header, d), Body: c.body, Once: !c.route.Repeatable(),
	}
}

// decided logs a decision that touches the request.
func (c *call) decided(g *plan.Grant, what string, err error) {
	c.Log.Info().Str("Request", string(c.ID)).Str("Target", string(g.Target)).Str("Service", string(g.Service)).
		Uint64("Grant", uint64(g.Number)).Int("Tried", len(c.tried)).Stringer("Outcome", c.outcome).AnErr("Cause", err).Msg(what)
}

// workspaceID returns the workspace's name, none on a public route.
func (c *call) workspaceID() fleet.WorkspaceID {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.ID
}

// end logs and counts the end of a request.
func (c *call) end() {
	total := time.Since(c.began)
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	workspace := c.workspaceID()
	c.Meter.Ended(workspace, name, c.status, c.reason, c.first, total)
	event := c.Log.Info()
	if c.reason == "" && c.status < http.StatusBadRequest {
		event = c.Log.Debug()
	}
	number := fleet.Version(0)
	if c.view.Table != nil {
		number = c.view.Table.Number
	}
	var grant plan.Grant
	if c.grant != nil {
		grant = *c.grant
	}
	event.Str("Request", string(c.ID)).Str("Route", name).Str("Workspace", string(workspace)).
		Str("Target", string(grant.Target)).Uint64("Grant", uint64(grant.Number)).Int("Status", c.status).
		Str("Reason", string(c.reason)).Stringer("Outcome", c.outcome).Int("Tried", len(c.tried)).
		Uint64("Configuration", uint64(number)).Dur("First", c.first).Dur("Total", total).Msg("request ended")
}
