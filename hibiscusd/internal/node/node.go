package node

import (
	"context"
	"errors"
	"fmt"
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
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/task"
	"hibiscuslb/fleet/traffic"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/entry"
	"hibiscuslb/hibiscusd/internal/operatorserver"
	"hibiscuslb/hibiscusd/internal/owner"
	"hibiscuslb/hibiscusd/internal/relay"
	"hibiscuslb/hibiscusd/internal/wire"
	"hibiscuslb/platform"
)

// A Node is the process of a host (hibiscusd). Use New to create one.
type Node struct {
	settings  *Settings
	log       zerolog.Logger
	clock     fleet.Clock
	store     *platform.Store
	direct    objectstore.Client // the store, without the fallback to other hosts
	relay     *relay.Client
	pool      *peer.Pool
	control   *control.Control
	orderLogs *owner.OrderLogs
	owners    *owner.Set
	entry     *entry.Server
	metrics   *meter.Metrics
	operators *operatorserver.Server
}

// New returns a node with the given settings. The node opens no connection and
// starts no goroutine until Run is called.
func New(s *Settings, log zerolog.Logger) *Node {
	n := &Node{settings: s, log: log, clock: fleet.MonotonicClock(), metrics: new(meter.Metrics)}
	n.store = &platform.Store{Address: s.Platform, Timeout: s.PlatformTimeout}
	n.direct = &platform.Records{Store: n.store}
	n.pool = &peer.Pool{Key: s.FleetKey}
	n.relay = &relay.Client{Direct: n.direct, Pool: n.pool, Peers: n.peers}
	n.control = &control.Control{
		Host: s.Host, Timing: s.LeaseTiming, Platform: n.relay, Direct: n.direct,
		Pool: n.pool, Clock: n.clock, Log: log,
	}
	n.orderLogs = &owner.OrderLogs{Client: n.direct, Retention: s.OrderRetention}
	n.owners = &owner.Set{
		Control: n.control, Pool: n.pool, OrderLogs: n.orderLogs, CacheSecret: s.CacheSecret,
		Clock: n.clock, Metrics: n.metrics, Log: log, Limits: s.Owner,
	}
	n.entry = &entry.Server{
		Control: n.control, Owners: n.owners, Pool: n.pool, Clock: n.clock,
		Metrics: n.metrics, Log: log, Limits: s.Entry,
	}
	n.operators = &operatorserver.Server{
		Control: n.control, Owners: n.owners, Platform: n.relay, Metrics: n.metrics, Key: s.OperatorKey, Log: log,
	}
	n.publishMetrics()
	return n
}

// peers returns the addresses of the other active members, in no particular order.
// They may reach the platform when this host cannot, so the relay falls back to them.
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

// publishMetrics registers the values that /debug/vars computes when it is read.
func (n *Node) publishMetrics() {
	n.metrics.Publish("Platform", func() any {
		return struct{ Reads, Writes, Watches uint64 }{
			n.store.Calls.Total(platform.StoreRead) + n.store.Calls.Total(platform.StoreList),
			n.store.Calls.Total(platform.StoreWrite), n.store.Calls.Total(platform.StoreWatch),
		}
	})
	n.metrics.Publish("Peers", func() any {
		return byteCounts(&n.pool.Traffic)
	})
	n.metrics.Publish("PlatformBytes", func() any { return byteCounts(&n.store.Traffic) })
	n.metrics.Publish("TargetBytes", func() any { return byteCounts(engine.Traffic()) })
	n.metrics.Publish("Goroutines", func() any { return runtime.NumGoroutine() })
	n.metrics.Publish("Targets", func() any { return n.owners.Statuses() })
	n.metrics.Publish("Lease", func() any { return n.control.LeaseEnd().Sub(n.clock()).String() })
}

// ByteCounts holds the number of bytes that a process has sent and received.
type ByteCounts struct{ Sent, Received int64 }

func byteCounts(c *traffic.Counter) ByteCounts { return ByteCounts{c.Sent.Load(), c.Received.Load()} }

// Limits of the HTTP connections of callers, hosts and operators.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// servers holds the HTTP servers of a node.
type servers struct {
	callers, hosts, operators *http.Server
	failed                    chan error
	serving                   task.Group
}

