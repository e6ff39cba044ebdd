package soak_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hibiscuslb/standin/fakeplatform"
)

// inTouch reports whether the process of the host that callers reach at the address has run
// undisturbed for stableWindow.
func (u *upgrade) inTouch(address string, at time.Time) bool {
	for _, h := range u.everyHost() {
		if h.callers != address {
			continue
		}
		for _, disturbed := range h.disturbances() {
			if disturbed.Before(at) && at.Sub(disturbed) < stableWindow {
				return false
			}
		}
		return true
	}
	return false
}

// disturbedSince reports whether the process of the host at the address was started or got a signal in
// a span of time.
func (u *upgrade) disturbedSince(address string, from, to time.Time) bool {
	for _, h := range u.everyHost() {
		if h.callers == address {
			return slices.ContainsFunc(h.disturbances(), func(at time.Time) bool { return at.After(from) && at.Before(to) })
		}
	}
	return true
}

// probeConfiguration asks each host that is in touch for a route of the newest configuration and
// for one that it has dropped.
func (u *upgrade) probeConfiguration(t *testing.T) {
	t.Helper()
	probed := 0
	for _, h := range u.currentHosts() {
		now := time.Now()
		if !u.inTouch(h.callers, now) {
			continue
		}
		probed++
		for version, wants404 := range map[int]bool{u.configVersion: false, u.configVersion - 3: true} {
			r := result{id: fmt.Sprintf("probe-%s-%d", h.name, version), kind: "read", path: fmt.Sprintf("/r%d/x", version)}
			send(http.DefaultClient, h.callers, &r)
			if r.status != 0 && (r.status == http.StatusNotFound) != wants404 {
				t.Errorf("CONFIG: %s answers %d on the route of version %d, %v after version %d was named", h.name, r.status, version, applyTime, u.configVersion)
			}
		}
	}
	t.Logf("configuration probed at %d hosts", probed)
}

// check checks what holds beyond checkResults.
func (u *upgrade) check(t *testing.T) {
	t.Helper()
	sent := make(map[string]*result)
	for i := range u.callers.results {
		sent[u.callers.results[i].id] = &u.callers.results[i]
	}
	u.checkLost(t)
	u.checkWeights(t, sent)
	u.checkLimits(t, sent)
	u.checkDrain(t, sent)
	u.checkRetries(t, sent)
	u.checkStreams(t, sent)
	u.checkIsolation(t, sent)
}

// checkLost checks that requests that ran while hosts were only replaced were answered.
func (u *upgrade) checkLost(t *testing.T) {
	t.Helper()
	asked := 0
	for _, r := range u.callers.results {
		if r.at.Before(u.calmFrom.Add(stableWindow)) || !u.unplannedEnd.Before(r.at) && u.unplannedEnd.After(u.calmFrom) {
			continue
		}
		asked++
		if r.status != 0 && r.complete {
			continue
		}
		for _, target := range u.targets {
			if runs, _, _ := target.Runs(); runs[r.id] > 0 {
				t.Errorf("LOST: request %s (%s) to %s ran at %s and got status %d, complete %v, after %v; sent %v after the naming", r.id, r.kind, u.name(r.callers),
					target.ID, r.status, r.complete, r.ended.Sub(r.at), r.at.Sub(u.named))
			}
		}
	}
	t.Logf("%d requests while hosts were only replaced", asked)
}

// checkWeights checks that no run begins on replaced weights after their time.
func (u *upgrade) checkWeights(t *testing.T, sent map[string]*result) {
	t.Helper()
	onOld, late := 0, 0
	for _, target := range u.targets[:engineCount] {
		for _, a := range target.Journal() {
			if !a.Ran || a.At.Before(u.named) || a.Version >= uint64(u.weightsVersion) {
				continue
			}
			onOld++
			r := sent[a.ID]
			if a.At.Sub(u.named) < versionTime || r == nil {
				continue
			}
			late++
			if u.inTouch(r.callers, a.At) {
				t.Errorf("VERSION: request %s to %s began at %s on version %d, %v after version %d was named", a.ID, u.name(r.callers), target.ID, a.Version, a.At.Sub(u.named), u.weightsVersion)
			}
		}
	}
	t.Logf("%d runs began on replaced weights, %d of them late", onOld, late)
}

