// Package script holds what a stand-in engine answers, so that a caller can
// check that an answer is whole and its own.
//
// The piece at an index depends on the prompt and the index alone. A stream
// that is resumed at another engine therefore goes on as if it had not been
// cut, and a piece of another caller's answer is recognised.
package script

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
)

// A Script answers one prompt.
type Script struct{ seed uint64 }

// New returns the script of the prompt.
func New(prompt []byte) Script { return Script{xxhash.Sum64(prompt)} }

// Piece returns the text of the piece at the index.
func (s Script) Piece(index fleet.Tokens) string {
	text := strconv.FormatUint(s.seed, 36) + "." + strconv.Itoa(int(index))
	return strconv.FormatUint(xxhash.Sum64String(text)&0xfffff, 36) + " "
}

// Answer returns the first n pieces as one text.
func (s Script) Answer(n fleet.Tokens) string {
	var b strings.Builder
	for i := fleet.Tokens(0); i < n; i++ {
		b.WriteString(s.Piece(i))
	}
	return b.String()
}
