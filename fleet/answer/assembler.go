// Package answer assembles the pieces of a streamed answer so that the caller
// receives each piece exactly once and in order, even if attempts fail.
//
// An answer may come from several attempts in turn: when one fails, the next
// continues at the first missing piece. An Assembler accepts a piece only if it
// belongs to the current attempt and has the next index, and considers the answer
// complete only after an end mark whose count matches.
//
// The package is used by hibiscusd.
package answer

import (
	"fmt"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/engine"
)

// A GapError reports a piece with an unexpected index, or an end mark whose count
// differs from the number of received pieces.
type GapError struct {
	Expected, Got fleet.Tokens
	End           bool // Got is the count of an end mark, not the index of a piece
}

func (e *GapError) Error() string {
	if e.End {
		return fmt.Sprintf("answer: end mark with a count of %d pieces, received %d", e.Got, e.Expected)
	}
	return fmt.Sprintf("answer: received piece %d, expected piece %d", e.Got, e.Expected)
}

// An Assembler checks the order of an answer's pieces. The zero value expects
// piece zero; BeginAttempt sets the attempt.
type Assembler struct {
	attempt  engine.Attempt
	next     fleet.Tokens
	complete bool
}

// BeginAttempt sets the current attempt and returns the index of the piece at
// which it has to start.
func (a *Assembler) BeginAttempt(attempt engine.Attempt) fleet.Tokens {
	a.attempt = attempt
	return a.next
}

// Complete reports whether the answer is complete.
func (a *Assembler) Complete() bool { return a.complete }

// Accept reports whether the text of a piece must be passed on to the caller. It
// ignores pieces of earlier attempts and pieces after the end without an error,
// because they are only delayed, and the message with Start, which has no text.
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