// told returns for each request to the target when its host had first passed on an answer to a request that
// came after the instant, if its process has not been disturbed since.
func (u *upgrade) told(target *target, from time.Time, sent map[string]*result) map[string]time.Time {
	first, before := make(map[string]time.Time), make(map[string]time.Time)
	for _, a := range target.Journal() {
		r := sent[a.ID]
		if r == nil || a.At.Before(from) {
			continue
		}
		since, ok := first[r.callers]
		switch {
		case ok && !u.disturbedSince(r.callers, since, a.At):
			before[a.ID] = since
		case r.complete && r.status != 0:
			first[r.callers] = r.ended
		}
	}
	return before
}

// checkLimits checks that engines got no more than they named, of all hosts together that had passed on such
// an answer.
func (u *upgrade) checkLimits(t *testing.T, sent map[string]*result) {
	t.Helper()
	for _, target := range u.limited {
		var arrivals []time.Time
		told := u.told(target, u.limitFrom, sent)
		for _, a := range target.Journal() {
			since, ok := told[a.ID]
			if ok && a.At.Sub(since) >= toldTime && a.At.After(u.limitFrom.Add(stableWindow)) && a.At.Before(u.limitEnd) {
				arrivals = append(arrivals, a.At)
			}
		}
		most := 0
		for i, at := range arrivals {
			most = max(most, i+1-slices.IndexFunc(arrivals, func(earlier time.Time) bool { return at.Sub(earlier) <= limitSpan }))
		}
		t.Logf("%s got %d requests in all, at most %d in %v", target.ID, len(arrivals), most, limitSpan)
		if bound := 1.5*upgradeLimit*limitSpan.Seconds() + 5; float64(most) > bound {
			t.Errorf("LIMIT: %s got %d requests in %v, at most %v allowed", target.ID, most, limitSpan, bound)
		}
	}
}

// checkDrain checks that a target that leaves gets no request from a process that has passed on an
// answer of it.
func (u *upgrade) checkDrain(t *testing.T, sent map[string]*result) {
	t.Helper()
	told := u.told(u.leaving, u.limitFrom, sent)
	for _, a := range u.leaving.Journal() {
		r, since := sent[a.ID], told[a.ID]
		if !since.IsZero() && r.at.Sub(since) > drainTime {
			t.Errorf("DRAIN: request %s to %s reached %s %v after that host had passed on an answer", a.ID, u.name(r.callers), u.leaving.ID, a.At.Sub(since))
		}
	}
}

// checkRetries checks the budget that all hosts share for sending requests once more.
func (u *upgrade) checkRetries(t *testing.T, sent map[string]*result) {
	t.Helper()
	for service, targets := range map[string][]*target{"lm": u.targets[:engineCount], "plain": u.targets[engineCount:]} {
		var all []fakeplatform.Arrival
		for _, target := range targets {
			all = append(all, target.Journal()...)
		}
		slices.SortFunc(all, func(a, b fakeplatform.Arrival) int { return a.At.Compare(b.At) })
		seen, repeats, asked := make(map[string]bool), []time.Time(nil), []time.Time(nil)
		for _, a := range all {
			if seen[a.ID] {
				repeats = append(repeats, a.At)
			}
			seen[a.ID] = true
		}
		for _, r := range sent {
			if (r.kind == "talk" || r.kind == "resume") == (service == "lm") {
				asked = append(asked, r.at)
			}
		}
		count := func(times []time.Time, end time.Time) (n int) {
			for _, at := range times {
				if !at.After(end) && end.Sub(at) < retryWindow {
					n++
				}
			}
			return n
		}
		worst := 0
		for _, at := range repeats {
			requests := max(count(asked, at), count(asked, at.Add(-retryWindow)), count(asked, at.Add(-retryWindow/2)))
			n := count(repeats, at)
			worst = max(worst, n)
			if float64(n) > retryShare*float64(requests)+retrySlack {
				t.Errorf("BUDGET: %s got %d repeats of %d requests in %v", service, n, requests, retryWindow)
				break
			}
		}
		t.Logf("%s: %d repeats, at most %d in %v", service, len(repeats), worst, retryWindow)
	}
}

