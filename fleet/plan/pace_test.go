package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
)

// modelledEngine reads the prompts that it was granted one after another, and then
// takes one step to the first piece.
type modelledEngine struct {
	rate    fleet.TokenRate
	step    time.Duration
	readEnd fleet.Instant
	granted []firstPiece
}

// firstPiece is when the first piece of a grant's answer comes.
type firstPiece struct {
	grant *plan.Grant
	at    fleet.Instant
}

func (e *modelledEngine) start(now fleet.Instant, g *plan.Grant, tokens fleet.Tokens) firstPiece {
	e.readEnd = max(now, e.readEnd).Add(e.rate.Time(tokens))
	p := firstPiece{g, e.readEnd.Add(e.step)}
	e.granted = append(e.granted, p)
	return p
}

// report reports all answers that have started by now.
func (e *modelledEngine) report(f *plan.Fleet, now fleet.Instant) {
	for len(e.granted) > 0 && e.granted[0].at <= now {
		reportDone(f, e.granted[0].at, e.granted[0].grant)
		e.granted = e.granted[1:]
	}
}

// Load pattern: an engine of unknown speed is asked for twice as much as it can read.
// Whatever its speed, no request is granted whose first piece comes later than two
// and a half times its objective, and the engine is not left idle.
func TestAdmissionFollowsPaceOfEngine(t *testing.T) {
	testAdmissionFollowsPace(t, 85_000, 200_000)
}

// The same with engines that read more slowly than assumed.
func TestAdmissionFollowsPaceOfSlowEngine(t *testing.T) {
	testAdmissionFollowsPace(t, 20_000, 36_700)
}

func testAdmissionFollowsPace(t *testing.T, rates ...fleet.TokenRate) {
	t.Helper()
	const (
		objective = second
		latest    = 5 * objective / 2
		tokens    = fleet.Tokens(4000)
		warmUp    = 3 * second // light load, in which the pace is learnt
		overload  = 8 * second
		tick      = 10 * time.Millisecond
	)
	for _, rate := range rates {
		for _, step := range []time.Duration{2 * time.Millisecond, 10 * time.Millisecond} {
			t.Run(fmt.Sprint(rate, step), func(t *testing.T) {
				f := newFleet(t, engines(1))
				engine := &modelledEngine{rate: rate, step: step}
				read := rate.Time(tokens) // time for one prompt
				next, granted, submitted := at(0), 0, 0
				waiting := make(map[*plan.Request]bool)
				accept := func(now fleet.Instant, d plan.Decision) {
					delete(waiting, d.Request)
					if d.Grant == nil {
						return
					}
					first := engine.start(now, d.Grant, tokens)
					if now > at(warmUp) {
						granted++
						require.LessOrEqual(t, first.at.Sub(now), latest, "request %s after %v", d.Request.ID, now.Sub(at(0)))
					}
				}
				for now := at(0); now < at(warmUp+overload); now = now.Add(tick) {
					engine.report(f, now)
					for _, d := range f.Tick(now) {
						accept(now, d)
					}
					for next <= now {
						req := newRequest(objective, prompt.Part{ID: prompt.PartID(fmt.Sprint("own", next)), Tokens: tokens})
						if d, ok := f.Submit(now, req); ok {
							accept(now, d)
						} else {
							waiting[req] = true
						}
						if now < at(warmUp) {
							next = next.Add(2 * read)
						} else {
							next = next.Add(read / 2)
							submitted++
						}
					}
				}
				require.Greater(t, granted, int(0.9*float64(overload)/float64(read)), "of %d requests", submitted)
			})
		}
	}
}
