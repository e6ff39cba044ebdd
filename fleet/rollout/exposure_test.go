package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/rollout"
)

// recordStore holds the record under conditional writes.
type recordStore struct {
	revision int
	record   *rollout.Record
}

func (s *recordStore) write(expected int, record rollout.Record) bool {
	if expected != s.revision {
		return false
	}
	s.revision++
	s.record = &record
	return true
}

// planner is one of the hosts that plan, one after another or, if one was frozen, beside another.
type planner struct {
	*rollout.Rollout
	revision int // of the record that it knows
}

// tick writes the record if it is due. The store may fail, or lose its answer.
func (p *planner) tick(now fleet.Instant, random *rand.Rand, store *recordStore, down bool) {
	action := p.Tick(now, 0)
	switch {
	case action.Record == nil:
	case down:
		p.WriteFailed(now, nil)
	case !store.write(p.revision, *action.Record):
		p.revision = store.revision
		p.WriteFailed(now, store.record)
	case random.IntN(4) == 0:
		p.WriteFailed(now, nil)
	default:
		p.revision = store.revision
		p.Written(now, *action.Record)
	}
}

// TestExposureStaysWithinBounds guards against planners that together send a version on trial more
// than the bounds allow.
//
// Load pattern: the rate of requests changes, planners die or freeze and go on beside their
// successors, writes fail or lose their answers, and the version is good, bad, or bad in part.
func TestExposureStaysWithinBounds(t *testing.T) {
	used := 0
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 72))
		bounds := rollout.Bounds{Share: 0.02 + random.Float64()/5, Slack: random.IntN(60)}
		order := rollout.Order{Service: "s", To: "v2", Duration: time.Duration(4+random.IntN(10)) * second}
		store := &recordStore{}
		badness, rate := []float64{0, 0.02, 0.1, 0.5, 1}[random.IntN(5)], 5+random.Float64()*300
		var planners []*planner
		arrived, exposed, epoch := 0, 0, fleet.Epoch(0)
		down := false
		for now := time.Duration(0); now < order.Duration; now += 10 * time.Millisecond {
			if random.IntN(150) == 0 {
				down = !down
			}
			if len(planners) == 0 || random.IntN(200) == 0 {
				epoch++
				successor := &planner{Rollout: rollout.Begin(at(now), order, bounds, epoch, now, store.record), revision: store.revision}
				if random.IntN(2) == 0 {
					planners = nil // the others are dead; otherwise they go on
				}
				planners = append(planners, successor)
			}
			if random.IntN(100) == 0 {
				rate = 5 + random.Float64()*300
			}
			for _, p := range planners {
				p.SetTargets([]fleet.TargetID{"o1", "o2", "o3"}, []fleet.TargetID{"n1", "n2", "n3"})
				p.tick(at(now), random, store, down)
			}
			for n := rate / 100; n > random.Float64(); n-- {
				p := planners[random.IntN(len(planners))]
				route := fmt.Sprint(random.IntN(2))
				arrived++
				p.Arrived(at(now), route)
				if p.Stage() != rollout.Canary || !p.Allow(at(now), route) {
					p.Record(at(now), route, "o1", "v1", rollout.Good, second/50)
					continue
				}
				target := fleet.TargetID(fmt.Sprint("n", 1+random.IntN(2)))
				p.Sent(at(now), route, target)
				exposed++
				result := rollout.Good
				if random.Float64() < badness {
					result = rollout.Bad
				}
				p.Record(at(now), route, target, "v2", result, second/50)
			}
			require.LessOrEqual(t, float64(exposed), bounds.Share*float64(arrived)+float64(bounds.Slack), "seed %d at %v", seed, now)
		}
		used += exposed
	}
	require.Greater(t, used, 3000*10, "the test exposes next to nothing")
}

