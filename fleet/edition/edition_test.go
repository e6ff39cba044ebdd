package edition_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/edition"
	"hibiscuslb/fleet/fuzzing"
	"hibiscuslb/fleet/record"
)

func class(name, priority string) declaration.Section {
	return declaration.Section{
		ID:     declaration.SectionID{Kind: declaration.KindClass, Name: name},
		Fields: []declaration.Field{{Key: "Priority", Text: priority}},
	}
}

// race is several operators and nodes around one platform. The oracle is the
// document that the accepted changes make, kept as a plain map.
type race struct {
	service losing
	read    [3]*edition.Edition // what each operator has read last
	applied [2]*edition.Edition // what each node has in force
	doubt   *declaration.Change // of which nobody knows yet whether it was accepted
	classes map[string]string   // the oracle's document
	number  fleet.Version
	changes int
}

func (r *race) load(t *rapid.T, from *edition.Edition) *edition.Edition {
	next, err := edition.Load(context.Background(), &r.service, from)
	if err != nil {
		return from
	}
	if from != nil && next.Number < from.Number {
		t.Fatalf("went back from %d to %d", from.Number, next.Number)
	}
	return next
}

// change lets an operator change a class on the basis of what it has read.
func (r *race) change(t *rapid.T) {
	who := rapid.IntRange(0, len(r.read)-1).Draw(t, "operator")
	if r.read[who] == nil || r.doubt != nil {
		return
	}
	r.changes++
	section := class(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "class")), fmt.Sprint(r.changes))
	change := &declaration.Change{ID: declaration.ChangeID(fmt.Sprint("c", r.changes)), Put: []declaration.Section{section}}
	next, err := edition.Accept(context.Background(), &r.service, r.read[who], change, time.Unix(0, 0))
	var doubt *edition.UnknownOutcomeError
	switch {
	case err == nil:
		if r.read[who].Number != r.number {
			t.Fatalf("a change of version %d was accepted over version %d", r.read[who].Number, r.number)
		}
		r.record(change)
		r.read[who] = next
	case errors.As(err, &doubt):
		r.doubt = change
	}
}

func (r *race) record(change *declaration.Change) {
	r.number++
	r.classes[change.Put[0].ID.Name] = change.Put[0].Fields[0].Text
}

// heal ends all faults and settles a change in doubt.
func (r *race) heal(t *rapid.T) {
	r.service.lose, r.service.blind = false, false
	r.service.SetFault(record.Healthy)
	if r.doubt != nil && r.load(t, nil).Contains(r.doubt.ID) {
		r.record(r.doubt)
	}
	r.doubt = nil
}

func (r *race) check(t *rapid.T) {
	for _, node := range r.applied {
		if r.doubt != nil || node == nil || node.Number != r.number {
			continue
		}
		if len(node.Document) != len(r.classes) {
			t.Fatalf("version %d has %d sections, want %d", node.Number, len(node.Document), len(r.classes))
		}
		for name, priority := range r.classes {
			section := node.Document[declaration.SectionID{Kind: declaration.KindClass, Name: name}]
			if text, _ := section.Get("Priority"); text != priority {
				t.Fatalf("version %d: class %s has %q, want %q", node.Number, name, text, priority)
			}
		}
	}
}

func TestAcceptedChangesNeverRevert(t *testing.T) {
	fuzzing.Check(t, 300, 150, func(t *rapid.T) {
		r := &race{classes: make(map[string]string)}
		read := func(t *rapid.T) {
			who := rapid.IntRange(0, len(r.read)-1).Draw(t, "operator")
			r.read[who] = r.load(t, nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       r.check,
			"change": r.change,
			"changes": func(t *rapid.T) { // enough of them to be folded
				for range rapid.IntRange(1, 30).Draw(t, "changes") {
					r.change(t)
				}
			},
			"read": read,
			"all": func(t *rapid.T) {
				for range 6 {
					read(t)
				}
			},
			"follow": func(t *rapid.T) {
				node := rapid.IntRange(0, len(r.applied)-1).Draw(t, "node")
				r.applied[node] = r.load(t, r.applied[node])
			},
			"restart": func(t *rapid.T) { r.applied[rapid.IntRange(0, 1).Draw(t, "node")] = nil },
			"down":    func(*rapid.T) { r.service.SetFault(record.Down) },
			"lose":    func(*rapid.T) { r.service.lose = true },
			"blind":   func(*rapid.T) { r.service.lose, r.service.blind = true, true },
			"heal":    r.heal,
			"heal2":   r.heal,
		})
	})
}

func TestRaceNamesTheOtherChange(t *testing.T) {
	ctx := context.Background()
	var service record.Memory
	seen, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	first := declaration.Change{ID: "first", Author: "nimal", Put: []declaration.Section{class("a", "1")}}
	_, err = edition.Accept(ctx, &service, seen, &first, time.Now())
	require.NoError(t, err)
	second := declaration.Change{ID: "second", Author: "eleni", Put: []declaration.Section{class("b", "1")}}
	_, err = edition.Accept(ctx, &service, seen, &second, time.Now())
	var race *edition.ConflictError
	require.ErrorAs(t, err, &race)
	require.Equal(t, "nimal", race.Intervening.Author)
}

func TestChangeIsFoundAfterALostAnswer(t *testing.T) {
	ctx := context.Background()
	service := &losing{}
	seen, err := edition.Load(ctx, service, nil)
	require.NoError(t, err)
	change := declaration.Change{ID: "x", Put: []declaration.Section{class("a", "1")}}
	service.lose = true
	next, err := edition.Accept(ctx, service, seen, &change, time.Now())
	require.NoError(t, err)
	require.Equal(t, fleet.Version(1), next.Number)
}

// losing loses the answers of writes of the head. When it is blind, it serves
// no read either after such a write.
type losing struct {
	record.Memory
	lose, blind, dark bool
}

func (l *losing) Read(ctx context.Context, name record.Name) (record.Object, error) {
	if l.dark && l.blind {
		return record.Object{}, &record.UnknownOutcomeError{Name: name, Cause: record.ErrDown}
	}
	return l.Memory.Read(ctx, name)
}

func (l *losing) Write(ctx context.Context, name record.Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	version, err := l.Memory.Write(ctx, name, value, seen)
	l.dark = l.lose && name == edition.HeadName
	if l.dark {
		return 0, &record.UnknownOutcomeError{Name: name, Cause: record.ErrDown}
	}
	return version, err
}

func TestSnapshotsOfLargeDeclarations(t *testing.T) {
	ctx := context.Background()
	var service record.Memory
	current, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	large := declaration.Change{ID: "large"}
	for i := range 23_000 {
		large.Put = append(large.Put, class(fmt.Sprint(i), "1"))
	}
	for i := range 70 {
		change := declaration.Change{ID: declaration.ChangeID(fmt.Sprint(i)), Put: []declaration.Section{class("a", fmt.Sprint(i))}}
		if i == 0 {
			change = large
		}
		current, err = edition.Accept(ctx, &service, current, &change, time.Now())
		require.NoError(t, err)
	}
	listing, err := service.List(ctx, "")
	require.NoError(t, err)
	for _, object := range listing.Objects {
		require.Less(t, fleet.Bytes(len(object.Value)), record.ValueLimit, object.Name)
	}
	fresh, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	require.Equal(t, current.Number, fresh.Number)
	require.Equal(t, current.Document, fresh.Document)
	require.Len(t, fresh.Document, 23_001)
}
