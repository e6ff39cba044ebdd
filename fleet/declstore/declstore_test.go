package declstore_test

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
	"hibiscuslb/fleet/declstore"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/proptest"
)

func class(name, priority string) declaration.Section {
	return declaration.Section{
		ID:     declaration.SectionID{Kind: declaration.KindClass, Name: name},
		Fields: []declaration.Field{{Key: "Priority", Text: priority}},
	}
}

// simulation runs several operators and hosts on one store. The expected document
// is kept as a plain map.
type simulation struct {
	store     lossyStore
	read      [3]*declstore.Revision // revision that each operator read last
	applied   [2]*declstore.Revision // revision that each host has applied
	uncertain *declaration.Change    // change of unknown outcome, or nil
	classes   map[string]string      // expected priority of each class
	number    fleet.Version
	changes   int
}

func (s *simulation) load(t *rapid.T, from *declstore.Revision) *declstore.Revision {
	next, err := declstore.Load(context.Background(), &s.store, from)
	if err != nil {
		return from
	}
	if from != nil && next.Number < from.Number {
		t.Fatalf("Load returned version %d after version %d", next.Number, from.Number)
	}
	return next
}

// change lets an operator change a class, based on the revision that it read last.
func (s *simulation) change(t *rapid.T) {
	operator := rapid.IntRange(0, len(s.read)-1).Draw(t, "operator")
	if s.read[operator] == nil || s.uncertain != nil {
		return
	}
	s.changes++
	section := class(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "class")), fmt.Sprint(s.changes))
	change := &declaration.Change{ID: declaration.ChangeID(fmt.Sprint("c", s.changes)), Put: []declaration.Section{section}}
	next, err := declstore.Commit(context.Background(), &s.store, s.read[operator], change, time.Unix(0, 0))
	var unknown *declstore.UnknownOutcomeError
	switch {
	case err == nil:
		if s.read[operator].Number != s.number {
			t.Fatalf("a change based on version %d was committed on top of version %d", s.read[operator].Number, s.number)
		}
		s.recordCommit(change)
		s.read[operator] = next
	case errors.As(err, &unknown):
		s.uncertain = change
	}
}

func (s *simulation) recordCommit(change *declaration.Change) {
	s.number++
	s.classes[change.Put[0].ID.Name] = change.Put[0].Fields[0].Text
}

// heal ends all faults and determines the outcome of an uncertain change.
func (s *simulation) heal(t *rapid.T) {
	s.store.loseAnswers, s.store.failReads = false, false
	s.store.SetFault(objectstore.Healthy)
	if s.uncertain != nil && s.load(t, nil).Contains(s.uncertain.ID) {
		s.recordCommit(s.uncertain)
	}
	s.uncertain = nil
}

func (s *simulation) check(t *rapid.T) {
	for _, applied := range s.applied {
		if s.uncertain != nil || applied == nil || applied.Number != s.number {
			continue
		}
		if len(applied.Document) != len(s.classes) {
			t.Fatalf("version %d has %d sections, want %d", applied.Number, len(applied.Document), len(s.classes))
		}
		for name, priority := range s.classes {
			section := applied.Document[declaration.SectionID{Kind: declaration.KindClass, Name: name}]
			if text, _ := section.Get("Priority"); text != priority {
				t.Fatalf("version %d: class %s has priority %q, want %q", applied.Number, name, text, priority)
			}
		}
	}
}

