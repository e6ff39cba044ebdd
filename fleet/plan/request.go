package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/route"
)

// GrantNumber identifies a grant. Planners number their grants from different
// starting points, so the numbers of two planners differ.
type GrantNumber uint64

// A Request describes a caller's request for which a host needs a target.
type Request struct {
	ID        fleet.RequestID
	Host      fleet.HostID
	Near      fleet.DataCentreID // data centre of the host
	Service   route.ServiceID
	Route     string `cbor:",omitempty"` // its name; empty if there are no roll-outs
	Workspace fleet.WorkspaceID
	Isolation
	Prompt *prompt.Prompt // nil for plain services
	// Fingerprint is that of the request itself, which is the same for each attempt at it.
	Fingerprint quarantine.Fingerprint
	Rank        int // 0 is the most urgent
	// Objective is the time left until the first piece of the answer is late. It
	// is zero or less if the route has no objective or its time has passed:
	// lateness is then ignored, and the request is queued until the next Tick at most.
	Objective  time.Duration
	Deadline   time.Duration    // time left until the caller abandons the request
	Avoid      []fleet.TargetID // targets that must not be chosen
	Repeat     bool             // a target has got the request before
	Again      bool             `cbor:",omitempty"` // a target was chosen for it, and no target has got it since
	Resumable  bool             // its answer is a stream that may go on at another target
	Resumption Resumption
	Known      []intake.Known // what targets of the service have said to the host
	Waiting    []Waiting      `cbor:",omitempty"`
}

// A Grant allows a host to send a request to a target.
type Grant struct {
	Number   GrantNumber
	Target   fleet.TargetID
	Address  fleet.Address
	Service  route.ServiceID
	Version  uint64          // of the weights that the engine must have; zero for any
	Salt     string          // of the cache that the request may use; see the function Salt
	Fetch    []fleet.Address // for each part, the address of the cache store or engine to fetch it from; "" for none
	Save     []fleet.Address // for each part, the address of the cache store to save it to; "" for none
	Read     fleet.Tokens    `cbor:",omitempty"` // of the prompt, that the engine has to read
	Until    time.Time       // end of the time for fetches, on the engines' clock
	Rank     int
	Software fleet.Software // of the target
	Limited  bool           // the target has named a limit or may be brittle; its answer tells whether that still holds
	// StartWithin is the time from the grant in which the run has to start, since newer
	// weights than Version were announced; zero for no limit.
	StartWithin time.Duration `cbor:",omitempty"`
	// Wait is the expected time from the sending to the start of the run.
	Wait time.Duration `cbor:",omitempty"`
	// Configuration is the number of the one that Salt was made under.
	Configuration fleet.Version `cbor:",omitempty"`

	// By is the address of the host that made the grant; empty if the host of
	// the request chose the target without a planner. It is set by the host
	// that receives the grant.
	By fleet.Address
	// Stream is what the host reports when the answer begins, if it is a stream that may go
	// on at another target; else nil. It is set like By.
	Stream *origin.Start
	// Via is the other host that has sent the request, if the host of the request could not. It is
	// set like By.
	Via fleet.HostID `cbor:",omitempty"`
}

// A Decision answers a Request with either a grant or a refusal.
type Decision struct {
	Request *Request
	Grant   *Grant
	Refusal *fleet.RefusalError
}

// Progress is the state of a granted request that a host reports.
type Progress uint8

const (
	// Started means that the first piece of the answer was received.
	Started Progress = iota
	// Done means that the whole answer was received.
	Done
	// Rejected means that the target has not run the request.
	Rejected
	// Failed means that the answer ended early, that it has a success status and no
	// signature, or that there was none.
	Failed
	// Unreachable means that no connection to the target could be established.
	Unreachable
	// Mismatched means that another target uses the address now, or that the
	// engine has other weights than the grant requires.
	Mismatched
	// Abandoned means that the caller disconnected, or that its deadline
	// passed.
	Abandoned
	// Answered means that the header of an answer was received that names a limit, none
	// after an earlier one did, that the target leaves, or that it is brittle or no longer so. It is
	// not the end of the grant.
	Answered
	// ServerError means that the target answered with an internal error.
	ServerError
)

// A Report tells the planner the progress of a grant.
type Report struct {
	Number   GrantNumber
	Progress Progress
	Notice   intake.Notice // if Progress is Answered
	Via      fleet.HostID  `cbor:",omitempty"` // that has met this at the target, if not the host of the request
}

// activeGrant is a grant whose end has not been reported.
type activeGrant struct {
	req         *Request
	target      *target
	grantedAt   fleet.Instant
	started     bool
	startedAt   fleet.Instant
	idleEngine  bool              // no other run was pending at the engine
	parts       []cachestore.Part // of the prompt, under the grant's salt
	readTokens  fleet.Tokens      // that the engine has to read
	firstPiece  time.Duration     // estimated time until the first piece of the answer
	fetchTime   time.Duration     // share of firstPiece that the fetches take
	transfer    time.Duration     // share of fetchTime that the bytes take at the nominal rates of the links
	slowdown    float64           // of the bytes, as the estimate of the fetch stores' links expected it
	fetchStores []*store          // cache stores from which parts are fetched
	memory      fleet.Tokens      // tokens of cache memory that the run occupies
	software    fleet.Software    // of the target when the grant was made
	answered    bool              // with a header that says something, see Answered
	ended       bool
	leastUrgent bool // no request for the service is less urgent
	onTrial     bool // software is on trial: its pace is not that of the service
}
