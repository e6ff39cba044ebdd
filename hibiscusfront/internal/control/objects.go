package control

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/tenure"
	"hibiscuslb/platform"
)

const (
	// watchTime is how long a watch waits. Each costs the store a call.
	watchTime = 12 * time.Second
	// firstPause and lastPause bound the pause after a failed call.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// follow keeps the replica of a kind up to date from the store.
func (c *Control) follow(ctx context.Context, kind string) {
	var since fleet.Version
	pause := firstPause
	for ctx.Err() == nil {
		var err error
		if since == 0 {
			since, err = c.list(ctx, kind)
		} else {
			since, err = c.watch(ctx, kind, since)
		}
		if err == nil {
			pause = firstPause
			c.do(ctx, c.reached)
			continue
		}
		var gone *platform.CompactedError
		if errors.As(err, &gone) {
			since = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		c.do(ctx, func(now fleet.Instant) { c.unreached(now, kind, err) })
		// A watch that was cut may have missed changes that a list shows.
		since = 0
		if !task.Pause(ctx, pause) {
			return
		}
		pause = min(2*pause, lastPause)
	}
}

func (c *Control) list(ctx context.Context, kind string) (fleet.Version, error) {
	listing, err := c.Store.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	c.do(ctx, func(now fleet.Instant) { c.listed(now, kind, listing) })
	return listing.Revision, nil
}

func (c *Control) watch(ctx context.Context, kind string, since fleet.Version) (fleet.Version, error) {
	changes, err := c.Store.Watch(ctx, kind, since, watchTime)
	if err != nil {
		return 0, err
	}
	c.do(ctx, func(now fleet.Instant) {
		c.reached(now)
		if c.kinds[kind].Change(changes) {
			c.changed(now, kind)
		}
	})
	return max(since, changes.Revision), nil
}

// listed takes a list from the store or from another host.
func (c *Control) listed(now fleet.Instant, kind string, listing platform.Listing) {
	if c.kinds[kind].List(listing) {
		c.changed(now, kind)
	}
}

// reached notes an answer of the store.
func (c *Control) reached(now fleet.Instant) {
	c.contact = now
	if c.outage {
		c.outage = false
		c.Log.Info().Msg("the store answers again")
		c.targets.storeBack(now)
	}
}

func (c *Control) unreached(now fleet.Instant, kind string, err error) {
	if !c.outage {
		c.outage = true
		c.Log.Warn().Err(err).Str("Kind", kind).Dur("LastAnswerAgo", now.Sub(c.contact)).
			Msg("the store does not answer; going on with what is known")
	}
	c.targets.storeLost(now)
}

// changed takes what is new in the objects of a kind.
func (c *Control) changed(now fleet.Instant, kind string) {
	switch kind {
	case platform.KindConfiguration:
		c.configure()
	case platform.KindTargets:
		c.enroll(now)
	case platform.KindDuties:
		c.dutySeen(now)
	case platform.KindHosts:
		c.members.registered(now, c)
	case platform.KindEvacuations, platform.KindWeights:
		c.Log.Info().Str("Kind", kind).Uint64("Revision", uint64(c.kinds[kind].Revision())).Msg("objects changed")
	}
	c.publish()
}

// configure takes the newest configuration.
func (c *Control) configure() {
	o, ok := c.kinds[platform.KindConfiguration].Get(platform.ConfigurationName)
	if !ok {
		return
	}
	config, err := platform.DecodeConfiguration(o)
	if err != nil {
		c.malformed(o, err)
		return
	}
	table := route.Newer(c.table, route.Freeze(config))
	if table == c.table {
		return
	}
	c.table = table
	c.Log.Info().Uint64("Number", uint64(table.Number)).Uint64("Revision", uint64(o.Revision)).
		Int("Routes", len(table.Routes)).Int("Workspaces", len(table.Workspaces)).Msg("configuration in force")
}

// enroll takes the targets' entries.
func (c *Control) enroll(now fleet.Instant) {
	entries := make(map[fleet.TargetID]roster.Target)
	c.kinds[platform.KindTargets].Objects(func(o platform.Object) {
		t, err := platform.DecodeTarget(o)
		if err != nil {
			c.malformed(o, err)
			return
		}
		entries[t.ID] = t
	})
	c.targets.take(now, entries, c.Log)
}

func (c *Control) evacuated() map[fleet.DataCentreID]bool {
	result := make(map[fleet.DataCentreID]bool)
	c.kinds[platform.KindEvacuations].Objects(func(o platform.Object) { result[fleet.DataCentreID(o.Name)] = true })
	return result
}

func (c *Control) weights() map[fleet.ModelID]uint64 {
	result := make(map[fleet.ModelID]uint64)
	c.kinds[platform.KindWeights].Objects(func(o platform.Object) {
		w, err := platform.DecodeWeights(o)
		if err != nil {
			c.malformed(o, err)
			return
		}
		result[w.Model] = max(result[w.Model], w.Version)
	})
	return result
}

// dutySeen takes the duty's object.
func (c *Control) dutySeen(now fleet.Instant) {
	o, ok := c.kinds[platform.KindDuties].Get(DutyName)
	if !ok {
		if c.kinds[platform.KindDuties].Revision() > 0 {
			c.duty.Missing(now)
		}
		return
	}
	var record tenure.Record
	if err := platform.Decode(o, &record); err != nil {
		c.malformed(o, err)
		return
	}
	c.duty.Seen(now, o.Revision, record)
}
