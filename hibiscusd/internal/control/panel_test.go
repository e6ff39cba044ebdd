package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/duty"
	"hibiscuslb/fleet/lease"
)

// newControls returns the controls of hosts that are spread evenly over the data
// centres of one region and all know each other as active members.
func newControls(centres, hosts int) []*Control {
	members := make(duty.Members)
	var controls []*Control
	for i := range hosts {
		host := Host{
			ID: fleet.HostID(fmt.Sprint("host-", i)), Region: "r",
			DataCentre: fleet.DataCentreID(fmt.Sprint("centre-", i%centres)),
		}
		members[host.ID] = &lease.Member{
			Host: host.ID, Incarnation: 1, State: lease.Active, DataCentre: host.DataCentre, Region: host.Region,
		}
		controls = append(controls, &Control{Host: host, members: members})
	}
	return controls
}

// TestPanelKeepsQuorumsWithoutOneDataCentre checks that enough witnesses remain to
// end a host if its own data centre is lost, and that enough remain for the host to
// act if another one is lost.
func TestPanelKeepsQuorumsWithoutOneDataCentre(t *testing.T) {
	for _, size := range []struct{ centres, hosts int }{{3, 7}, {3, 9}, {4, 8}, {4, 9}, {3, 110}} {
		for _, c := range newControls(size.centres, size.hosts) {
			panel := c.choosePanel()
			require.Len(t, panel, panelSize)
			of := make(map[fleet.DataCentreID]int)
			for _, witness := range panel {
				require.NotEqual(t, c.Host.ID, witness.Host)
				of[c.members[witness.Host].DataCentre]++
			}
			for centre, witnesses := range of {
				if centre == c.Host.DataCentre {
					require.GreaterOrEqual(t, len(panel)-witnesses, panel.EndQuorum(), "%+v: %s is lost", size, c.Host.ID)
				} else {
					require.GreaterOrEqual(t, len(panel)-witnesses, panel.HoldQuorum(), "%+v: %s is lost", size, centre)
				}
			}
		}
	}
}

// TestWitnessesAreBalanced checks that no host witnesses more than twice as many
// members as a panel has witnesses.
func TestWitnessesAreBalanced(t *testing.T) {
	witnessed := make(map[fleet.HostID]int)
	for _, c := range newControls(3, 110) {
		for _, witness := range c.choosePanel() {
			witnessed[witness.Host]++
		}
	}
	for host, n := range witnessed {
		require.LessOrEqual(t, n, 2*panelSize, host)
	}
}
