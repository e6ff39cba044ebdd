package e2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/standin/script"
)

// load is a set of callers that send prompts one after the other until stop is
// called.
type load struct {
	b                *testbed
	done             chan struct{}
	callers          sync.WaitGroup
	mu               sync.Mutex
	complete         int
	completeByCaller []int // complete answers of each caller
	errs             []error
}

// startLoad starts the given number of callers, alternately of two workspaces. Each
// pair of callers of different workspaces sends the same prompts. Every caller
// checks the contents of its answers.
func (b *testbed) startLoad(callers int, tokens fleet.Tokens) *load {
	l := &load{b: b, done: make(chan struct{}), completeByCaller: make([]int, callers)}
	for i := range callers {
		l.callers.Go(func() { l.run(i, tokens) })
	}
	return l
}

func (l *load) run(index int, tokens fleet.Tokens) {
	for n := 0; ; n++ {
		select {
		case <-l.done:
			return
		default:
		}
		client := []*caller.Client{l.b.caller, l.b.agentsCaller}[index%2]
		text := fmt.Sprintf("pair %d asks %d %s", index/2, n%5, strings.Repeat("long file ", 2000))
		prompt := caller.CompletionRequest{Model: "answer", Text: text, MaxTokens: tokens}
		answer, err := client.Complete(context.Background(), prompt)
		if err == nil && answer.Text != script.New([]byte(text)).Answer(tokens) {
			err = fmt.Errorf("caller %d: answer of %d bytes differs from the script", index, len(answer.Text))
		}
		l.mu.Lock()
		if err == nil {
			l.complete++
			l.completeByCaller[index]++
		} else {
			l.errs = append(l.errs, err)
		}
		l.mu.Unlock()
	}
}

// awaitAnswers waits for n more complete answers.
func (l *load) awaitAnswers(n int) {
	l.b.t.Helper()
	goal := l.count() + n
	l.b.eventually(fmt.Sprintf("%d more complete answers", n), func() bool { return l.count() >= goal })
}

// awaitAnswerForEachCaller waits until every caller has received a complete answer
// to a prompt that it sends after this call. The first answer may belong to a
// prompt that was sent before, so it waits for two.
func (l *load) awaitAnswerForEachCaller() {
	l.b.t.Helper()
	l.mu.Lock()
	goals := slices.Clone(l.completeByCaller)
	l.mu.Unlock()
	l.b.eventually("an answer to a new prompt for every caller", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, goal := range goals {
			if l.completeByCaller[i] < goal+2 {
				return false
			}
		}
		return true
	})
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// stop stops the callers and returns the errors of their requests.
func (l *load) stop() []error {
	close(l.done)
	l.callers.Wait()
	return l.errs
}
