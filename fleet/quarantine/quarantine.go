// Package quarantine decides which requests, and which parts of prompts, are withheld from
// targets, because target after target crashed under them. Requests are described in
// requests.go.
//
// When an engine crashes, only the requests whose answers had not begun, or had just
// begun, are suspects: an engine that has written an answer for a while has survived
// its prompt. Each shared part of a suspect is then charged with the crash. A complete
// answer clears all parts of its prompt. A sound part is cleared soon after it was
// charged, since most requests with it succeed. A part that crashes every engine is never
// cleared, and is withheld after crashLimit crashes.
//
// Load patterns:
//   - Requests that are all different but for one part crash engine after engine, while
//     sound requests share all of their other parts. Only the one part is withheld.
//   - Many engines fail at once, because they share a rack or a data centre. Crashes
//     within minCrashGap charge a part once, so that its sound requests can clear it.
//   - The engines of a service crash one after the other, and hardly any answer is
//     complete meanwhile. Parts are charged only if prompts without them succeed.
//   - Two parts always occur together, and one of them crashes engines. Both are
//     withheld; the first request with only one of them is let through and shows which.
//   - A part is withheld by mistake, or the engines have been repaired. After a time
//     that doubles with each crash, one request is let through as a trial.
//
// A Ledger has no clock and does no I/O. It is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
)

const (
	// crashLimit is the number of crashes after which a part is withheld.
	crashLimit = 3
	// minCrashGap is the time between two crashes that charge the same part.
	minCrashGap = 250 * time.Millisecond
	// minOtherSuccesses is the number of complete answers to other prompts between two
	// crashes that charge the same part. With fewer, the service fails as a whole, or
	// the part is in so many prompts that nothing can be told yet.
	minOtherSuccesses = 5
	// FirstTrial is the time from the crash for which a part is withheld to the first
	// trial. It doubles with each further crash, up to maxTrialInterval.
	FirstTrial       = 30 * time.Second
	maxTrialInterval = 10 * time.Minute
	// retention is how long a part is kept after its last crash or trial.
	retention = 2 * maxTrialInterval
	// maxParts bounds the parts in a ledger, and maxListed those in a list. A ledger that
	// is full drops half of its parts: those with the fewest crashes, and of these the
	// oldest.
	maxParts  = 4096
	maxListed = 32
	// minListed is the smallest number of crashes of a listed part. Most parts with
	// one crash are sound.
	minListed = 2
)

// An Entry is a part or a request that is suspected or withheld: either Part or Request is
// set.
type Entry struct {
	Part      prompt.PartID     `json:",omitempty"`
	Request   Fingerprint       `json:",omitempty"`
	Workspace fleet.WorkspaceID `json:",omitempty"` // of the request
	Crashes   int               // of different targets, since the last complete answer to a prompt with the part, or to the request
	Joint     int               `json:",omitempty"` // further crashes under the request, which are charged if its next copy crashes a target
	// Tied is set while the request is withheld for the same crash as others, until a trial shows
	// whether it is to blame: the time to the next trial in multiples of jointTrialInterval.
	Tied int `json:",omitempty"`
}

// Withheld reports whether the part or request is withheld.
func (e Entry) Withheld() bool { return e.Crashes >= crashLimit }

// Same reports whether two entries are of the same part or request.
func (e Entry) Same(other Entry) bool { return e.Part == other.Part && e.Request == other.Request }

// A List is the content of a ledger as it is passed to other hosts.
type List []Entry

// Withholds reports whether a request is withheld, or a part of its prompt, which may be nil.
func (l List) Withholds(request Fingerprint, p *prompt.Prompt) bool {
	return slices.ContainsFunc(l, func(e Entry) bool {
		switch {
		case !e.Withheld():
			return false
		case e.Part == "":
			return e.Request == request && request != ""
		}
		return p != nil && slices.ContainsFunc(p.Shared(), func(part prompt.Part) bool { return part.ID == e.Part })
	})
}

// A Suspect is a request that was on a target when the target crashed, and whose answer had
// not begun, or had just begun.
type Suspect struct {
	Prompt    *prompt.Prompt // nil for plain services
	Request   Fingerprint
	Workspace fleet.WorkspaceID
	Sent      fleet.Instant // to the target
	Ended     fleet.Instant // when its answer ended early
}

