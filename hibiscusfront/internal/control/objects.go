package control

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/task"
	"hibiscuslb/platform"
)

const (
	// watchTimeDivisor of the time in which a configuration must be in force is how
	// long a watch waits: its connection may be silent for good, which shows
	// only by the end of the wait.
	watchTimeDivisor = 3
	// configurationTimeDivisor is the same for the configuration itself. What follows
	// the end of the wait, up to the last host that hears of a change by others,
	// takes three more such shares.
	configurationTimeDivisor = 5
	// hostsWatchTime is how long a watch for hosts waits: heartbeats tell more
	// than their entries do.
	hostsWatchTime = 6 * time.Second
	// minWatchTime bounds the calls where no bound is set.
	minWatchTime = 400 * time.Millisecond
	// idlePause is the pause between two looks whether to watch.
	idlePause = 50 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// follow keeps the replica of a kind up to date from the store.
func (c *Control) follow(ctx context.Context, kind string) {
	since := func() (revision fleet.Version) {
		c.ask(ctx, func(fleet.Instant) { revision = c.replicas[kind].Revision() })
		return revision
	}
	list := true
	pause := minRetryPause
	for ctx.Err() == nil {
		from := since()
		// A host that starts reads the store at once: it serves nobody
		// before it knows a configuration.
		needed := from == 0 || c.watching.Load()
		if !needed || c.storeDown.Load() && kind != platform.KindConfiguration {
			// Others tell of changes meanwhile; or the store is out of reach,
			// and one kind is enough to find out when it is back.
			task.Pause(ctx, idlePause)
			continue
		}
		var err error
		if list || from == 0 {
			err = c.list(ctx, kind)
		} else {
			err = c.watch(ctx, kind, from)
		}
		// A watch that was cut may have missed changes that a list shows.
		list = err != nil
		if err == nil {
			pause = minRetryPause
			continue
		}
		var gone *platform.CompactedError
		if errors.As(err, &gone) {
			continue
		}
		if ctx.Err() != nil {
			return
		}
		c.do(ctx, func(now fleet.Instant) { c.storeFailed(now, kind, err) })
		if !task.Pause(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// watchTime is how long a watch of the kind waits.
func (c *Control) watchTime(kind string) time.Duration {
	if kind == platform.KindHosts {
		return hostsWatchTime
	}
	share := time.Duration(watchTimeDivisor)
	if kind == platform.KindConfiguration {
		share = configurationTimeDivisor
	}
	return max(minWatchTime, c.Settings.Bounds.Configuration/share)
}

func (c *Control) list(ctx context.Context, kind string) error {
	listing, err := c.Store.List(ctx, kind)
	if err != nil {
		return err
	}
	c.ask(ctx, func(now fleet.Instant) {
		c.storeAnswered(now)
		before := c.replicas[kind].Revision()
		c.applyListing(now, kind, listing)
		if before > 0 && c.replicas[kind].Revision() > before {
			c.broadcastChange(kind)
		}
	})
	return nil
}

// tell passes on at once what the store says of a kind that has to take effect
// soon. Other kinds go with the next heartbeat.
func (c *Control) broadcastChange(kind string) {
	if kind == platform.KindConfiguration || kind == platform.KindEvacuations {
		c.broadcastHeartbeat()
	}
}

func (c *Control) watch(ctx context.Context, kind string, since fleet.Version) error {
	changes, err := c.Store.Watch(ctx, kind, since, c.watchTime(kind))
	if err != nil {
		return err
	}
	c.ask(ctx, func(now fleet.Instant) {
		c.storeAnswered(now)
		if c.replicas[kind].ApplyWatch(changes) {
			c.objectsChanged(now, kind)
			c.broadcastChange(kind)
		}
	})
	return nil
}

// listed takes a list from the store or from another host.
func (c *Control) applyListing(now fleet.Instant, kind string, listing platform.Listing) {
	if c.replicas[kind].ApplyListing(listing) {
		c.objectsChanged(now, kind)
	}
}

// reached notes an answer of the store.
func (c *Control) storeAnswered(now fleet.Instant) {
	c.lastStoreAnswer = now
	if c.outage {
		c.outage = false
		c.storeDown.Store(false)
		c.Log.Info().Msg("the store answers again")
		c.targets.storeBack(now)
	}
}

func (c *Control) storeFailed(now fleet.Instant, kind string, err error) {
	if !c.outage {
		c.outage = true
		c.storeDown.Store(true)
		c.Log.Warn().Err(err).Str("Kind", kind).Dur("LastAnswerAgo", now.Sub(c.lastStoreAnswer)).
			Msg("the store does not answer; going on with what is known")
	}
	c.targets.storeLost(now)
}

// changed takes what is new in the objects of a kind.
func (c *Control) objectsChanged(now fleet.Instant, kind string) {
	switch kind {
	case platform.KindConfiguration:
		c.applyConfiguration()
	case platform.KindTargets:
		c.applyTargets(now)
	case platform.KindHosts:
		c.members.applyEntries(now, c)
	case platform.KindWeights:
		c.applyWeights(now)
	case platform.KindEvacuations:
		c.Log.Info().Interface("DataCentres", c.evacuated()).Msg("evacuations changed")
	}
	c.publish()
}

// configure takes the newest configuration.
func (c *Control) applyConfiguration() {
	o, ok := c.replicas[platform.KindConfiguration].Get(platform.ConfigurationName)
	if !ok {
		return
	}
	config, err := platform.DecodeConfiguration(o)
	if err != nil {
		c.logMalformed(o, err)
		return
	}
	table := route.Newer(c.table, route.NewTable(config))
	if table == c.table {
		return
	}
	c.table = table
	c.Log.Info().Uint64("Number", uint64(table.Number)).Uint64("Revision", uint64(o.Revision)).
		Int("Routes", len(table.Routes)).Int("Workspaces", len(table.Workspaces)).Msg("configuration in force")
}

// enroll takes the targets' entries.
func (c *Control) applyTargets(now fleet.Instant) {
	entries := make(map[fleet.TargetID]roster.Target)
	c.replicas[platform.KindTargets].ForEach(func(o platform.Object) {
		t, err := platform.DecodeTarget(o)
		if err != nil {
			c.logMalformed(o, err)
			return
		}
		entries[t.ID] = t
	})
	c.targets.apply(now, entries, c.Log)
}

func (c *Control) evacuated() map[fleet.DataCentreID]bool {
	result := make(map[fleet.DataCentreID]bool)
	c.replicas[platform.KindEvacuations].ForEach(func(o platform.Object) { result[fleet.DataCentreID(o.Name)] = true })
	return result
}

// nameWeights takes the weights that the operator has named. When those were
// named that the host finds at its start is not known: long ago, for all it may
// do with older ones.
func (c *Control) applyWeights(now fleet.Instant) {
	if c.weightsRead {
		now = max(now, 1)
	} else {
		now = 0
	}
	c.weightsRead = true
	c.replicas[platform.KindWeights].ForEach(func(o platform.Object) {
		w, err := platform.DecodeWeights(o)
		if err != nil {
			c.logMalformed(o, err)
			return
		}
		if w.Version > c.namings[w.Model].Newest() {
			c.namings[w.Model] = c.namings[w.Model].Add(w.Version, now)
			c.Log.Info().Str("Model", string(w.Model)).Uint64("Version", w.Version).
				Uint64("Revision", uint64(o.Revision)).Msg("weights named")
		}
	})
}
