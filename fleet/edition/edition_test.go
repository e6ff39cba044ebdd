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
	"hibiscuslb/fleet/platform"
)

func class(name, priority string) declaration.Section {
	return declaration.Section{
		ID:     declaration.SectionID{Kind: declaration.KindClass, Name: name},
		Fields: []declaration.Field{{Key: "Priority", Text: priority}},
	}
}

// race is several operators and nodes around one platform. The oracle is the
// sequence of documents that were accepted, kept as plain maps.
type race struct {
	service  platform.Memory
	read     [3]*edition.Edition // what each operator has read last
	applied  [2]*edition.Edition // what each node has in force
	accepted map[declaration.ChangeID]bool
	doubtful map[declaration.ChangeID]declaration.Section
	classes  map[string]string // the oracle's document
	number   fleet.Version
	changes  int
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
	if r.read[who] == nil {
		return
	}
	r.changes++
	section := class(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "class")), fmt.Sprint(r.changes))
	change := declaration.Change{ID: declaration.ChangeID(fmt.Sprint("c", r.changes)), Put: []declaration.Section{section}}
	based := r.read[who].Number
	next, err := edition.Accept(context.Background(), &r.service, r.read[who], &change, time.Unix(0, 0))
	var doubt *edition.DoubtError
	switch {
	case err == nil:
		if r.settle(change.ID) {
			break // a doubtful change of ours came first; the oracle has it
		}
		if based != r.number {
			t.Fatalf("a change of version %d was accepted over version %d", based, r.number)
		}
		r.record(section)
		r.read[who] = next
	case errors.As(err, &doubt):
		r.doubtful[change.ID] = section
	}
}

func (r *race) record(section declaration.Section) {
	r.number++
	r.classes[section.ID.Name] = section.Fields[0].Text
}

// settle takes into the oracle any doubtful change that did take effect.
func (r *race) settle(except declaration.ChangeID) bool {
	current, err := edition.Load(context.Background(), &r.service, nil)
	if err != nil {
		return false
	}
	for id, section := range r.doubtful {
		if id != except && current.Contains(id) {
			r.record(section)
		}
		delete(r.doubtful, id)
	}
	return false
}

func (r *race) check(t *rapid.T) {
	if len(r.doubtful) > 0 {
		return
	}
	for _, node := range r.applied {
		if node == nil || node.Number != r.number {
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
	fuzzing.Check(t, 400, 200, func(t *rapid.T) {
		r := &race{
			accepted: make(map[declaration.ChangeID]bool), classes: make(map[string]string),
			doubtful: make(map[declaration.ChangeID]declaration.Section),
		}
		healthy := func() { r.service.SetFault(platform.Healthy); r.settle("") }
		t.Repeat(map[string]func(*rapid.T){
			"":        r.check,
			"change":  r.change,
			"change2": r.change,
			"read": func(t *rapid.T) {
				who := rapid.IntRange(0, len(r.read)-1).Draw(t, "operator")
				r.read[who] = r.load(t, nil)
			},
			"follow": func(t *rapid.T) {
				node := rapid.IntRange(0, len(r.applied)-1).Draw(t, "node")
				r.applied[node] = r.load(t, r.applied[node])
			},
			"restart": func(t *rapid.T) { r.applied[rapid.IntRange(0, 1).Draw(t, "node")] = nil },
			"down":    func(*rapid.T) { r.service.SetFault(platform.Down) },
			"lose":    func(*rapid.T) { r.service.SetFault(platform.LoseAnswers) },
			"healthy": func(*rapid.T) { healthy() },
			"again":   func(*rapid.T) { healthy() },
		})
	})
}

func TestRaceNamesTheOtherChange(t *testing.T) {
	ctx := context.Background()
	var service platform.Memory
	seen, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	first := declaration.Change{ID: "first", Author: "nimal", Put: []declaration.Section{class("a", "1")}}
	_, err = edition.Accept(ctx, &service, seen, &first, time.Now())
	require.NoError(t, err)
	second := declaration.Change{ID: "second", Author: "eleni", Put: []declaration.Section{class("b", "1")}}
	_, err = edition.Accept(ctx, &service, seen, &second, time.Now())
	var race *edition.RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, "nimal", race.Other.Author)
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

// losing loses the answer of each write of the head and serves all else.
type losing struct {
	platform.Memory
	lose bool
}

func (l *losing) Write(ctx context.Context, name platform.Name, value []byte, seen fleet.Version) (fleet.Version, error) {
	version, err := l.Memory.Write(ctx, name, value, seen)
	if l.lose && name == edition.HeadName {
		return 0, &platform.UnknownError{Name: name, Cause: platform.ErrDown}
	}
	return version, err
}

func TestSnapshotsOfLargeDeclarations(t *testing.T) {
	ctx := context.Background()
	var service platform.Memory
	current, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	large := declaration.Change{ID: "large"}
	for i := range 5000 {
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
	fresh, err := edition.Load(ctx, &service, nil)
	require.NoError(t, err)
	require.Equal(t, current.Number, fresh.Number)
	require.Equal(t, current.Document, fresh.Document)
	require.Len(t, fresh.Document, 5001)
}
