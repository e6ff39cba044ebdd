package entry

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/wire"
)

// Headers of the callers' interface.
const (
	headerKey      = "Idempotency-Key"
	headerClass    = "Request-Class"
	headerDeadline = "Request-Deadline"
	headerRequest  = "Request-Id"
	headerRepeated = "Idempotency-Repeated"
	headerOutcome  = "Outcome"
)

const (
	maxKeyLen    = 200 // characters of an idempotency key
	defaultClass = "default"
	// defaultPriority is that of requests without a declared class.
	defaultPriority  = 5
	defaultMaxTokens = 16
	// bodyTime is how long a caller may take to send its body.
	bodyReadTimeout = 10 * time.Second
)

// names is what operations, classes and keys may look like. Nothing that has a
// meaning in a path or a header passes.
var nameSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Handler returns the callers' interface.
func (e *Entry) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.Get("/v1/address", e.address)
	app.Post("/v1/completions", e.completions)
	app.Post("/v1/services/{model}/{operation}", e.services)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	return app, nil
}

// An AddressResponse tells a caller which hosts it may use, and for how long.
type AddressResponse struct {
	Addresses []fleet.Address
	TTL       string
}

func (e *Entry) address(ctx iris.Context) {
	view := e.Control.View()
	if view == nil {
		writeRefusal(ctx, fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, time.Second))
		return
	}
	addresses := view.CallerAddresses(e.Control.Host.Region)
	_ = ctx.JSON(AddressResponse{Addresses: addresses, TTL: e.Limits.AddressTTL.String()})
}

// identifyCaller finds out who calls and how the request is to be served.
func (e *Entry) identifyCaller(ctx iris.Context, view *control.View, model fleet.ModelID) (*caller, error) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "want Authorization: Bearer")
	}
	workspace, ok := view.Declaration.WorkspaceByKey(cache.HashCallerKey(key))
	if !ok {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "unknown key")
	}
	if _, ok := view.Declaration.Models[model]; !ok {
		return nil, fleet.Refuse(fleet.ReasonUnknownModel, "")
	}
	if !workspace.Allows(model) {
		return nil, fleet.Refuse(fleet.ReasonForbidden, "the workspace may not use this model")
	}
	c := &caller{workspace: workspace}
	if err := e.classify(ctx, view, c); err != nil {
		return nil, err
	}
	return c, nil
}

func (e *Entry) classify(ctx iris.Context, view *control.View, c *caller) error {
	c.class = declaration.Class{ID: defaultClass, Priority: defaultPriority}
	if name := ctx.GetHeader(headerClass); name != "" {
		declared, ok := view.Declaration.Classes[fleet.Class(name)]
		if !ok {
			return fleet.Refuse(fleet.ReasonMalformed, "unknown "+headerClass)
		}
		c.class = *declared
	}
	deadline := c.class.Deadline
	if text := ctx.GetHeader(headerDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return fleet.Refuse(fleet.ReasonMalformed, "bad "+headerDeadline)
		}
		deadline = d
	}
	if deadline > 0 {
		c.deadline = e.Clock().Add(deadline)
	}
	return nil
}

// completionRequest is the body of a completions call.
type completionRequest struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens *fleet.Tokens `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (e *Entry) completions(ctx iris.Context) {
	id, log := e.begin(ctx)
	err := e.serveCompletion(ctx, id)
	e.finish(ctx, log, err)
}

func (e *Entry) serveCompletion(ctx iris.Context, id string) error {
	view, err := e.activeView()
	if err != nil {
		return err
	}
	var request completionRequest
	if err := e.readJSON(ctx, &request); err != nil {
		return err
	}
	requester, err := e.identifyCaller(ctx, view, request.Model)
	if err != nil {
		return err
	}
	tokens := fleet.Tokens(defaultMaxTokens)
	if request.MaxTokens != nil {
		tokens = *request.MaxTokens
	}
	if tokens < 0 || tokens > e.Limits.MaxTokens {
		return fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("max_tokens is not from 0 to %d", e.Limits.MaxTokens))
	}
	if err := e.acquireStream(); err != nil {
		return err
	}
	defer e.releaseStream()
	work, cancel := e.withRequestTimeout(ctx.Request().Context())
	defer cancel()
	c := &completion{entry: e, caller: requester, model: request.Model, prompt: []byte(request.Prompt), maxTokens: tokens}
	if request.Stream {
		return stream(ctx, id, c, func() error { return c.run(work) })
	}
	return collect(ctx, id, c, func() error { return c.run(work) })
}

// choice is one answer in the form of the completions interface.
type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

type completionResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   fleet.ModelID `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

func (c *completion) answer(id, text string, end bool) completionResponse {
	result := completionResponse{ID: id, Object: "text_completion", Model: c.model, Choices: []choice{{Text: text}}}
	if end {
		reason := "length"
		result.Choices[0].FinishReason = &reason
		result.Usage = &c.usage
	}
	return result
}

// collect answers with the whole text in one body.
func collect(ctx iris.Context, id string, c *completion, run func() error) error {
	var text strings.Builder
	c.emit = func(piece string) error {
		text.WriteString(piece)
		return nil
	}
	if err := run(); err != nil {
		return err
	}
	_ = ctx.JSON(c.answer(id, text.String(), true))
	return nil
}

