package answer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/answer"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/fuzzing"
)

func piece(attempt engine.Attempt, index fleet.Tokens) *engine.Piece {
	return &engine.Piece{Attempt: attempt, Index: index, Text: fmt.Sprint(index, " ")}
}

// TestCallerGetsEachPieceOnceAndInOrder lets attempts break, and their pieces
// come late, twice and crossed with those of later attempts. The oracle is the
// text that one unbroken attempt would have given.
func TestCallerGetsEachPieceOnceAndInOrder(t *testing.T) {
	const length = 6
	var whole strings.Builder
	for i := range fleet.Tokens(length) {
		whole.WriteString(piece("", i).Text)
	}
	fuzzing.Check(t, 2000, 60, func(t *rapid.T) {
		var a answer.Assembler
		var got strings.Builder
		var sent []*engine.Piece // all that is on its way or may come again
		attempts := 0
		var due fleet.Tokens
		begin := func(*rapid.T) {
			attempts++
			due = a.BeginAttempt(engine.Attempt(fmt.Sprint(attempts)))
		}
		take := func(p *engine.Piece) {
			before := a.Complete()
			passOn, err := a.Accept(p)
			if passOn && (err != nil || before) {
				t.Fatalf("piece %+v passed on with %v, whole before: %t", p, err, before)
			}
			if passOn {
				got.WriteString(p.Text)
			}
		}
		begin(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if !strings.HasPrefix(whole.String(), got.String()) {
					t.Fatalf("the caller has %q", got.String())
				}
				if a.Complete() && got.String() != whole.String() {
					t.Fatalf("called whole: %q", got.String())
				}
			},
			"begin": begin,
			"next": func(*rapid.T) {
				attempt := engine.Attempt(fmt.Sprint(attempts))
				p := piece(attempt, due)
				if due >= length {
					p = &engine.Piece{Attempt: attempt, End: true, Count: length}
				} else {
					due++
				}
				sent = append(sent, p)
				take(p)
			},
			"skip": func(t *rapid.T) { // an end mark that comes too early
				take(&engine.Piece{Attempt: engine.Attempt(fmt.Sprint(attempts)), End: true, Count: length})
			},
			"crossed": func(t *rapid.T) { // of another caller's answer
				index := fleet.Tokens(rapid.IntRange(0, length).Draw(t, "index"))
				take(&engine.Piece{Attempt: "another", Index: index, Text: "foreign"})
				take(&engine.Piece{Attempt: "another", End: true, Count: index})
			},
			"late": func(t *rapid.T) {
				if len(sent) > 0 {
					take(rapid.SampledFrom(sent).Draw(t, "piece"))
				}
			},
		})
	})
}

func TestGapIsAnError(t *testing.T) {
	var a answer.Assembler
	a.BeginAttempt("x")
	var gap *answer.GapError
	_, err := a.Accept(piece("x", 1))
	require.ErrorAs(t, err, &gap)
	_, err = a.Accept(&engine.Piece{Attempt: "x", End: true, Count: 1})
	require.ErrorAs(t, err, &gap)
	require.False(t, a.Complete())
}
