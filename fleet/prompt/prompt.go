// Package prompt describes a prompt by the parts that it is made of.
//
// A prompt is a chain of parts. An engine keeps the parts that it has read and
// uses one again if it also keeps all parts before it. The last part belongs
// to one request or session, the parts before it are shared.
package prompt

import "hibiscuslb/fleet"

// PartID names a part by its content.
type PartID string

// A Part is one link of a prompt's chain.
type Part struct {
	ID     PartID
	Tokens fleet.Tokens
}

// A Prompt is what a request says of its generation.
type Prompt struct {
	Model  fleet.ModelID
	Parts  []Part
	Input  fleet.Tokens // of the whole prompt
	Output fleet.Tokens // at most
}

// Shared returns the parts that other requests may have, too.
func (p *Prompt) Shared() []Part {
	if len(p.Parts) < 2 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// AffinityPart returns the part by which requests are brought together: the last
// shared one, which is the most specific.
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
