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

// Headers of the HTTP interface for callers.
const (
	headerKey      = "Idempotency-Key"
	headerClass    = "Request-Class"
	headerDeadline = "Request-Deadline"
	headerRequest  = "Request-Id"
	headerRepeated = "Idempotency-Repeated"
	headerOutcome  = "Outcome"
)

const (
	maxKeyLen    = 200 // bytes of an idempotency key
	defaultClass = "default"
	// defaultPriority is the priority of requests without a class.
	defaultPriority = 5
	// defaultMaxTokens applies if max_tokens is absent.
	defaultMaxTokens = 16
	// bodyReadTimeout limits the time in which a caller has to send its body.
	bodyReadTimeout = 10 * time.Second
)

// nameSyntax is the syntax of operations and idempotency keys. It excludes all
// characters that have a special meaning in a path or a header.
var nameSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal)
	app.Logger().SetLevel("disable")
	app.Get("/v1/address", s.address)
	app.Post("/v1/completions", s.completions)
	app.Post("/v1/services/{model}/{operation}", s.services)
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("entry: build the routes for callers: %w", err)
	}
	return app, nil
}

// An AddressResponse lists the addresses that a caller may use, and for how long.
type AddressResponse struct {
	Addresses []fleet.Address
	TTL       string
}

func (s *Server) address(ctx iris.Context) {
	view := s.Control.View()
	if view == nil {
		writeRefusal(ctx, fleet.RefuseWithRetryAfter(fleet.ReasonConfigurationStale, time.Second))
		return
	}
	addresses := view.CallerAddresses(s.Control.Host.Region)
	_ = ctx.JSON(AddressResponse{Addresses: addresses, TTL: s.Limits.AddressTTL.String()})
}

// identifyCaller authenticates the caller by its key, checks that its workspace may
// use the model, and determines the class and deadline of the request.
func (s *Server) identifyCaller(ctx iris.Context, view *control.View, model fleet.ModelID) (*caller, error) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "want the header Authorization: Bearer KEY")
	}
	workspace, ok := view.Declaration.WorkspaceByKey(cache.HashCallerKey(key))
	if !ok {
		return nil, fleet.Refuse(fleet.ReasonUnauthorized, "key in the header Authorization belongs to no workspace")
	}
	if _, ok := view.Declaration.Models[model]; !ok {
		// The model is a part of the body, which is not to appear in logs.
		return nil, fleet.Refuse(fleet.ReasonUnknownModel, "model of the request is not declared")
	}
	if !workspace.Allows(model) {
		return nil, fleet.Refuse(fleet.ReasonForbidden, fmt.Sprintf("workspace %q may not use model %q", workspace.ID, model))
	}
	c := &caller{workspace: workspace}
	if err := s.classify(ctx, view, c); err != nil {
		return nil, err
	}
	return c, nil
}

// classify sets the caller's class and deadline from the request's headers.
func (s *Server) classify(ctx iris.Context, view *control.View, c *caller) error {
	c.class = declaration.Class{ID: defaultClass, Priority: defaultPriority}
	if name := ctx.GetHeader(headerClass); name != "" {
		declared, ok := view.Declaration.Classes[fleet.Class(name)]
		if !ok {
			return fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("class %.64q in the header %s is not declared", name, headerClass))
		}
		c.class = *declared
	}
	deadline := c.class.Deadline
	if text := ctx.GetHeader(headerDeadline); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("header %s is %.64q, want a positive duration such as 500ms", headerDeadline, text))
		}
		deadline = d
	}
	if deadline > 0 {
		c.deadline = s.Clock().Add(deadline)
	}
	return nil
}

// completionRequest is the body of a request for a completion.
type completionRequest struct {
	Model     fleet.ModelID `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens *fleet.Tokens `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (s *Server) completions(ctx iris.Context) {
	id, log := s.begin(ctx)
	err := s.serveCompletion(ctx, id)
	s.finish(ctx, log, err)
}

func (s *Server) serveCompletion(ctx iris.Context, id string) error {
	view, err := s.activeView()
	if err != nil {
		return err
	}
	var request completionRequest
	if err := s.readJSON(ctx, &request); err != nil {
		return err
	}
	requester, err := s.identifyCaller(ctx, view, request.Model)
	if err != nil {
		return err
	}
	tokens := fleet.Tokens(defaultMaxTokens)
	if request.MaxTokens != nil {
		tokens = *request.MaxTokens
	}
	if tokens < 0 || tokens > s.Limits.MaxTokens {
		return fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("max_tokens is %d, want 0 to %d", tokens, s.Limits.MaxTokens))
	}
	if err := s.acquireRequest(); err != nil {
		return err
	}
	defer s.releaseRequest()
	requestCtx, cancel := s.withRequestTimeout(ctx.Request().Context())
	defer cancel()
	c := &completion{server: s, caller: requester, model: request.Model, prompt: []byte(request.Prompt), maxTokens: tokens}
	if request.Stream {
		return stream(ctx, id, c, func() error { return c.run(requestCtx) })
	}
	return collect(ctx, id, c, func() error { return c.run(requestCtx) })
}

