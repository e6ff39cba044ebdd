package fleet

import (
	"fmt"
	"time"
)

// Reason is why a request was refused. Its text is sent to callers.
type Reason string

// The reasons for which a request is refused.
const (
	ReasonMalformed            Reason = "malformed"
	ReasonUnauthorized         Reason = "unauthorized" // no valid key
	ReasonForbidden            Reason = "forbidden"    // the workspace may not use the model or service
	ReasonUnknownModel         Reason = "unknown model"
	ReasonTooLarge             Reason = "too large"
	ReasonNoIdempotencyKey     Reason = "no idempotency key"
	ReasonIdempotencyKeyReused Reason = "idempotency key used for another request"
	ReasonOverloaded           Reason = "overloaded" // the targets have no capacity now
	ReasonDeadline             Reason = "deadline can not be met"
	ReasonHostLeaving          Reason = "leaving"   // the host is stopping, or the target is out of service
	ReasonNoTarget             Reason = "no target" // no target of the service is usable
	// ReasonNotHolder means that the host does not hold the duty that the request
	// needs, or that no host holds it.
	ReasonNotHolder Reason = "not keeper"
	// ReasonConfigurationStale means that the host has no configuration yet, or no
	// valid lease, so that a newer configuration may be in force.
	ReasonConfigurationStale  Reason = "configuration may be stale"
	ReasonPlatformUnavailable Reason = "platform unavailable" // a call to the platform failed
	ReasonTargetFailed        Reason = "target failed"        // no complete answer from the target
	// ReasonWithheld means that targets crashed under this request, or on prompts with a part of
	// this one.
	ReasonWithheld Reason = "the request or a part of its prompt has crashed targets"
	// ReasonUnknownOrigin means that the version of the software that began the stream, and at
	// which alone it may go on, can't be told.
	ReasonUnknownOrigin      Reason = "version that began the stream is not known"
	ReasonRetryBudget        Reason = "retry budget spent"
	ReasonAnswerNotKept      Reason = "answer of the earlier call was too long to keep"
	ReasonInProgress         Reason = "in progress" // an earlier request with the idempotency key has not ended
	ReasonUnknownRoute       Reason = "unknown route"
	ReasonCallerDisconnected Reason = "the caller left"
	// ReasonWithdrawn means that the request had not begun when runs on its engine's older
	// weights could start no longer.
	ReasonWithdrawn     Reason = "withdrawn before it began on older weights"
	ReasonStreamTimeout Reason = "stream timeout" // the answer was not complete in time
	ReasonBodyTimeout   Reason = "body timeout"   // the body of the request did not arrive in time
	// ReasonHostMemory means that the host has no memory for the body of the request.
	ReasonHostMemory Reason = "host out of memory for requests"
)

// A RefusalError reports that a request ended without a complete answer. Outcome
// tells the caller whether the request may have run.
type RefusalError struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter time.Duration // zero if sending the request again is of no use
	Detail     string
}

// Error returns the reason, the detail and the outcome.
func (e *RefusalError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Detail, e.Outcome)
}

// Refuse returns a refusal of a request that has not run.
func Refuse(reason Reason, detail string) *RefusalError {
	return &RefusalError{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// RefuseWithRetryAfter returns a refusal of a request that has not run and that
// may be sent again after the given time.
func RefuseWithRetryAfter(reason Reason, after time.Duration) *RefusalError {
	return &RefusalError{Reason: reason, Outcome: OutcomeNotRun, RetryAfter: after}
}
