package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// event is what one server-sent event may hold.
type event struct {
	Choices []struct {
		Text         string
		FinishReason *string `json:"finish_reason"`
	}
	Usage *struct {
		Prompt     fleet.Tokens `json:"prompt_tokens"`
		Completion fleet.Tokens `json:"completion_tokens"`
		Cached     fleet.Tokens `json:"cached_tokens"`
	}
	Error *refusal
}

var (
	errCut   = errors.New("caller: answer ended without its end mark")
	errCount = errors.New("caller: answer has another length than its end mark says")
)

// readStream puts an answer together and checks that it is whole.
func readStream(body io.Reader, begun time.Time) (*Completion, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, lineLimit)
	var text strings.Builder
	result := new(Completion)
	var last time.Time
	pieces, ended := fleet.Tokens(0), false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if !ended || pieces != result.Tokens {
				return nil, errCount
			}
			result.Text = text.String()
			return result, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return nil, fmt.Errorf("caller: bad event: %w", err)
		}
		switch {
		case e.Error != nil:
			return nil, e.Error.error()
		case e.Usage != nil:
			ended = true
			result.Tokens, result.PromptTokens, result.CachedTokens = e.Usage.Completion, e.Usage.Prompt, e.Usage.Cached
		case len(e.Choices) == 1:
			now := time.Now()
			if pieces == 0 {
				result.FirstToken = now.Sub(begun)
			} else {
				result.PieceGaps = append(result.PieceGaps, now.Sub(last))
			}
			last = now
			pieces++
			text.WriteString(e.Choices[0].Text)
		}
	}
	return nil, errCut
}

// refusal is the body of a refusal.
type refusal struct {
	Reason     fleet.Reason
	Outcome    string
	Detail     string
	RetryAfter string
}

func (r *refusal) error() error {
	result := &fleet.RefusalError{Reason: r.Reason, Detail: r.Detail, Outcome: fleet.OutcomeUnknown}
	for _, outcome := range []fleet.Outcome{fleet.OutcomeNotRun, fleet.OutcomeRan} {
		if r.Outcome == outcome.String() {
			result.Outcome = outcome
		}
	}
	result.RetryAfter, _ = time.ParseDuration(r.RetryAfter) // zero if there is none
	return result
}
