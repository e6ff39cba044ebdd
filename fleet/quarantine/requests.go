package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
)

// Requests.
//
// One request may come again and again, through any host, and crash each target that begins
// to run it. It is known by its fingerprint. Each crash is charged to all suspects: the
// request itself, and others that were on the target beside it. A complete answer clears a
// request, and most of those beside it never come again. A request that reaches crashLimit
// crashes without a complete answer is withheld.
//
// Load patterns:
//   - A service has few targets. One request ends all of them within a third of a second,
//     in several copies, and no answer of the service is complete meanwhile. Unlike parts,
//     requests are therefore charged with each crash.
//   - The targets of a rack fail in the same moment, with copies of a sound request on several
//     of them. Copies that were under way together are charged once for crashes within
//     jointFailure.
//   - Copies of a bad request end all targets of a service in the same moment. A request with
//     crashLimit crashes, joint ones included, is sent to one target at a time. If that one
//     crashes, too, the joint crashes are charged; a complete answer clears the request.
//   - A sound request is sent again after each crash, or by many callers, and is on each target
//     beside the bad one. Both are withheld for the same crash. Each of them soon gets a trial,
//     one after the other, which clears the sound one. Crashes under copies that were sent
//     before say nothing of either, and a trial without a result is soon repeated. Once the bad
//     one is withheld, a crash under its trial is charged to it alone.
//   - One of the crashes under the bad request is not known to be one, since another host had sent it. The sound one
//     beside it reaches the limit first. Requests that were charged together count as withheld for the same crash
//     when the last of them is withheld.
//   - A caller makes up requests that crash targets. A ledger and a list are shared fairly
//     among workspaces, so that it can't push the requests of others out.
const (
	// jointFailure is the time within which the answers of targets that fail together end,
	// as hosts report it.
	jointFailure = 25 * time.Millisecond
	// jointTrialInterval is the time between the first trials of requests that are withheld for
	// the same crash, and between two copies of a request that joint crashes make a suspect. It
	// is longer than most answers take, and than it takes to record a crash.
	jointTrialInterval = time.Second
	// suspectRetention is how long a request that is not withheld is kept after its last
	// crash.
	suspectRetention = 2 * time.Minute
	// maxRequests bounds the requests in a ledger, and maxListedRequests those in a list.
	maxRequests       = 4096
	maxListedRequests = 32
)

// requestAccount is what is known of a request.
type requestAccount struct {
	Entry
	lastCrash  fleet.Instant
	withheldAt fleet.Instant
	trialAt    fleet.Instant // when the request may be let through again
	charges    []uint64      // the newest crashes that it was charged with, by number
	tried      bool          // it may have had a trial since it was withheld
}

// noteCharge notes the number of a crash that the request was charged with.
func (a *requestAccount) noteCharge(crash uint64) {
	a.charges = append(a.charges[max(0, len(a.charges)-2*crashLimit):], crash)
}

// sharesCharge reports whether the request was charged with a crash together with the other one.
func (a *requestAccount) sharesCharge(other *requestAccount) bool {
	return slices.ContainsFunc(a.charges, func(crash uint64) bool { return slices.Contains(other.charges, crash) })
}

// trialInterval returns the time to the request's next trial, from its last crash or trial.
func (a *requestAccount) trialInterval() time.Duration {
	if a.Tied > 0 {
		return min(time.Duration(a.Tied)*jointTrialInterval, FirstTrial)
	}
	return trialInterval(a.Crashes)
}

// doubtful reports whether the request would be withheld if the joint crashes counted.
func (a *requestAccount) doubtful() bool {
	return !a.Withheld() && a.Crashes+a.Joint >= crashLimit
}

func (l *Ledger) requestWithheld(request Fingerprint) bool {
	a, ok := l.requests[request]
	return ok && a.Withheld()
}

