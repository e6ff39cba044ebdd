package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet/peer"
	"hibiscuslb/standin/link"
)

// blockingHandler closes started when a kindWait request arrives and answers it once
// release is closed. It answers other requests at once.
type blockingHandler struct {
	started chan struct{}
	release chan struct{}
}

const (
	kindWait peer.Kind = iota
	kindEcho
)

func (p *blockingHandler) Handle(ctx context.Context, kind peer.Kind, _ cbor.RawMessage, _ func(any) error) (any, error) {
	if kind == kindWait {
		close(p.started)
		select {
		case <-p.release:
		case <-ctx.Done():
		}
	}
	return true, nil
}

// TestSilentConnectionIsReplaced makes a connection between two hosts silent while
// both ends keep it open. An exchange on it must end with a
// *peer.ConnectionLostError, and the next exchange must use a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	handler := &blockingHandler{started: make(chan struct{}), release: make(chan struct{})}
	var remote server
	remote.start(t, http.Handler(&peer.Server{Key: "k", Handler: handler}))
	proxy := &link.Proxy{Listen: freeAddress(t), Target: remote.address}
	pool := &peer.Pool{Key: "k"}
	done := make(chan struct{}, 2)
	go func() {
		_ = proxy.Run(ctx)
		done <- struct{}{}
	}()
	go func() {
		pool.Run(ctx)
		done <- struct{}{}
	}()
	defer func() {
		close(handler.release)
		cancel()
		<-done
		<-done
	}()
	var exchange *peer.Exchange
	require.Eventually(t, func() bool {
		var err error
		exchange, err = pool.Open(ctx, proxy.Listen, kindWait, nil)
		return err == nil
	}, waitTimeout, 1e7)
	<-handler.started
	proxy.SetMode(link.Silent)
	var lost *peer.ConnectionLostError
	require.ErrorAs(t, exchange.Next(ctx, new(bool)), &lost)
	var answer bool
	require.NoError(t, pool.Call(ctx, proxy.Listen, kindEcho, nil, &answer))
	require.True(t, answer)
}
