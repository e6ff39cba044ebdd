// Package gateway serves callers: it finds a request's route, checks its key,
// asks the planner for a target, sends the request to the target and relays the
// response.
//
// The host that a caller is connected to sends the request to the target
// itself, or by way of another host if it can't reach the target (see package
// relay). The planner only selects the target. If the planner does not answer
// in time, a deputy selects it, and failing that this host (see package
// chooser).
//
// Invariants: a request that may not be repeated is sent again only after its
// target has reported that it did not run it. The outcome "not run" is returned
// only for requests that no target has run or may have run. The caller can
// always tell a truncated response from a complete one. No part of a success
// response without a signature reaches the caller.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/platform"
)

// A Chooser selects a target for each request and receives reports of the
// progress of the grants that it made.
type Chooser interface {
	Choose(ctx context.Context, v *view.View, req *plan.Request) plan.Decision
	Report(grant *plan.Grant, progress plan.Progress)
	// ObserveNotice records what the answer to a granted request says of the work that
	// its target takes. The view is the one with which the target was chosen.
	ObserveNotice(v *view.View, grant *plan.Grant, notice intake.Notice)
}

// A Gateway is the HTTP handler for callers. Set all fields before use.
type Gateway struct {
	Host       fleet.HostID
	DataCentre fleet.DataCentreID // of this host
	View       func() *view.View
	Chooser    Chooser
	Pool       *backend.Pool
	Sender     Sender // nil to send all requests directly, by Pool
	Meter      Meter
	Log        zerolog.Logger
	Clock      fleet.Clock // of the view's instants
	// WeightsBound is how long after the announcement of new weights a run may still start on
	// older ones; zero for no limit.
	WeightsBound time.Duration
	// Departure tells what happens to requests while the host makes a planned stop.
	Departure *departure.Departure
}

// A Meter records metrics of requests.
type Meter interface {
	// RecordChoice records the time taken to select a target, including the
	// time for which the request was queued.
	RecordChoice(workspace fleet.WorkspaceID, route string, took time.Duration)
	// RecordSend counts an attempt to send a request to a target. Repeat tells
	// whether an earlier target may have run the request, planned whether the
	// planner or a deputy selected the target; if not, this host chose without
	// them.
	RecordSend(repeat, planned bool)
	// RecordResponse counts a response that a target sent, by its framing.
	RecordResponse(framing backend.Framing)
	// RecordUnsigned counts a response that was not accepted because it has a success
	// status and no signature, by the service of its target.
	RecordUnsigned(service route.ServiceID)
	// RecordReplacedStart records that a run began on weights that had been replaced for the
	// given time, as far as this host knows.
	RecordReplacedStart(workspace fleet.WorkspaceID, route string, replacedFor time.Duration)
	// RecordEnd records the result of a request, with the time to the first part
	// of the response and the total time. The first part of a stream is its first
	// event or bytes, that of another response its body, or the start of a long
	// one. The time is zero if no such part was received.
	RecordEnd(workspace fleet.WorkspaceID, route string, status int, reason fleet.Reason, first, total time.Duration)
}

const (
	// unconfiguredRetryAfter is the Retry-After sent until the host has read a
	// configuration.
	unconfiguredRetryAfter = 300 * time.Millisecond
	// defaultTimeout applies to a request without a deadline on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody is the longest request body in bytes if the configuration
	// does not limit it.
	defaultMaxBody = 4 << 20
)

