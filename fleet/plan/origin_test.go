package plan_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/roster"
)

// versionedEngines returns n engines of each of the versions.
func versionedEngines(n int, versions ...fleet.Software) []roster.Target {
	entries := engines(n * len(versions))
	for i := range entries {
		entries[i].Software = versions[i%len(versions)]
	}
	return entries
}

// newStream returns a request of a caller for a stream that may be resumed.
func newStream() *plan.Request {
	req := newRequest(800*time.Millisecond, filePrompt(fmt.Sprint("file", requestCount%40))...)
	req.Workspace, req.Resumable, req.Deadline = "w", true, 12*second
	return req
}

// shortRequest returns a request for a stream with a short prompt.
func shortRequest() *plan.Request {
	requestCount++
	return newRequest(800*time.Millisecond, prompt.Part{ID: "system", Tokens: 500}, prompt.Part{ID: prompt.PartID(fmt.Sprint("own", requestCount)), Tokens: 300})
}

// resume returns a request that takes up the stream that an attempt began.
func resume(attempt fleet.RequestID) *plan.Request {
	req := newStream()
	req.Resumption = plan.Resumption{Resumes: true, Attempt: attempt}
	return req
}

// TestStreamGoesOnAtItsVersion guards against second1: streams went on at another version of
// the engines' software than the one that began them.
//
// Load pattern: a service changes from v1 to v1.1, an engine each 0.4 s, in which both serve
// side by side. Engines crash and break off the streams on them; some callers name the attempt
// that began their stream, others nothing, or something else.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 32))
		entries := versionedEngines(18, "v1")
		f := newFleet(t, entries)
		type stream struct {
			attempt  fleet.RequestID
			software fleet.Software
		}
		var begun []stream
		joined, resumed, refused := 0, 0, 0
		for now := time.Duration(0); now < 20*second; now += 20 * time.Millisecond {
			if step := int(now/(400*time.Millisecond)) - 5; now%(400*time.Millisecond) == 0 && step >= 0 && step < 9 {
				entries = append(slices.Clone(entries), roster.Target{
					ID: fleet.TargetID(fmt.Sprint("new", step)), Service: engineService, Address: fleet.Address(fmt.Sprintf("10.1.0.%d:1", step)),
					DataCentre: "a", Models: entries[0].Models, Software: "v1.1", ColdFor: second,
				})
				entries[2*step].Leaving = true
				f.SetTargets(at(now), entries, nil)
			}
			req := newStream()
			if decision, ok := f.Submit(at(now), req); ok && decision.Grant != nil {
				begun = append(begun, stream{req.ID, decision.Grant.Software})
				f.Report(at(now), plan.Report{Number: decision.Grant.Number, Progress: plan.Started})
				f.Report(at(now), plan.Report{Number: decision.Grant.Number, Progress: plan.Failed})
			}
			if len(begun) == 0 || random.IntN(4) > 0 {
				f.Tick(at(now))
				continue
			}
			s := begun[max(0, len(begun)-1-random.IntN(100))]
			again := resume(s.attempt)
			switch random.IntN(6) {
			case 0:
				again.Resumption.Attempt = ""
			case 1:
				again.Resumption.Attempt = "unknown"
			}
			decision, ok := f.Submit(at(now), again)
			switch {
			case !ok:
				f.Cancel(again)
			case decision.Grant == nil:
				refused++
			default:
				resumed++
				if decision.Grant.Software != s.software {
					joined++
				}
				f.Report(at(now), plan.Report{Number: decision.Grant.Number, Progress: plan.Done})
			}
			f.Tick(at(now))
		}
		require.LessOrEqual(t, joined, 2, "seed %d: streams that went on at another version; %d went on, %d were refused", seed, resumed, refused)
		require.Greater(t, resumed, refused, "seed %d: streams that went on, and those refused", seed)
	}
}

// TestStreamsTakenUpUnderOverloadGoOn guards against rejoined: after a kill of hosts most of the
// streams that were taken up again were refused, since only half of the engines have
// their version.
//
// Load pattern: streams with long prompts arrive at twice the rate that the memory of the engines
// bears, and short ones that fit into what is left, while two versions serve. A third of those under way are broken off at the same
// moment, and taken up within three seconds.
func TestStreamsTakenUpUnderOverloadGoOn(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 33))
		f := newFleet(t, versionedEngines(9, "v1", "v1.1"))
		type running struct {
			attempt   fleet.RequestID
			number    plan.GrantNumber
			resumable bool
			ends      time.Duration
		}
		var under, brokenOff []running
		waiting := make(map[*plan.Request]bool) // those that take a stream up
		begun, submitted, wentOn, takenUp := 0, 0, 0, 0
		decided := func(now time.Duration, d plan.Decision, goesOn bool) {
			if d.Grant == nil {
				return
			}
			if goesOn {
				wentOn++
			} else {
				begun++
			}
			f.Report(at(now), plan.Report{Number: d.Grant.Number, Progress: plan.Started})
			under = append(under, running{d.Request.ID, d.Grant.Number, d.Request.Resumable, now + second + time.Duration(random.Int64N(int64(2*second)))})
		}
		submit := func(now time.Duration, req *plan.Request, goesOn bool) {
			if d, ok := f.Submit(at(now), req); ok {
				decided(now, d, goesOn)
				return
			}
			waiting[req] = goesOn
		}
		for now := time.Duration(0); now < 10*second; now += 10 * time.Millisecond {
			under = slices.DeleteFunc(under, func(r running) bool {
				if now >= r.ends {
					f.Report(at(now), plan.Report{Number: r.number, Progress: plan.Done})
				}
				return now >= r.ends
			})
			if now == 5*second {
				under = slices.DeleteFunc(under, func(r running) bool {
					lost := random.IntN(3) == 0
					if lost {
						f.Report(at(now), plan.Report{Number: r.number, Progress: plan.Abandoned})
					}
					if lost && r.resumable {
						brokenOff = append(brokenOff, running{attempt: r.attempt, ends: now + second + time.Duration(random.Int64N(int64(2*second)))})
					}
					return lost
				})
			}
			brokenOff = slices.DeleteFunc(brokenOff, func(r running) bool {
				if now >= r.ends {
					takenUp++
					submit(now, resume(r.attempt), true)
				}
				return now >= r.ends
			})
			for range 1 + random.IntN(2) {
				submitted++
				submit(now, newStream(), false)
			}
			for range 6 {
				submitted++
				submit(now, shortRequest(), false)
			}
			for _, d := range f.Tick(at(now)) {
				decided(now, d, waiting[d.Request])
				delete(waiting, d.Request)
			}
		}
		share, shareOfNew := float64(wentOn)/float64(takenUp), float64(begun)/float64(submitted)
		require.Greater(t, takenUp, 12)
		require.Less(t, shareOfNew, 0.7, "seed %d: the load is no overload; %d of %d went on", seed, wentOn, takenUp)
		require.GreaterOrEqual(t, share, shareOfNew/2, "seed %d: %d of %d went on, %d of %d new ones began", seed, wentOn, takenUp, begun, submitted)
	}
}
