// Package answer makes sure that a caller receives its whole answer, each
// piece once and in order, whatever happens on the way.
//
// An answer may come from several attempts in turn: when one breaks, the next
// is asked to go on at the piece that is due. An Assembler passes on a piece
// only if it is of the current attempt and the one that is due, and calls the
// answer whole only on an end mark whose count agrees.
package answer

import (
	"fmt"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/engine"
)

// A GapError reports a piece or an end mark that does not continue the answer.
type GapError struct {
	Expected, Got fleet.Tokens
	End           bool
}

func (e *GapError) Error() string {
	if e.End {
		return fmt.Sprintf("answer: end mark counts %d pieces, %d arrived", e.Got, e.Expected)
	}
	return fmt.Sprintf("answer: piece %d where %d was due", e.Got, e.Expected)
}

// An Assembler puts an answer together. The zero value awaits piece zero of
// no attempt; Begin sets the attempt.
type Assembler struct {
	attempt  engine.Attempt
	next     fleet.Tokens
	complete bool
}

// Begin makes an attempt the current one and returns the index of the piece
// that it has to start at.
func (a *Assembler) BeginAttempt(attempt engine.Attempt) fleet.Tokens {
	a.attempt = attempt
	return a.next
}

// Whole reports whether the answer is complete.
func (a *Assembler) Complete() bool { return a.complete }

// Take takes a piece and reports whether its text is to be passed on. Pieces
// of earlier attempts, and any that come after the end, are dropped without an
// error: they are merely late.
func (a *Assembler) Accept(piece *engine.Piece) (bool, error) {
	if piece.Attempt != a.attempt || a.complete || piece.Start != nil {
		return false, nil
	}
	if piece.End {
		if piece.Count != a.next {
			return false, &GapError{Expected: a.next, Got: piece.Count, End: true}
		}
		a.complete = true
		return false, nil
	}
	if piece.Index != a.next {
		return false, &GapError{Expected: a.next, Got: piece.Index}
	}
	a.next++
	return true, nil
}
