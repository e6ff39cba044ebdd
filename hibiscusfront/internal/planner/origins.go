package planner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/origin"
	"hibiscuslb/fleet/task"
)

// An OriginStore keeps the batches of streams that planners have written.
type OriginStore interface {
	// WriteOrigins stores batches under a name, in place of earlier ones.
	WriteOrigins(ctx context.Context, name string, batches []origin.Batch) error
	// ReadOrigins returns all batches that are stored.
	ReadOrigins(ctx context.Context) ([]origin.Batch, error)
	// ReadVersions returns the versions that have targets in the store's roster.
	ReadVersions(ctx context.Context) ([]origin.Version, error)
}

// maxOriginObjects is the number of objects that each host uses in turn. Together they hold
// its batches of origin.MinRetention.
const maxOriginObjects = 1 + uint64(origin.MinRetention/origin.BatchInterval)

// followVersions takes over the versions of another planner.
func (p *Planner) followVersions(now fleet.Instant, versions origin.Versions) {
	if p.active || slices.Equal(versions, p.inherited) {
		return
	}
	p.inherited = versions
	p.fleet.InheritVersions(now, versions)
	p.noteVersions(now)
}

// noteVersions publishes the versions that may have begun streams.
func (p *Planner) noteVersions(now fleet.Instant) {
	versions, before := p.fleet.Versions(now), p.Versions()
	if slices.Equal(versions, before) {
		return
	}
	p.Log.Info().Interface("Versions", versions).Interface("Before", before).Uint64("Epoch", uint64(p.epoch)).
		Msg("other versions of targets may have begun the streams that are taken up")
	p.versions.Store(&versions)
}

// dispatchOrigins publishes the versions that may have begun streams, and starts the writes
// and reads of streams that are due.
func (p *Planner) dispatchOrigins(ctx context.Context, now fleet.Instant) {
	p.noteVersions(now)
	if p.Origins == nil {
		if p.fleet.LoadDue(now) {
			p.fleet.LoadOrigins(now, now, nil)
		}
		return
	}
	if batches := p.fleet.DueBatches(now); len(batches) > 0 {
		if p.batchNumber == 0 {
			// A host that starts again does not begin with the objects that it has written last.
			p.batchNumber = rand.Uint64N(maxOriginObjects)
		}
		p.batchNumber++
		name := fmt.Sprintf("%s-%d", p.Host, p.batchNumber%maxOriginObjects)
		p.tasks.Go(ctx, func(ctx context.Context) { p.writeOrigins(ctx, name, batches) })
	}
	if p.fleet.LoadDue(now) && !p.loadingOrigins {
		p.loadingOrigins = true
		p.tasks.Go(ctx, func(ctx context.Context) { p.readOrigins(ctx, now) })
	}
}

func (p *Planner) writeOrigins(ctx context.Context, name string, batches []origin.Batch) {
	err := p.Origins.WriteOrigins(ctx, name, batches)
	if err != nil {
		p.Log.Warn().Err(err).Str("Object", name).Msg("could not write which versions began streams; they can't be taken up if this host is lost")
		p.enqueue(ctx, func(fleet.Instant) { p.fleet.RequeueBatches(batches) })
	}
}

// originReadTimeout bounds the read for which requests wait.
const originReadTimeout = 300 * time.Millisecond

// readOrigins reads the batches and the roster at the same time.
func (p *Planner) readOrigins(ctx context.Context, began fleet.Instant) {
	readCtx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	var records origin.Records
	var batchesErr, versionsErr error
	var reads task.Group
	reads.Go(readCtx, func(ctx context.Context) { records.Batches, batchesErr = p.Origins.ReadOrigins(ctx) })
	reads.Go(readCtx, func(ctx context.Context) { records.Listed, versionsErr = p.Origins.ReadVersions(ctx) })
	reads.Wait()
	result, err := &records, errors.Join(batchesErr, versionsErr)
	if err != nil {
		result = nil
	}
	p.Log.Info().AnErr("Cause", err).Int("Batches", len(records.Batches)).Int("Versions", len(records.Listed)).
		Msg("read which versions began streams, and which serve")
	p.enqueue(ctx, func(now fleet.Instant) {
		p.loadingOrigins = false
		p.fleet.LoadOrigins(now, began, result)
	})
}

// RecordStarts records starts of streams that this planner has not granted. It reports whether
// the host plans: if not, the streams have to be reported to another one.
func (p *Planner) RecordStarts(ctx context.Context, starts []origin.Start) bool {
	if !p.plans.Load() {
		return false
	}
	p.enqueue(ctx, func(now fleet.Instant) { p.fleet.RecordStarts(now, starts) })
	return true
}

// Versions returns the versions that may have begun streams, as of the last dispatch.
func (p *Planner) Versions() origin.Versions {
	if versions := p.versions.Load(); versions != nil {
		return *versions
	}
	return nil
}