// checkStreams checks that streams stay at the software version that began them, and that those
// that are taken up go on.
func (u *upgrade) checkStreams(t *testing.T, sent map[string]*result) {
	t.Helper()
	software := make(map[string]map[string]bool) // at which a stream ran
	var all []fakeplatform.Arrival
	at := make(map[time.Time]string)
	for _, target := range u.targets[:engineCount] {
		for _, a := range target.Journal() {
			if a.Ran {
				all = append(all, a)
				at[a.At] = target.Software()
			}
		}
	}
	slices.SortFunc(all, func(a, b fakeplatform.Arrival) int { return a.At.Compare(b.At) })
	joined := 0
	for _, a := range all {
		stream := a.ID
		if r := sent[a.ID]; r != nil {
			stream = cmp.Or(r.resumes, stream)
		}
		if a.From != "" && !software[stream][at[a.At]] {
			joined++
			t.Logf("stream %s (request %s) goes on after event %s at %s, began at %v", stream, a.ID, a.From, at[a.At], software[stream])
		}
		if software[stream] == nil {
			software[stream] = make(map[string]bool)
		}
		software[stream][at[a.At]] = true
	}
	takenUp, wentOn, begun, asked := 0, 0, 0, 0
	for _, r := range sent {
		switch {
		case r.resumes != "" && !u.inTouch(r.callers, r.at):
		case r.resumes != "":
			takenUp++
			if r.status == http.StatusOK {
				wentOn++
			}
		case r.kind == "resume":
			asked++
			if r.status == http.StatusOK {
				begun++
			}
		}
	}
	t.Logf("%d of %d streams began, %d of %d that were taken up went on, %d at another version", begun, asked, wentOn, takenUp, joined)
	if joined > 2 {
		t.Errorf("ORDER: %d streams went on at another version, at most 2 allowed", joined)
	}
	if takenUp >= 12 && 2*wentOn*asked < takenUp*begun {
		t.Errorf("LOST: %d of %d streams that were taken up went on, %d of %d began", wentOn, takenUp, begun, asked)
	}
}

// checkIsolation replays the caches of engines: no request may find a part that another workspace
// made, if one of the two is isolated.
func (u *upgrade) checkIsolation(t *testing.T, sent map[string]*result) {
	t.Helper()
	from := u.isolatedAt.Add(applyTime)
	if u.isolatedAt.Before(u.calmFrom) {
		from = u.calmFrom.Add(stableWindow)
	}
	for _, target := range u.targets[:engineCount] {
		makers, loads, shared := make(map[string]string), uint64(0), 0
		for _, a := range target.Journal() {
			if !a.Ran {
				continue
			}
			if a.Loads != loads {
				makers, loads = make(map[string]string), a.Loads
			}
			chain := a.Salt + "|"
			for part := range strings.SplitSeq(a.Parts, ",") {
				chain += part + ","
				maker, ok := makers[chain]
				if !ok {
					makers[chain] = a.Tenant
					continue
				}
				if r := sent[a.ID]; maker != a.Tenant && r != nil && r.at.After(from) {
					shared++
					if shared == 1 {
						t.Errorf("WALL: request %s of %s to %s found a part under salt %q at %s that %s made, %v after the isolation", a.ID, a.Tenant, u.name(r.callers), a.Salt, target.ID, maker, a.At.Sub(u.isolatedAt))
					}
				}
			}
		}
	}
}

// name returns the name of the host at an address.
func (u *upgrade) name(address string) string {
	for _, h := range u.everyHost() {
		if h.callers == address {
			return h.name
		}
	}
	return address
}