// TestNothingBeforeReservation guards against exposure that a successor could not know of.
func TestNothingBeforeReservation(t *testing.T) {
	r := rollout.Begin(at(0), order, bounds, 1, 0, nil)
	r.SetTargets([]fleet.TargetID{"o1"}, []fleet.TargetID{"n1", "n2"})
	r.Arrived(at(0), "a")
	require.False(t, r.Allow(at(0), "a"), "before the record was written")
	record := r.Tick(at(0), 0).Record
	require.NotNil(t, record)
	require.False(t, r.Allow(at(0), "a"), "while the record is written")
	r.WriteFailed(at(0), nil)
	require.False(t, r.Allow(at(0), "a"), "after the write failed")
	record = r.Tick(at(second), 0).Record
	r.Written(at(second), *record)
	require.True(t, r.Allow(at(second), "a"))
	successor := rollout.Begin(at(second), order, bounds, 2, second, record)
	require.False(t, successor.Allow(at(second), "a"), "a successor before its own record")
	require.Equal(t, record.Reserved, successor.Exposure())
	lost := successor.Tick(at(second), 0).Record
	successor.WriteFailed(at(second), nil)
	successor.Tick(at(2*second), 0)
	successor.WriteFailed(at(2*second), lost) // a conflict shows that it was written
	require.Equal(t, record.Reserved, successor.Exposure(), "what it has reserved itself is not used yet")
	require.True(t, successor.Allow(at(2*second), "a"))
}

// TestVerdictIsFinal guards against a verdict that a planner, a restored store or a late
// write reverses.
func TestVerdictIsFinal(t *testing.T) {
	r := rollout.Begin(at(0), order, bounds, 1, 0, nil)
	r.SetTargets([]fleet.TargetID{"o1"}, []fleet.TargetID{"n1", "n2"})
	first := *r.Tick(at(0), 0).Record
	r.Written(at(0), first)
	for i := range 20 {
		r.Record(at(0), "a", []fleet.TargetID{"n1", "n2"}[i%2], "v2", rollout.Bad, 0)
	}
	verdict := *r.Tick(at(second), 0).Record
	require.False(t, r.Allow(at(second), "a"), "before the verdict is written")
	require.Equal(t, rollout.RolledBack, verdict.Stage)
	r.WriteFailed(at(second), &first) // the store came back from a copy
	again := *r.Tick(at(second), 0).Record
	require.Equal(t, rollout.RolledBack, again.Stage)
	r.Written(at(second), again)
	r.Rewrite()
	rewritten := *r.Tick(at(2*second), 0).Record
	require.Equal(t, rollout.RolledBack, rewritten.Stage)
	r.WriteFailed(at(2*second), &first)
	require.Equal(t, rollout.RolledBack, r.Stage(), "a copy of the store has an earlier record")
	rewritten = *r.Tick(at(2*second), 0).Record
	r.Written(at(2*second), rewritten)
	successor := rollout.Begin(at(2*second), order, bounds, 2, 2*second, &again)
	require.Equal(t, rollout.RolledBack, successor.Stage())
	require.Nil(t, successor.Tick(at(11*second), 0).Record)
	other := order
	other.To = "v3"
	require.Equal(t, rollout.Canary, rollout.Begin(at(3*second), other, bounds, 2, 0, &again).Stage(), "a new order")
	r.Withdraw()
	withdrawn := *r.Tick(at(3*second), 0).Record
	require.Equal(t, rollout.Canary, rollout.Begin(at(3*second), order, bounds, 2, 0, &withdrawn).Stage(), "an order like one that was deleted")
	running := rollout.Begin(at(3*second), order, bounds, 2, 0, &first)
	running.Withdraw()
	require.Equal(t, rollout.RolledBack, running.Tick(at(3*second), 0).Record.Stage)
}

// bad records bad responses of both new targets.
func bad(r *rollout.Rollout, now time.Duration, n int) {
	for i := range n {
		r.Record(at(now), "a", []fleet.TargetID{"n1", "n2"}[i%2], order.To, rollout.Bad, 0)
	}
}

