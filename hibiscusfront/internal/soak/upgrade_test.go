package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	oldBuilds = flag.String("old", "", "commits of the old builds, separated by commas; the one in production if empty")
	upgrades  = flag.Int("upgrades", 1, "number of seeds of the rolling upgrade")
)

// git runs git and returns what it prints. The test fails if git does.
func git(t *testing.T, arguments ...string) string {
	t.Helper()
	output, err := exec.Command("git", arguments...).CombinedOutput()
	require.NoError(t, err, "git %v: %s", arguments, output)
	return strings.TrimSpace(string(output))
}

// inProduction returns the commit that deploy/system.toml names.
func inProduction(t *testing.T) string {
	t.Helper()
	file := filepath.Join(git(t, "rev-parse", "--show-toplevel"), "deploy", "system.toml")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	named := regexp.MustCompile(`(?m)^production = "([0-9a-f]{40})"$`).FindSubmatch(text)
	require.NotNil(t, named, "%s names no commit as production", file)
	return string(named[1])
}

// buildCommit compiles hibiscusfront as of a commit of the repository's history and returns the
// path of the binary.
func buildCommit(t *testing.T, commit string) string {
	t.Helper()
	directory := t.TempDir()
	hash, err := exec.Command("git", "rev-parse", "--verify", "--end-of-options", commit+"^{commit}").Output()
	require.NoError(t, err, "the history has no commit %s; a clone needs the whole history", commit)
	source, binary := filepath.Join(directory, "source"), filepath.Join(directory, "hibiscusfront")
	git(t, "worktree", "add", "--detach", source, strings.TrimSpace(string(hash)))
	t.Cleanup(func() { git(t, "worktree", "remove", "--force", source) })
	command := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "hibiscuslb/hibiscusfront")
	command.Dir = source
	output, err := command.CombinedOutput()
	require.NoError(t, err, "commit %s: %s", commit, output)
	t.Logf("old build: %s", hash)
	return binary
}

// TestRollingUpgrade replaces hosts of old builds one after the other by hosts of today's, first
// under faults, then without unplanned ones, and partly back.
func TestRollingUpgrade(t *testing.T) {
	commits := strings.Split(*oldBuilds, ",")
	if *oldBuilds == "" {
		commits = []string{inProduction(t)}
	}
	var old []string
	for _, commit := range commits {
		old = append(old, buildCommit(t, commit))
	}
	today := build(t)
	t.Logf("today's build: %s, files changed since: %q", git(t, "rev-parse", "HEAD"), git(t, "status", "--short"))
	for i := range *upgrades {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			u := &upgrade{old: old, today: today, seed: seed, random: rand.New(rand.NewPCG(seed, 1))}
			u.run(t)
			if t.Failed() {
				t.Logf("to reproduce: go test ./internal/soak -run RollingUpgrade -upgrades 1 -first %d -old %s -logs DIR", seed, strings.Join(commits, ","))
			}
		})
	}
}

// The bounds of the settings.
const (
	stableWindow   = 3 * time.Second
	versionTime    = 6 * time.Second
	drainTime      = 2 * time.Second
	applyTime      = 2 * time.Second
	retrySlack     = 54
	retryShare     = 0.2
	retryWindow    = 10 * time.Second
	upgradeLimit   = 2.5                    // requests a second that an engine names
	limitSpan      = 4 * time.Second        // over which they are counted
	toldTime       = 500 * time.Millisecond // until an answer must have an effect
	lateOrders     = 9 * time.Second        // by which engines carry orders out late
	betweenActions = 900 * time.Millisecond
	eventTime      = 30 * time.Millisecond // of streams
	streamCallers  = 4                     // that ask for streams only
)

// upgrade is one play of a rolling upgrade.
type upgrade struct {
	*site
	old    []string // binaries
	today  string
	seed   uint64
	random *rand.Rand

	callers      *callers
	gone         []*host   // that others have taken the place of
	calmFrom     time.Time // no unplanned faults of the store, the targets and the ways to them since
	unplannedEnd time.Time // of processes that ended by a signal other than SIGTERM
	named        time.Time // when the last version of the weights was named in the calm
	isolatedAt   time.Time // when the workspace v was isolated
	leaving      *target   // since limitFrom
	limited      []*target
	limitFrom    time.Time
	limitEnd     time.Time
}

// plans are the orders in which hosts are replaced: the host that plans first, in the middle or
// last; half of them and back; a host that is down meanwhile and comes back with the old build.
var plans = []string{"planner first", "planner in the middle", "planner last", "halfway and back", "one comes back late"}

func (u *upgrade) run(t *testing.T) {
	u.site = newSite(t, u.old[0], u.seed)
	for i, h := range u.hosts {
		if other := u.old[i%len(u.old)]; other != u.old[0] {
			h.use(other)
			h.restart()
		}
	}
	for i, target := range u.targets[:engineCount] {
		target.SetSoftware(fmt.Sprint("v", i%2))
		target.SetWorkTime(eventTime)
	}
	u.awaitReady(t, 10*time.Second)
	u.callers = &callers{site: u.site, workspaces: true, takeUp: true}
	u.callers.start(u.seed, 0, callerCount, []string{"order", "read", "talk", "resume", "resume"})
	streams := &callers{site: u.site, workspaces: true, takeUp: true}
	streams.start(u.seed, callerCount, streamCallers, []string{"talk", "resume", "resume"})
	time.Sleep(time.Second)

	plan := plans[u.seed%uint64(len(plans))]
	t.Logf("plan: %s", plan)
	u.underFaults(t, plan)
	u.clearFaults()
	for _, target := range u.targets {
		target.EndBrittle()
	}
	u.awaitReady(t, 15*time.Second)
	u.calmFrom, u.unplannedEnd = time.Now(), time.Now()
	u.inCalm(t, plan)
	for _, target := range u.targets {
		target.SetLag(0)
		target.SetLimit(0)
		target.SetWorkTime(10 * time.Millisecond)
	}
	streams.stop()
	u.awaitReady(t, 10*time.Second)
	time.Sleep(stableWindow)
	u.callers.markRecovered()
	time.Sleep(2 * time.Second)
	u.callers.stop()
	u.callers.results = append(u.callers.results, streams.results...)
	u.checkResults(t, u.callers)
	u.check(t)
	if !t.Failed() {
		t.Logf("%d hosts in all, %d in place of others", len(u.everyHost()), len(u.gone))
	}
}

