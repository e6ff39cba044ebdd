package peer_test

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
)

const (
	kindCount  peer.Kind = iota // sends as many replies as the request's number
	kindRefuse                  // refuses as overloaded
	kindWait                    // returns when its context ends
)

// handler serves the kinds above.
type handler struct {
	started, ended chan struct{}
}

func (h *handler) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, send func(any) error) (any, error) {
	switch kind {
	case kindCount:
		var n int
		if err := cbor.Unmarshal(body, &n); err != nil {
			return nil, err
		}
		for i := range n {
			if err := send(i); err != nil {
				return nil, err
			}
		}
		return nil, nil
	case kindRefuse:
		return nil, fleet.Refuse(fleet.ReasonOverloaded, "full")
	default:
		close(h.started)
		<-ctx.Done()
		close(h.ended)
		return nil, ctx.Err()
	}
}

// link is a pool with a server that it can connect to.
type link struct {
	pool    *peer.Pool
	server  *httptest.Server
	address fleet.Address
	handler *handler
}

func newLink(t *testing.T) *link {
	t.Helper()
	l := &link{handler: &handler{started: make(chan struct{}), ended: make(chan struct{})}}
	l.server = httptest.NewServer(&peer.Server{Key: "k", Handler: l.handler})
	l.address = fleet.Address(strings.TrimPrefix(l.server.URL, "http://"))
	l.pool = &peer.Pool{Key: "k"}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	running := make(chan struct{})
	go func() {
		close(running)
		l.pool.Run(ctx)
		close(ended)
	}()
	<-running
	t.Cleanup(func() {
		cancel()
		<-ended
		l.server.CloseClientConnections()
		l.server.Close()
	})
	return l
}

// open opens an exchange. It retries, because Run may not have started the pool yet.
func (l *link) open(t *testing.T, kind peer.Kind, body any) *peer.Exchange {
	t.Helper()
	var exchange *peer.Exchange
	require.Eventually(t, func() bool {
		var err error
		exchange, err = l.pool.Open(context.Background(), l.address, kind, body)
		return err == nil
	}, 1e10, 1e6)
	return exchange
}

func TestExchangesDoNotMix(t *testing.T) {
	l := newLink(t)
	l.open(t, kindCount, 0).Close()
	var callers sync.WaitGroup
	for n := range 50 {
		callers.Go(func() {
			exchange := l.open(t, kindCount, n)
			defer exchange.Close()
			for i := range n {
				var got int
				if err := exchange.Next(context.Background(), &got); err != nil || got != i {
					t.Errorf("reply %d of %d: got %d, error %v; want its position and no error", i, n, got, err)
				}
			}
			var got int
			if err := exchange.Next(context.Background(), &got); !errors.Is(err, io.EOF) {
				t.Errorf("after the last reply: got error %v, want io.EOF", err)
			}
		})
	}
	callers.Wait()
}

func TestRefusalKeepsReasonAndOutcome(t *testing.T) {
	l := newLink(t)
	exchange := l.open(t, kindRefuse, nil)
	var refusal *fleet.RefusalError
	require.ErrorAs(t, exchange.Next(context.Background(), new(int)), &refusal)
	require.Equal(t, fleet.ReasonOverloaded, refusal.Reason)
	require.Equal(t, fleet.OutcomeNotRun, refusal.Outcome)
}

func TestClosingAnExchangeEndsItsHandler(t *testing.T) {
	l := newLink(t)
	exchange := l.open(t, kindWait, nil)
	<-l.handler.started
	exchange.Close()
	<-l.handler.ended
}

func TestWrongKeyIsRejected(t *testing.T) {
	l := newLink(t)
	l.open(t, kindCount, 0).Close()
	other := &peer.Pool{Key: "other"}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		other.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	_, err := other.Open(ctx, l.address, kindCount, 1)
	var dial *peer.DialError
	require.ErrorAs(t, err, &dial)
}

// BenchmarkReply measures the transfer of a reply between two hosts over loopback.
func BenchmarkReply(b *testing.B) {
	server := httptest.NewServer(&peer.Server{Key: "k", Handler: &handler{}})
	defer server.Close()
	pool := &peer.Pool{Key: "k"}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		pool.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	var exchange *peer.Exchange
	for err := errors.New("exchange not opened yet"); err != nil; {
		exchange, err = pool.Open(ctx, fleet.Address(strings.TrimPrefix(server.URL, "http://")), kindCount, b.N)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		var piece int
		if err := exchange.Next(ctx, &piece); err != nil {
			b.Fatal(err)
		}
	}
}
