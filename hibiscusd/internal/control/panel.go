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
	panelSize = 4 // witnesses of one host
	// localWitnesses is the number of witnesses from the host's own data centre. If
	// that data centre is lost, the others suffice to end the host.
	localWitnesses = 1
)

// choosePanel chooses witnesses from the active members of the region: one from
// this host's data centre and the others from the other data centres in turn, so
// that this host keeps its quorum if one of those is lost. If the others have too
// few members, more are chosen from its own.
//
// The members of a data centre are sorted by the hash of their names, and a host
// chooses those from its own rank on. So every host witnesses about as many members
// as it has witnesses.
func (c *Control) choosePanel() lease.Panel {
	groups := c.candidatesByDataCentre()
	own := groups[c.Host.DataCentre]
	rank := slices.IndexFunc(own, func(s lease.MemberID) bool { return hostHash(s.Host) >= hostHash(c.Host.ID) })
	if rank < 0 {
		rank = 0
	}
	panel := roundRobin(c.otherDataCentres(groups), rank, panelSize-localWitnesses)
	for i := range own {
		if len(panel) == panelSize {
			break
		}
		panel = append(panel, own[(rank+i)%len(own)])
	}
	return panel
}

// roundRobin returns at most limit witnesses, chosen from the groups in turn. In each
// group it starts at the rank and wraps around.
func roundRobin(groups [][]lease.MemberID, rank, limit int) lease.Panel {
	var panel lease.Panel
	for round := 0; ; round++ {
		before := len(panel)
		for _, group := range groups {
			if round < len(group) && len(panel) < limit {
				panel = append(panel, group[(rank+round)%len(group)])
			}
		}
		if len(panel) == before {
			return panel
		}
	}
}

// candidatesByDataCentre returns the other active members of the region by data
// centre, sorted by the hash of their names.
func (c *Control) candidatesByDataCentre() map[fleet.DataCentreID][]lease.MemberID {
	groups := make(map[fleet.DataCentreID][]lease.MemberID)
	for _, member := range c.members {
		if member.Host != c.Host.ID && member.State == lease.Active && member.Region == c.Host.Region {
			id := lease.MemberID{Host: member.Host, Incarnation: member.Incarnation}
			groups[member.DataCentre] = append(groups[member.DataCentre], id)
		}
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b lease.MemberID) int {
			return cmp.Or(cmp.Compare(hostHash(a.Host), hostHash(b.Host)), cmp.Compare(a.Host, b.Host))
		})
	}
	return groups
}

// otherDataCentres returns the groups of the other data centres in the order of
// their names, starting after this host's own and wrapping around.
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

// hostHash returns the sort key of a host among the members of its data centre.
func hostHash(host fleet.HostID) uint64 { return xxhash.Sum64String(string(host)) }
