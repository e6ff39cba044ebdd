// Package roster holds what is known of the targets of a fleet.
//
// Targets enter themselves in the platform's store and write there now and
// then. Each host decides which entries still count after an outage of the
// store.
package roster

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// A Target is an entry that a target has made of itself.
type Target struct {
	ID         fleet.TargetID
	Service    route.ServiceID
	Address    fleet.Address
	DataCentre fleet.DataCentreID
	Slots      int
	Leaving    bool // takes no new work
	ColdFor    time.Duration
	StartTime  time.Time // start of this life; zero if not said
	Models     []Model
}

// A Model is a model that an engine serves.
type Model struct {
	ID      fleet.ModelID
	Version uint64
}

// Version returns the version of the model's weights at the target, or zero.
func (t *Target) Version(model fleet.ModelID) uint64 {
	for _, m := range t.Models {
		if m.ID == model {
			return m.Version
		}
	}
	return 0
}
