package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/standin/fakeplatform"
)

var (
	seeds   = flag.Int("seeds", 2, "number of seeds to run")
	first   = flag.Uint64("first", 1, "first seed")
	seconds = flag.Int("seconds", 8, "duration of the fault injection for each seed, in seconds")
	logs    = flag.String("logs", "", "directory for the logs of the hosts; a temporary one if empty")
)

// regressions are seeds of earlier failures, each with a comment on its cause. They
// run before the others.
var regressions = []uint64{}

// build compiles hibiscusfront and returns the path of the binary.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "hibiscusfront")
	output, err := exec.Command("go", "build", "-o", binary, "hibiscuslb/hibiscusfront").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return binary
}

func TestSoak(t *testing.T) {
	binary := build(t)
	list := append([]uint64(nil), regressions...)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, binary, seed) })
	}
}

// TestSIGHUPReloadsSettings checks that SIGHUP makes the process reload its
// settings. Without a handler the signal would end the process.
func TestSIGHUPReloadsSettings(t *testing.T) {
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	h := s.hosts[0]
	h.mu.Lock()
	pid := h.process.Pid
	h.mu.Unlock()
	h.kill(syscall.SIGHUP)
	require.Eventually(t, func() bool {
		text, err := os.ReadFile(h.log.Name())
		return err == nil && strings.Contains(string(text), "settings read again")
	}, 5*time.Second, 50*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Equal(t, pid, h.process.Pid, "SIGHUP must not end the process")
}

// TestLimitedEngineGetsNoMoreThanItsLimit lets engines name limits while callers send more,
// and kills hosts one after the other, the planner among them. In no 4 s later than
// stableWindow may an engine get more than one and a half times its limit and 5 requests. A
// host that starts again has been told nothing; requests that it sends before it is count
// here all the same.
func TestLimitedEngineGetsNoMoreThanItsLimit(t *testing.T) {
	const (
		stableWindow = 3 * time.Second // stableWindowMs of the settings
		span         = 4 * time.Second
		limit        = 2.5
	)
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	callers := s.startCallers(0)
	time.Sleep(2 * time.Second)
	limited := s.targets[:engineCount-1]
	for _, target := range limited {
		target.SetLimit(limit)
	}
	began := time.Now()
	time.Sleep(stableWindow + span)
	for _, h := range s.hosts {
		h.kill(syscall.SIGKILL)
		time.Sleep(stableWindow)
	}
	callers.markRecovered()
	time.Sleep(span)
	callers.stop()
	s.checkResults(t, callers)
	for _, target := range limited {
		arrivals := target.Arrivals()
		most := 0
		for i, at := range arrivals {
			n := 0
			for _, earlier := range arrivals[:i+1] {
				if at.Sub(earlier) <= span && earlier.After(began.Add(stableWindow)) {
					n++
				}
			}
			most = max(most, n)
		}
		require.LessOrEqual(t, most, int(1.5*limit*span.Seconds())+5, "%s", target.ID)
	}
}

// TestBrittleTargetsDoNotFallOver lets all targets be brittle while callers send about twice
// what they can serve, and kills the hosts one after the other. From stableWindow on, targets let no
// request wait and fall over once they turn away more than they withstand.
func TestBrittleTargetsDoNotFallOver(t *testing.T) {
	const (
		stableWindow = 3 * time.Second // stableWindowMs of the settings
		withstands   = 3
	)
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	for _, target := range s.targets {
		target.SetWorkTime(40 * time.Millisecond)
		if target.Model == "" {
			target.SetWorkTime(300 * time.Millisecond)
		}
	}
	callers := s.startCallers(0)
	crowd := s.startCallersOf(0, callerCount, 2*targetSlots*engineCount, "talk")
	crowdOfPlain := s.startCallersOf(0, callerCount+2*targetSlots*engineCount, 2*targetSlots*plainCount, "read")
	for _, target := range s.targets {
		target.SetBrittle(withstands, 0)
	}
	time.Sleep(stableWindow)
	for _, target := range s.targets {
		target.SetBrittle(withstands, targetSlots)
	}
	time.Sleep(stableWindow)
	for _, h := range s.hosts {
		h.kill(syscall.SIGKILL)
		time.Sleep(stableWindow)
	}
	falls, arrivals := make(map[string]int), 0
	for _, target := range s.targets {
		falls[target.Model] += target.Falls()
		arrivals += len(target.Arrivals())
		target.EndBrittle()
		target.SetWorkTime(10 * time.Millisecond)
	}
	crowd.stop()
	crowdOfPlain.stop()
	time.Sleep(stableWindow)
	callers.markRecovered()
	time.Sleep(time.Second)
	callers.stop()
	s.checkResults(t, callers)
	t.Log("falls", falls, "arrivals", arrivals)
	require.LessOrEqual(t, 10*falls[model], 20+engineCount, "engines")
	require.LessOrEqual(t, 10*falls[""], 20+plainCount, "plain targets")
}

// TestClosedEngineGetsNoRequests lets one engine say that it leaves, and another turn requests
// away and ask for a pause. Later than drainTime after it was told, no host may send the first
// one anything; the second one may get two requests of each host until the pause ends.
func TestClosedEngineGetsNoRequests(t *testing.T) {
	const (
		drainTime  = 2 * time.Second // drainMs of the settings
		turnedAway = 1500 * time.Millisecond
		pause      = 5 * time.Second
		slack      = 500 * time.Millisecond // until an answer must have an effect
	)
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	callers := s.startCallers(0)
	time.Sleep(2 * time.Second)
	leaving, paused := s.targets[0], s.targets[1]
	began := time.Now()
	leaving.SetLeaving(true)
	paused.SetPause(pause)
	time.Sleep(turnedAway)
	paused.SetPause(0)
	time.Sleep(pause + drainTime)
	callers.markRecovered()
	time.Sleep(2 * time.Second)
	callers.stop()
	s.checkResults(t, callers)
	count := func(target *target, from, to time.Duration) (n int) {
		for _, at := range target.Arrivals() {
			if at.After(began.Add(from)) && at.Before(began.Add(to)) {
				n++
			}
		}
		return n
	}
	require.Zero(t, count(leaving, drainTime+slack, time.Hour), "the engine that leaves")
	require.LessOrEqual(t, count(paused, turnedAway+slack, pause), 2*len(s.hosts), "the engine that asked for a pause")
	require.NotZero(t, count(paused, turnedAway+pause, time.Hour), "the pause is over")
}

// TestCrashingPartStaysWithheld sends requests with a part that crashes engines. Of those that
// are sent later than stableWindow after the fifth crash, three at most may reach engines.
func TestCrashingPartStaysWithheld(t *testing.T) {
	testCrashesEnd(t, 5, func(i int) *result {
		return &result{kind: "talk", prefix: fmt.Sprintf("aa:10,%s:10,own%d:10", crashPart, i)}
	})
}

// TestCrashingRequestStaysWithheld sends one request that crashes the targets of a plain
// service. Of its copies that are sent later than stableWindow after the third crash, three at
// most may reach targets.
func TestCrashingRequestStaysWithheld(t *testing.T) {
	testCrashesEnd(t, 3, func(int) *result { return &result{kind: "read", path: crashPath} })
}

// testCrashesEnd sends requests that crash targets to all hosts, and kills all hosts at once
// in the middle. Of the requests that are sent later than stableWindow after the given number
// of them reached targets, three at most may reach targets, also after the restart.
func testCrashesEnd(t *testing.T, crashes int, newResult func(i int) *result) {
	const (
		stableWindow = 3 * time.Second // stableWindowMs of the settings
		interval     = 300 * time.Millisecond
		killAfter    = 8 * time.Second
		end          = 18 * time.Second
	)
	s := newSite(t, build(t), 0)
	s.awaitReady(t, 10*time.Second)
	callers := s.startCallers(0)
	client := &http.Client{Timeout: 5 * time.Second}
	var sent []time.Duration
	began, killedAt := time.Now(), time.Duration(0)
	for now := time.Duration(0); now < end; now = time.Since(began) {
		if killedAt == 0 && now >= killAfter {
			killedAt = now
			for _, h := range s.hosts {
				h.kill(syscall.SIGKILL)
			}
		}
		if killedAt > 0 && now > killedAt+2*stableWindow {
			callers.markRecovered()
		}
		r := newResult(len(sent))
		r.id = fmt.Sprint("dead-", len(sent))
		go send(client, s.hosts[len(sent)%len(s.hosts)].callers, r)
		sent = append(sent, now)
		time.Sleep(interval)
	}
	callers.stop()
	s.checkResults(t, callers)
	var ran []time.Duration
	for i, at := range sent {
		for _, target := range s.targets {
			runs, _, _ := target.Runs()
			for range runs[fmt.Sprint("dead-", i)] {
				ran = append(ran, at)
			}
		}
	}
	late := 0
	for _, at := range ran {
		if len(ran) >= crashes && at > ran[crashes-1]+stableWindow && (at < killedAt || at > killedAt+stableWindow) {
			late++
		}
	}
	t.Logf("the requests that reached targets were sent at %v; hosts killed at %v", ran, killedAt)
	require.NotEmpty(t, ran)
	require.LessOrEqual(t, late, 3)
}

// run injects faults for one seed while callers send requests, clears them, and
// checks the results and the service after recovery.
func run(t *testing.T, binary string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := newSite(t, binary, seed)
	s.awaitReady(t, 10*time.Second)
	callers := s.startCallers(seed)
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	for time.Now().Before(end) {
		s.injectRandomFault(random)
		time.Sleep(time.Duration(200+random.IntN(700)) * time.Millisecond)
	}
	s.clearFaults()
	s.awaitReady(t, 15*time.Second)
	time.Sleep(4 * time.Second) // in which a new planner takes over and hosts reconnect to targets
	callers.markRecovered()
	time.Sleep(2 * time.Second)
	callers.stop()
	s.checkResults(t, callers)
	if t.Failed() {
		t.Logf("to reproduce: go test ./internal/soak -seeds 1 -first %d -seconds %d -logs DIR", seed, *seconds)
	}
}

// injectRandomFault injects one random fault or change. Temporary faults end after
// a random pause.
func (s *site) injectRandomFault(random *rand.Rand) {
	h := s.hosts[random.IntN(len(s.hosts))]
	target := s.targets[random.IntN(len(s.targets))]
	pause := time.Duration(200+random.IntN(2800)) * time.Millisecond
	switch random.IntN(14) {
	case 0:
		h.suspend(pause)
	case 1:
		h.kill(syscall.SIGKILL)
	case 2:
		h.kill(syscall.SIGTERM)
	case 3:
		h.store.injectFault("Cut", pause)
	case 4:
		h.store.injectFault("Silent", pause)
	case 5:
		target.path.injectFault("Cut", pause)
	case 6:
		target.path.injectFault("Silent", pause)
	case 7:
		s.store.SetFault(fakeplatform.Refusing)
		time.AfterFunc(pause, func() { s.store.SetFault(fakeplatform.Healthy) })
	case 8:
		s.putWeights()
	case 9:
		s.putConfiguration()
	case 10:
		h.kill(syscall.SIGHUP)
	case 11:
		s.restoreStore(random)
	case 12:
		target.SetLimit(float64(1 + random.IntN(5)))
		time.AfterFunc(pause, func() { target.SetLimit(0) })
	case 13:
		target.SetPause(pause)
		time.AfterFunc(pause/2, func() { target.SetPause(0) })
	}
}

// openLog opens the log file of a host for appending.
func openLog(t *testing.T, seed uint64, name string) *os.File {
	t.Helper()
	directory := *logs
	if directory == "" {
		directory = t.TempDir()
	}
	file, err := os.OpenFile(filepath.Join(directory, fmt.Sprintf("%d-%s.log", seed, name)),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return file
}
