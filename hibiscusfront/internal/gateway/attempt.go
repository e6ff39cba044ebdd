package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/platform"
)

// try sends the request to the granted target and relays the response. It
// reports whether the request should be sent to another target.
func (c *call) try(g *plan.Grant) (retry bool, refusal *fleet.RefusalError) {
	c.grant = g
	c.tried = append(c.tried, g.Target)
	request := c.targetRequest(g)
	// Counted before sending: from here on the target may run the request.
	c.Meter.RecordSend(c.sends > 0, g.By != "")
	c.sends++
	before := c.outcome
	c.outcome = fleet.OutcomeUnknown
	c.sentAt = time.Now()
	limit := c.limitStart(g)
	defer limit.end()
	request.Check = func() error { return c.checkGrant(g, limit) }
	exchange, err := c.send(limit.ctx, request)
	c.withdrawn = !limit.begun()
	if c.withdrawn && err == nil && !exchange.Answer.NotRun && c.mayRepeat() {
		// Its connection has been closed since the header arrived, so that the rest of the answer may be missing.
		exchange.Close()
		err = &backend.NoResponseError{Target: g.Target, Cause: context.Cause(limit.ctx)}
	}
	g.Via = sentBy(exchange, err)
	var notSent *backend.NotSentError
	unsent := errors.As(err, &notSent)
	c.got, c.chosen = c.got || !unsent, unsent
	if err != nil {
		var late *LateStartError
		var replaced *ReplacedConfigurationError
		var excluded *ExcludedTargetError
		withdrawn := errors.As(context.Cause(limit.ctx), &late) && c.contextRefusal() == nil
		switch {
		case unsent:
			c.sends--
			c.outcome = before
			progress, message := c.unlessDoubtful(g.Target, err, plan.Unreachable, plan.Rejected), "request not sent: no connection to the target"
			switch {
			case withdrawn, errors.As(err, &late):
				progress, message = plan.Rejected, "request withdrawn before it was sent to the target"
			case errors.As(err, &excluded):
				progress, message = plan.Rejected, "grant given back: the target has left since it was chosen"
			case errors.As(err, &replaced):
				// The target has refused nothing, so it may be chosen again.
				c.tried = c.tried[:len(c.tried)-1]
				progress, message = plan.Rejected, "grant given back: the configuration changed before the request was sent"
			}
			c.report(progress)
			c.logFailedAttempt(g, message, err)
			return true, nil
		case withdrawn:
			c.report(plan.Abandoned)
			c.logFailedAttempt(g, "request withdrawn from the target, which had not begun to answer it", late)
			if c.mayRepeat() {
				return true, nil
			}
			return false, &fleet.RefusalError{Reason: fleet.ReasonWithdrawn, Outcome: fleet.OutcomeUnknown}
		}
		return c.targetFailed(g, err)
	}
	defer exchange.Close()
	c.framing = exchange.Framing
	c.Meter.RecordResponse(exchange.Framing)
	c.Chooser.ObserveNotice(c.view, g, exchange.Answer.Notice)
	if exchange.Answer.NotRun {
		c.sends--
		c.outcome = before
		progress := plan.Rejected
		if exchange.Answer.Misdirected {
			progress = plan.Mismatched
		}
		c.report(progress)
		c.logFailedAttempt(g, "target rejected the request without running it", nil)
		c.discard(exchange)
		return true, nil
	}
	if err := exchange.CheckSignature(); err != nil {
		// The body is not read: closing the exchange closes the connection.
		c.Meter.RecordUnsigned(c.service)
		return c.targetFailed(g, err)
	}
	return c.relay(g, exchange)
}

// targetFailed handles a missing, truncated or unsigned response. It reports whether the
// request should be sent to another target.
func (c *call) targetFailed(g *plan.Grant, err error) (retry bool, refusal *fleet.RefusalError) {
	if refusal := c.contextRefusal(); refusal != nil {
		c.report(plan.Abandoned)
		return false, refusal
	}
	progress := c.unlessDoubtful(g.Target, err, plan.Failed, plan.Abandoned)
	if c.withdrawn {
		progress = plan.Abandoned // this host closed the connection
	}
	c.report(progress)
	message := "no complete response from the target"
	var unsigned *backend.UnsignedError
	if errors.As(err, &unsigned) {
		message = "target sent a success response without a signature"
	}
	c.logFailedAttempt(g, message, err)
	if c.mayRepeat() {
		return true, nil
	}
	return false, &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown}
}

// discard reads a short response to its end, so that its connection can be
// reused.
func (c *call) discard(exchange *backend.Exchange) {
	const maxDiscard = 4 << 10 // bytes
	// Close closes the connection if part of the response is unread.
	_, _ = io.CopyN(io.Discard, exchange, maxDiscard)
}

// report tells the host that made the current grant its progress.
func (c *call) report(progress plan.Progress) {
	c.Chooser.Report(c.grant, progress)
}

// targetRequest returns the request to send to the granted target.
func (c *call) targetRequest(g *plan.Grant) *backend.Request {
	d := platform.TargetHeaders{
		Target: g.Target, Deadline: time.Until(c.expiresAt), Version: g.Version, Salt: g.Salt,
		Fetch: g.Fetch, Save: g.Save, FetchUntil: g.Until, LastEvent: c.LastEvent,
	}
	if c.workspace != nil {
		d.Workspace = c.workspace.ID
	}
	if c.Undecoded {
		d.Salt = plan.UndecodedSalt(c.workspaceID())
	}
	if c.Prompt != nil {
		d.Priority, d.HasPriority, d.Folded = g.Rank, true, c.Prompt.Folded
	}
	return &backend.Request{
		ID: c.ID, Target: g.Target, Address: g.Address, Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host,
		Header: platform.ForwardHeaders(c.r.Header, d), Body: c.body, SendOnce: !c.route.Repeatable(), ExpiresAt: c.expiresAt,
	}
}

// A ReplacedConfigurationError ends an attempt before the request is sent: the configuration that
// this host knows by now gives the request another salt than the one that was granted.
type ReplacedConfigurationError struct {
	Granted, Known fleet.Version // numbers of configurations
}

func (e *ReplacedConfigurationError) Error() string {
	return fmt.Sprintf("granted under configuration %d, replaced by %d, which separates the request from other cached parts", e.Granted, e.Known)
}

// An ExcludedTargetError ends an attempt before the request is sent: by now this host knows that the target has left
// or that its data centre is evacuated.
type ExcludedTargetError struct{ Target fleet.TargetID }

func (e *ExcludedTargetError) Error() string {
	return fmt.Sprintf("target %s has left or its data centre was evacuated", e.Target)
}

// checkGrant returns an error if the request may not be sent any more: an *ExcludedTargetError, a *LateStartError or a
// *ReplacedConfigurationError. Connecting may have taken long.
func (c *call) checkGrant(g *plan.Grant, limit *startLimit) error {
	if c.View().Excludes(g.Target) {
		return &ExcludedTargetError{g.Target}
	}
	if err := limit.checkSend(); err != nil {
		return err
	}
	return c.checkSalt(g)
}

// checkSalt returns a *ReplacedConfigurationError if the granted salt may not be used any more.
func (c *call) checkSalt(g *plan.Grant) error {
	table := c.View().Table
	if c.Prompt == nil || g.AllowedUnder(table, c.Prompt.Model, c.workspaceID()) {
		return nil
	}
	return &ReplacedConfigurationError{Granted: g.Configuration, Known: table.Number}
}
