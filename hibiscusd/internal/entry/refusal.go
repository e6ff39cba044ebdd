package entry

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
)

// asRefusal returns the refusal that an error wraps, or the one that corresponds to
// it. An error of unknown origin gives a refusal with an unknown outcome.
func asRefusal(err error) *fleet.RefusalError {
	var refusal *fleet.RefusalError
	var dial *peer.DialError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &dial):
		return fleet.RefuseWithRetryAfter(fleet.ReasonNoTarget, time.Second)
	default:
		return &fleet.RefusalError{Reason: fleet.ReasonTargetFailed, Outcome: fleet.OutcomeUnknown, Detail: err.Error()}
	}
}

// A RefusalResponse is the body of a response that refuses a request.
type RefusalResponse struct {
	Error struct {
		Reason     fleet.Reason
		Outcome    string
		Detail     string `json:",omitempty"`
		RetryAfter string `json:",omitempty"`
	}
}

func errorBody(refusal *fleet.RefusalError) RefusalResponse {
	var body RefusalResponse
	body.Error.Reason = refusal.Reason
	body.Error.Outcome = refusal.Outcome.String()
	body.Error.Detail = refusal.Detail
	if refusal.RetryAfter > 0 {
		body.Error.RetryAfter = refusal.RetryAfter.String()
	}
	return body
}

func writeRefusal(ctx iris.Context, refusal *fleet.RefusalError) {
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		ctx.Header("Retry-After", strconv.Itoa(seconds))
	}
	if refusal.Outcome == fleet.OutcomeNotRun {
		ctx.Header(headerOutcome, "NotRun")
	}
	ctx.StatusCode(statusOf(refusal))
	_ = ctx.JSON(errorBody(refusal))
}

// statusOf returns the HTTP status of a refusal.
func statusOf(refusal *fleet.RefusalError) int {
	switch refusal.Reason {
	case fleet.ReasonMalformed, fleet.ReasonNoIdempotencyKey:
		return http.StatusBadRequest
	case fleet.ReasonUnauthorized:
		return http.StatusUnauthorized
	case fleet.ReasonForbidden:
		return http.StatusForbidden
	case fleet.ReasonUnknownModel:
		return http.StatusNotFound
	case fleet.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case fleet.ReasonIdempotencyKeyReused:
		return http.StatusUnprocessableEntity
	case fleet.ReasonInProgress, fleet.ReasonAnswerNotKept:
		return http.StatusConflict
	case fleet.ReasonOverloaded, fleet.ReasonDeadline:
		return http.StatusTooManyRequests
	}
	if refusal.Outcome == fleet.OutcomeUnknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
