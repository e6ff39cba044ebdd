package control

import (
	"cmp"
	"slices"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A liveList is the list of live hosts that a planner sends to the others, with its
// latest changes. A host that has an earlier list is sent only what has changed.
//
// It handles fleets of hundreds of hosts that are stopped and started in turn: the
// list changes several times a second, and the whole list to all hosts each time
// would exceed the capacity of the planner's link.
type liveList struct {
	version wire.MembershipVersion
	hosts   []wire.Host // sorted by ID
	changes []liveChange
}

// liveChange is the change of one host, with the number of the list that contains it.
type liveChange struct {
	number  uint64
	host    wire.Host
	removed bool
}

// maxLiveChanges is how many changes are kept.
const maxLiveChanges = 256

// restart begins the lists of a new epoch. Within an epoch the numbers go on, also if the
// planner has paused.
func (l *liveList) restart(epoch fleet.Epoch) {
	if l.version.Epoch != epoch {
		*l = liveList{version: wire.MembershipVersion{Epoch: epoch}}
	}
}

// set replaces the list. The hosts are sorted by ID and must not change afterwards.
func (l *liveList) set(hosts []wire.Host) {
	if slices.Equal(hosts, l.hosts) {
		return
	}
	l.version.Number++
	before, after := l.hosts, hosts
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].ID < after[0].ID:
			l.changes = append(l.changes, liveChange{l.version.Number, before[0], true})
			before = before[1:]
		case len(before) == 0 || after[0].ID < before[0].ID:
			l.changes = append(l.changes, liveChange{l.version.Number, after[0], false})
			after = after[1:]
		default:
			if before[0] != after[0] {
				l.changes = append(l.changes, liveChange{l.version.Number, after[0], false})
			}
			before, after = before[1:], after[1:]
		}
	}
	l.hosts = hosts
	if extra := len(l.changes) - maxLiveChanges; extra > 0 {
		l.changes = slices.Delete(l.changes, 0, extra)
	}
}

// since returns how the list differs from the one of the given version.
func (l *liveList) since(version wire.MembershipVersion) wire.MembershipUpdate {
	update := wire.MembershipUpdate{Version: l.version}
	// The oldest list from which all changes are kept is that of the oldest change,
	// since changes before it may have been dropped.
	if version.Epoch != l.version.Epoch || len(l.changes) == 0 || version.Number < l.changes[0].number {
		update.Hosts = l.hosts
		return update
	}
	update.From = version
	changed := make(map[fleet.HostID]bool)
	for _, c := range slices.Backward(l.changes) {
		if c.number <= version.Number {
			break
		}
		if changed[c.host.ID] {
			continue
		}
		changed[c.host.ID] = true
		if c.removed {
			update.Removed = append(update.Removed, c.host.ID)
		} else {
			update.Hosts = append(update.Hosts, c.host)
		}
	}
	return update
}

// applyMembership returns the list that an update makes of the list of the version that
// the receiver has. It reports false if the update does not apply to that list.
func applyMembership(hosts []wire.Host, version wire.MembershipVersion, update wire.MembershipUpdate) ([]wire.Host, bool) {
	if update.From == (wire.MembershipVersion{}) {
		return update.Hosts, true
	}
	if update.From != version {
		return nil, false
	}
	result := slices.DeleteFunc(slices.Clone(hosts), func(h wire.Host) bool {
		return slices.Contains(update.Removed, h.ID) ||
			slices.ContainsFunc(update.Hosts, func(changed wire.Host) bool { return changed.ID == h.ID })
	})
	result = append(result, update.Hosts...)
	slices.SortFunc(result, func(a, b wire.Host) int { return cmp.Compare(a.ID, b.ID) })
	return result, true
}
