// Package workload generates the prompts of the demo and the experiments. Those of
// the experiments belong to conversations that return after heavy-tailed gaps, each
// time with one more turn. The same seed generates the same prompts in the same order.
package workload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// A Source generates random choices from a seed.
type Source struct{ *rand.Rand }

// NewSource returns a source for the seed.
func NewSource(seed uint64) Source {
	return Source{rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Text returns a random text of the given number of tokens that begins with name.
func (s Source) Text(name string, tokens fleet.Tokens) string {
	size := int(tokens) * cache.TokenBytes
	var b strings.Builder
	b.Grow(size + 16)
	b.WriteString(name)
	for b.Len() < size {
		b.WriteByte(' ')
		b.WriteString(strconv.FormatUint(s.Uint64(), 36))
	}
	return b.String()[:size]
}

// A Conversation is a prompt that grows by one turn with each request.
type Conversation struct {
	Name       string
	Class      fleet.Class
	Text       string
	TurnTokens fleet.Tokens // added by each turn
}

// AddTurn appends one turn of random text.
func (c *Conversation) AddTurn(s Source) {
	c.Text += s.Text(" turn", c.TurnTokens)
}

// A Profile describes the conversations of one class.
type Profile struct {
	Class        fleet.Class
	Share        float64      // fraction of all conversations
	MinPrompt    fleet.Tokens // initial length of the prompt
	MaxPrompt    fleet.Tokens
	TurnTokens   fleet.Tokens
	AnswerTokens fleet.Tokens
}

// Profiles of the two deployments.
var (
	// KandyanProfiles describes the clerks and agents of Kandyan, whose prompts are
	// mostly long shared files.
	KandyanProfiles = []Profile{
		{Class: "summary", Share: 0.7, MinPrompt: 12_000, MaxPrompt: 28_000, TurnTokens: 200, AnswerTokens: 24},
		{Class: "lookup", Share: 0.3, MinPrompt: 4_200, MaxPrompt: 9_000, TurnTokens: 100, AnswerTokens: 8},
	}
	// KypseliProfiles describes the reflections and nudges that members of Kypseli get.
	KypseliProfiles = []Profile{
		{Class: "reflection", Share: 0.4, MinPrompt: 9_000, MaxPrompt: 20_000, TurnTokens: 200, AnswerTokens: 24},
		{Class: "nudge", Share: 0.6, MinPrompt: 4_200, MaxPrompt: 9_000, TurnTokens: 50, AnswerTokens: 8},
	}
)

// NewConversations returns n conversations, whose profiles are drawn by their shares.
func NewConversations(s Source, profiles []Profile, n int) []*Conversation {
	all := make([]*Conversation, n)
	for i := range all {
		profile := drawProfile(s, profiles)
		size := profile.MinPrompt + fleet.Tokens(s.IntN(int(profile.MaxPrompt-profile.MinPrompt)))
		name := string(profile.Class) + "-" + strconv.Itoa(i)
		all[i] = &Conversation{Name: name, Class: profile.Class, Text: s.Text(name, size), TurnTokens: profile.TurnTokens}
	}
	return all
}

// drawProfile draws a profile with probability Share.
func drawProfile(s Source, profiles []Profile) Profile {
	remainder := s.Float64()
	for _, profile := range profiles {
		if remainder -= profile.Share; remainder < 0 {
			return profile
		}
	}
	return profiles[len(profiles)-1]
}

// AnswerTokens returns the number of tokens of an answer of the class, or 0 if no
// profile has the class.
func AnswerTokens(profiles []Profile, class fleet.Class) fleet.Tokens {
	for _, profile := range profiles {
		if profile.Class == class {
			return profile.AnswerTokens
		}
	}
	return 0
}

// gapShape is the shape parameter of the Pareto distribution of gaps.
const gapShape = 1.2

// ReturnGap returns the number of requests until a conversation returns. It is drawn
// from a Pareto distribution, so most gaps are near shortest and a few are very long.
func (s Source) ReturnGap(shortest float64) int {
	return int(shortest * math.Pow(1-s.Float64(), -1/gapShape))
}

// shortestGapDivisor divides the number of conversations to get the shortest gap, in
// requests, until a conversation returns.
const shortestGapDivisor = 4

// Schedule returns, for each of the requests, the index of its conversation, from 0 to
// n-1. The first request of a conversation has a random position, and each later one
// follows after a ReturnGap. Requests are sorted by position.
func Schedule(s Source, n, requests int) []int {
	type nextRequest struct{ position, conversation int }
	var pending []nextRequest
	for conversation := range n {
		pending = append(pending, nextRequest{s.IntN(requests), conversation})
	}
	schedule := make([]int, 0, requests)
	for len(schedule) < requests {
		first := 0
		for i := range pending {
			if pending[i].position < pending[first].position {
				first = i
			}
		}
		schedule = append(schedule, pending[first].conversation)
		pending[first].position += s.ReturnGap(float64(n) / shortestGapDivisor)
	}
	return schedule
}
