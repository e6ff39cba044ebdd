// Package plan decides which target serves a request, what its engine fetches
// and saves, and when the request waits or is refused instead.
//
// One planner at a time decides for a set of targets, on the word of all hosts
// that use them: what it has granted, and what the hosts report of it. So the
// bounds that hold over all hosts together are counted in one place: the rate
// that a cold target bears, and the repeats that a service may get.
//
// The load pattern that each decision answers stands with it: placement in
// place.go, waiting and refusal in admit.go.
//
// A Fleet is a pure state machine: each method takes the moment and returns
// what to do. It is not safe for concurrent use.
package plan

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/shelf"
	"hibiscuslb/fleet/wave"
)

// GrantNumber identifies a grant of one planner.
type GrantNumber uint64

// A Request is a request that needs a target.
type Request struct {
	ID        fleet.RequestID
	Host      fleet.HostID
	Near      fleet.DataCentreID // of the host
	Service   route.ServiceID
	Workspace fleet.WorkspaceID
	Isolated  bool           // shares no cache with other workspaces
	Prompt    *prompt.Prompt // nil for plain services
	Rank      int            // 0 is the most urgent
	Objective time.Duration  // left until the first piece is late
	Deadline  time.Duration  // left until the caller gives up
	Avoid     []fleet.TargetID
	Repeat    bool // the request was sent to a target before
}

// A Grant lets a host send a request to a target.
type Grant struct {
	Number  GrantNumber
	Target  fleet.TargetID
	Address fleet.Address
	Service route.ServiceID
	Version uint64 // of the weights the engine must have; zero for any
	Salt    string
	Fetch   []fleet.Address // for each part, where to fetch it; "" for nowhere
	Save    []fleet.Address // for each part, where to save it; "" for nowhere
	Until   time.Time       // on the engines' clock, by which fetches must end
	Rank    int

	// By is where the host that granted it is reached; empty if the caller's
	// host chose alone. The host that gets the grant fills it in.
	By fleet.Address
}

// A Decision answers a Request: a grant or a refusal.
type Decision struct {
	Request *Request
	Grant   *Grant
	Refusal *fleet.RefusalError
}

// Progress is what a host reports of a grant.
type Progress uint8

const (
	// Started means that the first piece of the answer has come.
	Started Progress = iota
	// Done means that the whole answer has come.
	Done
	// Rejected means that the target has not run the request.
	Rejected
	// Failed means that the target answered with a failure of its own, or
	// broke its answer off.
	Failed
	// Unreachable means that no connection to the target could be made.
	Unreachable
	// Mismatched means that another target has the address, or that the engine has
	// other weights.
	Mismatched
	// Abandoned means that the caller left, or that its time was over.
	Abandoned
)

// A Report is what a host has seen of a grant.
type Report struct {
	Number   GrantNumber
	Progress Progress
}

// flight is a grant whose end has not been reported.
type flight struct {
	req     *Request
	target  *target
	granted fleet.Instant
	begun   bool
	parts   []shelf.Part  // of the prompt, under the grant's salt
	read    fleet.Tokens  // that the engine has to read
	first   time.Duration // estimate until the first piece
	fetch   time.Duration // of first, what the fetches take
	from    []*store      // that it fetches from
	size    fleet.Tokens  // of memory that the run takes
}

// model is a model's weights.
type model struct {
	version uint64 // the newest
	named   wave.Announcements
	rollout wave.Rollout
}

// store is a store of kept cache with its account.
type store struct {
	service route.ServiceID
	spec    route.Store
	shelf   shelf.Inventory
	lane    lane
}

// A Fleet is all that a planner decides for. The zero value has no targets.
type Fleet struct {
	// The bounds come from the deployment's settings.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryBurst  float64
	// WeightsBound is the time from the naming of weights to the last run that
	// may begin on older ones; zero for none.
	WeightsBound time.Duration

	// Deputy tells that hosts req this one because they cannot reach the
	// planner, which may plan for others at the same time. A deputy gives cold
	// targets nothing and grants few repeats.
	Deputy bool

	// FetchAllowed tells whether parts of stores may be fetched, and saved: the
	// engines' clock is known, and nobody else frees parts.
	FetchAllowed bool

	targets  map[fleet.TargetID]*target
	services map[route.ServiceID]*service
	stores   map[fleet.Address]*store
	models   map[fleet.ModelID]*model
	holders  holders
	stats    Stats
	flights  map[GrantNumber]*flight
	next     GrantNumber
	waiting  []*waiter
	from     fleet.Instant // of the planner's tenure
}

// service is what a planner counts for a service.
type service struct {
	spec    *route.Service
	arrived window // requests, first attempts
	repeats window
}

