// Package route holds the configuration that the operator has put in force:
// which service answers which requests, within which limits, for which
// workspaces.
//
// A Table is built once from a decoded configuration and is frozen from then
// on; any number of goroutines read it. Its Number grows with every
// configuration, and a process never goes back to a smaller one (see Newer).
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// ServiceID names a service: a set of targets that do the same work.
type ServiceID string

// Key is a secret that shows which workspace a request belongs to.
type Key string

// Kind says what may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events and run at most
	// once, unless the route is Resumable.
	Streaming
)

// A Split is a service's part of a route's requests.
type Split struct {
	Service ServiceID
	Weight  int
}

// A Route is a set of requests that are handled alike.
type Route struct {
	Name             string
	Host             string // of the request, without a port
	Prefix           string // of the path, with a slash at both ends
	Kind             Kind
	Timeout          time.Duration // longest wait for a whole answer; zero for none
	LatencyObjective time.Duration // within which an answer is on time
	GapObjective     time.Duration // longest pause between two events that is on time
	Rank             int           // zero is the most urgent
	Splits           []Split
	Attempts         int // how many targets one request may be sent to
	Public           bool
	Sticky           bool // carries prompts
	Resumable        bool // a stream may go on at another target
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a draw that is uniform over 64 bits.
func (r *Route) Service(draw uint64) ServiceID {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(draw % uint64(total))
	for _, s := range r.Splits {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// An Engine describes the model engines of a service.
type Engine struct {
	Slots         int
	CacheCapacity fleet.Tokens
	TokenBytes    fleet.Bytes // of cache for one token
	LinkRate      fleet.ByteRate
	Models        []fleet.ModelID
}

// A Store describes a store of kept cache. It is reached by its address alone.
type Store struct {
	Address          fleet.Address
	DataCentre       fleet.DataCentreID
	Capacity         fleet.Tokens
	LinkRate         fleet.ByteRate
	FirstByteLatency time.Duration // added to each transfer
	Managed          bool          // drops nothing on its own
}

// A Service is a set of targets, or one store.
type Service struct {
	ID       ServiceID
	ColdTime time.Duration
	ColdRate float64 // requests a second that a cold target bears; zero if it bears all
	Engine   *Engine // nil for plain services and stores
	Store    *Store  // nil for targets
}

// Limits bound what a caller may send.
type Limits struct {
	Header        fleet.Bytes
	Body          fleet.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Workspace is a customer with its keys.
type Workspace struct {
	ID       fleet.WorkspaceID
	Keys     []Key
	Rank     int  // goes before the route's rank if HasRank
	HasRank  bool // zero is a rank, too
	Isolated bool // shares no cache with another workspace
}

// A Config is a decoded configuration.
type Config struct {
	Number     fleet.Version
	Routes     []Route
	Services   []Service
	Limits     Limits
	Workspaces []Workspace
}

// A Table is a frozen configuration, indexed for requests.
type Table struct {
	Config
	byHost     map[string][]*Route // longest prefix first
	services   map[ServiceID]*Service
	workspaces map[Key]*Workspace
}

// Freeze indexes the configuration. The Config must not change afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		Config:     config,
		byHost:     make(map[string][]*Route),
		services:   make(map[ServiceID]*Service, len(config.Services)),
		workspaces: make(map[Key]*Workspace),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range t.Services {
		t.services[t.Services[i].ID] = &t.Services[i]
	}
	for i := range t.Workspaces {
		for _, key := range t.Workspaces[i].Keys {
			t.workspaces[key] = &t.Workspaces[i]
		}
	}
	return t
}

// Match returns the route of a request, or nil. The path has no query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service, or nil.
func (t *Table) Service(id ServiceID) *Service { return t.services[id] }

// Workspace returns the workspace that holds the key, or nil.
func (t *Table) Workspace(key Key) *Workspace { return t.workspaces[key] }

// Keyed reports whether requests have to carry a key.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }

// Newer returns the table with the larger number, so that an old read never
// takes the place of a newer one. Either may be nil.
func Newer(a, b *Table) *Table {
	if a == nil || b != nil && b.Number > a.Number {
		return b
	}
	return a
}
