package plan

import (
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
	"hibiscuslb/fleet/route"
)

// Roll-outs.
//
// While a service has an order to move to a version of its targets' software, package rollout
// decides which requests go to that version. The planner tells it what it grants and what hosts
// report. A response counts as bad if it failed, or if its first piece came later than twice the time that
// the plan expected by more than most responses of the old version; a new target has none of the prompts'
// parts yet, which is no fault of its version. A response that fails after its first piece counts
// as two. A target that is gone, or that did not run a request, is no evidence.
//
// A deputy follows the stage that the object store holds.

// serviceRollout is the roll-out of a service.
type serviceRollout struct {
	known   rollout.Known
	machine *rollout.Rollout // on the planner
}

// SetRollouts sets what the object store holds of the roll-outs. It has no effect without
// RolloutBounds.
func (f *Fleet) SetRollouts(now fleet.Instant, known map[route.ServiceID]rollout.Known) {
	if !f.RolloutBounds.Enabled() {
		f.rollouts = nil
		return
	}
	if f.rollouts == nil && len(known) > 0 {
		f.rollouts = make(map[route.ServiceID]*serviceRollout)
	}
	for id, k := range known {
		s, ok := f.rollouts[id]
		if !ok {
			s = new(serviceRollout)
			f.rollouts[id] = s
		}
		restored := s.known.Revision.Era > 0 && k.Revision.Era > s.known.Revision.Era
		if s.known.Revision.After(k.Revision) {
			// This planner has written since what was read.
			k.Record, k.Revision = s.known.Record, s.known.Revision
		}
		s.known = k
		f.followOrder(now, id, s)
		if restored && s.machine != nil {
			s.machine.Rewrite()
		}
	}
	for id, s := range f.rollouts {
		if _, ok := known[id]; ok {
			continue
		}
		s.known.Order, s.known.Record = nil, nil
		if s.machine == nil || s.machine.Stage().Final() {
			delete(f.rollouts, id)
		} else {
			s.machine.Withdraw()
		}
	}
}

// followOrder makes the state machine of a roll-out that of the present order, on the planner.
func (f *Fleet) followOrder(now fleet.Instant, id route.ServiceID, s *serviceRollout) {
	k := s.known
	switch {
	case f.Deputy || !f.planning:
		s.machine = nil
	case k.Order == nil && s.machine == nil && k.Record != nil && !k.Record.Withdrawn:
		s.machine = rollout.Begin(now, k.Record.Order, f.RolloutBounds, f.Epoch, 0, k.Record)
		s.machine.Withdraw()
	case k.Order == nil && s.machine != nil:
		s.machine.Withdraw()
	case k.Order != nil && (s.machine == nil || s.machine.Order != *k.Order || s.machine.Withdrawn()):
		s.machine = rollout.Begin(now, *k.Order, f.RolloutBounds, f.Epoch, now.Sub(k.Since), k.Record)
		recorded := k.Record != nil && k.Record.Of(*k.Order)
		switch {
		case recorded:
		case k.Settled:
			s.machine.Settle(k.Final, "the status of the order")
		case s.machine.Alone(f.has(id)):
			s.machine.Settle(rollout.Completed, "there are no targets of another version")
		}
	}
}

// EndTenure ends the tenure of a planner or deputy.
func (f *Fleet) EndTenure() {
	f.planning = false
	for _, s := range f.rollouts {
		s.machine = nil
	}
}

// has returns whether the roster has targets of the service with a version for which a condition holds.
func (f *Fleet) has(id route.ServiceID) rollout.Has {
	return func(condition func(fleet.Software) bool) bool {
		for _, t := range f.targets {
			if t.Service == id && !t.leaves() && condition(t.Software) {
				return true
			}
		}
		return false
	}
}

// hasTargets reports whether the roster has targets of the service with the version, or with
// another one.
func (f *Fleet) hasTargets(id route.ServiceID, software fleet.Software, same bool) bool {
	return f.has(id)(func(s fleet.Software) bool { return (s == software) == same })
}

// versions limits the targets that a request may be sent to by their version. The zero value
// allows all.
type versions struct {
	only   *fleet.Software
	except *fleet.Software
	barred []fleet.Software
	among  []fleet.TargetID // if limited
	// limited is set if only the targets in among may get the request.
	limited bool
}

