package backend

import (
	"fmt"
	"net/http"

	"hibiscuslb/fleet"
)

// An UnsignedError reports a response with a success status (2xx) and no signature.
type UnsignedError struct {
	Target fleet.TargetID
	Status int
}

func (e *UnsignedError) Error() string {
	return fmt.Sprintf("target %s: response with status %d has no signature", e.Target, e.Status)
}

// CheckSignature returns an *UnsignedError if the response has a success status and no
// signature. Responses with other statuses need none.
func (e *Exchange) CheckSignature() error {
	success := e.Status >= http.StatusOK && e.Status < http.StatusMultipleChoices
	if success && !e.Answer.Signed {
		return &UnsignedError{e.key.target, e.Status}
	}
	return nil
}
