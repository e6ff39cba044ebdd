package chooser

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/view"
)

// ObserveNotice implements gateway.Chooser. It queues a report if the answer says something
// that concerns all hosts, or if it no longer says what this host or the one that made the
// grant believes.
func (c *Chooser) ObserveNotice(v *view.View, g *plan.Grant, notice intake.Notice) {
	life := intake.Life{Target: g.Target, Service: g.Service}
	if t := v.Target(g.Target); t != nil {
		life.StartTime = t.StartTime
	}
	c.mu.Lock()
	before := c.ledger.Observe(c.Clock(), life, notice)
	c.mu.Unlock()
	if notice.Limit != before.Limit || notice.Brittle != before.Brittle || notice.Leaving && !before.Leaving || notice.Pause > before.Pause {
		c.Log.Info().Str("Target", string(g.Target)).Str("Service", string(g.Service)).Uint64("Grant", uint64(g.Number)).
			Bool("Limited", notice.Limit.Named).Float64("RequestsPerSecond", float64(notice.Limit.Rate)).Float64("Before", float64(before.Limit.Rate)).
			Bool("Leaving", notice.Leaving).Dur("Pause", notice.Pause).Bool("Brittle", notice.Brittle.Named).Int("Rejections", notice.Brittle.Rejections).
			Msg("target changed what it says of the work that it takes")
	}
	if notice.Limit.Named || before.Limit.Named || notice.Brittle.Named || before.Brittle.Named || g.Limited || notice.Leaving && !before.Leaving {
		notice.Sound = !notice.Brittle.Named
		c.enqueue(report{to: g.By, Report: plan.Report{Number: g.Number, Progress: plan.Answered, Notice: notice, Via: g.Via}})
	}
}

// known returns what targets of the service have said to this host that concerns all.
func (c *Chooser) known(v *view.View, service route.ServiceID) []intake.Known {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Known(c.Clock(), service, startTimes(v))
}

// brittle reports whether the targets of the service are brittle, as far as this host was told.
func (c *Chooser) brittle(v *view.View, service route.ServiceID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Brittle(c.Clock(), service, startTimes(v))
}

// closed returns the targets of the service to which this host must send nothing, and the
// time until the first pause of them ends; zero if there is none.
func (c *Chooser) closed(v *view.View, service route.ServiceID) ([]fleet.TargetID, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Closed(c.Clock(), service, startTimes(v))
}

// Closed returns the targets of the service to which this host must send nothing.
func (c *Chooser) Closed(v *view.View, service route.ServiceID) []fleet.TargetID {
	closed, _ := c.closed(v, service)
	return closed
}

// startTimes returns the start times of the view's targets.
func startTimes(v *view.View) intake.Roster {
	return func(id fleet.TargetID) (time.Time, bool) {
		t := v.Target(id)
		if t == nil {
			return time.Time{}, false
		}
		return t.StartTime, true
	}
}

// SetMaxPause sets the longest pause of a target that is believed.
func (c *Chooser) SetMaxPause(pause time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.MaxPause = pause
}