// A call is the state of one request of a caller.
type call struct {
	*Gateway
	platform.RequestHeaders
	ctx       context.Context
	w         http.ResponseWriter
	r         *http.Request
	view      *view.View
	route     *route.Route
	workspace *route.Workspace
	service   route.ServiceID
	body      [][]byte // in segments
	// fingerprint identifies the request over all attempts of its caller.
	fingerprint quarantine.Fingerprint
	start       time.Time
	expiresAt   time.Time // the earlier of the ends of the caller's Deadline and the route's Timeout

	tried     []fleet.TargetID
	got       bool          // a target has got the request, whether or not it ran it
	chosen    bool          // a target was chosen, and none has got the request since
	sentAt    time.Time     // when the current attempt began, its connection included
	withdrawn bool          // the connection of the last attempt was closed since the request could begin too late
	sends     int           // number of targets that may have run the request
	outcome   fleet.Outcome // Unknown once a target may have run the request
	// firstByte is, for streams, the time until the first event or bytes arrived,
	// and for other responses the time until the body, or its first
	// maxBufferedBody bytes, was read. It is zero before that.
	firstByte  time.Duration
	headerSent bool // a response header has been sent to the caller
	// streamed is set once an event of a resumable stream has been sent to the caller, and
	// software is then the version that wrote it.
	streamed bool
	software fleet.Software
	status   int
	reason   fleet.Reason
	grant    *plan.Grant     // current or last one
	framing  backend.Framing // of the last response that a target sent
}

var _ http.Handler = (*Gateway)(nil)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Gateway: g, RequestHeaders: platform.DecodeRequestHeaders(r.Header), w: w, r: r, view: g.View(), start: time.Now()}
	refusal := c.admit()
	if refusal == nil {
		ctx, cancel := context.WithDeadline(r.Context(), c.expiresAt)
		defer cancel()
		c.ctx = ctx
		refusal = c.serve()
	}
	if refusal != nil {
		c.refuse(refusal)
	}
	c.recordEnd()
}

// admit finds the request's route and workspace and reads the body.
func (c *call) admit() *fleet.RefusalError {
	if c.view.Table == nil {
		return fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, unconfiguredRetryAfter)
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
		return fleet.Refuse(fleet.ReasonMalformed, "request has no ID")
	}
	c.service = c.route.PickService(requestHash(c.firstAttempt()))
	c.expiresAt = c.start.Add(defaultTimeout)
	if c.Deadline > 0 {
		c.expiresAt = c.start.Add(c.Deadline)
	}
	if t := c.route.Timeout; t > 0 && c.start.Add(t).Before(c.expiresAt) {
		c.expiresAt = c.start.Add(t)
	}
	var ok bool
	if c.expiresAt, ok = c.Departure.Admit(c.start, c.expiresAt); !ok {
		return fleet.RefuseWithRetryAfter(fleet.ReasonHostLeaving, leavingRetryAfter)
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.fingerprint = quarantine.FingerprintOf(c.workspaceID(), c.r.Method, host, c.r.RequestURI, c.body...)
	return nil
}

