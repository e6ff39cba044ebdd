// Package intake describes how much work targets say that they take.
//
// A target in need names a limit in its answers: the requests per second that it takes
// from all hosts together. The limit holds until an answer of the target names none. That
// no answers arrive says nothing, so a limit doesn't expire; instead each target gets a
// few requests, however low its limit is, whose answers show whether the limit still holds.
//
// A limit belongs to one life of a target: the next one starts with none.
package intake

import (
	"time"

	"hibiscuslb/fleet"
)

// A Rate is a number of requests per second.
type Rate float64

// A Limit is what an answer says of the requests that its target takes. The zero value
// is an answer that names no limit.
type Limit struct {
	Named bool
	Rate  Rate
}

// A Known limit is one that a host has read from an answer.
type Known struct {
	Target fleet.TargetID
	Limit  Limit
	Age    time.Duration // since the answer
}
