package prompt_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
)

func ExamplePrompt_Append() {
	var p prompt.Prompt
	p.Append(prompt.Part{ID: "shared", Tokens: 650})
	p.Append(prompt.Part{ID: "own", Tokens: 177})
	fmt.Println(p.Shared(), p.AffinityPart(), p.Folded)
	// Output: [{shared 650}] shared 0
}

// TestLongChainIsFolded guards against prompts of thousands of parts, which took gigabytes of the
// planner's memory.
func TestLongChainIsFolded(t *testing.T) {
	var p prompt.Prompt
	const parts = prompt.MaxParts + 10
	for i := range parts {
		p.Append(prompt.Part{ID: prompt.PartID(fmt.Sprint(i)), Tokens: 2})
	}
	require.Len(t, p.Parts, prompt.MaxParts)
	require.Equal(t, 10, p.Folded)
	require.Equal(t, prompt.Part{ID: prompt.PartID(fmt.Sprint(parts - 1)), Tokens: 22}, p.Parts[prompt.MaxParts-1], "the last part stays that of the request")
	total := fleet.Tokens(0)
	for _, part := range p.Parts {
		total += part.Tokens
	}
	require.EqualValues(t, 2*parts, total)
}

// TestLongIDsAreFolded guards against parts with IDs of thousands of bytes, of which the planner keeps as many as
// of others.
func TestLongIDsAreFolded(t *testing.T) {
	long := prompt.PartID(strings.Repeat("x", prompt.MaxPartIDBytes))
	longest := long[1:]
	for _, test := range []struct {
		chain, want []prompt.PartID
		folded      int
	}{
		{[]prompt.PartID{longest, "own"}, []prompt.PartID{longest, "own"}, 0},
		{[]prompt.PartID{"a", long + "y", "b", "own"}, []prompt.PartID{"a", "own"}, 2},
		{[]prompt.PartID{"a", long, long + "y"}, []prompt.PartID{"a", long}, 1},
		{[]prompt.PartID{long + "y"}, []prompt.PartID{long}, 0},
	} {
		var p prompt.Prompt
		for _, id := range test.chain {
			p.Append(prompt.Part{ID: id, Tokens: 1})
		}
		var got []prompt.PartID
		total := fleet.Tokens(0)
		for _, part := range p.Parts {
			got, total = append(got, part.ID), total+part.Tokens
		}
		require.Equal(t, test.want, got)
		require.Equal(t, test.folded, p.Folded)
		require.EqualValues(t, len(test.chain), total)
	}
}