// stream answers with server-sent events, of which the last is [DONE]. After
// the first event a failure is told by an error event, without [DONE].
func stream(ctx iris.Context, id string, c *completion, run func() error) error {
	writer := ctx.ResponseWriter()
	started := false
	event := func(value any) error {
		data, err := json.Marshal(value)
		if err != nil {
			return err
		}
		if !started {
			started = true
			ctx.ContentType("text/event-stream")
			ctx.Header("Cache-Control", "no-store")
			ctx.StatusCode(http.StatusOK)
		}
		if _, err := fmt.Fprintf(writer, "data: %s\n\n", data); err != nil {
			return err
		}
		writer.Flush()
		return nil
	}
	c.emit = func(piece string) error { return event(c.answer(id, piece, false)) }
	err := run()
	if err == nil {
		if err = event(c.answer(id, "", true)); err == nil {
			_, err = io.WriteString(writer, "data: [DONE]\n\n")
			writer.Flush()
		}
		return err
	}
	if !started {
		return err
	}
	_ = event(errorBody(asRefusal(err)))
	return &reportedError{err}
}

// reportedError is a failure that the caller has been told of already.
type reportedError struct{ cause error }

func (e *reportedError) Error() string { return e.cause.Error() }
func (e *reportedError) Unwrap() error { return e.cause }

func (e *Entry) services(ctx iris.Context) {
	_, log := e.begin(ctx)
	e.finish(ctx, log, e.serveOrder(ctx))
}

func (e *Entry) serveOrder(ctx iris.Context) error {
	view, err := e.activeView()
	if err != nil {
		return err
	}
	model, operation := fleet.ModelID(ctx.Params().Get("model")), ctx.Params().Get("operation")
	requester, err := e.identifyCaller(ctx, view, model)
	if err != nil {
		return err
	}
	declared, ok := view.Declaration.Operations[declaration.OperationID{Model: model, Name: operation}]
	if !ok || !nameSyntax.MatchString(operation) {
		return fleet.Refuse(fleet.ReasonUnknownModel, "unknown operation")
	}
	key := ctx.GetHeader(headerKey)
	if key == "" && !declared.Repeatable {
		return fleet.Refuse(fleet.ReasonNoIdempotencyKey, "this operation may not be repeated")
	}
	if key != "" && (len(key) > maxKeyLen || !nameSyntax.MatchString(key)) {
		return fleet.Refuse(fleet.ReasonMalformed, "bad "+headerKey)
	}
	body, err := e.readBody(ctx)
	if err != nil {
		return err
	}
	if err := e.acquireStream(); err != nil {
		return err
	}
	defer e.releaseStream()
	work, cancel := e.withRequestTimeout(ctx.Request().Context())
	defer cancel()
	request := &wire.OrderRequest{
		Workspace: requester.workspace.ID, Class: requester.class.ID, Priority: requester.class.Priority,
		Operation: operation, Key: key, Repeatable: declared.Repeatable, Body: body,
	}
	answer, err := e.order(work, requester, model, request)
	if err != nil {
		return err
	}
	if answer.Repeated {
		ctx.Header(headerRepeated, "true")
	}
	ctx.Header(headerOutcome, "Ran")
	ctx.StatusCode(answer.Status)
	_, _ = ctx.Write(answer.Body)
	return nil
}

func (e *Entry) readBody(ctx iris.Context) ([]byte, error) {
	reading := http.NewResponseController(ctx.ResponseWriter().Naive())
	// A connection without deadlines has only its length to bound it.
	_ = reading.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = reading.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, int64(e.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fleet.Refuse(fleet.ReasonTooLarge, fmt.Sprintf("body is over %d bytes", e.Limits.BodyBytes))
	case err != nil:
		return nil, fleet.Refuse(fleet.ReasonMalformed, "body can not be read")
	}
	return body, nil
}

func (e *Entry) readJSON(ctx iris.Context, value any) error {
	body, err := e.readBody(ctx)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		// The error's text may hold a part of the prompt.
		return fleet.Refuse(fleet.ReasonMalformed, "body is not the JSON that is wanted")
	}
	return nil
}

// begin gives the request an id, under which it is logged.
func (e *Entry) begin(ctx iris.Context) (string, zerolog.Logger) {
	id := rand.Text()
	ctx.Header(headerRequest, id)
	e.Metrics.Add("Requests", 1)
	return id, e.Log.With().Str("Request", id).Logger()
}

// finish answers a request that failed.
func (e *Entry) finish(ctx iris.Context, log zerolog.Logger, err error) {
	if err == nil {
		e.Metrics.Add("Answered", 1)
		return
	}
	refusal := asRefusal(err)
	e.Metrics.Add("Refused: "+string(refusal.Reason)+", "+refusal.Outcome.String(), 1)
	log.Info().Str("Reason", string(refusal.Reason)).Stringer("Outcome", refusal.Outcome).
		Str("Detail", refusal.Detail).Msg("request refused")
	var started *reportedError
	if !errors.As(err, &started) {
		writeRefusal(ctx, refusal)
	}
}
