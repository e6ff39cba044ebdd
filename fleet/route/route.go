// Package route holds the routing configuration of hibiscusfront that the operator
// sets: which service answers which requests, within which limits, for which
// workspaces. The configuration of hibiscusd is a declaration, see package declaration.
//
// A Table is built once from a decoded configuration and is immutable, so it is
// safe for concurrent use. Its Number grows with every configuration, and a
// process never replaces a table by one with a smaller number (see Newer).
package route

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// ServiceID identifies a service, a set of interchangeable targets.
type ServiceID string

// Key is a secret API key that identifies the workspace of a request.
type Key string

// Kind defines whether the requests of a route may be repeated.
type Kind uint8

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events and run at most
	// once, unless the route is Resumable.
	Streaming
)

// A Split is a service's weighted share of a route's requests.
type Split struct {
	Service ServiceID
	Weight  int
}

// A Route matches requests by host and path prefix and defines how they are
// handled.
type Route struct {
	Name             string
	Host             string // of the request, without port
	Prefix           string // of the path, with leading and trailing slash
	Kind             Kind
	Timeout          time.Duration // for the complete answer; zero for none
	LatencyObjective time.Duration // within which an answer counts as on time
	GapObjective     time.Duration // longest gap between two events that counts as on time
	Rank             int           // priority; zero is the most urgent
	Splits           []Split
	Attempts         int  // maximum number of targets that one request is sent to
	Public           bool // requests need no API key
	Sticky           bool // not used; requests with prompts are recognized by their header
	Resumable        bool // a stream may continue on another target
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Uses reports whether the service gets requests of the route.
func (r *Route) Uses(service ServiceID) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// PickService picks a service by weight, given a hash that is uniform over 64 bits.
// The same hash gives the same service, so that all attempts at a request get the
// same one if the hash is that of the request's ID. It returns the empty ID if no
// split has a weight.
func (r *Route) PickService(hash uint64) ServiceID {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := int(hash % uint64(total))
	for _, s := range r.Splits {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// An Engine describes the model engines of a service.
type Engine struct {
	Slots         int // requests that one engine processes at once
	CacheCapacity fleet.Tokens
	TokenBytes    fleet.Bytes // cache size of one token
	LinkRate      fleet.ByteRate
	Models        []fleet.ModelID
}

// A Store describes an external cache store, which has a single address.
type Store struct {
	Address          fleet.Address
	DataCentre       fleet.DataCentreID
	Capacity         fleet.Tokens
	LinkRate         fleet.ByteRate
	FirstByteLatency time.Duration // added to each transfer
	Managed          bool          // evicts nothing on its own
}

// A Service is a set of targets, or one cache store.
type Service struct {
	ID       ServiceID
	ColdTime time.Duration // time after its start for which a target is cold
	ColdRate float64       // requests per second that a cold target can serve; zero for no limit
	Engine   *Engine       // nil for plain services and cache stores
	Store    *Store        // nil for targets
}

// Limits bound the size and duration of a caller's requests. Hibiscusfront applies
// only Body; it has fixed values for the others.
type Limits struct {
	Header        fleet.Bytes
	Body          fleet.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Workspace is a customer and its API keys.
type Workspace struct {
	ID       fleet.WorkspaceID
	Keys     []Key
	Rank     int  // overrides the route's rank if HasRank
	HasRank  bool // needed because zero is a valid rank
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

// A Table is an immutable configuration, indexed for lookup by request.
type Table struct {
	Config
	byHost     map[string][]*Route // longest prefix first
	services   map[ServiceID]*Service
	workspaces map[Key]*Workspace
	byID       map[fleet.WorkspaceID]*Workspace
	sharing    Sharing
}

// Sharing identifies the set of isolated workspaces of a configuration; it is empty if there are
// none. The other workspaces share cached parts that were made under the same one only: whoever
// made them is not isolated now. It depends on the configuration alone, so that all hosts
// agree on it, also after they start again.
type Sharing string

// sharingBytes is the length of the hash in a Sharing.
const sharingBytes = 12

// sharingOf returns the Sharing of a configuration with the workspaces.
func sharingOf(workspaces []Workspace) Sharing {
	var isolated []string
	for i := range workspaces {
		if workspaces[i].Isolated {
			isolated = append(isolated, string(workspaces[i].ID))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	hash := sha256.New()
	for _, id := range slices.Compact(isolated) {
		// The lengths keep the names apart. Writing to a hash never fails.
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(id))))
		_, _ = hash.Write([]byte(id))
	}
	return Sharing(hex.EncodeToString(hash.Sum(nil)[:sharingBytes]))
}

// NewTable indexes the configuration. The Config must not change afterwards.
func NewTable(config Config) *Table {
	t := &Table{
		Config:     config,
		byHost:     make(map[string][]*Route),
		services:   make(map[ServiceID]*Service, len(config.Services)),
		workspaces: make(map[Key]*Workspace),
		byID:       make(map[fleet.WorkspaceID]*Workspace, len(config.Workspaces)),
		sharing:    sharingOf(config.Workspaces),
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
		// A workspace that has several entries is isolated if one of them says so.
		if known := t.byID[t.Workspaces[i].ID]; known == nil || !known.Isolated {
			t.byID[t.Workspaces[i].ID] = &t.Workspaces[i]
		}
		for _, key := range t.Workspaces[i].Keys {
			t.workspaces[key] = &t.Workspaces[i]
		}
	}
	return t
}

// Match returns the route with the longest matching prefix, or nil. The path
// must not include a query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the ID, or nil.
func (t *Table) Service(id ServiceID) *Service { return t.services[id] }

// Workspace returns the workspace that holds the key, or nil.
func (t *Table) Workspace(key Key) *Workspace { return t.workspaces[key] }

// WorkspaceByID returns the workspace with the ID, or nil.
func (t *Table) WorkspaceByID(id fleet.WorkspaceID) *Workspace { return t.byID[id] }

// Sharing returns which workspaces share cached parts.
func (t *Table) Sharing() Sharing { return t.sharing }

// IsolatedCount returns the number of isolated workspaces.
func (t *Table) IsolatedCount() (n int) {
	for i := range t.Workspaces {
		if t.Workspaces[i].Isolated {
			n++
		}
	}
	return n
}

// RequiresKey reports whether requests must carry a key.
func (t *Table) RequiresKey() bool { return len(t.Workspaces) > 0 }

// Newer returns the table with the larger number, so that the result of an older
// read never replaces a newer one. Either may be nil.
func Newer(a, b *Table) *Table {
	if a == nil || b != nil && b.Number > a.Number {
		return b
	}
	return a
}
