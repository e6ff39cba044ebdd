package control

import (
	"context"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/edition"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/record"
)

// readHead fetches the head of the configuration and loads what it names.
func (c *Control) readHead(ctx context.Context) {
	head, err := c.Platform.Read(ctx, edition.HeadName)
	if err != nil {
		return
	}
	c.loadEdition(ctx, head)
}

// assign takes the duties that are free and should be this host's, and hands
// over those that should be another's.
func (c *Control) assignDuties(ctx context.Context, now fleet.Instant) {
	if now >= c.holder.ValidUntil() {
		return
	}
	for id, centre := range c.declaration.DataCentres {
		state := c.books[id]
		book := state.book
		if book == nil {
			book = new(duty.Table)
		}
		zone := duty.Location{DataCentre: id, Region: centre.Region}
		if !c.leaving {
			if next := book.Claim(c.holder.Self, dutiesOf(c.declaration, id), zone, c.members); next != nil {
				c.writeBook(ctx, id, next, state.version)
				continue
			}
		}
		if ids := c.dutiesToHandOver(book, zone, now); len(ids) > 0 {
			// Stop acting for them before the write leaves, since its answer may
			// be lost.
			for _, duty := range ids {
				c.releasing[duty] = id
			}
			c.viewOutdated = true
			c.publish()
			c.writeBook(ctx, id, book.HandOver(c.holder.Self, ids, zone, c.members), state.version)
		}
	}
}

// dutiesOf lists the duties that belong to a data centre.
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

// weightsCentre returns the data centre whose book holds the weights duty.
func weightsDataCentre(d *declaration.Declaration) fleet.DataCentreID {
	if len(d.DataCentres) == 0 {
		return ""
	}
	return slices.Min(slices.Collect(maps.Keys(d.DataCentres)))
}

// settled returns the duties that have been misplaced for a while, or all of
// them when this host leaves.
func (c *Control) dutiesToHandOver(book *duty.Table, zone duty.Location, now fleet.Instant) []duty.ID {
	var ids []duty.ID
	misplaced := book.Misplaced(c.holder.Self, zone, c.members)
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
		if _, ours := book.Assignments[id]; ours && !slices.Contains(misplaced, id) {
			delete(c.misplacedSince, id)
		}
	}
	return ids
}

func (c *Control) writeBook(ctx context.Context, centre fleet.DataCentreID, book *duty.Table, seen fleet.Version) {
	value, err := cbor.Marshal(book)
	if err != nil {
		c.Log.Error().Err(err).Msg("duties object can not be coded")
		return
	}
	c.startCall(ctx, callName("book "+centre), func(ctx context.Context) event {
		version, err := c.Platform.Write(ctx, bookObjectName(centre), value, seen)
		if err == nil {
			object := record.Object{Name: bookObjectName(centre), Version: version, Value: value}
			return objectsRead{record.Listing{Objects: []record.Object{object}}}
		}
		// Whoever won the race, or whether the write took effect, shows in the
		// object.
		object, err := c.Platform.Read(ctx, bookObjectName(centre))
		if err != nil {
			return nil
		}
		return objectsRead{record.Listing{Objects: []record.Object{object}}}
	})
}

// Leave begins a planned stop: callers are sent elsewhere and duties are
// handed over. It is called by traffic.
func (c *Control) Leave(ctx context.Context) { c.post(ctx, leaveRequested{}) }

type leaveRequested struct{}

func (leaveRequested) handle(_ context.Context, c *Control) {
	c.leaving = true
	c.viewOutdated = true
}

// Duties returns how many duties the host holds in the latest view.
func (c *Control) HeldDuties() int {
	view := c.View()
	if view == nil {
		return 0
	}
	held := 0
	for _, book := range view.Books {
		held += len(book.HeldBy(view.Self))
	}
	return held
}

// Finish ends the own incarnation, after which the host never acts again. Call
// it when Run has returned and all traffic has ended.
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