func (v *versions) admits(t *target) bool {
	return t.has(v.only) && (v.except == nil || t.Software != *v.except) && !slices.Contains(v.barred, t.Software) && (!v.limited || slices.Contains(v.among, t.ID))
}

// choices returns the versions that a request may be sent to, in the order of preference, and
// whether others may become allowed if there are none. Software is the one that the
// request requires, nil for any.
func (f *Fleet) choices(now fleet.Instant, req *Request, software *fleet.Software, trial bool) (list [2]versions, n int, wait bool) {
	list[0] = versions{only: software}
	s := f.rollouts[req.Service]
	if s == nil {
		return list, 1, false
	}
	m := s.machine
	if m == nil {
		return f.choicesWithout(s.known, req.Service, software)
	}
	to := &m.Order.To
	ordered := s.known.Order != nil
	switch {
	case software != nil && *software == *to:
		if m.Stage() == rollout.RolledBack && !ordered && !f.hasTargets(req.Service, *to, false) || m.AllowStream() || m.Completing() {
			return list, 1, false
		}
		return list, 0, m.Undecided()
	case software != nil && slices.Contains(m.Barred(f.has(req.Service)), *software):
		return list, 0, false
	case software != nil:
		return list, 1, false // the targets of the version are gone once it is completed
	}
	list[0], list[1] = versions{only: to}, versions{except: to, barred: m.Barred(f.has(req.Service))}
	switch m.Stage() {
	case rollout.Canary:
		if m.Completing() {
			return list, 1, false
		}
		if !req.Repeat && !trial && m.Allow(now, req.Route) {
			list[0].among, list[0].limited = m.Taking(now), true
			return list, 2, false
		}
	case rollout.Promoted:
		if m.AllowStream() && m.AllowOld(now) {
			return list, 2, false
		}
		if m.AllowStream() {
			return list, 1, false
		}
	case rollout.Completed:
		if ordered && f.hasTargets(req.Service, *to, true) {
			return list, 1, false
		}
		return [2]versions{}, 1, false
	case rollout.RolledBack:
		if !ordered && !f.hasTargets(req.Service, *to, false) {
			return [2]versions{}, 1, false
		}
	}
	list[0] = list[1]
	return list, 1, false
}

// choicesWithout returns the versions on a host that is not the planner.
func (f *Fleet) choicesWithout(known rollout.Known, service route.ServiceID, software *fleet.Software) (list [2]versions, n int, wait bool) {
	has := f.has(service)
	barred := known.Barred(has)
	if software != nil {
		list[0] = versions{only: software}
		if known.Excludes(*software, has) && (known.New(*software) || slices.Contains(barred, *software)) {
			return list, 0, false
		}
		return list, 1, false
	}
	list[0].barred = barred
	to, found := known.To()
	switch {
	case !found:
		return list, 1, false
	case known.Excludes(to, has):
		list[0].except = &to
	case known.Excludes(to+"?", has): // any other version
		list[0].only = &to
	}
	return list, 1, false
}

// rolloutOf returns the state machine of a service's roll-out, or nil.
func (f *Fleet) rolloutOf(service route.ServiceID) *rollout.Rollout {
	if s := f.rollouts[service]; s != nil {
		return s.machine
	}
	return nil
}

// recordGrant tells the roll-out of the service of a grant.
func (f *Fleet) recordGrant(now fleet.Instant, ag *activeGrant) {
	m := f.rolloutOf(ag.req.Service)
	if m == nil {
		return
	}
	if !ag.req.Repeat {
		m.Arrived(now, ag.req.Route)
	}
	if ag.software == m.Order.To {
		ag.onTrial = m.Stage() == rollout.Canary
		m.Sent(now, ag.req.Route, ag.target.ID)
	}
}

// expectedFactor times the expected time to the first piece is not counted. The estimate for a prompt
// that has to be read may be off by less than that, and that for cached ones is almost exact.
const expectedFactor = 2

