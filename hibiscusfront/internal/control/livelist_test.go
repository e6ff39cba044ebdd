package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// fleetHost returns host number i of a large fleet, in one of its incarnations.
func fleetHost(i, incarnation int) wire.Host {
	return wire.Host{
		ID: fleet.HostID(fmt.Sprintf("front-attica-%c-%d", 'a'+i%5, i)), DataCentre: fleet.DataCentreID(fmt.Sprintf("attica-%c", 'a'+i%5)),
		Callers: fleet.Address(fmt.Sprintf("10.%d.0.%d:8580", i%5, i)), Peers: fleet.Address(fmt.Sprintf("10.%d.0.%d:7260", i%5, i)),
		Incarnation: fleet.Incarnation(1_750_000_000_000 + incarnation), Cores: 0.192, Link: 2_500_000,
	}
}

func sorted(hosts map[fleet.HostID]wire.Host) []wire.Host {
	var result []wire.Host
	for _, h := range hosts {
		result = append(result, h)
	}
	slices.SortFunc(result, func(a, b wire.Host) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// Hosts ask at random times, and some after so many changes that not all are known.
func TestMembershipUpdatesBringHostsUpToDate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	type receiver struct {
		hosts   []wire.Host
		version wire.MembershipVersion
	}
	var list liveList
	list.restart(7)
	live := make(map[fleet.HostID]wire.Host)
	receivers := make([]receiver, 5)
	for step := range 4000 {
		h := fleetHost(random.IntN(40), random.IntN(2))
		if random.IntN(2) == 0 {
			delete(live, h.ID)
		} else {
			live[h.ID] = h
		}
		switch random.IntN(200) {
		case 0:
			list.restart(list.version.Epoch + 1)
		case 1:
			list.restart(list.version.Epoch)
		}
		list.set(sorted(live))
		i := random.IntN(len(receivers))
		if random.IntN(1+200*i) > 0 {
			continue // the last receivers ask rarely
		}
		r := &receivers[i]
		if r.version == list.version {
			continue
		}
		update := list.since(r.version)
		hosts, ok := applyMembership(r.hosts, r.version, update)
		require.True(t, ok)
		require.Equal(t, sorted(live), hosts, "step %d, from %v", step, update.From)
		r.hosts, r.version = hosts, update.Version
	}
	_, ok := applyMembership(nil, wire.MembershipVersion{Epoch: 1, Number: 1}, wire.MembershipUpdate{From: wire.MembershipVersion{Epoch: 1, Number: 2}})
	require.False(t, ok)
}

// Load pattern: 300 hosts are stopped and started in turn within 40 s, while each sends
// a heartbeat every 0.3 s. Control may take 2 KB/s of each host.
func TestMembershipOfLargeFleetFitsLink(t *testing.T) {
	const (
		hosts   = 300
		roll    = 40 * time.Second
		maxRate = 2_000 * hosts // bytes per second
	)
	live := make(map[fleet.HostID]wire.Host)
	for i := range hosts {
		live[fleetHost(i, 0).ID] = fleetHost(i, 0)
	}
	var list liveList
	list.restart(1)
	list.set(sorted(live))
	known := make([]wire.MembershipVersion, hosts)
	for i := range known {
		known[i] = list.version
	}
	sent := 0
	steps := int(roll / heartbeatInterval)
	for step := range steps {
		for i := step * hosts / steps; i < (step+1)*hosts/steps; i++ {
			delete(live, fleetHost(i, 0).ID)
			if earlier := i - 5; earlier >= 0 {
				live[fleetHost(earlier, 1).ID] = fleetHost(earlier, 1)
			}
		}
		list.set(sorted(live))
		for i := range known {
			if known[i] == list.version {
				continue
			}
			data, err := cbor.Marshal(list.since(known[i]))
			require.NoError(t, err)
			sent += len(data)
			known[i] = list.version
		}
	}
	require.Less(t, float64(sent)/roll.Seconds(), float64(maxRate))
}