// readBody reads the complete body, so that the request can be sent with its
// length, and again if it may be repeated.
func (c *call) readBody() *fleet.RefusalError {
	limit := c.view.Table.Limits.Body
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var err error
	if c.body, err = ingress.ReadBody(c.w, c.r, limit); err != nil {
		return bodyRefusal(err)
	}
	return nil
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func bodyRefusal(err error) *fleet.RefusalError {
	var (
		tooLong *ingress.TooLongError
		timeout *ingress.TimeoutError
		spent   *holding.SpentError
		evicted *holding.EvictedError
	)
	switch {
	case errors.As(err, &tooLong):
		return fleet.Refuse(fleet.ReasonTooLarge, err.Error())
	case errors.As(err, &timeout):
		return fleet.Refuse(fleet.ReasonBodyTimeout, err.Error())
	case errors.As(err, &spent), errors.As(err, &evicted):
		refusal := fleet.RefuseWithRetryAfter(fleet.ReasonHostMemory, holding.StallTime)
		refusal.Detail = err.Error()
		return refusal
	}
	return fleet.Refuse(fleet.ReasonMalformed, "read request body: "+err.Error())
}

// planRequest returns the request to the planner for a target.
func (c *call) planRequest() *plan.Request {
	req := &plan.Request{
		ID: c.ID, Host: c.Host, Near: c.DataCentre, Service: c.service, Prompt: c.Prompt, Rank: c.route.Rank,
		Objective: c.route.LatencyObjective - time.Since(c.start), Deadline: time.Until(c.expiresAt),
		Avoid: c.tried, Repeat: c.got, Again: c.chosen, Fingerprint: c.fingerprint,
		Resumable: c.route.Kind == route.Streaming && c.route.Resumable, Resumption: c.resumption(),
	}
	if c.view.Rollouts != nil {
		req.Route = c.route.Name
	}
	// The configuration may have changed while the body was read or the request was tried.
	req.Isolation = plan.IsolationOf(c.View().Table, c.workspaceID())
	if c.workspace != nil {
		req.Workspace = c.workspace.ID
		if c.workspace.HasRank {
			req.Rank = c.workspace.Rank
		}
	}
	return req
}

// resumption tells which stream the request resumes: one that an earlier attempt of the caller
// began, or one that an earlier target began within this attempt.
func (c *call) resumption() plan.Resumption {
	if c.route.Kind != route.Streaming {
		return plan.Resumption{}
	}
	return plan.Resumption{Resumes: c.streamed || c.LastEvent != "", Known: c.streamed, Software: c.software, Attempt: c.Resumes}
}

// firstAttempt returns the attempt by which a split route picks the service: for a stream that
// goes on the one that began it.
func (c *call) firstAttempt() fleet.RequestID {
	if c.route.Kind == route.Streaming && c.LastEvent != "" && c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// mayRepeat reports whether the request may be sent to another target although
// a target has run it or may have run it.
func (c *call) mayRepeat() bool {
	return c.route.Repeatable() && c.sends < c.route.Attempts
}

// maxRejections is how many targets may be tried without running the request
// before the request is refused.
const maxRejections = 4

// serve sends the request to targets until one has answered. If none has, it
// returns the refusal for the caller.
func (c *call) serve() *fleet.RefusalError {
	for {
		if refusal := c.contextRefusal(); refusal != nil {
			return refusal
		}
		// The body may have taken long to arrive, or an attempt to fail.
		c.view = c.View()
		choiceStart := time.Now()
		decision := c.Chooser.Choose(c.ctx, c.view, c.planRequest())
		c.Meter.RecordChoice(c.workspaceID(), c.route.Name, time.Since(choiceStart))
		if decision.Refusal != nil {
			decision.Refusal.Outcome = c.outcome
			return decision.Refusal
		}
		c.chosen = true
		if target := decision.Grant.Target; c.View().Excludes(target) {
			// A choice takes long if neither a planner nor a deputy answers.
			c.Chooser.Report(decision.Grant, plan.Rejected)
			c.Log.Info().Str("Request", c.ID.ForLog()).Str("Target", string(target)).Str("Planner", string(decision.Grant.By)).
				Msg("grant given back: the target has left or its data centre was evacuated since the choice began")
			continue
		}
		retry, refusal := c.try(decision.Grant)
		if !retry {
			return refusal
		}
		if c.outcome == fleet.OutcomeNotRun && len(c.tried) >= maxRejections {
			return fleet.RefuseWithRetryAfter(fleet.ReasonOverloaded, overloadedRetryAfter)
		}
		if c.outcome != fleet.OutcomeNotRun && (!c.mayRepeat() || len(c.tried)-c.sends >= maxRejections) {
			return &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown}
		}
	}
}

const (
	// overloadedRetryAfter is the Retry-After sent after maxRejections targets
	// have rejected the request.
	overloadedRetryAfter = 200 * time.Millisecond
	// leavingRetryAfter is the Retry-After sent while this host stops. It is
	// short because another host can serve the request at once.
	leavingRetryAfter = 20 * time.Millisecond
)

// contextRefusal returns a refusal if the caller has disconnected, the deadline has passed, or
// the host stops and has no more time for the request, else nil.
func (c *call) contextRefusal() *fleet.RefusalError {
	err := c.ctx.Err()
	if err == nil {
		return nil
	}
	var cut *departure.CutError
	if errors.As(context.Cause(c.ctx), &cut) {
		refusal := &fleet.RefusalError{Reason: fleet.ReasonHostLeaving, Outcome: c.outcome}
		if c.outcome == fleet.OutcomeNotRun {
			refusal.RetryAfter = leavingRetryAfter
		}
		return refusal
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &fleet.RefusalError{Reason: fleet.ReasonDeadline, Outcome: c.outcome}
	}
	return &fleet.RefusalError{Reason: fleet.ReasonCallerDisconnected, Outcome: c.outcome}
}
