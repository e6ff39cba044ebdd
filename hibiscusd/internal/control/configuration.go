package control

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/declstore"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/task"
)

// Names of the control objects in the platform. Every host watches all of them.
const (
	controlPrefix objectstore.Name = "Control/"
	memberPrefix  objectstore.Name = "Control/Member/"
	tablePrefix   objectstore.Name = "Control/Duties/"
)

// MemberObjectName returns the name of the object that stores a host's
// lease.Member.
func MemberObjectName(host fleet.HostID) objectstore.Name {
	return memberPrefix + objectstore.Name(host)
}

// tableObjectName returns the name of the object that stores the duty.Table of a
// data centre.
func tableObjectName(centre fleet.DataCentreID) objectstore.Name {
	return tablePrefix + objectstore.Name(centre)
}

// watchObjects reads the control objects once and then watches them until the
// context ends. It runs in its own goroutine and posts what it reads.
func (c *Control) watchObjects(ctx context.Context) {
	var since fleet.Version
	listed := false
	for ctx.Err() == nil {
		var listing objectstore.Listing
		var err error
		if listed {
			listing, err = c.Direct.Watch(ctx, controlPrefix, since, watchTimeout)
		} else {
			listing, err = c.Direct.List(ctx, controlPrefix)
		}
		if err != nil {
			task.Sleep(ctx, watchRetryDelay)
			continue
		}
		since, listed = listing.Revision, true
		c.postListing(ctx, listing)
	}
}

// postListing loads the revision of a changed declaration head and posts all
// objects of the listing.
func (c *Control) postListing(ctx context.Context, listing objectstore.Listing) {
	for _, object := range listing.Objects {
		if object.Name == declstore.HeadName {
			c.loadRevision(ctx, object)
		}
	}
	c.post(ctx, objectsRead{listing})
}

// loadRevision reads the changes between the current revision and a head object,
// and posts the resulting revision. It must not run in the control goroutine,
// which it asks for the current revision.
func (c *Control) loadRevision(ctx context.Context, head objectstore.Object) {
	from := make(chan *declstore.Revision, 1)
	c.post(ctx, revisionRequest{from})
	select {
	case current := <-from:
		next, err := declstore.Advance(ctx, c.Platform, current, head)
		if err != nil {
			c.Log.Warn().Err(err).Msg("new declaration version cannot be read; the previous one stays in use")
			return
		}
		c.post(ctx, revisionLoaded{next})
	case <-ctx.Done():
	}
}

// revisionRequest asks for the current revision, on which loadRevision builds.
type revisionRequest struct{ reply chan<- *declstore.Revision }

func (e revisionRequest) handle(_ context.Context, c *Control) { e.reply <- c.revision }

// revisionLoaded carries a revision that was read from the platform. It is ignored
// unless it is newer than the current one.
type revisionLoaded struct{ revision *declstore.Revision }

func (e revisionLoaded) handle(_ context.Context, c *Control) {
	if e.revision.Number <= c.revision.Number {
		return
	}
	c.revision = e.revision
	c.rebuildDeclaration(true)
	c.Log.Info().Uint64("Version", uint64(c.revision.Number)).Msg("declaration version is now in use on this host")
}

// rebuildDeclaration builds the declaration from the revision if the revision has
// changed or an exception in it has expired.
func (c *Control) rebuildDeclaration(revisionChanged bool) {
	if !revisionChanged && !c.declaration.Expired(time.Now()) {
		return
	}
	built, err := declaration.Build(c.revision.Document, time.Now())
	if err != nil {
		// The revision was checked before it was committed, so that only the expiry
		// of an exception can make it invalid. Keep the previous declaration.
		c.Log.Error().Err(err).Uint64("Version", uint64(c.revision.Number)).
			Msg("declaration is invalid after an exception expired; the previous one stays in use")
		return
	}
	c.declaration = built
	c.viewOutdated = true
}

// objectsRead carries control objects that were read, watched or written.
type objectsRead struct{ listing objectstore.Listing }

func (e objectsRead) handle(_ context.Context, c *Control) {
	for _, object := range e.listing.Objects {
		c.applyObject(object)
	}
	c.viewOutdated = true
}

// applyObject stores the content of a member or duty table object, unless a version at
// least as new is known.
func (c *Control) applyObject(object objectstore.Object) {
	name := string(object.Name)
	switch {
	case strings.HasPrefix(name, string(memberPrefix)):
		var member lease.Member
		if err := cbor.Unmarshal(object.Value, &member); err != nil {
			c.Log.Error().Err(err).Str("Object", name).Msg("member object cannot be decoded; ignored")
			return
		}
		c.applyMember(object.Version, &member)
	case strings.HasPrefix(name, string(tablePrefix)):
		var table duty.Table
		if err := cbor.Unmarshal(object.Value, &table); err != nil {
			c.Log.Error().Err(err).Str("Object", name).Msg("duty table cannot be decoded; ignored")
			return
		}
		centre := fleet.DataCentreID(strings.TrimPrefix(name, string(tablePrefix)))
		if object.Version > c.dutyTables[centre].version {
			c.dutyTables[centre] = tableState{&table, object.Version}
			// The conditional write that hands over duties has either produced
			// this version or one before it, or can no longer succeed.
			maps.DeleteFunc(c.handingOver, func(_ duty.ID, of fleet.DataCentreID) bool { return of == centre })
			c.viewOutdated = true
		}
	}
}

// applyMember stores the content of a member object, unless a version at least as
// new is known. It passes this host's own object on to the lease holder, and drops an
// attempt to end a member whose object has changed, since its next write would fail.
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
	if attempt, ok := c.endAttempts[member.Host]; ok && version > attempt.Version {
		delete(c.endAttempts, member.Host)
	}
}
