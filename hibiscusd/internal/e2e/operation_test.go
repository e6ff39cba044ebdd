package e2e

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

// withOutOfService returns the declaration with an exception that takes a subject
// out of service.
func (b *testbed) withOutOfService(subject string) string {
	return b.declaration + "[Exception out]\nSubject = " + subject + "\nState = Out\nReason = test\n"
}

func TestOutOfServiceTargetIsSentNoRequests(t *testing.T) {
	for _, subject := range []string{"DataCentre b", "Target answer-3"} {
		t.Run(subject, func(t *testing.T) {
			b := newTestbed(t, 3)
			load := b.startLoad(8, 10)
			load.awaitAnswers(20)
			b.apply(b.withOutOfService(subject))
			before := b.engines[3].Counts().Requests
			load.awaitAnswers(100)
			require.Equal(t, before, b.engines[3].Counts().Requests, "requests were sent after the exception was in force")
			b.apply(b.declaration)
			b.eventually("the target is sent requests again", func() bool { return b.engines[3].Counts().Requests > before })
			require.Empty(t, load.stop())
			b.checkTargets()
		})
	}
}

// TestHostWithoutPlatformReceivesDeclarationChanges cuts two of three hosts off
// from the platform. They must receive a change of the declaration from the third.
func TestHostWithoutPlatformReceivesDeclarationChanges(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(4, 10)
	load.awaitAnswers(10)
	for _, h := range b.hosts[:2] {
		h.platformProxy.SetMode(link.Cut)
	}
	b.apply(b.withOutOfService("DataCentre b"))
	before := b.engines[2].Counts().Requests + b.engines[3].Counts().Requests
	load.awaitAnswers(100)
	require.Equal(t, before, b.engines[2].Counts().Requests+b.engines[3].Counts().Requests)
	require.Empty(t, load.stop())
}

// TestIsolatedHostRefusesRequests cuts a host off from the platform and freezes the
// other hosts, so that the host cannot know whether its declaration is still in
// use. It must refuse new requests.
func TestIsolatedHostRefusesRequests(t *testing.T) {
	b := newTestbed(t, 3)
	isolated := b.hosts[0]
	isolated.platformProxy.SetMode(link.Cut)
	for _, h := range b.hosts[1:] {
		h.signal(syscall.SIGSTOP)
	}
	defer func() {
		for _, h := range b.hosts[1:] {
			h.signal(syscall.SIGCONT)
		}
	}()
	client := b.callerFor(isolated)
	b.eventually("the isolated host refuses requests", func() bool {
		_, err := client.Order(context.Background(), caller.Order{Service: "ledger", Operation: "stock"})
		return err != nil && strings.Contains(err.Error(), string(fleet.ReasonConfigurationStale))
	})
	calls := b.service.Counts().Calls
	for range 5 {
		_, err := client.Order(context.Background(), caller.Order{Service: "ledger", Operation: "stock"})
		require.Error(t, err)
	}
	require.Equal(t, calls, b.service.Counts().Calls)
}

// callerFor returns a caller that connects to host h only, even if the fleet tells
// it other addresses.
func (b *testbed) callerFor(h *host) *caller.Client {
	dial := func(ctx context.Context, network, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, string(h.callerAddr))
	}
	return &caller.Client{
		EntryHosts: []fleet.Address{h.callerAddr}, Key: "clerks-key",
		HTTP: &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}},
	}
}

// TestNoRequestFailsDuringPlannedStops stops and restarts one host after the other. The
// callers do not retry, so that a single failed request fails the test.
func TestNoRequestFailsDuringPlannedStops(t *testing.T) {
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

func TestOneOfConcurrentChangesIsAccepted(t *testing.T) {
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
					t.Errorf("%s: declaration version went back from %d to %d", h.name, last, status.Number)
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
		require.Equal(t, 1, accepted, "exactly one of the concurrent changes must be accepted")
		document, number, err := b.operator.Declaration(ctx)
		require.NoError(t, err)
		require.Equal(t, read+1, number)
		require.Equal(t, round+1, strings.Count(document.String(), "[Class class-"))
		b.awaitVersion(number)
	}
	stop()
	watchers.Wait()
}

// TestNoRequestFailsWhenStoreRestarts stops the store and starts it again, empty
// and with a new incarnation and little capacity, while callers repeat prompts
// whose blocks were stored.
func TestNoRequestFailsWhenStoreRestarts(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(8, 4)
	load.awaitAnswers(100)
	b.eventually("blocks are stored", func() bool { return b.store.Counts().Writes > 3 })
	b.storeServer.kill()
	load.awaitAnswers(30)
	// Capacity for two blocks only, so that the store is always full and evicts.
	b.store = storehost.New(storehost.Config{Incarnation: 2, Memory: 1 << 20, Disk: 1 << 20, LinkRate: 1 << 30, DiskRate: 1 << 30})
	b.storeServer.start(t, b.store.Handler())
	load.awaitAnswers(100)
	require.Empty(t, load.stop())
	b.checkTargets()
}

// TestNoRequestFailsDuringWeightUpdate changes the weight version of all engines
// while two workspaces send the same prompts. No engine may read blocks of another
// workspace or version.
func TestNoRequestFailsDuringWeightUpdate(t *testing.T) {
	b := newTestbed(t, 3)
	load := b.startLoad(6, 20)
	load.awaitAnswers(30)
	for _, version := range []string{"v2", "v3"} {
		b.apply(strings.Replace(b.declaration, "Version = v1", "Version = "+version, 1))
		b.eventually("all engines have loaded "+version, func() bool {
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

// TestDutiesMoveWhenDataCentreIsLost kills all hosts and engines of a data centre
// at once. The hosts of the other data centre must take over its duties.
func TestDutiesMoveWhenDataCentreIsLost(t *testing.T) {
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
	b.eventually("a host of the other data centre holds the duty of its target", func() bool {
		h, _ := b.ownerOf("answer-2")
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
