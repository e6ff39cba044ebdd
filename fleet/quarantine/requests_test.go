package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/quarantine"
)

// suspect returns a request of workspace w that was sent and ended at the given times.
func suspect(request quarantine.Fingerprint, sent, ended time.Duration) quarantine.Suspect {
	return quarantine.Suspect{Request: request, Workspace: "w", Sent: at(sent), Ended: at(ended)}
}

func requireRequestVerdict(t *testing.T, l *quarantine.Ledger, now time.Duration, want quarantine.Verdict, request quarantine.Fingerprint) {
	t.Helper()
	got, after := l.Check(at(now), request, nil)
	require.Equal(t, want, got)
	require.Equal(t, want == quarantine.Refused, after > 0)
}

const ms = time.Millisecond

// Load pattern: the four targets of a service end within a third of a second, under copies of
// one request.
func TestRequestIsChargedWithEachCrash(t *testing.T) {
	var l quarantine.Ledger
	for i, ended := range []time.Duration{308 * ms, 434 * ms, 477 * ms} {
		requireRequestVerdict(t, &l, ended, quarantine.Allowed, "bad")
		l.RecordCrash(at(ended), []quarantine.Suspect{suspect("bad", 300*ms, ended), suspect(quarantine.Fingerprint(fmt.Sprint("beside", i)), 0, ended)})
	}
	requireRequestVerdict(t, &l, time.Second, quarantine.Refused, "bad")
	requireRequestVerdict(t, &l, time.Second, quarantine.Allowed, "beside0")
	require.True(t, l.List().Withholds("bad", nil))
	require.False(t, l.List().Withholds("", nil))
}

// Load pattern: all targets of a rack end in the same moment, each with a copy of a request
// that is sent often.
func TestRequestIsChargedOnceForJointFailure(t *testing.T) {
	var l quarantine.Ledger
	for i := range 5 {
		ended := time.Second + time.Duration(i)*4*ms
		l.RecordCrash(at(ended), []quarantine.Suspect{suspect("often", 900*ms, ended)})
	}
	requireRequestVerdict(t, &l, 2*time.Second, quarantine.Allowed, "often")
}

// Load pattern: copies of one request end the four targets of a service in the same moment, and
// the copies of all callers come again when the targets are back.
func TestRequestOfJointCrashesIsSentToOneTargetAtATime(t *testing.T) {
	joint := func() *quarantine.Ledger {
		var l quarantine.Ledger
		for i := range 4 {
			ended := time.Second + time.Duration(i)*4*ms
			l.RecordCrash(at(ended), []quarantine.Suspect{suspect("doubtful", 900*ms, ended)})
		}
		require.False(t, l.List().Withholds("doubtful", nil), "a rack may have failed")
		return &l
	}
	bad := joint()
	var successor quarantine.Ledger
	successor.Restore(at(2*time.Second), bad.List())
	for _, l := range []*quarantine.Ledger{bad, &successor} {
		requireRequestVerdict(t, l, 4*time.Second, quarantine.Allowed, "doubtful")
		l.RecordSent(at(4*time.Second), "doubtful", nil)
		requireRequestVerdict(t, l, 4*time.Second+100*ms, quarantine.Refused, "doubtful")
		l.RecordCrash(at(4*time.Second+300*ms), []quarantine.Suspect{suspect("doubtful", 4*time.Second, 4*time.Second+100*ms)})
		requireRequestVerdict(t, l, 30*time.Second, quarantine.Refused, "doubtful")
		requireRequestVerdict(t, l, 4*time.Second+100*ms+quarantine.FirstTrial, quarantine.Trial, "doubtful")
	}

	sound := joint()
	sound.RecordSent(at(4*time.Second), "doubtful", nil)
	sound.RecordSuccess("doubtful", nil)
	requireRequestVerdict(t, sound, 4*time.Second+100*ms, quarantine.Allowed, "doubtful")
}

func TestCompleteAnswerClearsRequest(t *testing.T) {
	var l quarantine.Ledger
	for i := range 10 {
		now := time.Duration(i) * time.Second
		l.RecordCrash(at(now), []quarantine.Suspect{suspect("sound", now-10*ms, now)})
		if i%2 == 1 {
			l.RecordSuccess("sound", nil)
		}
		requireRequestVerdict(t, &l, now, quarantine.Allowed, "sound")
	}
}

