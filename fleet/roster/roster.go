// Package roster defines the entries of the roster, the list of hibiscusfront's
// targets.
//
// Targets register themselves in the platform's object store and update their
// entries periodically. Each host decides which entries are still valid after an
// outage of the object store.
package roster

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/route"
)

// A Target is the entry by which a target has registered itself.
type Target struct {
	ID         fleet.TargetID
	Service    route.ServiceID
	Address    fleet.Address
	DataCentre fleet.DataCentreID
	Slots      int           // requests that the target processes at once; zero for the default of its service
	Leaving    bool          // accepts no new requests
	ColdFor    time.Duration // remaining time for which the target is cold
	StartTime  time.Time     // last start of the target; zero if unknown
	Models     []Model
	Software   fleet.Software
}

// A Model is a model that an engine serves, with the version of its weights.
type Model struct {
	ID      fleet.ModelID
	Version uint64
}

// Version returns the version of the model's weights at the target, or zero if the
// target does not serve the model.
func (t *Target) Version(model fleet.ModelID) uint64 {
	for _, m := range t.Models {
		if m.ID == model {
			return m.Version
		}
	}
	return 0
}
