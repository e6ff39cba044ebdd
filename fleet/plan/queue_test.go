package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/weightupdate"
)

// BenchmarkSubmit decides on prompts of two shared parts, one of them common to all,
// in fleets of three sizes.
func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{18, 160, 690} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := &plan.Fleet{}
			f.SetServices(at(0), services())
			f.SetTargets(at(0), engines(n), nil)
			f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0))
			f.BeginTenure(at(0), 0)
			for i := range b.N {
				now := at(time.Duration(i) * 10 * time.Millisecond)
				decision, _ := f.Submit(now, newRequest(second, filePrompt(fmt.Sprint(i%1000))...))
				if decision.Grant != nil {
					reportDone(f, now.Add(5*time.Millisecond), decision.Grant)
				}
			}
		})
	}
}

// overloadedFleet returns a fleet of 160 engines that are full, with 300 requests in the
// queue.
func overloadedFleet() *plan.Fleet {
	f := &plan.Fleet{}
	f.SetServices(at(0), services())
	f.SetTargets(at(0), engines(160), nil)
	f.SetWeights(model, weightupdate.Announcements(nil).Add(1, 0))
	f.BeginTenure(at(0), 0)
	for f.QueueLen() < 300 {
		f.Submit(at(0), newRequest(time.Hour, filePrompt("a")...))
	}
	return f
}

// Load pattern: four times as many requests as 160 engines can take, each queued for a
// tenth of a second. Considered at each tick, they would take half of the planner's time,
// and hosts that get no decision in time choose without it.
func TestFullQueueIsNotConsideredAtEachTick(t *testing.T) {
	const ticks = 10
	f := overloadedFleet()
	before := f.Stats().Considered
	for i := range ticks {
		require.Empty(t, f.Tick(at(time.Duration(i)*10*time.Millisecond)))
	}
	require.LessOrEqual(t, f.Stats().Considered-before, uint64(ticks*3), "one for each length of a prompt, and a few")
}

func BenchmarkTickOfFullQueue(b *testing.B) {
	f := overloadedFleet()
	now := at(0)
	for b.Loop() {
		now = now.Add(time.Millisecond)
		f.Tick(now)
	}
}

// Load pattern: all engines are full and requests of several lengths wait. As soon as an
// engine has capacity, the first request for which it is enough is granted, also if an
// earlier one needs more.
func TestShorterRequestIsGrantedPastLongerOne(t *testing.T) {
	f := newFleet(t, engines(1))
	long := prompt.Part{ID: "long", Tokens: 60_000}
	first := mustGrant(t, f, at(0), newRequest(10*second, long))
	var waiting []*plan.Request
	for i, tokens := range []fleet.Tokens{80_000, 70_000, 50_000, 90_000} {
		req := newRequest(10*second, prompt.Part{ID: prompt.PartID(fmt.Sprint("own", i)), Tokens: tokens})
		_, ok := f.Submit(at(0), req)
		require.False(t, ok)
		waiting = append(waiting, req)
	}
	require.Empty(t, f.Tick(at(10*time.Millisecond)))
	second := newRequest(10*second, prompt.Part{ID: "short", Tokens: 30_000})
	mustGrant(t, f, at(20*time.Millisecond), second)
	reportDone(f, at(30*time.Millisecond), first)
	decisions := f.Tick(at(40 * time.Millisecond))
	require.Len(t, decisions, 1)
	require.Equal(t, waiting[2], decisions[0].Request)
	require.NotNil(t, decisions[0].Grant)
}