// Load pattern: the trial of a withheld request ends a target with sound requests on it, which
// were beside it twice before.
func TestWithheldRequestExplainsCrash(t *testing.T) {
	var l quarantine.Ledger
	for i := range 3 {
		now := time.Duration(i) * time.Second
		suspects := []quarantine.Suspect{suspect("bad", now-10*ms, now)}
		if i > 0 {
			suspects = append(suspects, suspect("beside", now-10*ms, now))
		}
		l.RecordCrash(at(now), suspects)
	}
	trial := 2*time.Second + quarantine.FirstTrial
	requireRequestVerdict(t, &l, trial-ms, quarantine.Refused, "bad")
	requireRequestVerdict(t, &l, trial, quarantine.Trial, "bad")
	l.RecordSent(at(trial), "bad", nil)
	requireRequestVerdict(t, &l, trial, quarantine.Refused, "bad")
	l.RecordCrash(at(trial+ms), []quarantine.Suspect{suspect("bad", trial, trial+ms), suspect("beside", trial, trial+ms)})
	requireRequestVerdict(t, &l, trial+ms, quarantine.Allowed, "beside")
	requireRequestVerdict(t, &l, trial+quarantine.FirstTrial+2*ms, quarantine.Refused, "bad")
}

// Load pattern: a request that many callers send is on each of the targets that end within a
// third of a second under another one.
func TestSoundRequestBesideCrashingOneIsSoonServedAgain(t *testing.T) {
	var l quarantine.Ledger
	for i := range 3 {
		now := time.Duration(i) * 100 * ms
		l.RecordCrash(at(now), []quarantine.Suspect{suspect("bad", now-10*ms, now), suspect("often", now-10*ms, now)})
	}
	requireRequestVerdict(t, &l, 300*ms, quarantine.Refused, "bad")
	requireRequestVerdict(t, &l, 300*ms, quarantine.Refused, "often")
	for now := 300 * ms; now < 20*time.Second; now += 100 * ms {
		for _, request := range []quarantine.Fingerprint{"bad", "often"} {
			if v, _ := l.Check(at(now), request, nil); v != quarantine.Trial {
				continue
			}
			l.RecordSent(at(now), request, nil)
			if request == "often" {
				l.RecordSuccess(request, nil)
				continue
			}
			l.RecordCrash(at(now+ms), []quarantine.Suspect{suspect("bad", now, now+ms)})
		}
	}
	requireRequestVerdict(t, &l, 3*time.Second, quarantine.Allowed, "often")
	require.Equal(t, quarantine.List{{Request: "bad", Workspace: "w", Crashes: 4}}, l.List(), "one trial each")
}

// Load pattern: a bad request and a sound one are withheld for the same crash. Meanwhile another
// target ends under copies of both, another host takes the duty over, or the target of the sound
// one's trial can't be reached. The sound one must soon get a trial all the same.
func TestTiedRequestsSoonGetTrials(t *testing.T) {
	withheld := func() *quarantine.Ledger {
		var l quarantine.Ledger
		for i := range 3 {
			now := time.Duration(i) * 100 * ms
			l.RecordCrash(at(now+200*ms), []quarantine.Suspect{suspect("bad", now-10*ms, now), suspect("often", now-10*ms, now)})
		}
		return &l
	}
	for name, change := range map[string]func(l *quarantine.Ledger) *quarantine.Ledger{
		"another crash": func(l *quarantine.Ledger) *quarantine.Ledger {
			l.RecordCrash(at(600*ms), []quarantine.Suspect{suspect("bad", 250*ms, 300*ms), suspect("often", 350*ms, 400*ms)})
			return l
		},
		"another planner": func(l *quarantine.Ledger) *quarantine.Ledger {
			successor := new(quarantine.Ledger)
			successor.Restore(at(300*ms), l.List())
			return successor
		},
		"trial without a result": func(l *quarantine.Ledger) *quarantine.Ledger {
			l.RecordSent(at(2200*ms), "often", nil)
			requireRequestVerdict(t, l, 2200*ms, quarantine.Refused, "often")
			return l
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := change(withheld())
			requireRequestVerdict(t, l, 8*time.Second, quarantine.Trial, "often")
			l.RecordSent(at(8*time.Second), "often", nil)
			l.RecordSuccess("often", nil)
			requireRequestVerdict(t, l, 8*time.Second+100*ms, quarantine.Allowed, "often")
			requireRequestVerdict(t, l, 8*time.Second+100*ms, quarantine.Refused, "bad") // not beside the other's trial
			requireRequestVerdict(t, l, 9*time.Second, quarantine.Trial, "bad")
			l.RecordSent(at(9*time.Second), "bad", nil)
			l.RecordCrash(at(9*time.Second+100*ms), []quarantine.Suspect{suspect("bad", 9*time.Second, 9*time.Second+100*ms)})
			requireRequestVerdict(t, l, 9*time.Second+quarantine.FirstTrial, quarantine.Refused, "bad")
		})
	}
}

