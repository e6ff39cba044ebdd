package control

import (
	"context"
	"errors"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/roster"
	"hibiscuslb/fleet/route"
	"hibiscuslb/fleet/storeclock"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/weightupdate"
	"hibiscuslb/platform"
)

const (
	// watchTimeDivisor divides the time in which a configuration must be in
	// force; the quotient is how long a watch waits. The wait is bounded because
	// a dead connection shows only when the wait ends without an answer.
	watchTimeDivisor = 3
	// configurationTimeDivisor is the divisor for watches of the configuration
	// itself. It is larger because a change passes through further steps after
	// the wait: the store's answer, the call to the next host and its fetch. They
	// take up to three more quotients.
	configurationTimeDivisor = 5
	// hostsWatchTime is how long a watch for hosts waits, or for the records of roll-outs. It
	// is long because hosts learn of each other mainly from heartbeats, and the planner
	// writes the records itself.
	hostsWatchTime = 6 * time.Second
	// minWatchTime limits the rate of watches if the settings have no bound for
	// the configuration.
	minWatchTime = 400 * time.Millisecond
	// idlePause is the time between two checks whether this host has to watch.
	idlePause = 50 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
)

// follow keeps the replica of a kind up to date from the store.
func (c *Control) follow(ctx context.Context, kind string) {
	since := func() fleet.Revision {
		var revision fleet.Revision
		if !c.enqueueAndWait(ctx, func(fleet.Instant) { revision = c.replicas[kind].Revision() }) {
			return fleet.Revision{} // revision may still be written
		}
		return revision
	}
	list, watched := true, true // watched: a watch has succeeded since the last one that did not
	pause := minRetryPause
	for ctx.Err() == nil {
		from := since()
		// A host that starts reads the store at once: it can serve no request
		// before it has a configuration.
		unread := from.IsZero()
		if !unread && (!c.watching.Load() || c.storeOutageShared.Load() && kind != platform.KindConfiguration) {
			// Other hosts send the changes; or calls to the store fail, and
			// watching one kind is enough to detect when it answers again. Kinds that
			// were never read are read on: the host may not serve without them.
			task.Sleep(ctx, idlePause)
			continue
		}
		var err error
		listed := list || unread
		if listed {
			err = c.list(ctx, kind)
		} else {
			err = c.watch(ctx, kind, from)
		}
		// A watch that failed may have missed changes, so list next.
		list = err != nil
		var gone *platform.CompactedError
		switch {
		case err == nil && listed:
			continue
		case err == nil:
			pause, watched = minRetryPause, true
			continue
		case errors.As(err, &gone) && watched:
			watched = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if gone == nil {
			c.enqueue(ctx, func(now fleet.Instant) { c.recordStoreFailure(now, kind, err) })
		}
		if !task.Sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// watchTime returns how long a watch of the kind waits.
func (c *Control) watchTime(kind string) time.Duration {
	if kind == platform.KindHosts || kind == platform.KindRolloutStates {
		return hostsWatchTime
	}
	divisor := time.Duration(watchTimeDivisor)
	if kind == platform.KindConfiguration {
		divisor = configurationTimeDivisor
	}
	return max(minWatchTime, c.Settings.Bounds.Configuration/divisor)
}

// list reads all objects of a kind from the store.
func (c *Control) list(ctx context.Context, kind string) error {
	called := c.Clock()
	listing, err := c.Store.List(ctx, kind)
	if err != nil {
		return err
	}
	c.enqueueAndWait(ctx, func(now fleet.Instant) {
		c.recordStoreAnswer(now)
		c.storeClock.Observe(storeclock.Sighting{At: called, Revision: listing.Revision})
		before := c.replicas[kind].Revision()
		c.applyListing(now, kind, listing, c.targets.uncertainFor(now))
		if !before.IsZero() && c.replicas[kind].Revision().After(before) {
			c.broadcastChange(kind)
		}
	})
	return nil
}

// broadcastChange announces a change at once if its kind has to take effect soon.
// Changes of other kinds are announced by the next heartbeat.
func (c *Control) broadcastChange(kind string) {
	if kind == platform.KindConfiguration || kind == platform.KindEvacuations {
		c.broadcastHeartbeat()
	}
}

// watch waits for changes of a kind after the revision.
func (c *Control) watch(ctx context.Context, kind string, since fleet.Revision) error {
	changes, err := c.Store.Watch(ctx, kind, since, c.watchTime(kind))
	if err != nil {
		return err
	}
	c.enqueueAndWait(ctx, func(now fleet.Instant) {
		c.recordStoreAnswer(now)
		if c.replicas[kind].ApplyWatch(changes) {
			c.objectsChanged(now, kind, c.targets.uncertainFor(now))
			c.broadcastChange(kind)
		}
	})
	return nil
}

// applyListing applies a list from the store or from another host. UncertainFor is that
// of the host that read it, see targets.apply.
func (c *Control) applyListing(now fleet.Instant, kind string, listing platform.Listing, uncertainFor time.Duration) {
	if known := c.replicas[kind].Revision(); known.Era > listing.Revision.Era {
		c.Log.Info().Str("Kind", kind).Uint64("Revision", uint64(listing.Revision.Number)).Uint64("Era", listing.Revision.Era).
			Uint64("Known", uint64(known.Number)).Uint64("KnownEra", known.Era).
			Msg("ignored a list of objects from before the object store was restored")
	}
	if c.replicas[kind].ApplyListing(listing) {
		c.objectsChanged(now, kind, uncertainFor)
	}
}

// recordStoreAnswer records that the store has answered, which ends an outage.
func (c *Control) recordStoreAnswer(now fleet.Instant) {
	c.lastStoreAnswer = now
	if c.storeOutage {
		c.storeOutage = false
		c.storeOutageShared.Store(false)
		c.Log.Info().Msg("object store answers again")
		c.targets.endOutage(now)
	}
}

// recordStoreFailure records a call to the store that failed, was refused or got
// no answer, which begins an outage.
func (c *Control) recordStoreFailure(now fleet.Instant, kind string, err error) {
	if !c.storeOutage {
		c.storeOutage = true
		c.storeOutageShared.Store(true)
		c.Log.Warn().Err(err).Str("Kind", kind).Dur("LastAnswerAgo", now.Sub(c.lastStoreAnswer)).
			Msg("a call to the object store failed; continuing with the last known objects")
	}
	c.targets.beginOutage()
}

// objectsChanged updates the state derived from the objects of a kind.
// UncertainFor is that of the host that read them, see targets.apply.
func (c *Control) objectsChanged(now fleet.Instant, kind string, uncertainFor time.Duration) {
	switch kind {
	case platform.KindConfiguration:
		c.applyConfiguration()
	case platform.KindTargets:
		c.applyTargets(now, uncertainFor)
	case platform.KindHosts:
		c.members.applyEntries(now, c)
	case platform.KindWeights:
		c.applyWeights(now)
	case platform.KindEvacuations:
		c.applyEvacuations(now)
	case platform.KindRollouts, platform.KindRolloutStates:
		c.applyRollouts(now, kind)
	}
	c.publish()
}

// applyConfiguration applies the configuration if it is newer than the one in
// force.
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
	c.Log.Info().Uint64("Number", uint64(table.Number)).Uint64("Revision", uint64(o.Revision.Number)).
		Int("Routes", len(table.Routes)).Int("Workspaces", len(table.Workspaces)).Int("Isolated", table.IsolatedCount()).Msg("configuration in force")
}

// decodedTarget is the decoded entry of a target as of a revision. Each host decodes an
// entry once, not at each change of any other.
type decodedTarget struct {
	revision fleet.Revision
	target   roster.Target
	valid    bool
}

// applyTargets applies the targets' entries.
func (c *Control) applyTargets(now fleet.Instant, uncertainFor time.Duration) {
	entries := make(map[fleet.TargetID]roster.Target)
	revisions := make(map[fleet.TargetID]fleet.Revision)
	decoded := make(map[string]decodedTarget)
	c.replicas[platform.KindTargets].ForEach(func(o platform.Object) {
		d, ok := c.decodedTargets[o.Name]
		if !ok || d.revision != o.Revision {
			t, err := platform.DecodeTarget(o)
			if err != nil {
				c.logMalformed(o, err)
			}
			d = decodedTarget{o.Revision, t, err == nil}
		}
		decoded[o.Name] = d
		if d.valid {
			entries[d.target.ID], revisions[d.target.ID] = d.target, d.revision
		}
	})
	c.decodedTargets = decoded
	c.targets.enterEra(now, c.replicas[platform.KindTargets].Revision().Era)
	c.targets.correct(entries, revisions)
	c.targets.apply(now, entries, uncertainFor, c.Log)
}

// applyEvacuations applies the operator's evacuations.
func (c *Control) applyEvacuations(now fleet.Instant) {
	replica := c.replicas[platform.KindEvacuations]
	listed := make(map[fleet.DataCentreID]bool)
	replica.ForEach(func(o platform.Object) { listed[fleet.DataCentreID(o.Name)] = true })
	c.evacuations.apply(now, replica.Revision().Era, listed)
	c.Log.Info().Interface("DataCentres", c.evacuations.list()).Msg("evacuations changed")
}

// announcedAfter returns the last instant at which the announcement in an object of the given revision
// had not been made, as far as the sightings of the store tell. If there was none for longer than weightupdate.MaxAge
// until one showed the revision, the store did not answer, and the bound of weights does not count meanwhile. That does not
// hold for the time before this host started: another host that lies behind may have told it the first list.
//
// The result is zero if the time is not known, as that of announcements that the host finds at its start. They count as
// made long ago, which restricts the use of older weights most.
func (c *Control) announcedAfter(now fleet.Instant, revision fleet.Revision) fleet.Instant {
	if c.weightsRevision.IsZero() {
		return 0
	}
	at, _ := c.storeClock.MadeAfter(revision)
	seen, ok := c.storeClock.SeenBy(revision)
	if !ok {
		seen = now
	}
	switch earliest := seen.Add(-weightupdate.MaxAge); {
	case at >= earliest:
		return at
	case earliest < c.started:
		return 0
	default:
		return earliest
	}
}

// applyWeights applies the weights that the operator has announced. An object holds only the newest version.
// Versions that this host has missed were announced after it last read the weights.
func (c *Control) applyWeights(now fleet.Instant) {
	c.replicas[platform.KindWeights].ForEach(func(o platform.Object) {
		w, err := platform.DecodeWeights(o)
		if err != nil {
			c.logMalformed(o, err)
			return
		}
		known := c.announcements[w.Model]
		if w.Version > known.Newest() {
			at := c.announcedAfter(now, o.Revision)
			first := max(known.Newest(), firstWeights) + 1
			missed := first < w.Version && !c.weightsRevision.IsZero()
			if missed {
				earliest := c.weightsRevision
				earliest.Number++
				known = known.Add(first, c.announcedAfter(now, earliest))
			}
			c.announcements[w.Model] = known.Add(w.Version, at)
			line := c.Log.Info().Str("Model", string(w.Model)).Uint64("Version", w.Version).Bool("Missed", missed).
				Uint64("Revision", uint64(o.Revision.Number)).Dur("PlannerReplyAgo", now.Sub(c.lastPlannerReply)).
				Dur("StoreAnswerAgo", now.Sub(c.lastStoreAnswer))
			if at > 0 {
				line.Dur("CountsFromAgo", now.Sub(at))
			}
			line.Msg("weights announced")
		}
	})
	c.weightsRevision = c.replicas[platform.KindWeights].Revision()
}

// firstWeights is the version of a model's weights before any are announced.
const firstWeights = 1
