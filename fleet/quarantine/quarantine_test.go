package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/prompt"
	"hibiscuslb/fleet/quarantine"
)

func at(d time.Duration) fleet.Instant { return fleet.Instant(time.Hour + d) }

// newPrompt returns a prompt with the given shared parts and a last part of its own.
func newPrompt(shared ...prompt.PartID) *prompt.Prompt {
	p := new(prompt.Prompt)
	for _, id := range append(shared, "own") {
		p.Parts = append(p.Parts, prompt.Part{ID: id})
	}
	return p
}

// onPrompts returns suspects with the prompts.
func onPrompts(prompts ...*prompt.Prompt) []quarantine.Suspect {
	var suspects []quarantine.Suspect
	for _, p := range prompts {
		suspects = append(suspects, quarantine.Suspect{Prompt: p})
	}
	return suspects
}

// crash records crashes one second apart, with complete answers to other prompts before
// each, and returns the instant after the last one.
func crash(l *quarantine.Ledger, from time.Duration, n int, suspects ...*prompt.Prompt) time.Duration {
	for i := range n {
		for range 10 {
			l.RecordSuccess("", newPrompt("elsewhere"))
		}
		l.RecordCrash(at(from+time.Duration(i)*time.Second), onPrompts(suspects...))
	}
	return from + time.Duration(n)*time.Second
}

func requireVerdict(t *testing.T, l *quarantine.Ledger, now time.Duration, want quarantine.Verdict, p *prompt.Prompt) {
	t.Helper()
	got, after := l.Check(at(now), "", p)
	require.Equal(t, want, got)
	require.Equal(t, want == quarantine.Refused, after > 0, "a refusal, and nothing else, says when to come back")
}

func ExampleLedger() {
	var l quarantine.Ledger
	bad := newPrompt("system", "bad")
	for i := range 3 {
		l.RecordCrash(at(time.Duration(i)*time.Second), onPrompts(bad))
		for range 10 {
			l.RecordSuccess("", newPrompt("system", "sound")) // clears the part "system"
		}
	}
	verdict, after := l.Check(at(10*time.Second), "", bad)
	fmt.Println(verdict == quarantine.Refused, after)
	verdict, _ = l.Check(at(10*time.Second), "", newPrompt("system", "sound"))
	fmt.Println(verdict == quarantine.Allowed)
	// Output:
	// true 22s
	// true
}

func TestPartIsWithheldOnlyWithoutSuccess(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []prompt.PartID // of the prompt that succeeds after the second crash
		want  quarantine.Verdict
	}{
		{"no success", nil, quarantine.Refused},
		{"success without the part", []prompt.PartID{"other"}, quarantine.Refused},
		{"success with the part", []prompt.PartID{"x"}, quarantine.Allowed},
		{"success with the part among others", []prompt.PartID{"other", "x"}, quarantine.Allowed},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l quarantine.Ledger
			now := crash(&l, 0, 2, newPrompt("x"))
			requireVerdict(t, &l, now, quarantine.Allowed, newPrompt("x"))
			l.RecordSuccess("", newPrompt(test.parts...))
			now = crash(&l, now, 1, newPrompt("x"))
			requireVerdict(t, &l, now, test.want, newPrompt("x"))
		})
	}
}

func TestLastPartIsNeverWithheld(t *testing.T) {
	var l quarantine.Ledger
	now := crash(&l, 0, 5, newPrompt())
	requireVerdict(t, &l, now, quarantine.Allowed, newPrompt())
	requireVerdict(t, &l, now, quarantine.Allowed, nil)
}

func TestCrashesAtOnceChargePartOnce(t *testing.T) {
	var l quarantine.Ledger
	for i := range 10 {
		l.RecordCrash(at(time.Duration(i)*20*time.Millisecond), onPrompts(newPrompt("x")))
	}
	requireVerdict(t, &l, time.Second, quarantine.Allowed, newPrompt("x"))
}

// Load pattern: the engines of a service fail one after the other, and no answer is
// complete meanwhile. That says nothing about prompts, and least of all about a part that
// is in all of them.
func TestCrashesWithoutSuccessesWithholdNothing(t *testing.T) {
	var l quarantine.Ledger
	for i := range 10 {
		l.RecordCrash(at(time.Duration(i)*time.Second), onPrompts(newPrompt("system", "x"), newPrompt("system", "y")))
	}
	for _, part := range []prompt.PartID{"system", "x", "y"} {
		requireVerdict(t, &l, 10*time.Second, quarantine.Allowed, newPrompt(part))
	}
}

