// Package workload makes the requests of the experiments: conversations that
// return after long gaps, quick nudges and orders. The same seed makes the
// same requests.
package workload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
)

// A Source makes random choices from a seed.
type Source struct{ *rand.Rand }

// NewSource returns the source of the seed.
func NewSource(seed uint64) Source {
	return Source{rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Text returns a text of so many tokens that begins with its name.
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

// A Conversation grows by a turn each time it returns.
type Conversation struct {
	Name       string
	Class      fleet.Class
	Text       string
	TurnTokens fleet.Tokens // that each return adds
}

// AddTurn adds a turn.
func (c *Conversation) AddTurn(s Source) {
	c.Text += s.Text(" turn", c.TurnTokens)
}

// A Profile describes the conversations of one class.
type Profile struct {
	Class        fleet.Class
	Share        float64      // of all conversations
	MinPrompt    fleet.Tokens // prompt
	MaxPrompt    fleet.Tokens
	TurnTokens   fleet.Tokens
	AnswerTokens fleet.Tokens
}

// Kinds of the two deployments.
var (
	// KandyanProfiles's clerks and agents lean on long shared files.
	KandyanProfiles = []Profile{
		{Class: "summary", Share: 0.7, MinPrompt: 12_000, MaxPrompt: 28_000, TurnTokens: 200, AnswerTokens: 24},
		{Class: "lookup", Share: 0.3, MinPrompt: 4_200, MaxPrompt: 9_000, TurnTokens: 100, AnswerTokens: 8},
	}
	// KypseliProfiles's members get reflections and nudges.
	KypseliProfiles = []Profile{
		{Class: "reflection", Share: 0.4, MinPrompt: 9_000, MaxPrompt: 20_000, TurnTokens: 200, AnswerTokens: 24},
		{Class: "nudge", Share: 0.6, MinPrompt: 4_200, MaxPrompt: 9_000, TurnTokens: 50, AnswerTokens: 8},
	}
)

// NewConversations makes n conversations of the kinds.
func NewConversations(s Source, kinds []Profile, n int) []*Conversation {
	all := make([]*Conversation, n)
	for i := range all {
		kind := pick(s, kinds)
		size := kind.MinPrompt + fleet.Tokens(s.IntN(int(kind.MaxPrompt-kind.MinPrompt)))
		name := string(kind.Class) + "-" + strconv.Itoa(i)
		all[i] = &Conversation{Name: name, Class: kind.Class, Text: s.Text(name, size), TurnTokens: kind.TurnTokens}
	}
	return all
}

func pick(s Source, kinds []Profile) Profile {
	at := s.Float64()
	for _, kind := range kinds {
		if at -= kind.Share; at < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

// AnswerTokens returns how many tokens an answer of the class has.
func AnswerTokens(kinds []Profile, class fleet.Class) fleet.Tokens {
	for _, kind := range kinds {
		if kind.Class == class {
			return kind.AnswerTokens
		}
	}
	return 0
}

// tail is the exponent of the gaps between the returns of a conversation.
const tail = 1.2

// ReturnGap returns the number of requests until a conversation returns, which has a
// heavy tail: most return soon, some after very long.
func (s Source) ReturnGap(shortest float64) int {
	return int(shortest * math.Pow(1-s.Float64(), -1/tail))
}

// Schedule returns the order in which n conversations are asked, each so many
// times on average, with gaps of a heavy tail.
func Schedule(s Source, n, requests int) []int {
	type due struct{ at, who int }
	var pending []due
	for who := range n {
		pending = append(pending, due{s.IntN(requests), who})
	}
	schedule := make([]int, 0, requests)
	for len(schedule) < requests {
		first := 0
		for i := range pending {
			if pending[i].at < pending[first].at {
				first = i
			}
		}
		schedule = append(schedule, pending[first].who)
		pending[first].at += s.ReturnGap(float64(n) / 4)
	}
	return schedule
}
