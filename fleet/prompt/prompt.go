// Package prompt describes a prompt as a chain of parts.
//
// An engine caches the parts that it has read. It can use a cached part only if it
// also has all parts before it. The last part belongs to a single request or
// session; the parts before it may be shared by several.
//
// The package is used by hibiscusfront; hibiscusd divides prompts into blocks of equal
// length, see package cache.
package prompt

import (
	"strings"

	"hibiscuslb/fleet"
)

// A PartID identifies a part by its content.
type PartID string

// A Part is one element of a prompt's chain.
type Part struct {
	ID     PartID
	Tokens fleet.Tokens
}

// A Prompt describes the model, the input and the output limit of a generation
// request.
type Prompt struct {
	Model  fleet.ModelID
	Parts  []Part
	Input  fleet.Tokens // tokens of the whole prompt
	Output fleet.Tokens // maximum number of tokens to generate
	// Folded is how many parts of the caller's chain the last part stands for, besides itself. Only
	// the first MaxParts-1 parts of a chain can be shared, and none whose ID is too long.
	Folded int `cbor:",omitempty"`
}

// MaxParts is the number of parts that a prompt has at most. Callers describe their prompts, and each
// part of one takes time and memory on the host that selects targets; prompts have a handful.
const MaxParts = 64

// MaxPartIDBytes is the length that the ID of a part which can be shared stays below. The host that selects
// targets keeps thousands of IDs; those of engines have some tens of bytes.
const MaxPartIDBytes = 256

// Append appends a part to the chain. Beyond MaxParts, and behind a part whose ID is too long, it is folded into
// the last part. The ID is copied, so that the text it was found in is not kept with it.
func (p *Prompt) Append(part Part) {
	part.ID = PartID(strings.Clone(string(part.ID[:min(len(part.ID), MaxPartIDBytes)])))
	n := len(p.Parts)
	if n == 0 || n < MaxParts && p.Folded == 0 && len(p.Parts[n-1].ID) < MaxPartIDBytes {
		p.Parts = append(p.Parts, part)
		return
	}
	last := &p.Parts[n-1]
	last.ID, last.Tokens = part.ID, last.Tokens+part.Tokens
	p.Folded++
}

// Shared returns the parts that other requests may share: all but the last.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// AffinityPart returns the part by which similar requests are brought to the same
// engine: the last shared one, which is the most specific. For a prompt without
// shared parts it returns the only part, or "" if there is none.
func (p *Prompt) AffinityPart() PartID {
	shared := p.Shared()
	if len(shared) == 0 {
		if len(p.Parts) == 0 {
			return ""
		}
		return p.Parts[0].ID
	}
	return shared[len(shared)-1].ID
}
