package e2e

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/standin/fakeplatform"
	"hibiscuslb/standin/link"
	"hibiscuslb/standin/modelengine"
	"hibiscuslb/standin/script"
)

func TestNoRequestFailsWhenOwnerIsKilled(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(8, 20)
	load.awaitAnswers(20)
	owner, epoch := b.ownerOf("answer-0")
	owner.signal(syscall.SIGKILL)
	<-owner.exited
	b.eventually("another host holds the duty of the target", func() bool {
		h, e := b.ownerOf("answer-0")
		return h != nil && h != owner && e > epoch
	})
	load.awaitAnswers(50)
	b.start(owner)
	b.awaitReady(owner)
	load.awaitAnswers(50)
	require.Empty(t, load.stop())
	b.checkTargets()
}

func TestOwnerFrozenPastLeaseIsReplaced(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(8, 20)
	load.awaitAnswers(20)
	owner, epoch := b.ownerOf("answer-0")
	owner.signal(syscall.SIGSTOP)
	b.eventually("another host holds the duty of the target", func() bool {
		h, e := b.ownerOf("answer-0")
		return h != nil && h != owner && e > epoch
	})
	owner.signal(syscall.SIGCONT)
	b.eventually("the frozen host has a new incarnation", func() bool {
		return b.memberStatus(b.otherHost(owner), owner).Incarnation > 1
	})
	load.awaitAnswers(50)
	for _, err := range load.stop() {
		// Requests through the frozen host may fail, but only with a refusal:
		// no incomplete or wrong answer may be returned as complete.
		var refusal *fleet.RefusalError
		require.ErrorAs(t, err, &refusal)
	}
	b.checkTargets()
}

// otherHost returns a host other than h.
func (b *testbed) otherHost(h *host) *host {
	for _, candidate := range b.hosts {
		if candidate != h {
			return candidate
		}
	}
	return nil
}

func TestRequestsAreServedDuringPlatformOutage(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(4, 10)
	load.awaitAnswers(10)
	b.platform.SetFault(fakeplatform.Down)
	outage := time.Now()
	// Three lease lengths, so that no host can still depend on the platform.
	b.eventually("three leases have passed", func() bool { return time.Since(outage) > 3*leaseLength })
	load.awaitAnswers(50)
	b.awaitReady(b.hosts...)
	_, err := b.caller.Order(context.Background(), caller.Order{Service: "ledger", Operation: "book", Key: "outage-1", Body: []byte("x")})
	var refusal *fleet.RefusalError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, fleet.OutcomeNotRun, refusal.Outcome)
	require.Zero(t, b.service.Counts().Calls, "an order refused as not run must not reach the service")
	_, err = b.caller.Order(context.Background(), caller.Order{Service: "ledger", Operation: "stock", Body: []byte("x")})
	require.NoError(t, err, "a repeatable call needs no claim on the platform")
	b.platform.SetFault(fakeplatform.Healthy)
	b.eventually("the order runs once the platform is available again", func() bool {
		_, err := b.caller.Order(context.Background(), caller.Order{Service: "ledger", Operation: "book", Key: "outage-1", Body: []byte("x")})
		return err == nil
	})
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestOrdersRunAtMostOnceThroughFaults sends orders with the same key concurrently
// and again later, while answers of the platform are lost, the platform is down
// and an owner is killed. No key may run twice.
func TestOrdersRunAtMostOnceThroughFaults(t *testing.T) {
	b := newTestbed(t, 3)
	const keys = 60
	var mu sync.Mutex
	answers := make(map[string]string)
	notRun := make(map[string]int)
	order := func(key string) {
		answer, err := b.caller.Order(context.Background(), caller.Order{
			Service: "ledger", Operation: "book", Key: key, Body: []byte("cylinder for " + key),
		})
		mu.Lock()
		defer mu.Unlock()
		var refusal *fleet.RefusalError
		switch {
		case err == nil && answers[key] == "":
			answers[key] = string(answer.Body)
		case err == nil && answers[key] != string(answer.Body):
			t.Errorf("key %s: answer %q differs from the earlier answer %q", key, answer.Body, answers[key])
		case errors.As(err, &refusal) && refusal.Outcome == fleet.OutcomeNotRun:
			notRun[key]++
		}
	}
	faults := map[int]func(){
		10: func() { b.platform.SetFault(fakeplatform.LoseAnswers) },
		20: func() { b.platform.SetFault(fakeplatform.Down) },
		25: func() { b.platform.SetFault(fakeplatform.LoseAnswers) },
		30: func() { b.platform.SetFault(fakeplatform.Healthy) },
		40: func() {
			owner, _ := b.ownerOf("ledger-1")
			owner.signal(syscall.SIGKILL)
		},
	}
	for n := range keys {
		if fault, ok := faults[n]; ok {
			fault()
		}
		key := fmt.Sprintf("key-%d", n)
		var duplicates sync.WaitGroup
		for range 3 {
			duplicates.Go(func() { order(key) })
		}
		duplicates.Wait()
	}
	ran := b.service.Counts()
	require.Zero(t, ran.Repeated)
	require.LessOrEqual(t, ran.Keys, keys)
	require.GreaterOrEqual(t, ran.Keys, len(answers))
	b.eventually("orders run after the faults", func() bool {
		order("last")
		mu.Lock()
		defer mu.Unlock()
		return answers["last"] != ""
	})
	for n := range keys {
		order(fmt.Sprintf("key-%d", n))
	}
	require.Zero(t, b.service.Counts().Repeated)
	require.NotEmpty(t, notRun, "no order was refused as not run during the faults")
}

