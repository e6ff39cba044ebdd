package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/lease"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/record"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/traffic"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/entry"
	"hibiscuslb/hibiscusd/internal/keeper"
	"hibiscuslb/hibiscusd/internal/operate"
	"hibiscuslb/hibiscusd/internal/relay"
	"hibiscuslb/hibiscusd/internal/wire"
	"hibiscuslb/platform"
)

// A Node is one host's process. Make one with New.
type Node struct {
	settings *Settings
	log      zerolog.Logger
	clock    fleet.Clock
	store    *platform.Store
	direct   record.Client // the store, without help of other hosts
	client   *relay.Client
	pool     *peer.Pool
	control  *control.Control
	ledger   *keeper.Ledger
	keepers  *keeper.Set
	entry    *entry.Entry
	metrics  *meter.Metrics
	operate  *operate.Server
}

// New puts a node together. It does nothing until Run.
func New(s *Settings, log zerolog.Logger) *Node {
	n := &Node{settings: s, log: log, clock: fleet.MonotonicClock(), metrics: new(meter.Metrics)}
	n.store = &platform.Store{Address: s.Platform, Timeout: s.PlatformTimeout}
	n.direct = &platform.Records{Store: n.store}
	n.pool = &peer.Pool{Key: s.FleetKey}
	n.client = &relay.Client{Direct: n.direct, Pool: n.pool, Peers: n.peers}
	n.control = &control.Control{
		Host: s.Host, Timing: s.LeaseTiming, Platform: n.client, Direct: n.direct,
		Pool: n.pool, Clock: n.clock, Log: log,
	}
	n.ledger = &keeper.Ledger{Client: n.direct, Retention: s.OrderRetention}
	n.keepers = &keeper.Set{
		Control: n.control, Pool: n.pool, Ledger: n.ledger, CacheSecret: s.CacheSecret,
		Clock: n.clock, Metrics: n.metrics, Log: log, Limits: s.Keeper,
	}
	n.entry = &entry.Entry{
		Control: n.control, Keepers: n.keepers, Pool: n.pool, Clock: n.clock,
		Metrics: n.metrics, Log: log, Limits: s.Entry,
	}
	n.operate = &operate.Server{
		Control: n.control, Keepers: n.keepers, Platform: n.client, Metrics: n.metrics, Key: s.OperatorKey, Log: log,
	}
	n.show()
	return n
}

// peers lists other hosts that may reach the platform when this one does not.
func (n *Node) peers() []fleet.Address {
	view := n.control.View()
	if view == nil {
		return nil
	}
	var addresses []fleet.Address
	for _, member := range view.Members {
		if member.Host != view.Self.Host && member.State == lease.Active {
			addresses = append(addresses, member.PeerAddr)
		}
	}
	return addresses
}

// show adds the values that /debug/vars computes when it is read.
func (n *Node) show() {
	n.metrics.Publish("Platform", func() any {
		return struct{ Reads, Writes, Watches uint64 }{
			n.store.Calls.Total(platform.StoreRead) + n.store.Calls.Total(platform.StoreList),
			n.store.Calls.Total(platform.StoreWrite), n.store.Calls.Total(platform.StoreWatch),
		}
	})
	n.metrics.Publish("Peers", func() any {
		return bytesOf(&n.pool.Traffic)
	})
	n.metrics.Publish("PlatformBytes", func() any { return bytesOf(&n.store.Traffic) })
	n.metrics.Publish("TargetBytes", func() any { return bytesOf(engine.Traffic()) })
	n.metrics.Publish("Goroutines", func() any { return runtime.NumGoroutine() })
	n.metrics.Publish("Targets", func() any { return n.keepers.Statuses() })
	n.metrics.Publish("Lease", func() any { return n.control.LeaseEnd().Sub(n.clock()).String() })
}

// ByteCounts is what a process has sent and received.
type ByteCounts struct{ Sent, Received int64 }

func bytesOf(c *traffic.Counter) ByteCounts { return ByteCounts{c.Sent.Load(), c.Received.Load()} }

// Bounds of the HTTP connections of callers, hosts and operators.
const (
	headerTime  = 5 * time.Second
	idleTime    = 2 * time.Minute
	headerLimit = 16 << 10 // bytes
)

// servers are the listeners of a node.
type servers struct {
	callers, hosts, operators *http.Server
	failed                    chan error
	serving                   task.Group
}

