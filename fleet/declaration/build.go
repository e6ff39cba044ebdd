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

// Build validates the document and returns its declaration, to which all
// exceptions that have not expired by now are applied. An error is a *CheckError
// that lists every problem.
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
	overrides := b.buildExceptions(document)
	for id, section := range document {
		b.buildSection(id, section, overrides[id])
	}
	b.checkReferences()
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

func (b *builder) addProblem(id SectionID, key, format string, args ...any) {
	b.problems = append(b.problems, Problem{Section: id, Key: key, Detail: fmt.Sprintf(format, args...)})
}

// buildExceptions decodes all exceptions. It returns the fields that unexpired
// exceptions override, by section. An exception for a host without a section
// declares the host.
func (b *builder) buildExceptions(document Document) map[SectionID][]Field {
	overrides := make(map[SectionID][]Field)
	for id, section := range document {
		if id.Kind != KindException {
			continue
		}
		exception := b.buildException(id, section)
		if exception == nil {
			continue
		}
		_, known := document[exception.Subject]
		if !known && exception.Subject.Kind != KindHost {
			b.addProblem(id, "Subject", "section %s is not declared", exception.Subject)
		}
		if !exception.Until.IsZero() && b.now.After(exception.Until) {
			continue
		}
		b.recordExpiry(exception.Until)
		overrides[exception.Subject] = append(overrides[exception.Subject], exception.Fields...)
		if !known {
			b.buildSection(exception.Subject, Section{ID: exception.Subject}, exception.Fields)
		}
	}
	return overrides
}

// recordExpiry lowers the declaration's next expiry to until, unless it is zero.
func (b *builder) recordExpiry(until time.Time) {
	next := &b.declaration.nextExpiry
	if !until.IsZero() && (next.IsZero() || until.Before(*next)) {
		*next = until
	}
}

// buildException decodes an exception. It returns nil if the subject is missing or
// is an exception.
func (b *builder) buildException(id SectionID, section Section) *Exception {
	exception := &Exception{Name: id.Name}
	var subject string // text of the field
	for _, field := range section.Fields {
		switch field.Key {
		case "Subject":
			subject = field.Text
			kind, name, _ := strings.Cut(field.Text, " ")
			exception.Subject = SectionID{Kind(kind), strings.TrimSpace(name)}
		case "Reason":
			exception.Reason = field.Text
		case "Until":
			until, err := time.Parse(time.RFC3339, field.Text)
			if err != nil {
				b.addProblem(id, field.Key, "want an RFC 3339 time such as 2026-12-31T18:00:00Z, have %q", field.Text)
			}
			exception.Until = until
		default:
			exception.Fields = append(exception.Fields, field)
		}
	}
	if exception.Reason == "" {
		b.addProblem(id, "Reason", "is missing; an exception needs a reason")
	}
	if exception.Subject.Name == "" || exception.Subject.Kind == KindException {
		b.addProblem(id, "Subject", "want the kind and name of a section other than an exception, such as DataCentre galle, have %q", subject)
		return nil
	}
	b.declaration.Exceptions[id.Name] = exception
	return exception
}

// buildSection decodes one section; overrides replace fields of the same key.
func (b *builder) buildSection(id SectionID, section Section, overrides []Field) {
	if id.Kind == KindException {
		return
	}
	if id.Name == "" {
		b.addProblem(id, "", "section has no name, want [Kind Name]")
		return
	}
	fields := &fieldReader{builder: b, id: id, texts: make(map[string]string)}
	for _, field := range section.Fields {
		fields.texts[field.Key] = field.Text
	}
	for _, field := range overrides {
		fields.texts[field.Key] = field.Text
	}
	decode, ok := decoders[id.Kind]
	if !ok {
		b.addProblem(id, "", "unknown section kind %q, want one of %s", id.Kind, kindList)
		return
	}
	decode(b.declaration, id.Name, fields)
	for key := range fields.texts {
		b.addProblem(id, key, "unknown field of section kind %s", id.Kind)
	}
}

// decoders maps each kind of section to the function that decodes a section of the
// given name and adds it to a declaration.
var decoders = map[Kind]func(*Declaration, string, *fieldReader){
	KindDataCentre: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.DataCentreID(name)
		d.DataCentres[id] = &DataCentre{
			ID: id, Region: fleet.RegionID(f.required("Region")), Share: f.share("Share"), State: f.availability("State"),
		}
	},
	KindHost: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.HostID(name)
		d.Hosts[id] = &Host{ID: id, State: f.availability("State")}
	},
	KindModel: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.ModelID(name)
		d.Models[id] = &Model{ID: id, Version: fleet.WeightVersion(f.optional("Version", ""))}
	},
	KindTarget: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.TargetID(name)
		d.Targets[id] = &Target{
			ID: id, Kind: TargetKind(f.choice("Kind", string(TargetKindEngine), string(TargetKindService))),
			Model: fleet.ModelID(f.required("Model")), DataCentre: fleet.DataCentreID(f.required("DataCentre")),
			Address: f.address("Address"), Share: f.share("Share"),
			ColdLimit: f.count("ColdLimit", 1), WarmLimit: f.count("WarmLimit", 16),
			PrefillRate: fleet.TokenRate(f.count("PrefillRate", 40_000)),
			CacheBlocks: f.count("CacheBlocks", 0), State: f.availability("State"),
		}
	},
	KindStore: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.StoreID(name)
		d.Stores[id] = &Store{
			ID: id, DataCentre: fleet.DataCentreID(f.required("DataCentre")),
			Address: f.address("Address"), State: f.availability("State"),
		}
	},
	KindWorkspace: func(d *Declaration, name string, f *fieldReader) {
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
	KindClass: func(d *Declaration, name string, f *fieldReader) {
		id := fleet.Class(name)
		d.Classes[id] = &Class{ID: id, Priority: f.count("Priority", 5), Deadline: f.duration("Deadline")}
	},
	KindOperation: func(d *Declaration, name string, f *fieldReader) {
		model, operation, _ := strings.Cut(name, "/")
		if operation == "" {
			f.addProblem("", "want a name of the form MODEL/OPERATION such as ledger/book, have %q", name)
		}
		id := OperationID{fleet.ModelID(model), operation}
		d.Operations[id] = &Operation{
			Model: id.Model, Name: operation, Repeatable: f.choice("Repeatable", "No", "Yes") == "Yes",
		}
	},
}

