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
	"hibiscuslb/fleet/proptest"
)

func piece(attempt engine.Attempt, index fleet.Tokens) *engine.Piece {
	return &engine.Piece{Attempt: attempt, Index: index, Text: fmt.Sprint(index, " ")}
}

// TestCallerGetsEachPieceOnceAndInOrder lets attempts fail, and delays and
// duplicates their pieces and mixes them with those of other attempts. The oracle
// is the text of a single attempt that does not fail.
func TestCallerGetsEachPieceOnceAndInOrder(t *testing.T) {
	const length = 6
	var whole strings.Builder
	for i := range fleet.Tokens(length) {
		whole.WriteString(piece("", i).Text)
	}
	proptest.Check(t, 2000, 60, func(t *rapid.T) {
		var a answer.Assembler
		var got strings.Builder
		var sent []*engine.Piece // pieces that may be delivered again
		attempts := 0
		var next fleet.Tokens
		begin := func(*rapid.T) {
			attempts++
			next = a.BeginAttempt(engine.Attempt(fmt.Sprint(attempts)))
		}
		accept := func(p *engine.Piece) {
			wasComplete := a.Complete()
			passOn, err := a.Accept(p)
			if passOn && (err != nil || wasComplete) {
				t.Fatalf("piece %+v passed on with error %v, complete before: %t", p, err, wasComplete)
			}
			if passOn {
				got.WriteString(p.Text)
			}
		}
		begin(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if !strings.HasPrefix(whole.String(), got.String()) {
					t.Fatalf("caller received %q, want a prefix of %q", got.String(), whole.String())
				}
				if a.Complete() && got.String() != whole.String() {
					t.Fatalf("complete with %q, want %q", got.String(), whole.String())
				}
			},
			"begin": begin,
			"next": func(*rapid.T) {
				attempt := engine.Attempt(fmt.Sprint(attempts))
				p := piece(attempt, next)
				if next >= length {
					p = &engine.Piece{Attempt: attempt, End: true, Count: length}
				} else {
					next++
				}
				sent = append(sent, p)
				accept(p)
			},
			"skip": func(t *rapid.T) { // an end mark that may come too early
				accept(&engine.Piece{Attempt: engine.Attempt(fmt.Sprint(attempts)), End: true, Count: length})
			},
			"crossed": func(t *rapid.T) { // pieces of another caller's answer
				index := fleet.Tokens(rapid.IntRange(0, length).Draw(t, "index"))
				accept(&engine.Piece{Attempt: "another", Index: index, Text: "foreign"})
				accept(&engine.Piece{Attempt: "another", End: true, Count: index})
			},
			"late": func(t *rapid.T) {
				if len(sent) > 0 {
					accept(rapid.SampledFrom(sent).Draw(t, "piece"))
				}
			},
		})
	})
}

func TestGapReturnsGapError(t *testing.T) {
	var a answer.Assembler
	a.BeginAttempt("x")
	var gap *answer.GapError
	_, err := a.Accept(piece("x", 1))
	require.ErrorAs(t, err, &gap)
	_, err = a.Accept(&engine.Piece{Attempt: "x", End: true, Count: 1})
	require.ErrorAs(t, err, &gap)
	require.False(t, a.Complete())
}