// Run serves until the context ends, which begins a planned stop, and returns
// when that is over. An error tells why the node could not serve.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	listening, err := n.listen(life)
	if err != nil {
		return err
	}
	var parts task.Group
	work, endWork := context.WithCancel(life)
	defer endWork()
	parts.Go(life, n.pool.Run)
	parts.Go(life, n.ledger.Run)
	parts.Go(work, n.keepers.Run)
	var controlling task.Group
	controlLife, endControl := context.WithCancel(life)
	defer endControl()
	controlling.Go(controlLife, n.control.Run)
	n.log.Info().Str("Callers", string(n.settings.Host.CallerAddr)).Msg("serving")
	select {
	case <-ctx.Done():
		n.stop(life, listening)
	case err = <-listening.failed:
		n.log.Error().Err(err).Msg("a listener has failed")
	}
	endWork()
	endControl()
	controlling.Wait()
	finishing, cancel := context.WithTimeout(life, n.settings.PlatformTimeout)
	defer cancel()
	if failed := n.control.Deregister(finishing); failed != nil {
		n.log.Warn().Err(failed).Msg("own end is not recorded; others will end this host")
	}
	end()
	listening.close()
	parts.Wait()
	n.log.Info().Msg("stopped")
	return err
}

func (n *Node) listen(ctx context.Context) (*servers, error) {
	callers, err := n.entry.Handler()
	if err != nil {
		return nil, eris.Wrap(err, "callers' interface")
	}
	hosts := &peer.Server{Key: n.settings.FleetKey, Handler: n}
	s := &servers{failed: make(chan error, 3)}
	listeners := []struct {
		server  **http.Server
		address fleet.Address
		handler http.Handler
	}{
		{&s.callers, n.settings.Host.CallerAddr, callers},
		{&s.hosts, n.settings.Host.PeerAddr, hosts},
		{&s.operators, n.settings.Host.OperatorAddr, n.operate.Handler()},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", string(l.address))
		if err != nil {
			s.close()
			return nil, eris.Wrapf(err, "listen at %s", l.address)
		}
		if l.server == &s.hosts {
			listener = n.pool.Traffic.Listener(listener)
		}
		server := &http.Server{
			Handler: l.handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerLimit,
			BaseContext: func(net.Listener) context.Context { return ctx },
		}
		*l.server = server
		s.serving.Go(ctx, func(context.Context) {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				s.failed <- err
			}
		})
	}
	return s, nil
}

func (s *servers) close() {
	for _, server := range []*http.Server{s.callers, s.hosts, s.operators} {
		if server != nil {
			_ = server.Close()
		}
	}
	s.serving.Wait()
}

// handOverTime bounds the wait for other hosts to take over the duties.
const handOverTime = 20 * time.Second

// stop is a planned stop up to the end of the last request: callers are sent
// elsewhere, duties are handed over, addresses that callers have kept run out,
// and requests end.
func (n *Node) stop(ctx context.Context, s *servers) {
	n.log.Info().Msg("stopping: no new callers, handing duties over")
	n.control.Leave(ctx)
	n.operate.SetLeaving()
	left := time.NewTimer(n.settings.Entry.AddressTTL + time.Second)
	defer left.Stop()
	n.await(ctx, handOverTime, func() bool { return n.control.HeldDutyCount() == 0 || n.alone() })
	<-left.C
	n.log.Info().Msg("stopping: waiting for requests to end")
	draining, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	if err := s.callers.Shutdown(draining); err != nil {
		n.log.Error().Err(err).Msg("requests did not end in time")
	}
	n.await(draining, n.settings.DrainTimeout, func() bool { return n.keepers.InFlight() == 0 })
}

// alone reports whether no other host can take duties over.
func (n *Node) alone() bool { return len(n.peers()) == 0 }

const awaitTime = 50 * time.Millisecond

// await waits until the condition holds, the time is over or the context ends.
func (n *Node) await(ctx context.Context, most time.Duration, holds func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(awaitTime)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

var _ peer.Handler = (*Node)(nil)

// Handle implements peer.Handler.
func (n *Node) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, send func(any) error) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		return peer.ServeUnary(body, func(beat lease.Heartbeat) (lease.Grant, error) { return n.control.HandleHeartbeat(ctx, beat), nil })
	case wire.KindRefuse:
		return peer.ServeUnary(body, func(ask wire.RefuseRequest) (wire.RefuseResponse, error) {
			return wire.RefuseResponse{Refused: n.control.HandleRefuse(ctx, ask)}, nil
		})
	case wire.KindRead:
		return peer.ServeUnary(body, func(read wire.ReadRequest) (wire.ObjectResponse, error) {
			return relay.Serve(ctx, n.direct, &read, nil)
		})
	case wire.KindWrite:
		return peer.ServeUnary(body, func(write wire.WriteRequest) (wire.ObjectResponse, error) {
			return relay.Serve(ctx, n.direct, nil, &write)
		})
	case wire.KindSlot:
		return peer.ServeUnary(body, n.keepers.HandleSlot)
	case wire.KindOrder:
		return peer.ServeUnary(body, func(ask wire.OrderRequest) (wire.OrderResponse, error) { return n.keepers.Order(ctx, &ask) })
	case wire.KindGenerate:
		var ask wire.GenerateRequest
		if err := cbor.Unmarshal(body, &ask); err != nil {
			return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
		}
		return nil, n.keepers.Generate(ctx, &ask, func(piece *wire.Piece) error { return send(piece) })
	default:
		return nil, fleet.Refuse(fleet.ReasonMalformed, "unknown kind of request")
	}
}