// TestCommittedChangesAreNeverLost lets several operators change the declaration while
// the store fails or loses answers. It guards against a change that is committed on top
// of a version that its operator has not read, and against hosts whose document lacks a
// committed change.
func TestCommittedChangesAreNeverLost(t *testing.T) {
	proptest.Check(t, 300, 150, func(t *rapid.T) {
		s := &simulation{classes: make(map[string]string)}
		read := func(t *rapid.T) {
			operator := rapid.IntRange(0, len(s.read)-1).Draw(t, "operator")
			s.read[operator] = s.load(t, nil)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       s.check,
			"change": s.change,
			"changes": func(t *rapid.T) { // enough for a new snapshot
				for range rapid.IntRange(1, 30).Draw(t, "changes") {
					s.change(t)
				}
			},
			"read": read,
			"allOperatorsRead": func(t *rapid.T) {
				for range 6 {
					read(t)
				}
			},
			"follow": func(t *rapid.T) {
				host := rapid.IntRange(0, len(s.applied)-1).Draw(t, "host")
				s.applied[host] = s.load(t, s.applied[host])
			},
			"restart":     func(t *rapid.T) { s.applied[rapid.IntRange(0, 1).Draw(t, "host")] = nil },
			"down":        func(*rapid.T) { s.store.SetFault(objectstore.Down) },
			"loseAnswers": func(*rapid.T) { s.store.loseAnswers = true },
			"blockReads":  func(*rapid.T) { s.store.loseAnswers, s.store.failReads = true, true },
			"heal":        s.heal,
			"heal2":       s.heal,
		})
	})
}

func TestConflictErrorNamesInterveningChange(t *testing.T) {
	ctx := context.Background()
	var store objectstore.Memory
	base, err := declstore.Load(ctx, &store, nil)
	require.NoError(t, err)
	first := declaration.Change{ID: "first", Author: "nimal", Put: []declaration.Section{class("a", "1")}}
	_, err = declstore.Commit(ctx, &store, base, &first, time.Now())
	require.NoError(t, err)
	second := declaration.Change{ID: "second", Author: "eleni", Put: []declaration.Section{class("b", "1")}}
	_, err = declstore.Commit(ctx, &store, base, &second, time.Now())
	var conflict *declstore.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "nimal", conflict.Intervening.Author)
}

func TestCommitSucceedsAfterLostAnswer(t *testing.T) {
	ctx := context.Background()
	store := &lossyStore{}
	base, err := declstore.Load(ctx, store, nil)
	require.NoError(t, err)
	change := declaration.Change{ID: "x", Put: []declaration.Section{class("a", "1")}}
	store.loseAnswers = true
	next, err := declstore.Commit(ctx, store, base, &change, time.Now())
	require.NoError(t, err)
	require.Equal(t, fleet.Version(1), next.Number)
}

// lossyStore loses the answers to writes of the head if loseAnswers is set. If
// failReads is set too, reads fail after such a write.
type lossyStore struct {
	objectstore.Memory
	loseAnswers, failReads, answerLost bool
}

func (l *lossyStore) Read(ctx context.Context, name objectstore.Name) (objectstore.Object, error) {
	if l.answerLost && l.failReads {
		return objectstore.Object{}, &objectstore.UnknownOutcomeError{Name: name, Cause: objectstore.ErrDown}
	}
	return l.Memory.Read(ctx, name)
}

func (l *lossyStore) Write(ctx context.Context, name objectstore.Name, value []byte, expected fleet.Version) (fleet.Version, error) {
	version, err := l.Memory.Write(ctx, name, value, expected)
	l.answerLost = l.loseAnswers && name == declstore.HeadName
	if l.answerLost {
		return 0, &objectstore.UnknownOutcomeError{Name: name, Cause: objectstore.ErrDown}
	}
	return version, err
}

func TestLargeDeclarationIsSplitIntoParts(t *testing.T) {
	ctx := context.Background()
	var store objectstore.Memory
	current, err := declstore.Load(ctx, &store, nil)
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
		current, err = declstore.Commit(ctx, &store, current, &change, time.Now())
		require.NoError(t, err)
	}
	listing, err := store.List(ctx, "")
	require.NoError(t, err)
	for _, object := range listing.Objects {
		require.Less(t, fleet.Bytes(len(object.Value)), objectstore.ValueLimit, object.Name)
	}
	fresh, err := declstore.Load(ctx, &store, nil)
	require.NoError(t, err)
	require.Equal(t, current.Number, fresh.Number)
	require.Equal(t, current.Document, fresh.Document)
	require.Len(t, fresh.Document, 23_001)
}
