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
	ReasonUnauthorized         Reason = "unauthorized"
	ReasonForbidden            Reason = "forbidden"
	ReasonUnknownModel         Reason = "unknown model"
	ReasonTooLarge             Reason = "too large"
	ReasonNoIdempotencyKey     Reason = "no idempotency key"
	ReasonIdempotencyKeyReused Reason = "idempotency key used for another request"
	ReasonOverloaded           Reason = "overloaded"
	ReasonDeadline             Reason = "deadline can not be met"
	ReasonHostLeaving          Reason = "leaving"
	ReasonNoTarget             Reason = "no target"
	ReasonNotHolder            Reason = "not keeper"
	ReasonConfigurationStale   Reason = "configuration may be stale"
	ReasonPlatformUnavailable  Reason = "platform unavailable"
	ReasonTargetFailed         Reason = "target failed"
	ReasonRetryBudget          Reason = "retry budget spent"
	ReasonAnswerNotKept        Reason = "answer of the earlier call was too long to keep"
	ReasonInProgress           Reason = "in progress"
	ReasonUnknownRoute         Reason = "unknown route"
	ReasonCallerDisconnected   Reason = "the caller left"
	ReasonStreamTimeout        Reason = "stream timeout"
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