// choice is the text of an answer, or a part of it, in a completionResponse.
type choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// completionResponse is the body of an answer, or of one event of a stream.
type completionResponse struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   fleet.ModelID `json:"model"`
	Choices []choice      `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// response returns a response with the text. With end set, it is the last one of the
// answer and also has the finish reason and the usage.
func (c *completion) response(id, text string, end bool) completionResponse {
	result := completionResponse{ID: id, Object: "text_completion", Model: c.model, Choices: []choice{{Text: text}}}
	if end {
		reason := "length"
		result.Choices[0].FinishReason = &reason
		result.Usage = &c.usage
	}
	return result
}

// collect runs the completion and responds with the whole text in one body.
func collect(ctx iris.Context, id string, c *completion, run func() error) error {
	var text strings.Builder
	c.emit = func(piece string) error {
		text.WriteString(piece)
		return nil
	}
	if err := run(); err != nil {
		return err
	}
	_ = ctx.JSON(c.response(id, text.String(), true))
	return nil
}

// stream runs the completion and responds with server-sent events, the last of
// which is [DONE]. A failure after the first event is reported by an error event
// instead of [DONE].
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
	c.emit = func(piece string) error { return event(c.response(id, piece, false)) }
	err := run()
	if err == nil {
		if err = event(c.response(id, "", true)); err == nil {
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

// reportedError is an error that the response already reports to the caller.
type reportedError struct{ cause error }

func (e *reportedError) Error() string { return e.cause.Error() }
func (e *reportedError) Unwrap() error { return e.cause }

func (s *Server) services(ctx iris.Context) {
	_, log := s.begin(ctx)
	s.finish(ctx, log, s.serveOrder(ctx))
}

func (s *Server) serveOrder(ctx iris.Context) error {
	view, err := s.activeView()
	if err != nil {
		return err
	}
	model, operation := fleet.ModelID(ctx.Params().Get("model")), ctx.Params().Get("operation")
	requester, err := s.identifyCaller(ctx, view, model)
	if err != nil {
		return err
	}
	declared, ok := view.Declaration.Operations[declaration.OperationID{Model: model, Name: operation}]
	if !ok || !nameSyntax.MatchString(operation) {
		return fleet.Refuse(fleet.ReasonUnknownModel, fmt.Sprintf("operation %.64q of model %q is not declared", operation, model))
	}
	key := ctx.GetHeader(headerKey)
	if key == "" && !declared.Repeatable {
		return fleet.Refuse(fleet.ReasonNoIdempotencyKey, fmt.Sprintf("operation %q is not repeatable, want the header %s", operation, headerKey))
	}
	if key != "" && (len(key) > maxKeyLen || !nameSyntax.MatchString(key)) {
		return fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("header %s has %d bytes, want at most %d that match %s", headerKey, len(key), maxKeyLen, nameSyntax))
	}
	body, err := s.readBody(ctx)
	if err != nil {
		return err
	}
	if err := s.acquireRequest(); err != nil {
		return err
	}
	defer s.releaseRequest()
	requestCtx, cancel := s.withRequestTimeout(ctx.Request().Context())
	defer cancel()
	request := &wire.OrderRequest{
		Workspace: requester.workspace.ID, Class: requester.class.ID, Priority: requester.class.Priority,
		Operation: operation, Key: key, Repeatable: declared.Repeatable, Body: body,
	}
	answer, err := s.order(requestCtx, requester, model, request)
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

func (s *Server) readBody(ctx iris.Context) ([]byte, error) {
	controller := http.NewResponseController(ctx.ResponseWriter().Naive())
	// If the connection supports no deadline, only the length of the body is limited.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, int64(s.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fleet.Refuse(fleet.ReasonTooLarge, fmt.Sprintf("body is longer than %d bytes", s.Limits.BodyBytes))
	case err != nil:
		return nil, fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("body was not received completely: the connection failed or the body took longer than %s", bodyReadTimeout))
	}
	return body, nil
}

func (s *Server) readJSON(ctx iris.Context, value any) error {
	body, err := s.readBody(ctx)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		// The text of the error may contain a part of the prompt, so omit it.
		return fleet.Refuse(fleet.ReasonMalformed, "body is not valid JSON for a completion request")
	}
	return nil
}

// begin counts the request and gives it a random id, which is sent to the caller
// and is a field of the request's log lines.
func (s *Server) begin(ctx iris.Context) (string, zerolog.Logger) {
	id := rand.Text()
	ctx.Header(headerRequest, id)
	s.Metrics.Add("Requests", 1)
	return id, s.Log.With().Str("Request", id).Logger()
}

// finish counts the result of a request. If it failed, finish logs the error as a
// refusal and sends it to the caller, unless the response already reports it.
func (s *Server) finish(ctx iris.Context, log zerolog.Logger, err error) {
	if err == nil {
		s.Metrics.Add("Answered", 1)
		return
	}
	refusal := asRefusal(err)
	s.Metrics.Add("Refused: "+string(refusal.Reason)+", "+refusal.Outcome.String(), 1)
	log.Info().Str("Reason", string(refusal.Reason)).Stringer("Outcome", refusal.Outcome).
		Str("Detail", refusal.Detail).Msg("request refused or failed")
	var reported *reportedError
	if !errors.As(err, &reported) {
		writeRefusal(ctx, refusal)
	}
}