// TestCompletedVersionKeepsItsStreams guards against streams that can't be taken up any more once the version of a
// completed roll-out has had badLimit bad responses, however long ago.
func TestCompletedVersionKeepsItsStreams(t *testing.T) {
	r := rollout.Begin(at(0), order, bounds, 2, 0, &rollout.Record{Order: order, Sequence: 9, Stage: rollout.Completed})
	r.SetTargets(nil, []fleet.TargetID{"n1", "n2"})
	bad(r, 0, 60)
	r.Tick(at(second), 0)
	require.True(t, r.AllowStream())
	require.Zero(t, r.BadResponses(), "they are no evidence any more")
}

// TestCompletionIsFinal guards against a version that is rolled back after the store has its completion: the
// platform may have stopped the old targets.
func TestCompletionIsFinal(t *testing.T) {
	r := rollout.Begin(at(0), order, bounds, 2, 0, &rollout.Record{Order: order, Sequence: 9, Stage: rollout.Promoted, Elapsed: 11500 * time.Millisecond})
	r.SetTargets([]fleet.TargetID{"o1"}, []fleet.TargetID{"n1", "n2"})
	completion := r.Tick(at(0), 0).Record
	require.Equal(t, rollout.Completed, completion.Stage)
	bad(r, 0, 30)
	require.Nil(t, r.Tick(at(0), 0).Record, "while the completion is written")
	r.Written(at(0), *completion)
	require.Nil(t, r.Tick(at(second), 0).Record)
	require.Equal(t, rollout.Completed, r.Stage())
	require.True(t, r.AllowStream())

	late := rollout.Begin(at(0), order, bounds, 3, 0, &rollout.Record{Order: order, Sequence: 9, Stage: rollout.Promoted, Elapsed: 8 * second})
	late.SetTargets([]fleet.TargetID{"o1"}, []fleet.TargetID{"n1", "n2"})
	bad(late, 0, 30)
	require.Equal(t, rollout.RolledBack, late.Tick(at(0), 1).Record.Stage)
	late.WriteFailed(at(0), completion)
	require.Nil(t, late.Tick(at(second), 1).Record, "the planner before it has completed the roll-out")
	require.True(t, late.AllowStream())
}

// TestWithdrawalDuringVerdictIsWritten guards against an order that is deleted while its verdict is written, after
// which an order like it would have ended already.
func TestWithdrawalDuringVerdictIsWritten(t *testing.T) {
	r := rollout.Begin(at(0), order, bounds, 1, 0, nil)
	r.SetTargets([]fleet.TargetID{"o1"}, []fleet.TargetID{"n1", "n2"})
	r.Written(at(0), *r.Tick(at(0), 0).Record)
	bad(r, 0, 20)
	verdict := r.Tick(at(second), 0).Record
	r.Withdraw()
	r.Written(at(second), *verdict)
	withdrawn := r.Tick(at(second), 0).Record
	require.NotNil(t, withdrawn)
	require.True(t, withdrawn.Withdrawn)
	require.Equal(t, rollout.RolledBack, withdrawn.Stage)

	late := rollout.Begin(at(0), order, bounds, 2, 0, &rollout.Record{Order: order, Sequence: 9, Stage: rollout.Promoted, Elapsed: 8 * second})
	late.Withdraw()
	require.Equal(t, rollout.RolledBack, late.Tick(at(0), 1).Record.Stage)
	late.WriteFailed(at(0), &rollout.Record{Order: order, Epoch: 1, Sequence: 10, Stage: rollout.Completed})
	withdrawn = late.Tick(at(second), 0).Record
	require.NotNil(t, withdrawn, "the planner before it has completed the roll-out")
	require.True(t, withdrawn.Withdrawn)
	require.Equal(t, rollout.Completed, withdrawn.Stage)
}
