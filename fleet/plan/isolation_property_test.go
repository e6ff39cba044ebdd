package plan_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cachestore"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/proptest"
	"hibiscuslb/fleet/route"
)

// sharedSite has three workspaces that ask on the same parts, by two hosts, while the planner, a
// deputy and the hosts learn of new configurations at times of their own. It knows who made the
// parts that engines and stores keep, which no part of the system does.
type sharedSite struct {
	now        fleet.Instant
	configs    []*route.Table // by number, from 1 on
	workspaces []customer     // of the newest configuration
	hosts      [2]*route.Table
	deciders   [2]*decider // the planner and a deputy

	makers   map[cachestore.Part]map[int]bool // whether each had been isolated when it made the part
	contents map[fleet.Address]map[cachestore.Part]bool
	events   uint64 // number of the last event of a store
	life     uint64 // incarnation of the stores

	asked map[*plan.Request]question // waiting at a decider
	held  []grantOnHold
	ended []question // may be asked again
	stats struct{ waited, late, givenBack, reused, fetched int }
}

// customer is a workspace over all its names, as a configuration has it.
type customer struct {
	renamed, isolated, gone, keyless bool
}

func workspaceName(i int, renamed bool) fleet.WorkspaceID {
	if renamed {
		return fleet.WorkspaceID(fmt.Sprint("w", i, "-renamed"))
	}
	return fleet.WorkspaceID(fmt.Sprint("w", i))
}

// decider is a plan with the configuration that its host knows.
type decider struct {
	*plan.Fleet
	table *route.Table
}

// question is a request with the customer whom it belongs to, under the name of its admission.
type question struct {
	customer int
	name     fleet.WorkspaceID
	parts    []prompt.Part
	host     int
	made     *route.Table // that the host knew when it asked
}

// grantOnHold is a grant that its host has not used yet.
type grantOnHold struct {
	question
	grant   *plan.Grant
	decider *decider     // nil if the host decided itself
	newest  *route.Table // that the host or the decider knew
}

// unknownMaker is whoever made parts that the system has not seen made.
const unknownMaker = -1

func newSharedSite(t *testing.T) *sharedSite {
	s := &sharedSite{
		now: at(0), workspaces: make([]customer, 3), life: 1,
		makers: make(map[cachestore.Part]map[int]bool), contents: make(map[fleet.Address]map[cachestore.Part]bool), asked: make(map[*plan.Request]question),
	}
	entries := engines(2)
	for i := range entries {
		entries[i].Slots = 2
	}
	for i := range s.deciders {
		s.deciders[i] = &decider{Fleet: newFleet(t, entries)}
		s.deciders[i].RetryReserve = 1e6
	}
	s.deciders[1].Deputy, s.deciders[1].StoresAllowed = true, false
	s.configure()
	for i := range s.deciders {
		s.learn(i, 0)
	}
	s.hosts[0], s.hosts[1] = s.configs[0], s.configs[0]
	return s
}

// configure adds a configuration.
func (s *sharedSite) configure() {
	config := route.Config{Number: fleet.Version(len(s.configs) + 1), Services: services()}
	for i, c := range s.workspaces {
		if c.gone {
			continue
		}
		w := route.Workspace{ID: workspaceName(i, c.renamed), Isolated: c.isolated}
		if !c.keyless {
			w.Keys = []route.Key{route.Key(fmt.Sprint("k", i))}
		}
		config.Workspaces = append(config.Workspaces, w)
	}
	s.configs = append(s.configs, route.NewTable(config))
}

// learn gives a decider a configuration, unless it knows a newer one.
func (s *sharedSite) learn(decider, config int) {
	d := s.deciders[decider]
	d.table = route.Newer(d.table, s.configs[config])
	d.SetConfiguration(s.now, d.table)
}

// isolated tells whether a configuration isolates a customer, under any of its names. It is gone
// if the configuration has none of them.
func isolated(table *route.Table, customer int) (isolated, gone bool) {
	gone = true
	for _, renamed := range []bool{false, true} {
		if w := table.WorkspaceByID(workspaceName(customer, renamed)); w != nil {
			isolated, gone = isolated || w.Isolated, false
		}
	}
	return isolated, gone
}

// ask has a host ask for a target under the configuration that it knows. The decider is the
// planner, the deputy, or the host itself.
func (s *sharedSite) ask(t *rapid.T, q question, repeat bool) {
	q.made = s.hosts[q.host]
	req := newRequest(second, q.parts...)
	req.Workspace, req.Isolation, req.Repeat = q.name, plan.IsolationOf(q.made, q.name), repeat
	by := rapid.IntRange(0, len(s.deciders)).Draw(t, "decider")
	if by == len(s.deciders) {
		engine := engines(2)[rapid.IntRange(0, 1).Draw(t, "engine")]
		g := &plan.Grant{
			Target: engine.ID, Address: engine.Address, Version: 1,
			Salt: plan.Salt(model, 1, req.Workspace, req.Isolation), Configuration: req.Configuration,
		}
		s.held = append(s.held, grantOnHold{question: q, grant: g, newest: q.made})
		return
	}
	s.asked[req] = q
	if decision, ok := s.deciders[by].Submit(s.now, req); ok {
		s.decided(t, s.deciders[by], decision)
		return
	}
	s.stats.waited++
}