// checkReferences checks references and limits that involve several fields or
// sections, and builds the indexes of the declaration.
func (b *builder) checkReferences() {
	d := b.declaration
	for _, target := range d.Targets {
		id := SectionID{KindTarget, string(target.ID)}
		if _, ok := d.Models[target.Model]; !ok {
			b.addProblem(id, "Model", "model %q is not declared", target.Model)
		}
		b.checkDataCentre(id, target.DataCentre)
		if target.WarmLimit < target.ColdLimit {
			b.addProblem(id, "WarmLimit", "want at least the ColdLimit of %d, have %d", target.ColdLimit, target.WarmLimit)
		}
		d.byModel[target.Model] = append(d.byModel[target.Model], target)
	}
	for _, targets := range d.byModel {
		slices.SortFunc(targets, func(x, y *Target) int { return cmp.Compare(x.ID, y.ID) })
	}
	for _, store := range d.Stores {
		b.checkDataCentre(SectionID{KindStore, string(store.ID)}, store.DataCentre)
		d.sortedStores = append(d.sortedStores, store)
	}
	slices.SortFunc(d.sortedStores, func(x, y *Store) int { return cmp.Compare(x.ID, y.ID) })
	for _, workspace := range d.Workspaces {
		if other, duplicate := d.byKey[workspace.KeyHash]; duplicate {
			b.addProblem(SectionID{KindWorkspace, string(workspace.ID)}, "KeyHash", "workspace %s has the same KeyHash", other.ID)
		}
		d.byKey[workspace.KeyHash] = workspace
	}
}

func (b *builder) checkDataCentre(id SectionID, centre fleet.DataCentreID) {
	if _, ok := b.declaration.DataCentres[centre]; !ok {
		b.addProblem(id, "DataCentre", "data centre %q is not declared", centre)
	}
}

// A fieldReader decodes the fields of one section. Each read removes the field, so
// that the fields left at the end are unknown ones.
type fieldReader struct {
	builder *builder
	id      SectionID
	texts   map[string]string // by key
}

func (f *fieldReader) addProblem(key, format string, args ...any) {
	f.builder.addProblem(f.id, key, format, args...)
}

func (f *fieldReader) optional(key, defaultText string) string {
	text, ok := f.texts[key]
	delete(f.texts, key)
	if !ok {
		return defaultText
	}
	return text
}

func (f *fieldReader) required(key string) string {
	text := f.optional(key, "")
	if text == "" {
		f.addProblem(key, "required field is missing")
	}
	return text
}

// choice returns one of the options; the first is the default.
func (f *fieldReader) choice(key string, options ...string) string {
	text := f.optional(key, options[0])
	if !slices.Contains(options, text) {
		f.addProblem(key, "want one of %s, have %q", strings.Join(options, ", "), text)
	}
	return text
}

func (f *fieldReader) availability(key string) Availability {
	return Availability(f.choice(key, string(InService), string(OutOfService)))
}

func (f *fieldReader) share(key string) float64 {
	text := f.optional(key, "1")
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || share < 0 || share > 1000 {
		f.addProblem(key, "want a number from 0 to 1000, have %q", text)
	}
	return share
}

func (f *fieldReader) count(key string, defaultCount int) int {
	text := f.optional(key, strconv.Itoa(defaultCount))
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		f.addProblem(key, "want a whole number that is not negative, have %q", text)
	}
	return n
}

func (f *fieldReader) duration(key string) time.Duration {
	text := f.optional(key, "0s")
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		f.addProblem(key, "want a duration such as 1500ms, have %q", text)
	}
	return d
}

func (f *fieldReader) address(key string) fleet.Address {
	text := f.required(key)
	if _, err := netip.ParseAddrPort(text); text != "" && err != nil {
		f.addProblem(key, "want an IP address and port such as 10.0.0.1:7000, have %q", text)
	}
	return fleet.Address(text)
}

func (f *fieldReader) keyHash(key string) KeyHash {
	var hash KeyHash
	text := f.required(key)
	if n, err := hex.Decode(hash[:], []byte(text)); text != "" && (err != nil || n != len(hash)) {
		f.addProblem(key, "want 64 hexadecimal digits, have %d characters", len(text))
	}
	return hash
}