// A Ledger counts the crashes of parts and requests. The zero value is empty.
type Ledger struct {
	parts     map[prompt.PartID]*account
	requests  map[Fingerprint]*requestAccount
	successes uint64 // number of recorded complete answers to prompts
	crashes   uint64 // number of recorded crashes, and of lists taken over
}

// account is what is known of a part.
type account struct {
	Entry
	lastCrash fleet.Instant
	successes uint64        // of the ledger at lastCrash
	trialAt   fleet.Instant // when the next request with the part may be let through
	// tied lists the parts that were withheld for the same crash, this one included, until
	// a trial of this part. Not all of them need be to blame.
	tied []prompt.PartID
}

// RecordCrash records that a target crashed with the suspects on it.
func (l *Ledger) RecordCrash(now fleet.Instant, suspects []Suspect) {
	l.expire(now)
	parts := make(map[prompt.PartID]bool)
	explained := false // by a part or a request that is withheld already
	for _, s := range suspects {
		explained = explained || l.requestWithheld(s.Request)
		if s.Prompt == nil {
			continue
		}
		for _, part := range s.Prompt.Shared() {
			parts[part.ID] = true
			explained = explained || l.withheld(part.ID)
		}
	}
	l.chargeRequests(now, suspects, explained)
	var newlyWithheld []prompt.PartID
	for id := range parts {
		if explained && !l.withheld(id) {
			continue
		}
		a := l.account(id)
		if a.Crashes > 0 && (now.Sub(a.lastCrash) < minCrashGap || !a.Withheld() && l.successes-a.successes < minOtherSuccesses) {
			continue
		}
		a.Crashes, a.lastCrash, a.successes = a.Crashes+1, now, l.successes
		if a.Withheld() {
			a.trialAt = now.Add(trialInterval(a.Crashes))
		}
		if a.Crashes == crashLimit {
			newlyWithheld = append(newlyWithheld, id)
		}
	}
	for _, id := range newlyWithheld {
		l.parts[id].tied = newlyWithheld
	}
}

// ambiguous reports whether another part that is still withheld may be to blame in place
// of this one.
func (l *Ledger) ambiguous(a *account) bool {
	return slices.ContainsFunc(a.tied, func(id prompt.PartID) bool { return id != a.Part && l.withheld(id) })
}

func (l *Ledger) withheld(id prompt.PartID) bool {
	a, ok := l.parts[id]
	return ok && a.Withheld()
}

// account returns the account of a part, which it creates if necessary.
func (l *Ledger) account(id prompt.PartID) *account {
	if l.parts == nil {
		l.parts = make(map[prompt.PartID]*account)
	}
	a, ok := l.parts[id]
	if !ok {
		a = &account{Entry: Entry{Part: id}}
		l.parts[id] = a
	}
	return a
}

// trialInterval returns the time from a crash of a withheld part or request to its next trial.
func trialInterval(crashes int) time.Duration {
	interval := FirstTrial
	for n := crashes; n > crashLimit && interval < maxTrialInterval; n-- {
		interval *= 2
	}
	return min(interval, maxTrialInterval)
}

// expire drops parts whose last crash is long ago, and the least suspect ones if there are
// too many.
func (l *Ledger) expire(now fleet.Instant) {
	for id, a := range l.parts {
		if now.Sub(max(a.lastCrash, a.trialAt)) > retention {
			delete(l.parts, id)
		}
	}
	l.expireRequests(now)
	if len(l.parts) <= maxParts {
		return
	}
	for _, a := range l.sorted(0)[maxParts/2:] {
		delete(l.parts, a.Part)
	}
}

// sorted returns the accounts with at least the given number of crashes, those with the
// most crashes first, then the newest.
func (l *Ledger) sorted(least int) []*account {
	var accounts []*account
	for _, a := range l.parts {
		if a.Crashes >= least {
			accounts = append(accounts, a)
		}
	}
	slices.SortFunc(accounts, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.lastCrash, a.lastCrash), cmp.Compare(a.Part, b.Part))
	})
	return accounts
}

// RecordSuccess records a complete answer to a request, which clears it and the parts of its
// prompt, which may be nil.
func (l *Ledger) RecordSuccess(request Fingerprint, p *prompt.Prompt) {
	delete(l.requests, request)
	if p == nil {
		return
	}
	l.successes++
	if len(l.parts) == 0 {
		return
	}
	for _, part := range p.Shared() {
		delete(l.parts, part.ID)
	}
}