func TestOrderWithLostAnswerKeepsUnknownOutcome(t *testing.T) {
	b := newTestbed(t, 3)
	b.service.DropAnswers(true)
	order := caller.Order{Service: "ledger", Operation: "book", Key: "dropped", Body: []byte("x")}
	for range 3 {
		_, err := b.caller.Order(context.Background(), order)
		var refusal *fleet.RefusalError
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, fleet.OutcomeUnknown, refusal.Outcome)
	}
	require.Equal(t, 1, b.service.Counts().Calls)
	require.Zero(t, b.service.Counts().Repeated)
}

func TestAnswersAreCompleteWhenEnginesFailOrGoSilent(t *testing.T) {
	b := newTestbed(t, 3)
	proxy := &link.Proxy{Listen: freeAddress(t), Target: b.engineServers[3].address}
	runProxy(t, proxy)
	direct := b.engineServers[3].address
	b.engineServers[3].address = proxy.Listen
	b.apply(b.declarationText())
	b.engineServers[3].address = direct
	b.awaitEngines()
	load := b.startLoad(8, 200)
	load.awaitAnswers(10)
	b.eventually("engine 3 is answering at least two prompts", func() bool { return len(b.engines[3].Report(0).Runs) > 1 })
	proxy.SetMode(link.Silent)
	load.awaitAnswerForEachCaller()
	proxy.SetMode(link.Pass)
	b.engineServers[0].kill()
	load.awaitAnswers(30)
	b.startEngine(0, 100)
	load.awaitAnswers(30)
	proxy.SetMode(link.Cut)
	load.awaitAnswers(30)
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestOnlyTargetIsRetriedAfterBrokenStream cuts the connections to the only target
// of a model during an answer. There is no other candidate, so the host must retry
// the same target to complete the answer.
func TestOnlyTargetIsRetriedAfterBrokenStream(t *testing.T) {
	b := newTestbed(t, 2)
	proxy := &link.Proxy{Listen: freeAddress(t), Target: b.engineServers[0].address}
	runProxy(t, proxy)
	b.apply(b.declaration + fmt.Sprintf("[Model single]\nVersion = v1\n[Target single]\nModel = single\nDataCentre = a\nAddress = %s\n", proxy.Listen))
	config := b.engineConfig
	config.Model = "single"
	b.engineServers[0].kill()
	b.engines[0] = modelengine.New(config)
	b.engineServers[0].start(t, b.engines[0].Handler())
	prompt := caller.CompletionRequest{Model: "single", Text: "long answer", MaxTokens: 100}
	b.eventually("the target answers a prompt", func() bool {
		_, err := b.caller.Complete(context.Background(), prompt)
		return err == nil
	})
	before := b.engines[0].Counts().Requests
	result := make(chan error, 1)
	singleTry := &caller.Client{EntryHosts: b.caller.EntryHosts, Key: b.caller.Key, HTTP: b.caller.HTTP, MaxAttempts: 1}
	go func() {
		answer, err := singleTry.Complete(context.Background(), prompt)
		if err == nil && answer.Text != script.New([]byte(prompt.Text)).Answer(prompt.MaxTokens) {
			err = fmt.Errorf("answer of %d bytes differs from the script", len(answer.Text))
		}
		result <- err
	}()
	b.eventually("the engine has received the request", func() bool { return b.engines[0].Counts().Requests > before })
	proxy.SetMode(link.Cut)
	proxy.SetMode(link.Pass)
	require.NoError(t, <-result)
}

// TestColdLimitHoldsAfterEngineRestartAndOwnerKill restarts an engine and kills
// its owner at the same time. The new owner must not exceed the cold limit of the
// restarted engine, whatever requests its predecessor left running there.
func TestColdLimitHoldsAfterEngineRestartAndOwnerKill(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(16, 40)
	load.awaitAnswers(40)
	owner, epoch := b.ownerOf("answer-0")
	b.engineServers[0].kill()
	b.engineConfig.ColdTime = 30 * time.Second
	b.startEngine(0, 100)
	owner.signal(syscall.SIGKILL)
	b.eventually("another host holds the duty of the target", func() bool {
		h, e := b.ownerOf("answer-0")
		return h != nil && h != owner && e > epoch
	})
	load.awaitAnswers(60)
	b.eventually("the cold engine has answered a prompt", func() bool { return b.engines[0].Counts().Whole > 0 })
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestNewOwnerCountsRunningRequestsOfFrozenOwner freezes an owner while long
// answers to its requests are running at a cold engine. The new owner must count them
// as in flight, or it exceeds the cold limit.
func TestNewOwnerCountsRunningRequestsOfFrozenOwner(t *testing.T) {
	b := newTestbed(t, 3)
	b.engineServers[0].kill()
	b.engineConfig.ColdTime = time.Hour
	b.startEngine(0, 100)
	long := b.startLoad(24, 1500)
	b.eventually("the cold engine runs as many requests as its cold limit", func() bool { return len(b.engines[0].Report(0).Runs) == coldLimit })
	frozen, epoch := b.ownerOf("answer-0")
	frozen.signal(syscall.SIGSTOP)
	short := b.startLoad(4, 5)
	b.eventually("another host holds the duty of the target", func() bool {
		h, e := b.ownerOf("answer-0")
		return h != nil && h != frozen && e > epoch
	})
	b.eventually("the new owner sends requests", func() bool { return b.engines[0].Counts().Requests > coldLimit })
	frozen.signal(syscall.SIGCONT)
	for _, err := range append(short.stop(), long.stop()...) {
		var refusal *fleet.RefusalError
		require.ErrorAs(t, err, &refusal)
	}
	b.checkTargets()
}