// chargeRequests charges the requests of the suspects with a crash, each once. If a withheld
// part or request explains the crash, only withheld requests are charged.
func (l *Ledger) chargeRequests(now fleet.Instant, suspects []Suspect, explained bool) {
	l.crashes++
	charged := make(map[Fingerprint]bool)
	var newlyWithheld []*requestAccount
	for _, s := range suspects {
		if s.Request == "" || charged[s.Request] || explained && !l.requestWithheld(s.Request) {
			continue
		}
		a, ok := l.requests[s.Request]
		if ok && s.Sent <= a.lastCrash && s.Ended.Sub(a.lastCrash) < jointFailure {
			if !a.Withheld() {
				charged[s.Request] = true
				a.Joint++
				a.noteCharge(l.crashes)
			}
			continue
		}
		if !ok {
			a = &requestAccount{Entry: Entry{Request: s.Request, Workspace: s.Workspace}}
			if l.requests == nil {
				l.requests = make(map[Fingerprint]*requestAccount)
			}
			l.requests[s.Request] = a
		}
		if a.Tied > 0 && s.Sent <= a.withheldAt {
			continue
		}
		charged[s.Request] = true
		before := a.Withheld()
		a.Crashes++
		a.noteCharge(l.crashes)
		if !before && s.Sent.Sub(a.lastCrash) > jointFailure {
			a.Crashes, a.Joint = min(a.Crashes+a.Joint, crashLimit), 0
		}
		a.lastCrash = max(a.lastCrash, s.Ended)
		if !a.Withheld() {
			continue
		}
		a.Tied = 0
		a.trialAt = max(a.trialAt, s.Ended.Add(a.trialInterval()))
		if !before {
			a.Joint, a.withheldAt = 0, now
			newlyWithheld = append(newlyWithheld, a)
		}
	}
	earlier := l.withheldEarlier(newlyWithheld)
	if len(newlyWithheld)+len(earlier) < 2 {
		return
	}
	for i, a := range newlyWithheld {
		a.Tied = i + 1
		a.trialAt = a.lastCrash.Add(a.trialInterval())
	}
	for i, a := range earlier {
		a.Tied = len(newlyWithheld) + i + 1
		a.trialAt = now.Add(a.trialInterval())
	}
}

// withheldEarlier returns the requests that were withheld before the given ones, have had no trial, and were charged
// together with one of them.
func (l *Ledger) withheldEarlier(newly []*requestAccount) []*requestAccount {
	var list []*requestAccount
	if len(newly) == 0 {
		return nil
	}
	for _, a := range l.requests {
		if a.Withheld() && !a.tried && a.Tied == 0 && !slices.Contains(newly, a) && slices.ContainsFunc(newly, a.sharesCharge) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *requestAccount) int {
		return cmp.Or(cmp.Compare(b.withheldAt, a.withheldAt), cmp.Compare(a.Request, b.Request))
	})
	return list
}

// postponeTied keeps the trials of tied requests apart. They may be due together, after a time in
// which no target could be sent any.
func (l *Ledger) postponeTied(now fleet.Instant) {
	for _, a := range l.requests {
		if a.Tied > 0 {
			a.trialAt = max(a.trialAt, now.Add(jointTrialInterval))
		}
	}
}

// expireRequests drops requests whose last crash is long ago, and if there are too many, half
// of what the ledger may hold.
func (l *Ledger) expireRequests(now fleet.Instant) {
	for id, a := range l.requests {
		if now.Sub(max(a.lastCrash, a.trialAt)) > retention || !a.Withheld() && now.Sub(a.lastCrash) > suspectRetention {
			delete(l.requests, id)
		}
	}
	if len(l.requests) <= maxRequests {
		return
	}
	for _, a := range l.fairOrder()[maxRequests/2:] {
		delete(l.requests, a.Request)
	}
}

// fairOrder returns all requests: the withheld ones first, then those of each workspace in
// turn, with its most suspect ones first.
func (l *Ledger) fairOrder() []*requestAccount {
	accounts := make([]*requestAccount, 0, len(l.requests))
	for _, a := range l.requests {
		accounts = append(accounts, a)
	}
	slices.SortFunc(accounts, func(a, b *requestAccount) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.lastCrash, a.lastCrash), cmp.Compare(a.Request, b.Request))
	})
	type turn struct {
		withheld  bool
		workspace fleet.WorkspaceID
	}
	count, turns := make(map[turn]int), make(map[Fingerprint]int)
	for _, a := range accounts {
		t := turn{a.Withheld(), a.Workspace}
		turns[a.Request] = count[t]
		count[t]++
	}
	slices.SortStableFunc(accounts, func(a, b *requestAccount) int {
		if a.Withheld() != b.Withheld() {
			if a.Withheld() {
				return -1
			}
			return 1
		}
		return cmp.Compare(turns[a.Request], turns[b.Request])
	})
	return accounts
}

// listRequests returns the requests to pass to other hosts.
func (l *Ledger) listRequests() List {
	accounts := l.fairOrder()
	var list List
	for _, a := range accounts[:min(maxListedRequests, len(accounts))] {
		list = append(list, a.Entry)
	}
	return list
}

// restoreRequests replaces the requests by those in the list of another host, as Restore does
// with parts.
func (l *Ledger) restoreRequests(now fleet.Instant, list List) {
	old := l.requests
	l.requests = make(map[Fingerprint]*requestAccount)
	l.crashes++
	for _, entry := range list {
		if entry.Request == "" {
			continue
		}
		a, ok := old[entry.Request]
		if !ok || a.Entry != entry {
			a = &requestAccount{Entry: entry, lastCrash: now}
			if a.Withheld() {
				a.withheldAt, a.trialAt, a.tried = now, now.Add(a.trialInterval()), true
			}
			a.noteCharge(l.crashes) // suspects may have been charged together
		}
		l.requests[entry.Request] = a
	}
}