// decided checks a decision, and has the host keep the grant.
func (s *sharedSite) decided(t *rapid.T, d *decider, decision plan.Decision) {
	q := s.asked[decision.Request]
	delete(s.asked, decision.Request)
	if decision.Grant == nil {
		s.ended = append(s.ended, q)
		return
	}
	for i, address := range decision.Grant.Fetch {
		if part := (cachestore.Part{Salt: decision.Grant.Salt, ID: q.parts[i].ID}); address != "" {
			require.True(t, s.contents[address][part], "fetches %v from %s, which does not hold it", part, address)
			s.stats.fetched++
		}
	}
	newest := route.Newer(q.made, d.table)
	if newest != q.made {
		s.stats.late++
	}
	s.held = append(s.held, grantOnHold{question: q, grant: decision.Grant, decider: d, newest: newest})
}

// send has a host use a grant, as package gateway does, and checks what the request may find.
func (s *sharedSite) send(t *rapid.T, h grantOnHold) {
	known := s.hosts[h.host]
	s.ended = append(s.ended, h.question)
	if !h.grant.AllowedUnder(known, model, h.name) {
		s.stats.givenBack++
		if h.decider != nil {
			h.decider.Report(s.now, plan.Report{Number: h.grant.Number, Progress: plan.Rejected})
		}
		return
	}
	newest := route.Newer(h.newest, known)
	userIsolated, userGone := isolated(newest, h.customer)
	for i, shared := range h.parts {
		part := cachestore.Part{Salt: h.grant.Salt, ID: shared.ID}
		for maker, hadBeenIsolated := range s.makers[part] {
			if maker == h.customer {
				continue
			}
			s.stats.reused++
			use := fmt.Sprintf("configuration %d: %d uses %v made by %d", newest.Number, h.customer, part, maker)
			require.NotEqual(t, unknownMaker, maker, use)
			require.False(t, userIsolated || userGone, "%s, the user is isolated", use)
			makerIsolated, _ := isolated(newest, maker)
			require.False(t, makerIsolated, "%s, the maker is isolated", use)
			require.False(t, hadBeenIsolated, "%s, the maker had been isolated", use)
		}
		if s.makers[part] == nil {
			s.makers[part] = make(map[int]bool)
		}
		s.makers[part][h.customer] = s.makers[part][h.customer] || userIsolated
		s.keep(h.grant.Address, part)
		for _, d := range s.deciders {
			d.SetCachedTokens(h.grant.Target, part, shared.Tokens)
		}
		if i < len(h.grant.Save) && h.grant.Save[i] != "" {
			s.store(h.grant.Save[i], part, shared.Tokens)
		}
	}
	if h.decider != nil {
		reportDone(h.decider.Fleet, s.now, h.grant)
	}
}

func (s *sharedSite) keep(address fleet.Address, part cachestore.Part) {
	if s.contents[address] == nil {
		s.contents[address] = make(map[cachestore.Part]bool)
	}
	s.contents[address][part] = true
}

// store has a store keep a part, and tell the planner.
func (s *sharedSite) store(address fleet.Address, part cachestore.Part, tokens fleet.Tokens) {
	s.events++
	s.keep(address, part)
	s.deciders[0].StoreInventory(address).ApplyStored(s.now, s.life, s.events, part, tokens)
}

// pass lets time pass, in which waiting requests are decided on and stores free parts.
func (s *sharedSite) pass(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
	for _, d := range s.deciders {
		for _, decision := range d.Tick(s.now) {
			s.decided(t, d, decision)
		}
	}
	for _, e := range s.deciders[0].Evictions(s.now) {
		inventory := s.deciders[0].StoreInventory(e.Address)
		inventory.ConfirmFreed(s.now, e.Incarnation, e.Parts)
		for _, part := range e.Parts {
			s.events++
			delete(s.contents[e.Address], part)
			inventory.ApplyRemoved(e.Incarnation, s.events, part)
		}
	}
}

// oddSalts are salts that others may have saved parts under, or that arrive mangled.
var oddSalts = []string{"", "m", "m@", "@1", "m@1~", "m@1/", "m@1/~", "m@01", "m@+1", "m@x~y", "m@1~unknown", "m@1/unknown", "%@1", "m@1 "}

