package proof

import (
	"context"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/peer"
	"hibiscuslb/standin/link"
)

// patient answers the first request of its kind when it is released.
type patient struct {
	begun   chan struct{}
	release chan struct{}
}

const (
	kindWait peer.Kind = iota
	kindEcho
)

func (p *patient) Handle(ctx context.Context, kind peer.Kind, _ cbor.RawMessage, _ func(any) error) (any, error) {
	if kind == kindWait {
		close(p.begun)
		select {
		case <-p.release:
		case <-ctx.Done():
		}
	}
	return true, nil
}

// TestSilentConnectionIsReplaced lets a connection between two hosts go silent
// while both ends hold it open. What it carried ends without a conclusion, and
// the next exchange uses a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	handler := &patient{begun: make(chan struct{}), release: make(chan struct{})}
	var far server
	far.start(t, http.Handler(&peer.Server{Key: "k", Handler: handler}))
	relay := &link.Relay{Listen: freeAddress(t), Target: far.address}
	pool := &peer.Pool{Key: "k"}
	ended := make(chan struct{}, 2)
	go func() {
		_ = relay.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		pool.Run(ctx)
		ended <- struct{}{}
	}()
	defer func() {
		close(handler.release)
		cancel()
		<-ended
		<-ended
	}()
	var exchange *peer.Exchange
	require.Eventually(t, func() bool {
		var err error
		exchange, err = pool.Open(ctx, relay.Listen, kindWait, nil)
		return err == nil
	}, waitLimit, 1e7)
	<-handler.begun
	relay.SetMode(link.Silent)
	var lost *peer.ConnectionLostError
	require.ErrorAs(t, exchange.Next(ctx, new(bool)), &lost)
	var answer bool
	require.NoError(t, pool.Call(ctx, relay.Listen, kindEcho, nil, &answer))
	require.True(t, answer)
}
