// Package script generates the answers of stand-in engines, so that a caller can
// check that an answer is complete and belongs to its prompt.
//
// The piece at an index depends only on the prompt and the index. A stream that
// is resumed at another engine therefore continues without a difference, and a
// piece of an answer to another prompt is detected.
package script

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
)

// A Script generates the answer to one prompt.
type Script struct{ seed uint64 }

// New returns the script of the prompt.
func New(prompt []byte) Script { return Script{xxhash.Sum64(prompt)} }

// Piece returns the text of the piece at index.
func (s Script) Piece(index fleet.Tokens) string {
	text := strconv.FormatUint(s.seed, 36) + "." + strconv.Itoa(int(index))
	return strconv.FormatUint(xxhash.Sum64String(text)&0xfffff, 36) + " "
}

// Answer returns the concatenation of the first n pieces.
func (s Script) Answer(n fleet.Tokens) string {
	var b strings.Builder
	for i := fleet.Tokens(0); i < n; i++ {
		b.WriteString(s.Piece(i))
	}
	return b.String()
}