// restart restarts the stores with another incarnation. They have kept some parts, and list
// others under odd salts, which engines report, too.
func (s *sharedSite) restart(t *rapid.T) {
	s.life++
	s.events = 0
	sharedParts := sharedPrompt(0)
	for _, address := range s.deciders[0].Stores() {
		var entries []cachestore.Entry
		kept := make(map[cachestore.Part]bool)
		for _, part := range slices.SortedFunc(maps.Keys(s.contents[address]), compareParts) {
			if rapid.Bool().Draw(t, "kept") {
				kept[part] = true
				entries = append(entries, cachestore.Entry{Part: part, Tokens: 500, Complete: true})
			}
		}
		for _, salt := range oddSalts {
			part := cachestore.Part{Salt: salt, ID: sharedParts[0].ID}
			kept[part] = true
			s.makers[part] = map[int]bool{unknownMaker: false}
			entries = append(entries, cachestore.Entry{Part: part, Tokens: 500, Complete: true})
			s.deciders[0].SetCachedTokens(engineID(0), part, 500)
		}
		s.contents[address] = kept
		inventory := s.deciders[0].StoreInventory(address)
		inventory.SetIncarnation(s.life)
		inventory.ApplyList(s.now, s.now, s.life, 0, entries)
	}
}

// compareParts orders parts, so that a failure can be repeated.
func compareParts(a, b cachestore.Part) int {
	return cmp.Or(cmp.Compare(a.Salt, b.Salt), cmp.Compare(a.ID, b.ID))
}

// sharedPrompt returns one of the prompts that all workspaces ask on.
func sharedPrompt(i int) []prompt.Part {
	return []prompt.Part{{ID: "system", Tokens: 500}, {ID: prompt.PartID(fmt.Sprint("file", i)), Tokens: 9000}, {ID: prompt.PartID(fmt.Sprint("own", i)), Tokens: 500}}
}

// TestIsolatedWorkspacesShareNothing guards against requests that may use parts of another
// workspace while one of the two is isolated.
//
// Load pattern: configurations isolate workspaces, return to earlier sets, rename workspaces, and
// take away their keys or the workspaces. Hosts, the planner and a deputy learn of them at
// different times. Requests wait, are granted late, used late and repeated by other hosts.
func TestIsolatedWorkspacesShareNothing(t *testing.T) {
	var waited, late, givenBack, reused, fetched int
	proptest.Check(t, 300, 150, func(r *rapid.T) {
		s := newSharedSite(t)
		customerOf := rapid.IntRange(0, len(s.workspaces)-1)
		host := rapid.IntRange(0, len(s.hosts)-1)
		take := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "index") }
		ask := func(r *rapid.T) {
			q := question{customer: customerOf.Draw(r, "customer"), host: host.Draw(r, "host"), parts: sharedPrompt(rapid.IntRange(0, 1).Draw(r, "prompt"))}
			w := s.hosts[q.host].Workspace(route.Key(fmt.Sprint("k", q.customer)))
			if w == nil {
				return // not admitted
			}
			q.name = w.ID
			s.ask(r, q, false)
		}
		send := func(*rapid.T) {
			if len(s.held) > 0 {
				i := take(len(s.held))
				h := s.held[i]
				s.held = append(s.held[:i:i], s.held[i+1:]...)
				s.send(r, h)
			}
		}
		learn := func(r *rapid.T) {
			config := len(s.configs) - 1 - rapid.IntRange(0, min(1, len(s.configs)-1)).Draw(r, "behind")
			if i := rapid.IntRange(0, len(s.hosts)+len(s.deciders)-1).Draw(r, "learner"); i < len(s.hosts) {
				s.hosts[i] = route.Newer(s.hosts[i], s.configs[config])
			} else {
				s.learn(i-len(s.hosts), config)
			}
		}
		r.Repeat(map[string]func(*rapid.T){
			"ask": ask, "ask2": ask, "ask3": ask, "send": send, "send2": send, "send3": send, "learn": learn, "learn2": learn, "pass": s.pass,
			"configure": func(r *rapid.T) {
				c := &s.workspaces[customerOf.Draw(r, "customer")]
				switch rapid.IntRange(0, 9).Draw(r, "change") {
				case 0:
					c.renamed = !c.renamed
				case 1:
					c.gone = !c.gone
				case 2:
					c.keyless = !c.keyless
				default:
					c.isolated = !c.isolated
				}
				s.configure()
			},
			"repeat": func(r *rapid.T) {
				if len(s.ended) > 0 {
					q := s.ended[take(len(s.ended))]
					q.host = host.Draw(r, "host")
					s.ask(r, q, true)
				}
			},
			"restart stores": s.restart,
		})
		waited, late, givenBack = waited+s.stats.waited, late+s.stats.late, givenBack+s.stats.givenBack
		reused, fetched = reused+s.stats.reused, fetched+s.stats.fetched
	})
	t.Logf("waited %d, granted under a newer configuration %d, given back %d, used another workspace's part %d, fetched %d", waited, late, givenBack, reused, fetched)
	for name, n := range map[string]int{"waited": waited, "granted under a newer configuration": late, "given back": givenBack, "reused": reused, "fetched": fetched} {
		require.Positive(t, n, "the test reaches no case: %s", name)
	}
}
