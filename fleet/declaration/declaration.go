package declaration

import (
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// ServiceState says whether something takes part in service.
type ServiceState string

// The service states.
const (
	InService    ServiceState = "In"
	OutOfService ServiceState = "Out" // gets no new work
)

// PolicyName names how a workspace weighs time against work.
type PolicyName string

// The policies that a workspace can choose.
const (
	PolicyFirstToken PolicyName = "FirstToken" // shortest time to first token
	PolicyReuse      PolicyName = "Reuse"      // least recomputed work and link use
)

// TargetKind tells model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	TargetKindEngine  TargetKind = "Engine"
	TargetKindService TargetKind = "Service"
)

// A DataCentre declares a data centre and how much it carries.
type DataCentre struct {
	ID     fleet.DataCentreID
	Region fleet.RegionID
	Share  float64
	State  ServiceState
}

// A Host declares what differs for an entry host. Hosts need no section.
type Host struct {
	ID    fleet.HostID
	State ServiceState
}

// A Model declares a model and the weight version that is to serve it.
type Model struct {
	ID      fleet.ModelID
	Version fleet.WeightVersion
}

// A Target declares a back end.
type Target struct {
	ID          fleet.TargetID
	Kind        TargetKind
	Model       fleet.ModelID
	DataCentre  fleet.DataCentreID
	Address     fleet.Address
	Share       float64
	ColdLimit   int // requests at once that it bears while cold
	WarmLimit   int // requests at once that it bears when warm
	PrefillRate fleet.TokenRate
	CacheBlocks int // that an engine's cache holds; zero if not known
	State       ServiceState
}

// A Store declares a store host.
type Store struct {
	ID         fleet.StoreID
	DataCentre fleet.DataCentreID
	Address    fleet.Address
	State      ServiceState
}

// KeyHash is the hash of a workspace's caller key. The key itself is not kept
// in version control.
type KeyHash [32]byte

// A Workspace declares a customer's workspace.
type Workspace struct {
	ID      fleet.WorkspaceID
	KeyHash KeyHash
	Policy  PolicyName
	Models  []fleet.ModelID // empty: all
}

// A Class declares a class of requests.
type Class struct {
	ID       fleet.Class
	Priority int           // smaller goes first
	Deadline time.Duration // to the first token; zero for none
}

// An Operation declares a service's operation.
type Operation struct {
	Model      fleet.ModelID
	Name       string
	Repeatable bool
}

// An Exception overrides fields of one section for a reason.
type Exception struct {
	Name    string
	Subject SectionID
	Reason  string
	Until   time.Time // zero for no end
	Fields  []Field
}

// A Declaration is the whole of what is declared, checked and frozen.
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

	byKey    map[KeyHash]*Workspace
	byModel  map[fleet.ModelID][]*Target
	storeIDs []*Store
	expires  time.Time // when the first exception in force ends; zero for never
}

// OperationID names an operation of a service.
type OperationID struct {
	Model fleet.ModelID
	Name  string
}

// WorkspaceByKey returns the workspace whose caller key has the hash.
func (d *Declaration) WorkspaceByKey(hash KeyHash) (*Workspace, bool) {
	workspace, ok := d.byKey[hash]
	return workspace, ok
}

// TargetsByModel returns the targets of a model in the order of their ids.
func (d *Declaration) TargetsByModel(model fleet.ModelID) []*Target { return d.byModel[model] }

// SortedStores returns all stores in the order of their ids.
func (d *Declaration) SortedStores() []*Store { return d.storeIDs }

// TargetInService reports whether the target is to get new work: neither it nor
// its data centre is out of service.
func (d *Declaration) TargetInService(target *Target) bool {
	return target.State == InService && d.DataCentres[target.DataCentre].State == InService
}

// HostInService reports whether callers may be sent to the host.
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

// CacheSecret derives the workspace's cache secret from the fleet's.
func (w *Workspace) CacheSecret(fleetSecret cache.Secret) cache.Secret {
	return cache.DeriveSecret(fleetSecret, string(w.ID))
}

// Expired reports whether an exception that was in force has come to its end.
func (d *Declaration) Expired(now time.Time) bool { return !d.expires.IsZero() && now.After(d.expires) }
