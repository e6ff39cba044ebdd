// Package plan decides which target serves a request, which parts of its prompt
// the engine fetches and saves, and whether the request is queued or refused
// instead.
//
// One planner at a time decides for a set of targets. Its estimate of their load
// consists of the grants that it has made and of what all hosts report of these
// grants. Limits that hold for all hosts together are therefore counted in one
// place: the request rate of a cold target, and the retry budget of a service.
// While hosts cannot reach the planner, deputies decide with reduced limits.
//
// The time for which a host is the planner without interruption is its tenure, see
// package election.
//
// A run is the processing of one request by an engine. The engine first reads the
// prompt, that is, computes the parts that it has neither cached nor fetched
// (prefill), and then sends the answer in pieces. A target is cold for some time
// after its start, in which it serves requests only at a limited rate.
//
// Roll-outs of versions are described in rollouts.go, placement in placement.go, admission (queueing and refusal) in
// admission.go, requests and prompts that crash targets in crash.go, brittle targets in brittle.go, streams that
// go on in origin.go, and which workspaces share cached parts in isolation.go, each with the
// load pattern that it handles.
//
// A Fleet is a state machine without I/O and without a clock: each method takes the
// current time and returns what has to be done. It is not safe for concurrent use.
//
// The package is used by hibiscusfront; hibiscusd uses packages placement and target.
package plan

import (
	"cmp"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/quarantine"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/weightupdate"
)

// model is the state of a model's weights.
type model struct {
	version   uint64 // the newest that was announced
	announced weightupdate.Announcements
	update    weightupdate.Update
}

// store is a cache store with its inventory.
type store struct {
	service   route.ServiceID
	spec      route.Store
	inventory cachestore.Inventory
	link      linkEstimate
}

// A Fleet is the state of a planner: the targets, cache stores and models that it decides
// for, and its active grants. The zero value has no targets.
type Fleet struct {
	// Retry budget of each service: within RetryWindow, RetryRatio repeats for
	// each first attempt, and RetryReserve repeats in addition. It comes from the
	// deployment's settings.
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryReserve float64
	// WeightsBound is how long after the announcement of new weights a run may
	// still start on older ones; zero for no limit.
	WeightsBound time.Duration

	// Deputy is set if this host decides for hosts that cannot reach the
	// planner, while the planner may decide for others at the same time. A
	// deputy sends no requests to cold targets and allows few repeats.
	Deputy bool

	// StoresAllowed tells whether grants may fetch parts from cache stores and
	// save parts to them. This requires that the engines' clock is known and that
	// no other host frees parts. Fetches from other engines are always allowed.
	StoresAllowed bool

	// RolloutBounds limit what a version on trial may get. Without a Share there are no roll-outs.
	RolloutBounds rollout.Bounds
	// Epoch is that of the tenure; it marks what the planner writes of roll-outs.
	Epoch fleet.Epoch

	// RosterStale is set while this host may not know of targets that others know, so that
	// streams which are not recorded may be of a version that it has missed.
	RosterStale bool

	// Hosts is the number of hosts that ask a planner or a deputy.
	Hosts int

	targets       map[fleet.TargetID]*target
	services      map[route.ServiceID]*service
	stores        map[fleet.Address]*store
	models        map[fleet.ModelID]*model
	enginesByPart engineIndex
	stats         Stats
	active        map[GrantNumber]*activeGrant
	lastNumber    GrantNumber
	queue         []*queuedRequest
	tenureStart   fleet.Instant
	reserveFrom   fleet.Instant // when repeats that an earlier planner has granted don't count any more
	quarantine    quarantine.Ledger
	origins       origin.Ledger
	table         *route.Table                    // the newest configuration; nil if none was set
	crashes       []crash                         // not settled yet
	observers     map[fleet.HostID]*observer      // that fail at targets
	trials        map[fleet.HostID]*slidingWindow // of engines that do not answer polls
	cutOffChanges []CutOffChange                  // since CutOffChanges was called
	probesDue     bool                            // of some target
	gone          []*target                       // of plain services, that have crashed or are not known to be up
	rollouts      map[route.ServiceID]*serviceRollout
	waiting       map[fleet.HostID][]waitingShare // as each host has reported in this tenure
	namedBrittle  map[fleet.HostID]bool           // hosts that have said that a target is brittle
	planning      bool                            // a tenure has begun and not ended
}

