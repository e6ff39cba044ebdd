package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/lease"
)

const (
	panelSize = 4
	// ownSeats is how many witnesses are of the host's own data centre. When
	// that is lost, the others are enough to end the host.
	localSeats = 1
)

// choosePanel picks witnesses among the active members of the region: one of
// this host's data centre and the others of the other data centres in turn, so
// that the loss of one of these leaves this host its quorum. Where there are
// not enough others, more are of its own.
//
// Members of a data centre are ranked by their hashed names, and a host takes
// those of about its own rank, so that every host witnesses about as many as it
// has witnesses.
func (c *Control) choosePanel() lease.Panel {
	groups := c.candidatesByDataCentre()
	own := groups[c.Host.DataCentre]
	rank := slices.IndexFunc(own, func(s lease.MemberID) bool { return hostHash(s.Host) >= hostHash(c.Host.ID) })
	if rank < 0 {
		rank = 0
	}
	panel := roundRobin(c.otherDataCentres(groups), rank, panelSize-localSeats)
	for i := range own {
		if len(panel) == panelSize {
			break
		}
		panel = append(panel, own[(rank+i)%len(own)])
	}
	return panel
}

// takeTurns picks seats from the groups in turn, each from the rank on.
func roundRobin(groups [][]lease.MemberID, rank, most int) lease.Panel {
	var panel lease.Panel
	for round := 0; ; round++ {
		taken := len(panel)
		for _, group := range groups {
			if round < len(group) && len(panel) < most {
				panel = append(panel, group[(rank+round)%len(group)])
			}
		}
		if len(panel) == taken {
			return panel
		}
	}
}

// groups returns the other active members of the region by data centre, in the
// order of their hashed names.
func (c *Control) candidatesByDataCentre() map[fleet.DataCentreID][]lease.MemberID {
	groups := make(map[fleet.DataCentreID][]lease.MemberID)
	for _, member := range c.members {
		if member.Host != c.Host.ID && member.State == lease.Active && member.Region == c.Host.Region {
			seat := lease.MemberID{Host: member.Host, Incarnation: member.Incarnation}
			groups[member.DataCentre] = append(groups[member.DataCentre], seat)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b lease.MemberID) int {
			return cmp.Or(cmp.Compare(hostHash(a.Host), hostHash(b.Host)), cmp.Compare(a.Host, b.Host))
		})
	}
	return groups
}

// otherCentres returns the groups of the other data centres, those that follow
// this host's by name first.
func (c *Control) otherDataCentres(groups map[fleet.DataCentreID][]lease.MemberID) [][]lease.MemberID {
	names := slices.Sorted(maps.Keys(groups))
	next, _ := slices.BinarySearch(names, c.Host.DataCentre)
	var others [][]lease.MemberID
	for _, name := range append(slices.Clone(names[next:]), names[:next]...) {
		if name != c.Host.DataCentre {
			others = append(others, groups[name])
		}
	}
	return others
}

func hostHash(host fleet.HostID) uint64 { return xxhash.Sum64String(string(host)) }