// recordProgress tells the roll-out of the service of a grant's progress.
func (f *Fleet) recordProgress(now fleet.Instant, ag *activeGrant, progress Progress, started bool) {
	m := f.rolloutOf(ag.req.Service)
	if m == nil {
		return
	}
	took := now.Sub(ag.grantedAt)
	first := max(0, took-expectedFactor*ag.firstPiece)
	if progress != Started && progress != Answered && ag.software != m.Order.To {
		m.OldEnded(took)
	}
	record := func(result rollout.Result) {
		m.Record(now, ag.req.Route, ag.target.ID, ag.software, result, first)
	}
	switch progress {
	case Started:
		if !started {
			record(rollout.Good)
		}
	case Done:
		if !started {
			record(rollout.Good)
		}
	case Failed, ServerError:
		if t := ag.target; progress == ServerError || !t.removed && !t.unresponsive && !t.crashed {
			record(rollout.Bad)
		}
	case Abandoned:
		if !started && (took >= ag.req.Deadline || m.Slow(ag.req.Route, first)) {
			record(rollout.Bad)
		}
	case Rejected, Unreachable, Mismatched:
		if !ag.req.Repeat {
			m.Returned(ag.req.Route)
		}
	}
}

// recordLoss tells the roll-out of the service that a target is gone.
func (f *Fleet) recordLoss(now fleet.Instant, t *target) {
	if m := f.rolloutOf(t.Service); m != nil {
		m.TargetLost(now, t.ID)
	}
}

// recordLostGrant tells the roll-out of the service that the host of a grant is lost. The host may be cut off
// from the planner alone, and go on with its requests.
func (f *Fleet) recordLostGrant(now fleet.Instant, ag *activeGrant) {
	if m := f.rolloutOf(ag.req.Service); m != nil && ag.software != m.Order.To {
		m.OldLost(now)
	}
}

// A RolloutWrite is a record that the planner has to write in place of the object's revision.
type RolloutWrite struct {
	Record   rollout.Record
	Revision fleet.Revision
}

// DueRollouts returns the records to write now. RecordRollout must be called with the results.
func (f *Fleet) DueRollouts(now fleet.Instant) []RolloutWrite {
	var due []RolloutWrite
	for id, s := range f.rollouts {
		if s.machine == nil || s.machine.Idle() {
			continue
		}
		var old, new []fleet.TargetID
		active := 0
		for _, t := range f.targets {
			if t.Service != id {
				continue
			}
			isNew := t.Software == s.machine.Order.To
			if !isNew {
				active += t.activeGrants
			}
			switch {
			case !t.usable(now):
			case isNew:
				new = append(new, t.ID)
			default:
				old = append(old, t.ID)
			}
		}
		s.machine.SetTargets(old, new)
		if a := s.machine.Tick(now, active); a.Record != nil {
			due = append(due, RolloutWrite{*a.Record, s.known.Revision})
		}
	}
	return due
}

// RecordRollout records the result of a write: whether it succeeded, and the record that the store
// holds with its revision, if that is known.
func (f *Fleet) RecordRollout(now fleet.Instant, write RolloutWrite, succeeded bool, found *rollout.Record, revision fleet.Revision) {
	s := f.rollouts[write.Record.Order.Service]
	if s == nil || s.machine == nil || s.machine.Order != write.Record.Order {
		return
	}
	if !revision.IsZero() && revision.Compare(s.known.Revision) >= 0 || revision.Era > 0 && revision.Number == 0 {
		s.known.Revision = revision
	}
	if succeeded {
		s.known.Record = &write.Record
		s.machine.Written(now, write.Record)
	} else {
		s.machine.WriteFailed(now, found)
	}
	if !revision.IsZero() && revision.Era < s.known.Revision.Era {
		s.machine.Rewrite() // the store was restored since, and may have lost what it has acknowledged
	}
}

// A RolloutSummary describes a roll-out for logs and metrics.
type RolloutSummary struct {
	Order    rollout.Order
	Stage    rollout.Stage
	Share    float64
	Exposure int
	Bad      int
	Reason   string
}

// RolloutEvidence describes the responses by route on which the roll-out of a service rests.
func (f *Fleet) RolloutEvidence(service route.ServiceID) string {
	if m := f.rolloutOf(service); m != nil {
		return m.Evidence()
	}
	return ""
}

// Rollouts returns the roll-outs that this planner runs.
func (f *Fleet) Rollouts() []RolloutSummary {
	var list []RolloutSummary
	for _, s := range f.rollouts {
		if m := s.machine; m != nil {
			list = append(list, RolloutSummary{m.Order, m.Stage(), m.Share(), m.Exposure(), m.BadResponses(), m.Last().Reason})
		}
	}
	return list
}