// Run serves until the context ends or a listener fails. When the context ends, Run
// performs a planned stop before it returns. It returns an error if the node could
// not listen or a listener failed.
func (n *Node) Run(ctx context.Context) error {
	nodeCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	listeners, err := n.listen(nodeCtx)
	if err != nil {
		return err
	}
	var workers task.Group
	workCtx, endWork := context.WithCancel(nodeCtx)
	defer endWork()
	workers.Go(nodeCtx, n.pool.Run)
	workers.Go(nodeCtx, n.orderLogs.Run)
	workers.Go(workCtx, n.owners.Run)
	var controlTasks task.Group
	controlCtx, endControl := context.WithCancel(nodeCtx)
	defer endControl()
	controlTasks.Go(controlCtx, n.control.Run)
	n.log.Info().Str("Callers", string(n.settings.Host.CallerAddr)).Msg("serving")
	select {
	case <-ctx.Done():
		n.drain(nodeCtx, listeners)
	case err = <-listeners.failed:
		n.log.Error().Err(err).Msg("listener failed; stopping at once")
	}
	endWork()
	endControl()
	controlTasks.Wait()
	deregisterCtx, cancel := context.WithTimeout(nodeCtx, n.settings.PlatformTimeout)
	defer cancel()
	if failed := n.control.Deregister(deregisterCtx); failed != nil {
		n.log.Warn().Err(failed).Msg("deregistration failed; other hosts will end this incarnation when its lease expires")
	}
	end()
	listeners.close()
	workers.Wait()
	n.log.Info().Msg("stopped")
	return err
}

// listen starts the servers for callers, hosts and operators. An error of a server
// after that is sent to servers.failed.
func (n *Node) listen(ctx context.Context) (*servers, error) {
	callers, err := n.entry.Handler()
	if err != nil {
		return nil, eris.Wrap(err, "build the HTTP handler for callers")
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
		{&s.operators, n.settings.Host.OperatorAddr, n.operators.Handler()},
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
			Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
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

// close closes all servers and their connections and waits for their goroutines.
func (s *servers) close() {
	for _, server := range []*http.Server{s.callers, s.hosts, s.operators} {
		if server != nil {
			_ = server.Close()
		}
	}
	s.serving.Wait()
}

// handOverTimeout limits the wait for the hand-over of the duties to other hosts.
const handOverTimeout = 20 * time.Second

// drain performs a planned stop up to the end of the last request. It withdraws the
// host's address from callers and hands over the host's duties, waits until the
// addresses that callers have received expire, and then waits for running requests.
func (n *Node) drain(ctx context.Context, s *servers) {
	n.log.Info().Msg("stopping: no longer offered to callers, handing over duties")
	n.control.Leave(ctx)
	n.operators.SetLeaving()
	addressesExpired := time.NewTimer(n.settings.Entry.AddressTTL + time.Second)
	defer addressesExpired.Stop()
	n.waitUntil(ctx, handOverTimeout, func() bool { return n.control.HeldDutyCount() == 0 || n.hasNoPeers() })
	<-addressesExpired.C
	n.log.Info().Msg("stopping: waiting for requests to end")
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.DrainTimeout)
	defer cancel()
	if err := s.callers.Shutdown(drainCtx); err != nil {
		n.log.Error().Err(err).Msg("requests did not end within the limit LongestWait of the section Stop; closing their connections")
	}
	n.waitUntil(drainCtx, n.settings.DrainTimeout, func() bool { return n.owners.InFlight() == 0 })
}

// hasNoPeers reports whether there is no other host to which duties can be handed
// over.
func (n *Node) hasNoPeers() bool { return len(n.peers()) == 0 }

// pollInterval is the time between two checks of waitUntil.
const pollInterval = 50 * time.Millisecond

// waitUntil waits until the condition holds, the timeout has passed or the context
// ends.
func (n *Node) waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

var _ peer.Handler = (*Node)(nil)

// Handle implements peer.Handler: it executes the requests of other hosts.
func (n *Node) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, send func(any) error) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		return peer.ServeUnary(body, func(heartbeat lease.Heartbeat) (lease.Grant, error) {
			return n.control.HandleHeartbeat(ctx, heartbeat), nil
		})
	case wire.KindRefuse:
		return peer.ServeUnary(body, func(request wire.RefuseRequest) (wire.RefuseResponse, error) {
			return wire.RefuseResponse{Refused: n.control.HandleRefuse(ctx, request)}, nil
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
		return peer.ServeUnary(body, n.owners.HandleSlot)
	case wire.KindOrder:
		return peer.ServeUnary(body, func(request wire.OrderRequest) (wire.OrderResponse, error) { return n.owners.Order(ctx, &request) })
	case wire.KindGenerate:
		var request wire.GenerateRequest
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
		}
		return nil, n.owners.Generate(ctx, &request, func(piece *wire.Piece) error { return send(piece) })
	default:
		return nil, fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("kind of request is %d, want %d to %d", kind, wire.KindHeartbeat, wire.KindSlot))
	}
}