// service is a service with the counts of its retry budget.
type service struct {
	spec          *route.Service
	firstAttempts slidingWindow
	repeats       slidingWindow
	pace          pace          // of its engines
	longestWait   time.Duration // see LongestWait
	leastUrgent   int           // rank of its requests
	brittle       brittleService
	runs          runTimes
}

// BeginTenure starts a tenure, in which grants get numbers greater than base. The
// state that depends on the grants of an earlier planner is reset, since these are
// not known.
func (f *Fleet) BeginTenure(now fleet.Instant, base GrantNumber) {
	f.tenureStart, f.lastNumber = now, base
	f.reserveFrom = now.Add(f.RetryWindow)
	f.stats = Stats{}
	f.queue, f.crashes, f.waiting = nil, nil, nil
	f.observers, f.trials, f.cutOffChanges = nil, nil, nil
	f.origins.BeginTenure()
	f.planning = true
	for id, s := range f.rollouts {
		s.machine = nil
		f.followOrder(now, id, s)
	}
	f.active = make(map[GrantNumber]*activeGrant)
	for _, t := range f.targets {
		t.resetGrants(now)
	}
	f.distrustTargets(now)
	for _, s := range f.stores {
		s.inventory = cachestore.Inventory{Capacity: s.spec.Capacity, ActiveFrom: now.Add(predecessorFetchTime)}
	}
	for _, m := range f.models {
		m.update = weightupdate.Update{}
	}
}

const (
	// MaxFetchTime is the longest time from a grant to the end of its fetches.
	// An engine starts no transfer that would wait for over two seconds.
	MaxFetchTime = 2500 * time.Millisecond
	// predecessorFetchTime is how long fetches that an earlier planner granted
	// may continue, with the time for which hosts may have held its grants
	// before they used them.
	predecessorFetchTime = MaxFetchTime + time.Second
)

// SetConfiguration sets the services and their cache stores. The configuration also applies to
// requests, queued ones too, that hosts have made under an older one.
func (f *Fleet) SetConfiguration(now fleet.Instant, table *route.Table) {
	f.SetServices(now, table.Services)
	f.table = table
	workspace, ranked := leastUrgentWorkspace(table)
	for id, s := range f.services {
		s.longestWait, s.leastUrgent = LongestWait(table, id), leastUrgent(table, id, workspace, ranked)
	}
}

