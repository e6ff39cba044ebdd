// Package intake describes how much work targets say that they take.
//
// A target in need names a limit in its answers: the requests per second that it takes
// from all hosts together. The limit holds until an answer of the target names none. That
// no answers arrive says nothing, so a limit doesn't expire; instead each target gets a
// few requests, however low its limit is, whose answers show whether the limit still holds.
//
// A target that leaves says so in its answers, too, for the rest of its life. One that turns
// a request away may ask the host that sent it for a pause, which concerns no other host and
// ends after its time.
//
// A brittle target names how often in a second it can turn requests away for want of room,
// whichever host sent them. If it has to do so more often it falls over. It may also let fewer
// requests wait than usual. Like a limit this holds until an answer doesn't name it any more.
//
// All this belongs to one life of a target: the next one starts with none.
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

// Brittle is what an answer says of how brittle its target is. The zero value is an answer that
// says nothing of it.
type Brittle struct {
	Named      bool
	Rejections int // within a second, that the target withstands
}

// A Notice is what an answer says of the work that its target takes. The zero value is an
// answer that says nothing of it.
type Notice struct {
	Limit   Limit
	Leaving bool          // the target takes no new work and will end
	Pause   time.Duration // for which the host must send the target nothing; zero for none
	Brittle Brittle       `cbor:",omitzero"`
	// Sound is set in what a host reports if the answer names no brittleness. Hosts of earlier builds, which may
	// not know brittle targets, say neither.
	Sound bool `cbor:",omitempty"`
}

// Known is what a host has read from an answer and what concerns all hosts.
type Known struct {
	Target  fleet.TargetID
	Limit   Limit
	Leaving bool
	Age     time.Duration // since the answer
	Brittle Brittle       `cbor:",omitzero"`
}
