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
	Name  string
	Class fleet.Class
	Text  string
	Turn  fleet.Tokens // that each return adds
}

// Grow adds a turn.
func (c *Conversation) Grow(s Source) {
	c.Text += s.Text(" turn", c.Turn)
}

// A Kind describes the conversations of one class.
type Kind struct {
	Class    fleet.Class
	Share    float64      // of all conversations
	Shortest fleet.Tokens // prompt
	Longest  fleet.Tokens
	Turn     fleet.Tokens
	Answer   fleet.Tokens
}

// Kinds of the two deployments.
var (
	// Kandyan's clerks and agents lean on long shared files.
	Kandyan = []Kind{
		{Class: "summary", Share: 0.7, Shortest: 12_000, Longest: 28_000, Turn: 200, Answer: 24},
		{Class: "lookup", Share: 0.3, Shortest: 4_200, Longest: 9_000, Turn: 100, Answer: 8},
	}
	// Kypseli's members get reflections and nudges.
	Kypseli = []Kind{
		{Class: "reflection", Share: 0.4, Shortest: 9_000, Longest: 20_000, Turn: 200, Answer: 24},
		{Class: "nudge", Share: 0.6, Shortest: 4_200, Longest: 9_000, Turn: 50, Answer: 8},
	}
)

// Conversations makes n conversations of the kinds.
func Conversations(s Source, kinds []Kind, n int) []*Conversation {
	all := make([]*Conversation, n)
	for i := range all {
		kind := pick(s, kinds)
		size := kind.Shortest + fleet.Tokens(s.IntN(int(kind.Longest-kind.Shortest)))
		name := string(kind.Class) + "-" + strconv.Itoa(i)
		all[i] = &Conversation{Name: name, Class: kind.Class, Text: s.Text(name, size), Turn: kind.Turn}
	}
	return all
}

func pick(s Source, kinds []Kind) Kind {
	at := s.Float64()
	for _, kind := range kinds {
		if at -= kind.Share; at < 0 {
			return kind
		}
	}
	return kinds[len(kinds)-1]
}

// AnswerOf returns how many tokens an answer of the class has.
func AnswerOf(kinds []Kind, class fleet.Class) fleet.Tokens {
	for _, kind := range kinds {
		if kind.Class == class {
			return kind.Answer
		}
	}
	return 0
}

// tail is the exponent of the gaps between the returns of a conversation.
const tail = 1.2

// Gap returns the number of requests until a conversation returns, which has a
// heavy tail: most return soon, some after very long.
func (s Source) Gap(shortest float64) int {
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
		pending[first].at += s.Gap(float64(n) / 4)
	}
	return schedule
}
