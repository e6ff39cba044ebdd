package e2e

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/caller"
	"hibiscuslb/fleet/declaration"
)

// declarationText returns the declaration of the testbed's stand-ins: engines 0 and
// 1 in data centre a, 2 and 3 in b.
func (b *testbed) declarationText() string {
	var text strings.Builder
	text.WriteString("[DataCentre a]\nRegion = r\n[DataCentre b]\nRegion = r\n[Model answer]\nVersion = v1\n[Model ledger]\n")
	for i := range b.engines {
		fmt.Fprintf(&text, "[Target answer-%d]\nModel = answer\nDataCentre = %s\nAddress = %s\nColdLimit = %d\nWarmLimit = 8\nPrefillRate = 400000\n",
			i, []string{"a", "b"}[i/2], b.engineServers[i].address, coldLimit)
	}
	fmt.Fprintf(&text, "[Target ledger-1]\nKind = Service\nModel = ledger\nDataCentre = a\nAddress = %s\nColdLimit = 4\nWarmLimit = 8\n", b.serviceServer.address)
	fmt.Fprintf(&text, "[Store store-1]\nDataCentre = a\nAddress = %s\n", b.storeServer.address)
	fmt.Fprintf(&text, "[Workspace clerks]\nKeyHash = %x\n[Workspace agents]\nKeyHash = %x\nPolicy = Reuse\n",
		cache.HashCallerKey("clerks-key"), cache.HashCallerKey("agents-key"))
	text.WriteString("[Operation ledger/book]\nRepeatable = No\n[Operation ledger/stock]\nRepeatable = Yes\n")
	return text.String()
}

// apply submits a declaration and waits until it is in force.
func (b *testbed) apply(text string) fleet.Version {
	b.t.Helper()
	number := b.submit(text)
	b.awaitVersion(number)
	return number
}

// submit applies the difference between the current declaration and the text, and
// returns the new version once it is accepted.
func (b *testbed) submit(text string) fleet.Version {
	b.t.Helper()
	wanted, err := declaration.Parse("test", []byte(text))
	require.NoError(b.t, err)
	ctx := context.Background()
	var number fleet.Version
	b.eventually("the declaration is accepted", func() bool {
		current, read, err := b.operator.Declaration(ctx)
		if err != nil {
			return false
		}
		change := declaration.Diff(current, wanted)
		change.ID = declaration.ChangeID(fmt.Sprintf("change-%d", time.Now().UnixNano()))
		number, err = b.operator.Apply(ctx, read, change)
		return err == nil
	})
	return number
}

// awaitVersion waits until a version of the declaration is in force.
func (b *testbed) awaitVersion(number fleet.Version) {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(b.t, b.operator.AwaitVersion(ctx, number))
}

// awaitEngines waits until each engine has answered another prompt, so that each
// has an owner that serves it.
func (b *testbed) awaitEngines() {
	b.t.Helper()
	n := 0
	for i := range b.engines {
		before := b.engines[i].Counts().Whole
		b.eventually(fmt.Sprintf("engine %d has answered a prompt", i), func() bool {
			n++
			_, _ = b.caller.Complete(context.Background(), caller.CompletionRequest{Model: "answer", Text: fmt.Sprint("hello ", n), MaxTokens: 1})
			return b.engines[i].Counts().Whole > before
		})
	}
}
