package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"hibiscuslb/fleet"
)

// event is the data of one server-sent event: a piece of text, the final usage, or
// an error.
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

// readStream reads a host's stream of server-sent events and assembles the
// completion. It checks that the stream is complete: it must end with a usage event,
// whose number of tokens equals that of the pieces received, and the [DONE] event.
func readStream(host fleet.Address, body io.Reader, start time.Time) (*Completion, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineLength)
	var text strings.Builder
	result := new(Completion)
	var last time.Time
	pieces, hasUsage := fleet.Tokens(0), false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if !hasUsage || pieces != result.Tokens {
				return nil, fmt.Errorf("caller: host %s: received %d pieces, want %d as in the usage event (usage event received: %t)",
					host, pieces, result.Tokens, hasUsage)
			}
			result.Text = text.String()
			return result, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return nil, fmt.Errorf("caller: host %s: malformed event in stream: %w", host, err)
		}
		switch {
		case e.Error != nil:
			return nil, e.Error.error()
		case e.Usage != nil:
			hasUsage = true
			result.Tokens, result.PromptTokens, result.CachedTokens = e.Usage.Completion, e.Usage.Prompt, e.Usage.Cached
		case len(e.Choices) == 1:
			now := time.Now()
			if pieces == 0 {
				result.FirstToken = now.Sub(start)
			} else {
				result.PieceGaps = append(result.PieceGaps, now.Sub(last))
			}
			last = now
			pieces++
			text.WriteString(e.Choices[0].Text)
		}
	}
	return nil, fmt.Errorf("caller: host %s: stream ended before its [DONE] event", host)
}

// refusal is the error object of a refused or failed request.
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
	result.RetryAfter, _ = time.ParseDuration(r.RetryAfter) // zero if it is missing
	return result
}
