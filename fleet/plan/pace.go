package plan

import (
	"time"

	"hibiscuslb/fleet"
)

// pace is the planner's estimate of how long the engines of a service take to the
// first piece of an answer: a fixed time, and a time for each token that has to be
// read. It is a least-squares line through the times of the newest answers, and of
// two assumed answers that keep the line defined while all prompts have the same
// length. The zero value consists of the assumed answers only.
//
// It handles engines of any speed. The wait for an engine, the choice between
// fetching and reading, lateness and the time of a retry all depend on it.
type pace struct {
	// Weighted sums over the answers, where x is thousands of tokens read and y
	// the time in milliseconds.
	n, x, y, xx, xy float64
}

const (
	// assumedReadRate and assumedFirstStep are the pace of the assumed answers.
	// Each has assumedWeight of a real one.
	assumedReadRate  = fleet.TokenRate(60_000)
	assumedFirstStep = 12 * time.Millisecond
	// assumedTokens is the length of the prompt of the second assumed answer;
	// the first has no tokens to read.
	assumedTokens = fleet.Tokens(4_000)
	assumedWeight = 0.1
	// busyWeight is the weight of a time between two first pieces of a busy engine,
	// compared with one of an idle engine. It is small because the engine also writes
	// answers meanwhile.
	busyWeight = 0.1
	// paceDecay multiplies the weight of older answers with each new one.
	paceDecay = 0.98
	// maxPaceError bounds an answer's time to this multiple of the expected
	// time, since a single answer may be late for other reasons.
	maxPaceError = 3.0
	// minReadRate and maxReadRate bound the estimate.
	minReadRate fleet.TokenRate = 1_000
	maxReadRate fleet.TokenRate = 2_000_000
)

// line returns the fixed time and the time for each thousand tokens, both in
// milliseconds.
func (p *pace) line() (fixed, perThousand float64) {
	const assumedX = float64(assumedTokens) / 1e3
	firstStep := milliseconds(assumedFirstStep)
	assumedY := firstStep + milliseconds(assumedReadRate.Time(assumedTokens))
	n, x, y := p.n+2*assumedWeight, p.x+assumedWeight*assumedX, p.y+assumedWeight*(firstStep+assumedY)
	xx, xy := p.xx+assumedWeight*assumedX*assumedX, p.xy+assumedWeight*assumedX*assumedY
	perThousand = (n*xy - x*y) / (n*xx - x*x)
	perThousand = min(max(perThousand, milliseconds(maxReadRate.Time(1e3))), milliseconds(minReadRate.Time(1e3)))
	return max(0, (y-perThousand*x)/n), perThousand
}

// readTime returns the time to read the tokens.
func (p *pace) readTime(tokens fleet.Tokens) time.Duration {
	_, perThousand := p.line()
	return time.Duration(perThousand * float64(tokens) / 1e3 * float64(time.Millisecond))
}

// firstStep returns the time from the last prompt token to the first piece, with the
// network round trip between host and engine and the delay of the host's report.
func (p *pace) firstStep() time.Duration {
	fixed, _ := p.line()
	return time.Duration(fixed * float64(time.Millisecond))
}

// observeNext records the time between two first pieces of a busy engine, in which it
// read the given tokens of the second prompt. It has no part of the fixed time, so it
// tells the time for a token even if all prompts have the same length.
func (p *pace) observeNext(tokens fleet.Tokens, took time.Duration) {
	took = min(took, time.Duration(maxPaceError*float64(p.readTime(tokens))))
	x, y := float64(tokens)/1e3, milliseconds(took)
	p.xx += busyWeight * x * x
	p.xy += busyWeight * x * y
}

// observe records the time to the first piece of an answer for which an idle engine
// had to read the given tokens.
func (p *pace) observe(tokens fleet.Tokens, took time.Duration) {
	took = min(took, time.Duration(maxPaceError*float64(p.firstStep()+p.readTime(tokens))))
	x, y := float64(tokens)/1e3, milliseconds(took)
	p.n = paceDecay*p.n + 1
	p.x = paceDecay*p.x + x
	p.y = paceDecay*p.y + y
	p.xx = paceDecay*p.xx + x*x
	p.xy = paceDecay*p.xy + x*y
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
