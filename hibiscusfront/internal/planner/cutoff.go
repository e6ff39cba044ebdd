package planner

import (
	"time"

	"hibiscuslb/fleet"
)

// cutOffMemory is how long a host that stopped to plan while its polls showed that it was cut off counts as cut
// off: it polls no more.
const cutOffMemory = 5 * time.Second

// Ways knows the ways from this host to targets. Its methods may be called concurrently.
type Ways interface {
	Answered(fleet.TargetID) // a poll was answered
	Failed(fleet.TargetID)   // a poll was not answered
	// CutOff reports whether the host has no way to nearly all targets.
	CutOff() bool
}

// unknownWays is the Ways of a planner that has none.
type unknownWays struct{}

func (unknownWays) Answered(fleet.TargetID) {}
func (unknownWays) Failed(fleet.TargetID)   {}
func (unknownWays) CutOff() bool            { return false }

func (p *Planner) ways() Ways {
	if p.Ways == nil {
		return unknownWays{}
	}
	return p.Ways
}

// CutOff reports whether this host is cut off from the targets, as its connections show, or, while it
// plans, as the reports of other hosts show that reach the engines which do not answer its polls.
//
// A planner that is cut off goes on to plan until another host has taken its duty over: the hosts that are
// not cut off need it. It sends nothing to targets meanwhile. Orders to load weights above all have to come
// from the host that holds the duty, so no other host may pass them on.
func (p *Planner) CutOff() bool {
	return p.pollsCutOff.Load() || int64(p.Clock()) < p.cutOffUntil.Load() || p.ways().CutOff()
}

// InTouch reports whether the host is known to reach engines that do not answer this one, the planner.
func (p *Planner) InTouch(host fleet.HostID) bool {
	hosts := p.inTouch.Load()
	return hosts != nil && (*hosts)[host]
}

// noteCutOffs logs which hosts have been found to be cut off since the last call, and publishes whether
// this one is.
func (p *Planner) noteCutOffs() {
	p.pollsCutOff.Store(p.fleet.PollsCutOff())
	inTouch := p.fleet.InTouch()
	p.inTouch.Store(&inTouch)
	for _, change := range p.fleet.CutOffChanges() {
		line := p.Log.Info()
		if change.CutOff {
			line = p.Log.Warn()
		}
		line = line.Int("Targets", change.Targets).Uint64("Epoch", uint64(p.epoch))
		switch {
		case change.Host == "" && change.CutOff:
			line.Msg("engines do not answer this host, but others: it is cut off, and its polls do not count")
		case change.Host == "":
			line.Msg("this host is no longer cut off from engines that others reach: its polls count")
		case change.CutOff:
			line.Str("Peer", string(change.Host)).Msg("a host fails at targets that others reach: it is cut off, and its reports of failures do not count")
		default:
			line.Str("Peer", string(change.Host)).Msg("reports of failures of a host count again")
		}
	}
}
