package loadslots_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/loadslots"
	"hibiscuslb/fleet/proptest"
)

// TestParallelLoadsAreBounded changes the holder of the duty at random and counts the
// loads in progress over all holders.
func TestParallelLoadsAreBounded(t *testing.T) {
	const models, targets = 3, 7
	proptest.Check(t, 2000, 80, func(t *rapid.T) {
		now := fleet.Instant(time.Hour)
		var slots loadslots.Slots
		loading := make(map[fleet.TargetID]fleet.Instant) // latest end of the load
		modelOf := make(map[fleet.TargetID]fleet.ModelID)
		finishLoads := func() {
			for id, until := range loading {
				if now >= until {
					delete(loading, id)
				}
			}
		}
		requestSlot := func(t *rapid.T) {
			model := fleet.ModelID(fmt.Sprint(rapid.IntRange(0, models-1).Draw(t, "model")))
			id := fleet.TargetID(fmt.Sprint(model, "-", rapid.IntRange(0, targets-1).Draw(t, "target")))
			if _, busy := loading[id]; busy || !slots.Grant(now, id, model, targets) {
				return
			}
			modelOf[id] = model
			loading[id] = now.Add(loadslots.SlotTimeout)
			ofModel := 0
			for other := range loading {
				if modelOf[other] == model {
					ofModel++
				}
			}
			if len(loading) > loadslots.MaxLoads || ofModel > targets/3 {
				t.Fatalf("%d loads at once, %d of model %s", len(loading), ofModel, model)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"grant": requestSlot, "grant2": requestSlot, "grant3": requestSlot,
			"waitTime": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
				finishLoads()
			},
			"release": func(t *rapid.T) {
				for m := range models {
					for n := range targets {
						id := fleet.TargetID(fmt.Sprint(m, "-", n))
						if _, busy := loading[id]; busy {
							delete(loading, id)
							slots.Release(id)
							return
						}
					}
				}
			},
			"newHolder": func(*rapid.T) {
				slots = loadslots.Slots{}
				slots.TakeOver(now)
			},
		})
	})
}
