package control

import (
	"context"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/declstore"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/objectstore"
)

// readHead reads the head object of the declaration and loads the revision that
// it names. On an error it does nothing.
func (c *Control) readHead(ctx context.Context) {
	head, err := c.Platform.Read(ctx, declstore.HeadName)
	if err != nil {
		return
	}
	c.loadRevision(ctx, head)
}

// assignDuties takes the free duties for which this host is preferred, and hands
// over the held duties for which another host is preferred.
func (c *Control) assignDuties(ctx context.Context, now fleet.Instant) {
	if now >= c.holder.ValidUntil() {
		return
	}
	for id, centre := range c.declaration.DataCentres {
		state := c.dutyTables[id]
		table := state.table
		if table == nil {
			table = new(duty.Table)
		}
		location := duty.Location{DataCentre: id, Region: centre.Region}
		if !c.leaving {
			if next := table.Claim(c.holder.Self, dutiesOf(c.declaration, id), location, c.members); next != nil {
				c.writeTable(ctx, id, next, state.version)
				continue
			}
		}
		if ids := c.dutiesToHandOver(table, location, now); len(ids) > 0 {
			// Stop acting for the duties before the write is sent: it may take
			// effect although its answer is lost.
			for _, dutyID := range ids {
				c.handingOver[dutyID] = id
			}
			c.viewOutdated = true
			c.publish()
			c.writeTable(ctx, id, table.HandOver(c.holder.Self, ids, location, c.members), state.version)
		}
	}
}

// dutiesOf returns the declared duties whose assignments are in the duty table of a
// data centre, sorted.
func dutiesOf(d *declaration.Declaration, centre fleet.DataCentreID) []duty.ID {
	var ids []duty.ID
	for _, target := range d.Targets {
		if target.DataCentre != centre {
			continue
		}
		ids = append(ids, duty.ForTarget(target.ID))
	}
	if centre == weightsDataCentre(d) {
		ids = append(ids, duty.WeightLoading)
	}
	slices.Sort(ids)
	return ids
}

// weightsDataCentre returns the data centre whose duty table has the duty
// WeightLoading: the first by name, so that all hosts choose the same one.
func weightsDataCentre(d *declaration.Declaration) fleet.DataCentreID {
	if len(d.DataCentres) == 0 {
		return ""
	}
	return slices.Min(slices.Collect(maps.Keys(d.DataCentres)))
}

// dutiesToHandOver returns the duties of the duty table that this host holds and for
// which another host has been preferred for at least handOverDelay, or at all if
// this host is leaving.
func (c *Control) dutiesToHandOver(table *duty.Table, location duty.Location, now fleet.Instant) []duty.ID {
	var ids []duty.ID
	misplaced := table.Misplaced(c.holder.Self, location, c.members)
	for _, id := range misplaced {
		since, ok := c.misplacedSince[id]
		if !ok {
			c.misplacedSince[id] = now
			since = now
		}
		if c.leaving || now.Sub(since) >= handOverDelay {
			ids = append(ids, id)
		}
	}
	for id := range c.misplacedSince {
		if _, inTable := table.Assignments[id]; inTable && !slices.Contains(misplaced, id) {
			delete(c.misplacedSince, id)
		}
	}
	return ids
}

// writeTable writes the duty table of a data centre on condition that its object
// still has the expected version, and posts the object that is then stored.
func (c *Control) writeTable(ctx context.Context, centre fleet.DataCentreID, table *duty.Table, expected fleet.Version) {
	value, err := cbor.Marshal(table)
	if err != nil {
		c.Log.Error().Err(err).Str("DataCentre", string(centre)).Msg("duty table cannot be encoded; not written")
		return
	}
	c.startCall(ctx, callName("duty table "+centre), func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, tableObjectName(centre), value, expected)
		if err == nil {
			object := objectstore.Object{Name: tableObjectName(centre), Version: version, Value: value}
			return objectsRead{objectstore.Listing{Objects: []objectstore.Object{object}}}
		}
		// The write lost a race or its outcome is unknown. The stored object shows
		// which duty table is in force.
		object, err := c.Platform.Read(ctx, tableObjectName(centre))
		if err != nil {
			return nil
		}
		return objectsRead{objectstore.Listing{Objects: []objectstore.Object{object}}}
	})
}

// Leave begins a planned stop: the host becomes a leaving member, which is not
// offered to callers, and hands its duties over. It may be called from any
// goroutine.
func (c *Control) Leave(ctx context.Context) { c.post(ctx, leaveRequested{}) }

// leaveRequested is the event of Leave.
type leaveRequested struct{}

func (leaveRequested) handle(_ context.Context, c *Control) {
	c.leaving = true
	c.viewOutdated = true
}

// HeldDutyCount returns the number of duties that the host holds in the latest
// view.
func (c *Control) HeldDutyCount() int {
	view := c.View()
	if view == nil {
		return 0
	}
	held := 0
	for _, table := range view.DutyTables {
		held += len(table.HeldBy(view.Self))
	}
	return held
}

// Deregister marks this incarnation as ended in the member object, so that other
// hosts may take its duties over at once. It must be called after Run has returned
// and no request is being served, since the incarnation may not act afterwards.
func (c *Control) Deregister(ctx context.Context) error {
	if !c.registered || c.holder.Ended() {
		return nil
	}
	member := c.member
	member.State = lease.Ended
	value, err := cbor.Marshal(member)
	if err != nil {
		return err
	}
	_, err = c.Platform.Write(ctx, MemberObjectName(member.Host), value, c.holder.Version())
	return err
}
