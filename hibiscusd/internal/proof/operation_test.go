package proof

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/standin/link"
	"hibiscuslb/standin/storehost"
)

// withOutOfService returns the declaration with a subject withOutOfService of service.
func (b *testbed) withOutOfService(subject string) string {
	return b.declaration + "[Exception out]\nSubject = " + subject + "\nState = Out\nReason = test\n"
}

func TestOutOfServiceGetsNoNewWork(t *testing.T) {
	for _, subject := range []string{"DataCentre b", "Target answer-3"} {
		t.Run(subject, func(t *testing.T) {
			b := newTestbed(t, 3)
			load := b.startLoad(8, 10)
			load.awaitAnswers(20)
			b.apply(b.withOutOfService(subject))
			before := b.engines[3].Counts().Requests
			load.awaitAnswers(100)
			require.Equal(t, before, b.engines[3].Counts().Requests, "new work after the change is in force")
			b.apply(b.declaration)
			b.eventually("it gets work again", func() bool { return b.engines[3].Counts().Requests > before })
			require.Empty(t, load.stop())
			b.checkTargets()
		})
	}
}

// TestHostCutFromThePlatformHearsOfChanges cuts the paths of two of three
// hosts to the platform. They hear of the change from the third.
func TestHostCutFromThePlatformHearsOfChanges(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(4, 10)
	load.awaitAnswers(10)
	for _, h := range b.hosts[:2] {
		h.platformRelay.SetMode(link.Cut)
	}
	b.apply(b.withOutOfService("DataCentre b"))
	before := b.engines[2].Counts().Requests + b.engines[3].Counts().Requests
	load.awaitAnswers(100)
	require.Equal(t, before, b.engines[2].Counts().Requests+b.engines[3].Counts().Requests)
	require.Empty(t, load.stop())
}

// TestIsolatedHostTakesNoNewWork cuts a host from the platform and freezes the
// others, so that it can not know whether its configuration is in force.
func TestIsolatedHostTakesNoNewWork(t *testing.T) {
	b := newTestbed(t, 3)
	isolated := b.hosts[0]
	isolated.platformRelay.SetMode(link.Cut)
	for _, h := range b.hosts[1:] {
		h.signal(syscall.SIGSTOP)
	}
	defer func() {
		for _, h := range b.hosts[1:] {
			h.signal(syscall.SIGCONT)
		}
	}()
	client := b.callerFor(isolated)
	b.eventually("it refuses", func() bool {
		_, err := client.Order(context.Background(), caller.Order{Model: "ledger", Operation: "stock"})
		return err != nil && strings.Contains(err.Error(), string(fleet.ReasonConfigurationStale))
	})
	calls := b.service.Counts().Calls
	for range 5 {
		_, err := client.Order(context.Background(), caller.Order{Model: "ledger", Operation: "stock"})
		require.Error(t, err)
	}
	require.Equal(t, calls, b.service.Counts().Calls)
}

// callerFor returns a caller that reaches one host only, whatever address it
// is given.
func (b *testbed) callerFor(h *host) *caller.Client {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, string(h.callerAddr))
	}
	return &caller.Client{
		EntryHosts: []fleet.Address{h.callerAddr}, Key: "clerks-key",
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	}
}

// TestPlannedStopCutsNoRequest stops one host after the other. Its callers do
// not try again, so that a single cut shows.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	b := newTestbed(t, 3)
	b.caller.MaxAttempts, b.agentsCaller.MaxAttempts = 1, 1
	load := b.startLoad(8, 100)
	load.awaitAnswers(8)
	for _, h := range b.hosts {
		h.signal(syscall.SIGTERM)
		<-h.exited
		require.True(t, h.command.ProcessState.Success())
		b.start(h)
		b.awaitReady(h)
		load.awaitAnswers(8)
	}
	require.Empty(t, load.stop())
	b.checkTargets()
}

func TestRacingOperators(t *testing.T) {
	b := newTestbed(t, 3)
	ctx := context.Background()
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, h := range b.hosts {
		watchers.Go(func() {
			var last fleet.Version
			for watching.Err() == nil {
				status, err := b.operator.StatusAt(watching, h.operatorAddr)
				if err != nil {
					continue
				}
				if status.Number < last {
					t.Errorf("%s went back from version %d to %d", h.name, last, status.Number)
				}
				last = status.Number
			}
		})
	}
	for round := range 10 {
		_, read, err := b.operator.Declaration(ctx)
		require.NoError(t, err)
		var mu sync.Mutex
		accepted := 0
		var operators sync.WaitGroup
		for operator := range 4 {
			operators.Go(func() {
				section := declaration.Section{
					ID:     declaration.SectionID{Kind: declaration.KindClass, Name: fmt.Sprintf("class-%d-%d", round, operator)},
					Fields: []declaration.Field{{Key: "Priority", Text: "1"}},
				}
				change := declaration.Change{
					ID: declaration.ChangeID(fmt.Sprintf("race-%d-%d", round, operator)), Put: []declaration.Section{section},
				}
				if _, err := b.operator.Apply(ctx, read, change); err == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			})
		}
		operators.Wait()
		require.Equal(t, 1, accepted, "one of the racing changes is accepted")
		document, number, err := b.operator.Declaration(ctx)
		require.NoError(t, err)
		require.Equal(t, read+1, number)
		require.Equal(t, round+1, strings.Count(document.String(), "[Class class-"))
		b.awaitVersion(number)
	}
	stop()
	watchers.Wait()
}

// TestStoreHostsFail lets the store die, come back empty under a new
// incarnation, and fill up, while conversations return to their blocks.
func TestStoreHostsFail(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(8, 4)
	load.awaitAnswers(100)
	b.eventually("blocks are stored", func() bool { return b.store.Counts().Writes > 3 })
	b.storeServer.kill()
	load.awaitAnswers(30)
	// Room for two blocks only: it is full all the time and evicts.
	b.store = storehost.New(storehost.Config{Incarnation: 2, Memory: 1 << 20, Disk: 1 << 20, LinkRate: 1 << 30, DiskRate: 1 << 30})
	b.storeServer.start(t, b.store.Handler())
	load.awaitAnswers(100)
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestWeightSwapUnderLoad swaps the weights of all engines while two
// workspaces ask the same prompts. Engines count reads of foreign blocks.
func TestWeightSwapUnderLoad(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(6, 20)
	load.awaitAnswers(30)
	for _, version := range []string{"v2", "v3"} {
		b.apply(strings.Replace(b.declaration, "Version = v1", "Version = "+version, 1))
		b.eventually("all engines have "+version, func() bool {
			for _, engine := range b.engines {
				if string(engine.Report(0).Version) != version {
					return false
				}
			}
			return true
		})
		load.awaitAnswers(30)
	}
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestDataCentreIsLost kills all hosts and targets of a data centre at once.
func TestDataCentreIsLost(t *testing.T) {
	b := newTestbed(t, 4)
	load := b.startLoad(8, 10)
	load.awaitAnswers(20)
	b.engineServers[2].kill()
	b.engineServers[3].kill()
	for _, h := range b.hosts {
		if h.dataCentre == "b" {
			h.signal(syscall.SIGKILL)
		}
	}
	b.eventually("the others keep its targets", func() bool {
		h, _ := b.keeperHost("answer-2")
		return h != nil && h.dataCentre == "a"
	})
	load.awaitAnswers(100)
	for _, err := range load.stop() {
		var refusal *fleet.RefusalError
		require.ErrorAs(t, err, &refusal)
		require.Positive(t, refusal.RetryAfter+time.Nanosecond)
	}
	b.checkTargets()
}
