package declaration

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// Build checks the document and returns the declaration that is in force at
// the given time. An error is a *CheckError that lists every problem.
func Build(document Document, now time.Time) (*Declaration, error) {
	b := &builder{now: now, declaration: &Declaration{
		DataCentres: make(map[fleet.DataCentreID]*DataCentre),
		Hosts:       make(map[fleet.HostID]*Host),
		Models:      make(map[fleet.ModelID]*Model),
		Targets:     make(map[fleet.TargetID]*Target),
		Stores:      make(map[fleet.StoreID]*Store),
		Workspaces:  make(map[fleet.WorkspaceID]*Workspace),
		Classes:     make(map[fleet.Class]*Class),
		Operations:  make(map[OperationID]*Operation),
		Exceptions:  make(map[string]*Exception),
		byKey:       make(map[KeyHash]*Workspace),
		byModel:     make(map[fleet.ModelID][]*Target),
	}}
	overrides := b.exceptions(document)
	for id, section := range document {
		b.section(id, section, overrides[id])
	}
	b.references()
	if len(b.problems) > 0 {
		slices.SortFunc(b.problems, func(x, y Problem) int {
			return cmp.Or(x.Section.compare(y.Section), cmp.Compare(x.Key, y.Key))
		})
		return nil, &CheckError{b.problems}
	}
	return b.declaration, nil
}

type builder struct {
	now         time.Time
	declaration *Declaration
	problems    []Problem
}

func (b *builder) problem(id SectionID, key, format string, args ...any) {
	b.problems = append(b.problems, Problem{Section: id, Key: key, Detail: fmt.Sprintf(format, args...)})
}

// exceptions reads all exceptions and returns the fields that those in force
// override.
func (b *builder) exceptions(document Document) map[SectionID][]Field {
	overrides := make(map[SectionID][]Field)
	for id, section := range document {
		if id.Kind != KindException {
			continue
		}
		exception := b.exception(id, section)
		if exception == nil {
			continue
		}
		_, known := document[exception.Subject]
		if !known && exception.Subject.Kind != KindHost {
			b.problem(id, "Subject", "there is no section %s", exception.Subject)
		}
		if !exception.Until.IsZero() && b.now.After(exception.Until) {
			continue
		}
		b.expiry(exception.Until)
		overrides[exception.Subject] = append(overrides[exception.Subject], exception.Fields...)
		if !known {
			b.section(exception.Subject, Section{ID: exception.Subject}, exception.Fields)
		}
	}
	return overrides
}

func (b *builder) expiry(until time.Time) {
	expires := &b.declaration.expires
	if !until.IsZero() && (expires.IsZero() || until.Before(*expires)) {
		*expires = until
	}
}

func (b *builder) exception(id SectionID, section Section) *Exception {
	exception := &Exception{Name: id.Name}
	for _, field := range section.Fields {
		switch field.Key {
		case "Subject":
			kind, name, _ := strings.Cut(field.Text, " ")
			exception.Subject = SectionID{Kind(kind), strings.TrimSpace(name)}
		case "Reason":
			exception.Reason = field.Text
		case "Until":
			until, err := time.Parse(time.RFC3339, field.Text)
			if err != nil {
				b.problem(id, field.Key, "want a time such as 2026-12-31T18:00:00Z, have %q", field.Text)
			}
			exception.Until = until
		default:
			exception.Fields = append(exception.Fields, field)
		}
	}
	if exception.Reason == "" {
		b.problem(id, "Reason", "an exception needs a reason")
	}
	if exception.Subject.Name == "" || exception.Subject.Kind == KindException {
		b.problem(id, "Subject", "want a section such as DataCentre galle")
		return nil
	}
	b.declaration.Exceptions[id.Name] = exception
	return exception
}

// section decodes one section with the fields that exceptions override.
func (b *builder) section(id SectionID, section Section, overrides []Field) {
	if id.Kind == KindException {
		return
	}
	if id.Name == "" {
		b.problem(id, "", "a section needs a name")
		return
	}
	fields := &fields{builder: b, id: id, texts: make(map[string]string)}
	for _, field := range section.Fields {
		fields.texts[field.Key] = field.Text
	}
	for _, field := range overrides {
		fields.texts[field.Key] = field.Text
	}
	decode, ok := decoders[id.Kind]
	if !ok {
		b.problem(id, "", "unknown kind of section")
		return
	}
	decode(b.declaration, id.Name, fields)
	for key := range fields.texts {
		b.problem(id, key, "unknown field")
	}
}

