package declaration

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// Availability states whether a data centre, host, target or store receives new
// requests.
type Availability string

// The values of Availability.
const (
	InService    Availability = "In"
	OutOfService Availability = "Out" // receives no new requests
)

// PolicyName names a placement policy: the cost that the choice of a target
// minimizes.
type PolicyName string

// The placement policies that a workspace can choose.
const (
	PolicyFirstToken PolicyName = "FirstToken" // least time to first token
	PolicyReuse      PolicyName = "Reuse"      // least recomputed work and link use
)

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetKindEngine  TargetKind = "Engine"
	TargetKindService TargetKind = "Service"
)

// A DataCentre declares a data centre.
type DataCentre struct {
	ID     fleet.DataCentreID
	Region fleet.RegionID
	Share  float64 // relative weight in the distribution of requests
	State  Availability
}

// A Host declares a host that runs hibiscusd. A host without a section has the
// defaults.
type Host struct {
	ID    fleet.HostID
	State Availability
}

// A Model declares a model.
type Model struct {
	ID      fleet.ModelID
	Version fleet.WeightVersion // of the weights that engines are to serve
}

// A Target declares a back end.
type Target struct {
	ID          fleet.TargetID
	Kind        TargetKind
	Model       fleet.ModelID
	DataCentre  fleet.DataCentreID
	Address     fleet.Address
	Share       float64         // relative weight in the distribution of requests
	ColdLimit   int             // concurrent requests that it can serve while cold
	WarmLimit   int             // concurrent requests that it can serve when warm
	PrefillRate fleet.TokenRate // at which an engine computes prompts
	CacheBlocks int             // capacity of an engine's cache; zero if unknown
	State       Availability
}

// A Store declares a store host.
type Store struct {
	ID         fleet.StoreID
	DataCentre fleet.DataCentreID
	Address    fleet.Address
	State      Availability
}

// KeyHash is the hash of a workspace's caller key. Declarations contain only the
// hash, so that keys stay out of version control.
type KeyHash [32]byte

// A Workspace declares a customer's workspace.
type Workspace struct {
	ID      fleet.WorkspaceID
	KeyHash KeyHash
	Policy  PolicyName
	Models  []fleet.ModelID // that it may use; empty for all
}

// A Class declares a class of requests.
type Class struct {
	ID       fleet.Class
	Priority int           // lower values are served first
	Deadline time.Duration // for the first token; zero for none
}

// An Operation declares an operation of a plain service.
type Operation struct {
	Model      fleet.ModelID // the plain service, which is declared as a Model
	Name       string
	Repeatable bool // safe to run twice; needs no idempotency key
}

// An Exception overrides fields of one section.
type Exception struct {
	Name    string
	Subject SectionID
	Reason  string
	Until   time.Time // expiry; zero for none
	Fields  []Field
}

// A Declaration is a validated document in typed form. It is immutable.
type Declaration struct {
	DataCentres map[fleet.DataCentreID]*DataCentre
	Hosts       map[fleet.HostID]*Host
	Models      map[fleet.ModelID]*Model
	Targets     map[fleet.TargetID]*Target
	Stores      map[fleet.StoreID]*Store
	Workspaces  map[fleet.WorkspaceID]*Workspace
	Classes     map[fleet.Class]*Class
	Operations  map[OperationID]*Operation
	Exceptions  map[string]*Exception

	byKey        map[KeyHash]*Workspace
	byModel      map[fleet.ModelID][]*Target // sorted by ID
	sortedStores []*Store                    // sorted by ID
	nextExpiry   time.Time                   // earliest expiry of an unexpired exception; zero for none
}

// OperationID identifies an operation of a plain service.
type OperationID struct {
	Model fleet.ModelID // the plain service, which is declared as a Model
	Name  string
}

// WorkspaceByKey returns the workspace whose caller key has the hash.
func (d *Declaration) WorkspaceByKey(hash KeyHash) (*Workspace, bool) {
	workspace, ok := d.byKey[hash]
	return workspace, ok
}

// TargetsByModel returns the targets of a model, sorted by ID.
func (d *Declaration) TargetsByModel(model fleet.ModelID) []*Target { return d.byModel[model] }

// SortedStores returns all stores, sorted by ID.
func (d *Declaration) SortedStores() []*Store { return d.sortedStores }

// TargetInService reports whether the target may receive new requests, that is,
// whether both it and its data centre are in service.
func (d *Declaration) TargetInService(target *Target) bool {
	return target.State == InService && d.DataCentres[target.DataCentre].State == InService
}

// HostInService reports whether callers may be directed to the host, which is in
// the given data centre. Hosts and data centres without a section are in
// service.
func (d *Declaration) HostInService(host fleet.HostID, in fleet.DataCentreID) bool {
	if declared, ok := d.Hosts[host]; ok && declared.State == OutOfService {
		return false
	}
	centre, ok := d.DataCentres[in]
	return !ok || centre.State == InService
}

// Allows reports whether the workspace may use the model.
func (w *Workspace) Allows(model fleet.ModelID) bool {
	if len(w.Models) == 0 {
		return true
	}
	for _, allowed := range w.Models {
		if allowed == model {
			return true
		}
	}
	return false
}

// CacheSecret derives the workspace's cache secret from that of the fleet.
func (w *Workspace) CacheSecret(fleetSecret cache.Secret) cache.Secret {
	return cache.DeriveSecret(fleetSecret, string(w.ID))
}

// Expired reports whether an exception that had not expired when the declaration
// was built has expired since, so that the declaration has to be built again.
func (d *Declaration) Expired(now time.Time) bool {
	return !d.nextExpiry.IsZero() && now.After(d.nextExpiry)
}