// underFaults replaces hosts while faults of all kinds come.
func (u *upgrade) underFaults(t *testing.T, plan string) {
	order := u.currentHosts()
	u.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	place := map[string]int{"planner first": 0, "planner in the middle": len(order) / 2, "planner last": len(order) - 1}
	if at, ok := place[plan]; ok {
		planner := u.planner()
		for i, h := range order {
			if h == planner {
				order[i], order[at] = order[at], order[i]
				break
			}
		}
	}
	late := order[len(order)-1]
	switch plan {
	case "halfway and back":
		order = order[:len(order)/2]
	case "one comes back late":
		order = order[:len(order)-1]
		late.setPaused(true)
		late.kill(syscall.SIGKILL)
	}
	for i, h := range order {
		u.injectFaults(2)
		u.replace(t, h, u.today)
		if i%2 == 0 {
			time.Sleep(time.Duration(u.random.IntN(3000)) * time.Millisecond) // else replacements overlap
		}
	}
	switch plan {
	case "halfway and back":
		u.injectFaults(2)
		for i, h := range u.currentHosts() {
			u.replace(t, h, u.old[i%len(u.old)])
			u.injectFaults(1)
		}
	case "one comes back late":
		u.injectFaults(2)
		late.setPaused(false)
	}
	u.injectFaults(3)
}

// inCalm names weights, which engines load late, and a configuration, and lets engines name
// limits, while it replaces hosts. With an odd seed all hosts are killed in between.
func (u *upgrade) inCalm(t *testing.T, plan string) {
	for i, target := range u.targets[:engineCount] {
		if i%2 == int(u.seed/2%2) {
			target.SetLag(lateOrders)
		} else {
			target.SetLimit(upgradeLimit)
			u.limited = append(u.limited, target)
		}
	}
	u.limitFrom = time.Now()
	u.leaving = u.targets[engineCount+int(u.seed/4%plainCount)]
	u.leaving.SetLeaving(true)
	binary := u.today
	if plan != "one comes back late" && plan != "halfway and back" {
		binary = u.old[0] // the way back
	}
	u.isolate()
	u.putWeights()
	u.named = time.Now()
	hosts := u.currentHosts()
	for i, h := range hosts[:3] {
		time.Sleep(betweenActions)
		u.replace(t, h, binary)
		time.Sleep(betweenActions)
		if i == 1 && u.seed%2 == 1 {
			u.unplannedEnd = time.Now().Add(2 * stableWindow)
			for _, h := range u.currentHosts() {
				h.kill(syscall.SIGKILL)
			}
		}
	}
	time.Sleep(time.Until(u.named.Add(versionTime)))
	u.putConfiguration()
	applied := time.Now().Add(applyTime)
	time.Sleep(time.Until(applied))
	u.probeConfiguration(t)
	time.Sleep(time.Until(u.named.Add(lateOrders)))
	u.limitEnd = time.Now()
}

// replace stops a host as planned and starts another build in its place, now and then as another
// host.
func (u *upgrade) replace(t *testing.T, h *host, binary string) {
	t.Helper()
	if u.random.IntN(2) == 0 {
		h.use(binary)
		h.kill(syscall.SIGTERM)
		return
	}
	n := newHost(t, binary, u.seed, fmt.Sprintf("n%d", len(u.gone)), string(h.store.Target), "")
	u.mu.Lock()
	for i := range u.hosts {
		if u.hosts[i] == h {
			u.hosts[i] = n
		}
	}
	u.mu.Unlock()
	u.gone = append(u.gone, h)
	t.Cleanup(h.close)
	h.stop()
	go n.supervise()
}

// injectFaults injects faults one after the other.
func (u *upgrade) injectFaults(count int) {
	for range count {
		target := u.targets[u.random.IntN(len(u.targets))]
		pause := time.Duration(200+u.random.IntN(2800)) * time.Millisecond
		switch u.random.IntN(9) {
		case 0:
			target.SetBrittle(2+u.random.IntN(8), targetSlots)
			time.AfterFunc(pause, target.EndBrittle)
		case 1:
			hosts := u.currentHosts()
			for i := range 3 {
				r := result{id: fmt.Sprintf("dead-%d-%d", u.random.Uint32(), i), kind: "read", path: crashPath}
				go send(&http.Client{Timeout: 5 * time.Second}, hosts[u.random.IntN(len(hosts))].callers, &r)
			}
		case 2:
			u.isolate()
		default:
			u.injectRandomFault(u.random)
		}
		time.Sleep(time.Duration(200+u.random.IntN(700)) * time.Millisecond)
	}
}

// everyHost returns the hosts and those that others have taken the place of.
func (u *upgrade) everyHost() []*host { return append(u.currentHosts(), u.gone...) }

// isolate lets a new configuration isolate the workspace v, and leaves it so.
func (u *upgrade) isolate() {
	u.mu.Lock()
	u.isolated = true
	u.mu.Unlock()
	u.putConfiguration()
	if u.isolatedAt.IsZero() {
		u.isolatedAt = time.Now()
	}
}
