package plan

import (
	"net/url"
	"strconv"
	"strings"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// Isolation.
//
// Engines and cache stores find a part only under the salt under which it was made, and do not
// tell who made it. A workspace that is isolated has a salt of its own. The others share one that
// names the set of isolated workspaces: each of those who made parts under it was not isolated
// under the same set, so that what a workspace made before it was isolated is not used by others.
//
// Load patterns:
//   - A configuration isolates a workspace, ends that, and isolates it again, while all ask on the
//     same parts.
//   - Hosts disagree for a moment: a request that was made under an older configuration waits in
//     the queue, is asked at a deputy, or is asked again. The newer configuration counts.
//   - A configuration is replaced between a grant and its sending, while the grant is on its way
//     to the host or the target is dialled. Such a grant is given back, see AllowedUnder.

// An Isolation tells with whom a request may share cached parts, as of a configuration.
type Isolation struct {
	Configuration fleet.Version // its number
	Isolated      bool          // the workspace shares no cache with others
	Sharing       route.Sharing
}

// IsolationOf returns the isolation of a workspace, which may be empty, under the configuration.
// A workspace that the configuration does not have any more shares nothing: it may have been
// isolated.
func IsolationOf(table *route.Table, workspace fleet.WorkspaceID) Isolation {
	isolated := false
	if workspace != "" {
		w := table.WorkspaceByID(workspace)
		isolated = w == nil || w.Isolated
	}
	return Isolation{Configuration: table.Number, Isolated: isolated, Sharing: table.Sharing()}
}

// under returns the request as of the configuration, if that is newer than the one that it was
// made under. The request itself stays as it is, since its host may still use it.
func (r *Request) under(table *route.Table) *Request {
	renewed := *r
	if table != nil && table.Number > r.Configuration {
		renewed.Isolation = IsolationOf(table, r.Workspace)
	}
	return &renewed
}

// AllowedUnder reports whether a request with the grant may still be sent by a host that knows the
// configuration, which may be nil: whether the configuration is no newer than the one that the
// salt was made under, or gives the request the same salt. A grant that is not allowed is of no
// use with another salt, since its fetches and saves were reserved under its own.
func (g *Grant) AllowedUnder(table *route.Table, model fleet.ModelID, workspace fleet.WorkspaceID) bool {
	if g.Salt == "" || table == nil || table.Number <= g.Configuration {
		return true
	}
	return g.Salt == Salt(model, g.Version, workspace, IsolationOf(table, workspace))
}

// Salt returns the cache salt of a request. Requests with the same salt may share
// cached parts: those on the same version of a model's weights, and only those of
// the same workspace if it is isolated. The others share parts that were made under the
// same Sharing, since what a workspace made before it was isolated stays in engines and
// stores.
//
// Names are escaped: headers lose white space at the ends of a salt, and names may contain
// separators. Either could make the salts of two workspaces the same.
func Salt(model fleet.ModelID, version uint64, workspace fleet.WorkspaceID, isolation Isolation) string {
	salt := versionSalt(model, version)
	switch {
	case isolation.Isolated:
		salt += workspaceSeparator + url.QueryEscape(string(workspace))
	case isolation.Sharing != "":
		salt += sharingSeparator + string(isolation.Sharing)
	}
	return salt
}

// UndecodedSalt returns the cache salt of a workspace's requests whose prompt can't be decoded. They
// are decided on as if they had none, while engines may still find parts in it. As the model
// is not known, it differs from each Salt, and the workspace shares it with no other.
func UndecodedSalt(workspace fleet.WorkspaceID) string {
	return Salt("", 0, workspace, Isolation{Isolated: true})
}

// saltSeparator separates model and version in a salt.
const saltSeparator = "@"

const (
	// workspaceSeparator separates the version from the isolated workspace in a salt, and
	// sharingSeparator from the Sharing of workspaces that are not isolated.
	workspaceSeparator = "/"
	sharingSeparator   = "~"
)

// versionSalt returns the salt of a version of a model's weights.
func versionSalt(id fleet.ModelID, version uint64) string {
	return url.QueryEscape(string(id)) + saltSeparator + strconv.FormatUint(version, 10)
}

// parseSalt returns the model and version of a salt, the Sharing if it has one, and whether it
// is valid.
func parseSalt(salt string) (fleet.ModelID, uint64, route.Sharing, bool) {
	salt, _, _ = strings.Cut(salt, workspaceSeparator)
	id, text, ok := strings.Cut(salt, saltSeparator)
	if !ok {
		return "", 0, "", false
	}
	id, err := url.QueryUnescape(id)
	if err != nil {
		return "", 0, "", false
	}
	text, sharing, _ := strings.Cut(text, sharingSeparator)
	version, err := strconv.ParseUint(text, 10, 64)
	return fleet.ModelID(id), version, route.Sharing(sharing), err == nil
}