// TestRequestsChargedTogetherSoonGetTrials guards against a sound request of all callers that is withheld for
// FirstTrial beside a bad one.
//
// Load pattern: both are on targets that crash. The bad one is sent by hosts that choose for a planner which can't be
// reached, so that some crashes are charged to one of the two alone.
func TestRequestsChargedTogetherSoonGetTrials(t *testing.T) {
	for _, restored := range []bool{false, true} {
		for _, order := range [][]quarantine.Fingerprint{{"often", "bad"}, {"bad", "often"}} {
			t.Run(fmt.Sprintf("%s first/restored %t", order[0], restored), func(t *testing.T) {
				l := new(quarantine.Ledger)
				crash := func(now time.Duration, requests ...quarantine.Fingerprint) {
					var suspects []quarantine.Suspect
					for _, request := range requests {
						suspects = append(suspects, suspect(request, now-10*ms, now))
					}
					l.RecordCrash(at(now), suspects)
				}
				crash(0, "bad", "often")
				crash(300*ms, "bad", "often")
				if restored {
					successor := new(quarantine.Ledger)
					successor.Restore(at(400*ms), l.List())
					l = successor
				}
				crash(time.Second, order[0])
				requireRequestVerdict(t, l, 1500*ms, quarantine.Refused, order[0])
				requireRequestVerdict(t, l, 1500*ms, quarantine.Allowed, order[1])
				crash(2*time.Second, order[1])
				arrivals := 0
				for now := 2 * time.Second; now < 30*time.Second; now += 100 * ms {
					if v, _ := l.Check(at(now), "bad", nil); v != quarantine.Refused {
						arrivals++
						l.RecordSent(at(now), "bad", nil)
						crash(now+20*ms, "bad")
					}
					if v, _ := l.Check(at(now), "often", nil); v != quarantine.Refused {
						l.RecordSent(at(now), "often", nil)
						l.RecordSuccess("often", nil)
					} else {
						require.Less(t, now, 6*time.Second)
					}
				}
				require.LessOrEqual(t, arrivals, 1)
			})
		}
	}
}

// Load pattern: a workspace makes up thousands of requests, each of which crashes targets.
func TestWorkspaceDoesNotPushOutRequestsOfOthers(t *testing.T) {
	var l quarantine.Ledger
	crash := func(n int, workspace fleet.WorkspaceID, request quarantine.Fingerprint, crashes int) {
		for i := range crashes {
			ended := time.Duration(n)*ms + time.Duration(i)*time.Second
			l.RecordCrash(at(ended), []quarantine.Suspect{{Request: request, Workspace: workspace, Sent: at(ended), Ended: at(ended)}})
		}
	}
	crash(0, "other", "other's", 3)
	for n := range 10_000 {
		crash(n, "flood", quarantine.Fingerprint(fmt.Sprint("made up ", n)), 3)
	}
	list := l.List()
	require.LessOrEqual(t, len(list), 32)
	require.True(t, list.Withholds("other's", nil))
	requireRequestVerdict(t, &l, 3*time.Second, quarantine.Refused, "other's")

	var successor quarantine.Ledger
	successor.Restore(at(0), list)
	requireRequestVerdict(t, &successor, time.Second, quarantine.Refused, "other's")
	require.Equal(t, list, successor.List())
}