// decoders builds each kind of section from its fields.
var decoders = map[Kind]func(*Declaration, string, *fields){
	KindDataCentre: func(d *Declaration, name string, f *fields) {
		id := fleet.DataCentreID(name)
		d.DataCentres[id] = &DataCentre{
			ID: id, Region: fleet.RegionID(f.text("Region")), Share: f.share("Share"), State: f.state("State"),
		}
	},
	KindHost: func(d *Declaration, name string, f *fields) {
		id := fleet.HostID(name)
		d.Hosts[id] = &Host{ID: id, State: f.state("State")}
	},
	KindModel: func(d *Declaration, name string, f *fields) {
		id := fleet.ModelID(name)
		d.Models[id] = &Model{ID: id, Version: fleet.WeightVersion(f.optional("Version", ""))}
	},
	KindTarget: func(d *Declaration, name string, f *fields) {
		id := fleet.TargetID(name)
		d.Targets[id] = &Target{
			ID: id, Kind: TargetKind(f.choice("Kind", string(TargetKindEngine), string(TargetKindService))),
			Model: fleet.ModelID(f.text("Model")), DataCentre: fleet.DataCentreID(f.text("DataCentre")),
			Address: f.address("Address"), Share: f.share("Share"),
			ColdLimit: f.count("ColdLimit", 1), WarmLimit: f.count("WarmLimit", 16),
			PrefillRate: fleet.TokenRate(f.count("PrefillRate", 40_000)),
			CacheBlocks: f.count("CacheBlocks", 0), State: f.state("State"),
		}
	},
	KindStore: func(d *Declaration, name string, f *fields) {
		id := fleet.StoreID(name)
		d.Stores[id] = &Store{
			ID: id, DataCentre: fleet.DataCentreID(f.text("DataCentre")),
			Address: f.address("Address"), State: f.state("State"),
		}
	},
	KindWorkspace: func(d *Declaration, name string, f *fields) {
		id := fleet.WorkspaceID(name)
		workspace := &Workspace{
			ID: id, KeyHash: f.keyHash("KeyHash"),
			Policy: PolicyName(f.choice("Policy", string(PolicyFirstToken), string(PolicyReuse))),
		}
		for _, model := range strings.Fields(f.optional("Models", "")) {
			workspace.Models = append(workspace.Models, fleet.ModelID(model))
		}
		d.Workspaces[id] = workspace
	},
	KindClass: func(d *Declaration, name string, f *fields) {
		id := fleet.Class(name)
		d.Classes[id] = &Class{ID: id, Priority: f.count("Priority", 5), Deadline: f.duration("Deadline")}
	},
	KindOperation: func(d *Declaration, name string, f *fields) {
		model, operation, _ := strings.Cut(name, "/")
		if operation == "" {
			f.problem("", "want a name such as ledger/book")
		}
		id := OperationID{fleet.ModelID(model), operation}
		d.Operations[id] = &Operation{
			Model: id.Model, Name: operation, Repeatable: f.choice("Repeatable", "No", "Yes") == "Yes",
		}
	},
}

// references checks what sections say of each other and fills the indexes.
func (b *builder) references() {
	d := b.declaration
	for _, target := range d.Targets {
		id := SectionID{KindTarget, string(target.ID)}
		if _, ok := d.Models[target.Model]; !ok {
			b.problem(id, "Model", "there is no model %q", target.Model)
		}
		b.dataCentre(id, target.DataCentre)
		if target.WarmLimit < target.ColdLimit {
			b.problem(id, "WarmLimit", "is below ColdLimit")
		}
		d.byModel[target.Model] = append(d.byModel[target.Model], target)
	}
	for _, targets := range d.byModel {
		slices.SortFunc(targets, func(x, y *Target) int { return cmp.Compare(x.ID, y.ID) })
	}
	for _, store := range d.Stores {
		b.dataCentre(SectionID{KindStore, string(store.ID)}, store.DataCentre)
		d.storeIDs = append(d.storeIDs, store)
	}
	slices.SortFunc(d.storeIDs, func(x, y *Store) int { return cmp.Compare(x.ID, y.ID) })
	for _, workspace := range d.Workspaces {
		if other, twice := d.byKey[workspace.KeyHash]; twice {
			b.problem(SectionID{KindWorkspace, string(workspace.ID)}, "KeyHash", "is that of %s too", other.ID)
		}
		d.byKey[workspace.KeyHash] = workspace
	}
}

func (b *builder) dataCentre(id SectionID, centre fleet.DataCentreID) {
	if _, ok := b.declaration.DataCentres[centre]; !ok {
		b.problem(id, "DataCentre", "there is no data centre %q", centre)
	}
}

// fields takes the fields of a section one by one; what is left is unknown.
type fields struct {
	builder *builder
	id      SectionID
	texts   map[string]string
}

func (f *fields) problem(key, format string, args ...any) {
	f.builder.problem(f.id, key, format, args...)
}

func (f *fields) optional(key, otherwise string) string {
	text, ok := f.texts[key]
	delete(f.texts, key)
	if !ok {
		return otherwise
	}
	return text
}

func (f *fields) text(key string) string {
	text := f.optional(key, "")
	if text == "" {
		f.problem(key, "is missing")
	}
	return text
}

// choice returns one of the options; the first is the default.
func (f *fields) choice(key string, options ...string) string {
	text := f.optional(key, options[0])
	if !slices.Contains(options, text) {
		f.problem(key, "want one of %s, have %q", strings.Join(options, ", "), text)
	}
	return text
}

func (f *fields) state(key string) ServiceState {
	return ServiceState(f.choice(key, string(InService), string(OutOfService)))
}

func (f *fields) share(key string) float64 {
	text := f.optional(key, "1")
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1000 {
		f.problem(key, "want a number from 0 to 1000, have %q", text)
	}
	return share
}

func (f *fields) count(key string, otherwise int) int {
	text := f.optional(key, strconv.Itoa(otherwise))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		f.problem(key, "want a whole number, have %q", text)
	}
	return n
}

func (f *fields) duration(key string) time.Duration {
	text := f.optional(key, "0s")
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		f.problem(key, "want a time such as 1500ms, have %q", text)
	}
	return d
}

func (f *fields) address(key string) fleet.Address {
	text := f.text(key)
	if _, err := netip.ParseAddrPort(text); text != "" && err != nil {
		f.problem(key, "want an IP number and port, have %q", text)
	}
	return fleet.Address(text)
}

func (f *fields) keyHash(key string) KeyHash {
	var hash KeyHash
	text := f.text(key)
	if n, err := hex.Decode(hash[:], []byte(text)); text != "" && (err != nil || n != len(hash)) {
		f.problem(key, "want 64 hexadecimal digits")
	}
	return hash
}
