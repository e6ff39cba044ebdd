package plan

import (
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
)

// Crashes of engines.
//
// A prompt may crash each engine that begins to write an answer on it. If requests with
// such a prompt went from engine to engine, all requests beside them would fail, too.
// The plan therefore notes which requests were on an engine that crashed, and withholds
// the parts that they have in common, see package quarantine.
//
// A crash shows in two ways, in any order: answers of the engine end early, as
// hosts report, and the engine no longer answers the planner's poll for events. An early
// end alone may be a fault of the answer or of a link, and an engine that stops to
// answer may be slow or cut off.
const (
	// crashWindow is the longest time between the early end of an answer and the first
	// poll that fails. A poll fails at once if its connection is closed; a new one
	// starts after a pause and waits for a connection.
	crashWindow = time.Second
	// crashSettleTime is how long reports of failed requests are awaited after a crash was
	// noticed. Hosts send them within some ten milliseconds.
	crashSettleTime = 200 * time.Millisecond
	// soundAfter is how long a request's answer must have been under way for its prompt
	// not to be a suspect.
	soundAfter = 500 * time.Millisecond
)

// earlyEnd is a request whose answer ended early.
type earlyEnd struct {
	at      fleet.Instant
	prompt  *prompt.Prompt
	suspect bool // its answer had not begun, or had just begun
}

// crash is an engine's crash whose suspects are to be recorded.
type crash struct {
	target *target
	at     fleet.Instant // when it was noticed
}

// recordEarlyEnd notes that the answer to a grant's request ended early.
func (f *Fleet) recordEarlyEnd(now fleet.Instant, ag *activeGrant) {
	if ag.req.Prompt == nil {
		return
	}
	t := ag.target
	t.earlyEnds = slices.DeleteFunc(t.earlyEnds, func(e earlyEnd) bool { return now.Sub(e.at) > crashWindow })
	t.earlyEnds = append(t.earlyEnds, earlyEnd{now, ag.req.Prompt, !ag.started || now.Sub(ag.startedAt) < soundAfter})
	if t.unresponsive && now.Sub(t.unresponsiveSince) <= crashWindow {
		f.noteCrash(now, t)
	}
}

// noteCrash notes that an engine has crashed, once until it answers again.
func (f *Fleet) noteCrash(now fleet.Instant, t *target) {
	if !t.crashed {
		t.crashed = true
		f.crashes = append(f.crashes, crash{t, now})
	}
}

// settleCrashes records the suspects of the crashes for which all reports have arrived.
func (f *Fleet) settleCrashes(now fleet.Instant) {
	if len(f.crashes) == 0 {
		return
	}
	var unsettled []crash
	for _, c := range f.crashes {
		if now.Sub(c.at) < crashSettleTime {
			unsettled = append(unsettled, c)
			continue
		}
		var suspects []*prompt.Prompt
		for _, e := range c.target.earlyEnds {
			if e.suspect && c.at.Sub(e.at) <= crashWindow {
				suspects = append(suspects, e.prompt)
			}
		}
		f.stats.Crashes++
		f.quarantine.RecordCrash(now, suspects)
	}
	f.crashes = unsettled
}

// checkQuarantine returns a refusal if a part of the request's prompt is withheld. Trial
// is set if the request is to be sent as a trial. Deputies start none, since they would
// not know of each other's.
func (f *Fleet) checkQuarantine(now fleet.Instant, req *Request) (refusal *fleet.RefusalError, trial bool) {
	verdict, after := f.quarantine.Check(now, req.Prompt)
	switch {
	case verdict == quarantine.Allowed:
		return nil, false
	case verdict == quarantine.Trial && !f.Deputy:
		return nil, true
	}
	f.stats.Withheld++
	return fleet.RefuseWithRetryAfter(fleet.ReasonWithheld, max(after, minRetryAfter)), false
}

// Quarantine returns the suspected and withheld parts, for other hosts.
func (f *Fleet) Quarantine() quarantine.List { return f.quarantine.List() }

// RestoreQuarantine replaces the suspected and withheld parts by those of another host.
func (f *Fleet) RestoreQuarantine(now fleet.Instant, list quarantine.List) {
	f.quarantine.Restore(now, list)
}