// SetServices sets the services and their cache stores from a new configuration.
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
		if known, ok := f.stores[spec.Store.Address]; ok {
			known.service, known.spec, known.inventory.Capacity = spec.ID, *spec.Store, spec.Store.Capacity
		} else {
			s := &store{service: spec.ID, spec: *spec.Store}
			s.inventory = cachestore.Inventory{Capacity: spec.Store.Capacity, ActiveFrom: f.tenureStart.Add(predecessorFetchTime)}
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

// SetWeights sets the announced weights of a model. It ignores announcements whose
// newest version is older than the one that is known.
func (f *Fleet) SetWeights(id fleet.ModelID, announced weightupdate.Announcements) {
	if m := f.model(id); announced.Newest() >= m.version {
		m.version, m.announced = announced.Newest(), announced
	}
}

// model returns the state of a model, which it creates if necessary.
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

// SetTargets sets the targets from a new roster. Targets in evacuated data centres
// get no new requests.
func (f *Fleet) SetTargets(now fleet.Instant, entries []roster.Target, evacuated map[fleet.DataCentreID]bool) {
	if f.targets == nil {
		f.targets = make(map[fleet.TargetID]*target)
	}
	live := make(map[fleet.TargetID]bool, len(entries))
	for _, entry := range entries {
		live[entry.ID] = true
		t, ok := f.targets[entry.ID]
		if ok && !t.StartTime.Equal(entry.StartTime) && !t.StartTime.IsZero() && !entry.StartTime.IsZero() {
			ok = false // the target has restarted
		}
		if !ok {
			if t != nil {
				t.markRemoved()
			}
			t = newTarget(&f.enginesByPart)
			f.targets[entry.ID] = t
		}
		t.update(now, entry)
		t.service = f.services[entry.Service]
		t.evacuated = evacuated[entry.DataCentre]
	}
	for id, t := range f.targets {
		if !live[id] {
			f.recordLoss(now, t)
			t.markRemoved()
			delete(f.targets, id)
		}
	}
	f.followVersions(now)
}

// Stats returns the statistics of this tenure.
func (f *Fleet) Stats() Stats { return f.stats }

// Report records the progress of a grant that a host reported.
func (f *Fleet) Report(now fleet.Instant, report Report) {
	ag, ok := f.active[report.Number]
	if !ok {
		return // granted by another planner, or already ended
	}
	observer := cmp.Or(report.Via, ag.req.Host)
	switch report.Progress {
	case Started, Done, Answered, ServerError:
		f.recordReached(now, observer, ag.target)
		f.recordAnswered(now, ag.target)
	}
	switch report.Progress {
	case Started:
		f.recordProgress(now, ag, Started, ag.started)
		ag.target.startGrant(now, ag)
		if ag.req.Resumable {
			f.origins.RecordStart(now, ag.req.Start(ag.software))
		}
		return
	case Answered:
		ag.answered = true
		ag.target.learn(now, report.Notice.Limit, report.Notice.Leaving)
		if f.knowsBrittle(ag.req.Host, report.Notice.Brittle) || report.Notice.Sound {
			f.learnBrittle(now, ag.target, report.Notice.Brittle)
		}
		return
	}
	delete(f.active, report.Number)
	f.recordProgress(now, ag, report.Progress, ag.started)
	if (report.Progress == Failed || report.Progress == Unreachable) && !f.recordFailed(now, observer, ag.target) {
		ag.target.endGrant(now, ag, Abandoned)
		f.recordBrittleEnd(now, ag, report.Progress)
		return
	}
	share := ag.target.failureShare
	ag.target.endGrant(now, ag, report.Progress)
	f.recordBrittleEnd(now, ag, report.Progress)
	switch {
	case report.Progress == Failed:
		f.noteShare(observer, ag.target, ag.target.failureShare-share)
		f.recordEarlyEnd(now, ag, observer)
	case report.Progress == Unreachable:
		f.recordRefusal(now, ag.target)
	case report.Progress == Done:
		if s := ag.target.service; s != nil {
			s.runs.add(now, now.Sub(ag.grantedAt))
		}
		f.quarantine.RecordSuccess(ag.req.Fingerprint, ag.req.Prompt)
	}
}

// ReleaseHost ends the active grants of a host that will report no more. Engines
// abort its requests once they notice that the host is gone.
func (f *Fleet) ReleaseHost(now fleet.Instant, host fleet.HostID) {
	f.learnWaiting(host, nil)
	delete(f.waiting, host)
	delete(f.namedBrittle, host)
	for number, ag := range f.active {
		if ag.req.Host == host {
			delete(f.active, number)
			f.recordLostGrant(now, ag)
			ag.target.endGrant(now, ag, Abandoned)
			f.recordBrittleEnd(now, ag, Abandoned)
		}
	}
}

// expireGrants ends grants for which no end was reported within endReportGrace
// after their deadline.
func (f *Fleet) expireGrants(now fleet.Instant) {
	const endReportGrace = 2 * time.Second // hosts report ends within milliseconds
	for number, ag := range f.active {
		if now.Sub(ag.grantedAt) > ag.req.Deadline+endReportGrace {
			delete(f.active, number)
			ag.target.endGrant(now, ag, Abandoned)
			f.recordBrittleEnd(now, ag, Abandoned)
		}
	}
}