// A Verdict tells what to do with a request.
type Verdict uint8

const (
	// Allowed means that neither the request nor a part of its prompt is withheld.
	Allowed Verdict = iota
	// Trial means that the request may be sent, to learn whether what is withheld still
	// crashes targets.
	Trial
	// Refused means that the request must not be sent.
	Refused
)

// Check returns the verdict on a request and, if it is refused, the time until a trial is
// due. The prompt may be nil.
func (l *Ledger) Check(now fleet.Instant, request Fingerprint, p *prompt.Prompt) (v Verdict, retryAfter time.Duration) {
	v, retryAfter = l.checkParts(now, p)
	a, ok := l.requests[request]
	if !ok || !a.Withheld() && !a.doubtful() {
		return v, retryAfter
	}
	wait := a.trialAt.Sub(now)
	switch {
	case wait > 0 || a.Withheld() && retryAfter > 0:
		return Refused, max(wait, retryAfter)
	case a.Withheld():
		return Trial, 0
	}
	return v, retryAfter
}

// checkParts returns the verdict on a prompt, which may be nil.
func (l *Ledger) checkParts(now fleet.Instant, p *prompt.Prompt) (v Verdict, retryAfter time.Duration) {
	if p == nil || len(l.parts) == 0 {
		return Allowed, 0
	}
	ambiguous, count := false, 0
	for _, part := range p.Shared() {
		if a, ok := l.parts[part.ID]; ok && a.Withheld() {
			count++
			ambiguous = l.ambiguous(a)
			retryAfter = max(retryAfter, a.trialAt.Sub(now))
		}
	}
	switch {
	case count == 0:
		return Allowed, 0
	case retryAfter <= 0 || count == 1 && ambiguous:
		return Trial, 0
	}
	return Refused, retryAfter
}

// Suspects reports whether a target has crashed under the request since its last complete answer.
func (l *Ledger) Suspects(request Fingerprint) bool {
	_, suspect := l.requests[request]
	return suspect
}

// HasSuspects reports whether Suspects is true of any request.
func (l *Ledger) HasSuspects() bool { return len(l.requests) > 0 }

// RecordSent records that a request was sent. If that was a trial, the next one is due after as
// long a time again, unless this one succeeds. The prompt may be nil.
func (l *Ledger) RecordSent(now fleet.Instant, request Fingerprint, p *prompt.Prompt) {
	if a, ok := l.requests[request]; ok {
		switch {
		case a.Withheld():
			a.tried = true
			if a.Tied > 0 {
				l.postponeTied(now)
			}
			a.Tied = min(2*a.Tied, int(FirstTrial/jointTrialInterval))
			a.trialAt = now.Add(a.trialInterval())
		case a.doubtful():
			a.trialAt = now.Add(jointTrialInterval)
		}
	}
	if p == nil || len(l.parts) == 0 {
		return
	}
	for _, part := range p.Shared() {
		if a, ok := l.parts[part.ID]; ok && a.Withheld() {
			a.trialAt, a.tied = now.Add(trialInterval(a.Crashes)), nil
		}
	}
}

// List returns the parts and requests to pass to other hosts, each in the order of their IDs.
func (l *Ledger) List() List {
	accounts := l.sorted(minListed)
	var list List
	for _, a := range accounts[:min(maxListed, len(accounts))] {
		list = append(list, a.Entry)
	}
	list = append(list, l.listRequests()...)
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request)) })
	return list
}

// Restore replaces the content of the ledger by the list of another host. The instants of
// crashes and trials are not passed on: they are kept where this host knows them, and
// otherwise count from now.
func (l *Ledger) Restore(now fleet.Instant, list List) {
	l.restoreRequests(now, list)
	old := l.parts
	l.parts = make(map[prompt.PartID]*account, len(list))
	for _, entry := range list {
		if entry.Part == "" {
			continue
		}
		a, ok := old[entry.Part]
		if !ok || a.Crashes != entry.Crashes {
			a = &account{Entry: entry, lastCrash: now, successes: l.successes}
			a.trialAt = now.Add(trialInterval(a.Crashes))
		}
		l.parts[entry.Part] = a
	}
}