// A crash of an engine with a withheld part says nothing about the requests beside it.
func TestWithheldPartExplainsCrash(t *testing.T) {
	var l quarantine.Ledger
	now := crash(&l, 0, 3, newPrompt("bad"))
	now = crash(&l, now, 5, newPrompt("bad"), newPrompt("beside"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("bad"))
	requireVerdict(t, &l, now, quarantine.Allowed, newPrompt("beside"))
}

// One of two parts that occur together crashes engines. Requests with the other one must
// be served again after one trial.
func TestTrialTellsPartsApart(t *testing.T) {
	var l quarantine.Ledger
	now := crash(&l, 0, 3, newPrompt("sound", "bad"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("sound", "bad"))
	requireVerdict(t, &l, now, quarantine.Trial, newPrompt("sound"))
	l.RecordSent(at(now), "", newPrompt("sound"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("sound"))
	l.RecordSuccess("", newPrompt("sound"))
	requireVerdict(t, &l, now, quarantine.Allowed, newPrompt("sound"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("sound", "bad"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("bad"))
}

func TestTrialsBecomeRarer(t *testing.T) {
	var l quarantine.Ledger
	bad := newPrompt("bad")
	now := crash(&l, 0, 3, bad) - time.Second // of the last crash
	trials, last := 0, now
	for ; now < time.Hour; now += time.Second {
		if verdict, _ := l.Check(at(now), "", bad); verdict == quarantine.Trial {
			trials++
			require.GreaterOrEqual(t, now-last, quarantine.FirstTrial)
			last = now
			l.RecordSent(at(now), "", bad)
			l.RecordCrash(at(now+100*time.Millisecond), onPrompts(bad))
		}
	}
	require.Greater(t, trials, 3)
	require.Less(t, trials, 15)
}

func TestListPassesOnWhatIsKnown(t *testing.T) {
	var l, successor quarantine.Ledger
	now := crash(&l, 0, 2, newPrompt("bad"), newPrompt("suspect"))
	now = crash(&l, now, 1, newPrompt("bad"))
	crash(&l, now, 1, newPrompt("once"))
	list := l.List()
	require.Equal(t, quarantine.List{{Part: "bad", Crashes: 3}, {Part: "suspect", Crashes: 2}}, list)
	require.True(t, list.Withholds("", newPrompt("a", "bad")))
	require.False(t, list.Withholds("", newPrompt("suspect")))
	require.False(t, list.Withholds("", nil))

	data, err := json.Marshal(list)
	require.NoError(t, err)
	var decoded quarantine.List
	require.NoError(t, json.Unmarshal(data, &decoded))
	successor.Restore(at(now), decoded)
	requireVerdict(t, &successor, now, quarantine.Refused, newPrompt("bad"))
	now = crash(&successor, now+time.Second, 1, newPrompt("suspect"))
	requireVerdict(t, &successor, now, quarantine.Refused, newPrompt("suspect"))

	successor.Restore(at(now), nil)
	requireVerdict(t, &successor, now, quarantine.Allowed, newPrompt("bad"))
}

// A restored list must not put trials off for ever when it arrives again and again.
func TestRestoreKeepsTrialTime(t *testing.T) {
	var l quarantine.Ledger
	list := quarantine.List{{Part: "bad", Crashes: 3}}
	for now := time.Duration(0); now <= quarantine.FirstTrial; now += time.Second {
		l.Restore(at(now), list)
	}
	requireVerdict(t, &l, quarantine.FirstTrial, quarantine.Trial, newPrompt("bad"))
}

func TestLedgerAndListAreBounded(t *testing.T) {
	var l quarantine.Ledger
	for i := range 10_000 {
		crash(&l, time.Duration(i)*10*time.Millisecond, 1+i%2, newPrompt(prompt.PartID(fmt.Sprint(i))))
	}
	require.LessOrEqual(t, len(l.List()), 32)
	now := crash(&l, 200*time.Second, 3, newPrompt("bad"))
	requireVerdict(t, &l, now, quarantine.Refused, newPrompt("bad"))
}
