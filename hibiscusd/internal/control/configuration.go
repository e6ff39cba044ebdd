package control

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/edition"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/record"
	"hibiscuslb/fleet/task"
)

// Names of the control objects, which every host watches.
const (
	controlPrefix record.Name = "Control/"
	memberPrefix  record.Name = "Control/Member/"
	bookPrefix    record.Name = "Control/Duties/"
)

// MemberObjectName returns the name of a host's member object.
func MemberObjectName(host fleet.HostID) record.Name { return memberPrefix + record.Name(host) }

func bookObjectName(centre fleet.DataCentreID) record.Name { return bookPrefix + record.Name(centre) }

// watch follows the control objects until the context ends. It runs beside the
// control goroutine.
func (c *Control) watchObjects(ctx context.Context) {
	var since fleet.Version
	listed := false
	for ctx.Err() == nil {
		var listing record.Listing
		var err error
		if listed {
			listing, err = c.Direct.Watch(ctx, controlPrefix, since, watchTimeout)
		} else {
			listing, err = c.Direct.List(ctx, controlPrefix)
		}
		if err != nil {
			task.Pause(ctx, watchRetryDelay)
			continue
		}
		since, listed = listing.Revision, true
		c.postListing(ctx, listing)
	}
}

func (c *Control) postListing(ctx context.Context, listing record.Listing) {
	for _, object := range listing.Objects {
		if object.Name == edition.HeadName {
			c.loadEdition(ctx, object)
		}
	}
	c.post(ctx, objectsRead{listing})
}

// load brings the edition up to a head object and posts it.
func (c *Control) loadEdition(ctx context.Context, head record.Object) {
	from := make(chan *edition.Edition, 1)
	c.post(ctx, editionRequest{from})
	select {
	case current := <-from:
		next, err := edition.Advance(ctx, c.Platform, current, head)
		if err != nil {
			c.Log.Warn().Err(err).Msg("configuration can not be read")
			return
		}
		c.post(ctx, editionLoaded{next})
	case <-ctx.Done():
	}
}

// askEdition asks for the current edition, to load on from.
type editionRequest struct{ reply chan<- *edition.Edition }

func (e editionRequest) handle(_ context.Context, c *Control) { e.reply <- c.edition }

// loaded is an edition that was read. An older one is ignored.
type editionLoaded struct{ edition *edition.Edition }

func (e editionLoaded) handle(_ context.Context, c *Control) {
	if e.edition.Number <= c.edition.Number {
		return
	}
	c.edition = e.edition
	c.rebuildDeclaration(true)
	c.Log.Info().Uint64("Version", uint64(c.edition.Number)).Msg("configuration in force")
}

// rebuild builds the declaration from the edition when the edition is fresh or
// an exception has come to its end.
func (c *Control) rebuildDeclaration(fresh bool) {
	if !fresh && !c.declaration.Expired(time.Now()) {
		return
	}
	built, err := declaration.Build(c.edition.Document, time.Now())
	if err != nil {
		// An accepted edition was checked before; only an exception that has
		// ended can bring this about. Stay with what is in force.
		c.Log.Error().Err(err).Msg("configuration can not be built")
		return
	}
	c.declaration = built
	c.viewOutdated = true
}

// listed is a set of control objects that were read or watched.
type objectsRead struct{ listing record.Listing }

func (e objectsRead) handle(_ context.Context, c *Control) {
	for _, object := range e.listing.Objects {
		c.applyObject(object)
	}
	c.viewOutdated = true
}

// see takes one member or book object, unless it is older than what is known.
func (c *Control) applyObject(object record.Object) {
	name := string(object.Name)
	switch {
	case strings.HasPrefix(name, string(memberPrefix)):
		var member lease.Member
		if err := cbor.Unmarshal(object.Value, &member); err != nil {
			c.Log.Error().Err(err).Str("Object", name).Msg("bad member object")
			return
		}
		c.applyMember(object.Version, &member)
	case strings.HasPrefix(name, string(bookPrefix)):
		var book duty.Table
		if err := cbor.Unmarshal(object.Value, &book); err != nil {
			c.Log.Error().Err(err).Str("Object", name).Msg("bad duties object")
			return
		}
		centre := fleet.DataCentreID(strings.TrimPrefix(name, string(bookPrefix)))
		if object.Version > c.books[centre].version {
			c.books[centre] = bookState{&book, object.Version}
			// The write that handed duties over is settled: it is part of this
			// version or can have no effect any more.
			maps.DeleteFunc(c.releasing, func(_ duty.ID, of fleet.DataCentreID) bool { return of == centre })
			c.viewOutdated = true
		}
	}
}

func (c *Control) applyMember(version fleet.Version, member *lease.Member) {
	if version <= c.memberVersions[member.Host] {
		return
	}
	c.memberVersions[member.Host] = version
	c.members[member.Host] = member
	c.memberChangedAt[member.Host] = c.Clock()
	c.viewOutdated = true
	if member.Host == c.Host.ID && c.registered {
		c.holder.Observe(version, member)
		if !c.holder.Ended() {
			c.member = *member
		}
	}
	if takeover, ok := c.takeovers[member.Host]; ok && version > takeover.Version {
		delete(c.takeovers, member.Host)
	}
}