// BeginTenure starts a tenure: what an earlier planner has granted is not known.
func (f *Fleet) BeginTenure(now fleet.Instant, first GrantNumber) {
	f.from, f.next = now, first
	f.stats = Stats{}
	f.waiting = nil
	f.flights = make(map[GrantNumber]*flight)
	for _, t := range f.targets {
		t.forgetFlights(now)
	}
	for _, s := range f.stores {
		s.shelf = shelf.Inventory{Capacity: s.spec.Capacity, ActiveFrom: now.Add(inheritTime)}
	}
	for _, m := range f.models {
		m.rollout = wave.Rollout{}
	}
}

const (
	// MaxFetchTime bounds a fetch from the moment of its grant: an engine starts
	// no transfer that would wait over two seconds.
	MaxFetchTime = 2500 * time.Millisecond
	// inheritTime is how long reads that an earlier planner allowed may go
	// on, with the time that hosts may still have held its grants.
	inheritTime = MaxFetchTime + time.Second
)

// SetServices takes a new configuration.
func (f *Fleet) SetServices(now fleet.Instant, services []route.Service) {
	if f.services == nil {
		f.services = make(map[route.ServiceID]*service)
		f.stores = make(map[fleet.Address]*store)
	}
	live := make(map[fleet.Address]bool)
	for i := range services {
		spec := &services[i]
		if known, ok := f.services[spec.ID]; ok {
			known.spec = spec
		} else {
			f.services[spec.ID] = &service{spec: spec}
		}
		if spec.Store == nil || !spec.Store.Managed {
			continue
		}
		live[spec.Store.Address] = true
		if _, ok := f.stores[spec.Store.Address]; !ok {
			s := &store{service: spec.ID, spec: *spec.Store}
			s.shelf = shelf.Inventory{Capacity: spec.Store.Capacity, ActiveFrom: f.from.Add(inheritTime)}
			f.stores[spec.Store.Address] = s
		}
	}
	for address := range f.stores {
		if !live[address] {
			delete(f.stores, address)
		}
	}
	for _, t := range f.targets {
		t.service = f.services[t.Service]
	}
}

// SetWeights takes the weights of a model that were named.
func (f *Fleet) SetWeights(id fleet.ModelID, named wave.Announcements) {
	if m := f.model(id); named.Newest() >= m.version {
		m.version, m.named = named.Newest(), named
	}
}

func (f *Fleet) model(id fleet.ModelID) *model {
	if f.models == nil {
		f.models = make(map[fleet.ModelID]*model)
	}
	m, ok := f.models[id]
	if !ok {
		m = new(model)
		f.models[id] = m
	}
	return m
}

// SetTargets takes a new roster. Evacuated data centres get no new work.
func (f *Fleet) SetTargets(now fleet.Instant, entries []roster.Target, evacuated map[fleet.DataCentreID]bool) {
	if f.targets == nil {
		f.targets = make(map[fleet.TargetID]*target)
	}
	live := make(map[fleet.TargetID]bool, len(entries))
	for _, entry := range entries {
		live[entry.ID] = true
		t, ok := f.targets[entry.ID]
		if ok && !t.StartTime.Equal(entry.StartTime) && !t.StartTime.IsZero() && !entry.StartTime.IsZero() {
			ok = false // the same name, another life
		}
		if !ok {
			if t != nil {
				t.leave()
			}
			t = newTarget(&f.holders)
			f.targets[entry.ID] = t
		}
		t.enter(now, entry)
		t.service = f.services[entry.Service]
		t.evacuated = evacuated[entry.DataCentre]
	}
	for id, t := range f.targets {
		if !live[id] {
			t.leave()
			delete(f.targets, id)
		}
	}
}

// Stats is what was granted in this tenure.
func (f *Fleet) Stats() Stats { return f.stats }

// Report takes a host's word on a grant.
func (f *Fleet) Report(now fleet.Instant, report Report) {
	fl, ok := f.flights[report.Number]
	if !ok {
		return // of an earlier planner, or reported twice
	}
	if report.Progress == Started {
		fl.target.begin(now, fl)
		return
	}
	delete(f.flights, report.Number)
	fl.target.end(now, fl, report.Progress)
}

// ReleaseHost notes that a host will report no more. What it had under way ends
// within the time that its engines see it gone.
func (f *Fleet) ReleaseHost(now fleet.Instant, host fleet.HostID) {
	for number, fl := range f.flights {
		if fl.req.Host == host {
			delete(f.flights, number)
			fl.target.end(now, fl, Abandoned)
		}
	}
}

// sweep drops flights of which no end was heard long after their callers gave
// up.
func (f *Fleet) sweep(now fleet.Instant) {
	const lateReport = 2 * time.Second // hosts report ends within milliseconds
	for number, fl := range f.flights {
		if now.Sub(fl.granted) > fl.req.Deadline+lateReport {
			delete(f.flights, number)
			fl.target.end(now, fl, Abandoned)
		}
	}
}

// Salt names the cache that requests may share: that of one version of the
// weights, and of one workspace if it is isolated.
func Salt(model fleet.ModelID, version uint64, workspace fleet.WorkspaceID, isolated bool) string {
	salt := saltOf(model, version)
	if isolated {
		salt += "/" + string(workspace)
	}
	return salt
}
