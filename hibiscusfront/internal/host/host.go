// Package host assembles the parts of a front host and runs them from its start
// to its planned stop.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/control"
	"hibiscuslb/hibiscusfront/internal/departure"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/ingress"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/relay"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

const (
	// addressTTL is how long callers may cache the addresses of hosts. It is
	// short, so that callers soon stop using a host that has failed, and so that those that
	// keep addresses for three times as long have left a stopping host before it refuses
	// requests.
	addressTTL = 500 * time.Millisecond
	// readHeaderTimeout and idleTimeout apply to connections of callers and
	// other clients. The limits of a configuration are not applied to them.
	readHeaderTimeout = 3 * time.Second
	idleTimeout       = 15 * time.Second
	// maxHeaderBytes limits the header of a caller's request. Limits.Header of
	// the configuration is not applied; the platform's own limit is no larger than
	// this.
	maxHeaderBytes = 16 << 10
	// announcedIdle is how long a connection may be idle, as answers say. It is shorter than
	// idleTimeout, so that a caller that keeps to it sends nothing on a connection that is
	// just being closed.
	announcedIdle = 12 * time.Second
	// answersShare and listsShare divide the host's memory to give what it keeps of answers
	// that are longer than those of sound targets, to callers' requests and to its own calls.
	answersShare = 16
	listsShare   = 4
	// directoryShare divides the limit of connections of callers to give that of each other
	// listener for clients.
	directoryShare = 4
	// minPeerConnections is the least limit of connections from other hosts, which is that of callers: each host
	// of the fleet has one to the planner. Once one carries messages it is being served, and does not yield.
	minPeerConnections = 64
	// maxMetricsConnections is the limit of connections at the metrics.
	maxMetricsConnections = 16
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
)

// A Host is a front host: the parts of its process and their state.
type Host struct {
	settings platform.Settings
	log      zerolog.Logger
	clock    fleet.Clock
	peers    peer.Pool
	pool     backend.Pool
	control  *control.Control
	planner  *planner.Planner
	chooser  *chooser.Chooser
	gateway  *gateway.Gateway
	ways     *relay.Ways
	sender   *relay.Sender
	relays   *relay.Server
	meter    *meters
	serving  task.Group
	// answers bounds what targets' answers to callers' requests make the host keep, and
	// lists what their answers to its own calls do.
	answers, lists holding.Budget
	// requests bounds what clients' requests make the host keep, and limits their connections.
	requests  holding.Budget
	limits    ingress.Limits
	listeners []*ingress.Listener // for clients, that of callers first
	// departure is the state of a planned stop. Cut ends the requests of callers that still
	// run at its cut.
	departure   departure.Departure
	cut         context.CancelCauseFunc
	connections departure.Connections // of callers
	serveErr    chan error            // of HTTP servers

	// MetricsPort is the port for metrics; zero picks a free port.
	MetricsPort int
	// DroppedLines returns the number of log lines dropped so far. It is nil if
	// the log never drops lines.
	DroppedLines func() int64
	settingsFile string
	reload       <-chan os.Signal
}

// New returns a host. Run starts it.
func New(settings platform.Settings, log zerolog.Logger) *Host {
	h := &Host{settings: settings, log: log, clock: clock.BootTime(), serveErr: make(chan error, listenerCount)}
	h.control = &control.Control{
		Settings: settings, Store: &platform.Store{Address: settings.Store}, Peers: &h.peers, Clock: h.clock, Log: log,
		Self: wire.Host{
			ID: settings.Host, DataCentre: settings.DataCentre, Callers: settings.Callers, Peers: settings.Peers,
			Incarnation: fleet.Incarnation(time.Now().UnixNano()), Cores: settings.Cores, Link: settings.Link,
		},
	}
	h.answers.SetLimit(settings.Memory / answersShare)
	h.lists.SetLimit(settings.Memory / listsShare)
	h.pool.Budget = &h.answers
	h.requests.Clock = h.clock
	h.SetLimits(ingress.DefaultLimits(settings.Memory, settings.Descriptors))
	targets := platform.NewTargetClient()
	targets.Budget = &h.lists
	h.planner = planner.New(settings.Host, settings.Bounds, targets, h.control, h.clock, log)
	h.planner.Origins, h.planner.Rollouts = h.control.Store, h.control.Store
	h.meter = newMeters(&h.planner.WeightOrders)
	h.meter.refresh = h.refreshMeters
	h.connections.Departure = &h.departure
	h.chooser = chooser.New(settings.Host, settings.Peers, h.planner, &h.peers, h.clock, log)
	h.chooser.Local.WeightsBound = settings.Bounds.Weights
	h.chooser.SetMaxPause(maxPauseWindows * settings.Bounds.RetryWindow)
	h.gateway = &gateway.Gateway{
		Host: settings.Host, DataCentre: settings.DataCentre, View: h.control.View, Chooser: h.chooser, Pool: &h.pool,
		Meter: h.meter, Log: log, Departure: &h.departure,
		Clock: h.clock, WeightsBound: settings.Bounds.Weights,
	}
	h.newRelays()
	return h
}

// SetLimits sets the limits of what clients may make the host hold. It must be called before Run.
func (h *Host) SetLimits(limits ingress.Limits) {
	h.limits = limits
	h.requests.SetLimit(limits.Memory)
}

// maxPauseWindows times the window over which retries are counted is the longest pause that
// a target may ask for: a longer one is taken for a mistake.
const maxPauseWindows = 10

// Run serves until the context ends, then makes a planned stop. It returns an
// error if the host cannot listen or a server fails.
func (h *Host) Run(ctx context.Context) error {
	runCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	h.log.Info().Str("Callers", string(h.settings.Callers)).Str("DataCentre", string(h.settings.DataCentre)).Msg("starting")
	h.control.OnPlanningChange = func(epoch fleet.Epoch, planning bool) { h.planner.SetPlanning(runCtx, epoch, planning) }
	h.control.OnPublish = func(v *view.View) { h.planner.SetView(runCtx, v) }
	h.control.OnHostLost = func(id fleet.HostID) { h.planner.ReleaseHost(runCtx, id) }
	h.control.CutOff, h.control.InTouch = h.planner.CutOff, h.planner.InTouch
	h.control.WantsOrders = h.planner.WeightsOutdated
	h.control.Quarantine = h.planner.Quarantine
	h.control.Versions = h.planner.Versions
	var parts task.Group
	parts.Go(runCtx, h.peers.Run)
	parts.Go(runCtx, h.planner.Run)
	parts.Go(runCtx, h.chooser.Run)
	parts.Go(runCtx, h.ways.Run)
	parts.Go(runCtx, h.control.Run)
	parts.Go(runCtx, h.watchSettings)
	servers, err := h.listen(runCtx)
	if err != nil {
		return err
	}
	parts.Go(runCtx, h.sweep)
	select {
	case <-ctx.Done():
	case err = <-h.serveErr:
	}
	if err == nil {
		h.stop(runCtx, servers)
	}
	end()
	for _, server := range servers {
		_ = server.Close() // aborts requests still running after the grace period
	}
	h.serving.Wait()
	parts.Wait()
	h.log.Info().Msg("stopped")
	return err
}

// listenerCount is the number of addresses that a host listens on, including that
// of the metrics.
const listenerCount = 5

// newServer returns a server for connections that an ingress.Listener accepts.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: ingress.Handler(handler), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: ingress.Record, ConnContext: ingress.ConnContext,
	}
}

func (h *Host) listen(ctx context.Context) ([]*http.Server, error) {
	callersCtx, cut := context.WithCancelCause(ctx)
	h.cut = cut
	callers := newServer(h.departure.CallersHandler(announcedIdle, h.gateway))
	callers.ConnState = func(conn net.Conn, state http.ConnState) {
		ingress.Record(conn, state)
		h.connections.Record(conn, state)
	}
	others := h.limits.Share(directoryShare)
	list := []struct {
		ctx     context.Context
		server  *http.Server
		address fleet.Address
		limits  ingress.Limits
	}{
		{callersCtx, callers, h.settings.Callers, h.limits},
		{ctx, newServer(h.departure.Handler(announcedIdle, platform.DirectoryHandler(h.resolve))), h.settings.Directory, others},
		{ctx, newServer(h.departure.Handler(announcedIdle, platform.ReadinessHandler(h.ready))), h.settings.Readiness, others},
	}
	var servers []*http.Server
	for _, l := range list {
		listener, err := ingress.Listen(ctx, string(l.address), l.limits.Connections, &h.requests)
		if err != nil {
			return nil, eris.Wrapf(err, "listen on %s", l.address)
		}
		l.server.BaseContext = func(net.Listener) context.Context { return l.ctx }
		servers, h.listeners = append(servers, l.server), append(h.listeners, listener)
		h.serve(ctx, l.server, listener)
	}
	peers := newServer(&peer.Server{Handler: h})
	peers.BaseContext = func(net.Listener) context.Context { return ctx }
	limit := h.limits.Connections
	if limit > 0 {
		limit = max(limit, minPeerConnections)
	}
	listener, err := ingress.Listen(ctx, string(h.settings.Peers), limit, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", h.settings.Peers)
	}
	servers, h.listeners = append(servers, peers), append(h.listeners, listener)
	h.serve(ctx, peers, listener)
	if metrics := h.listenMetrics(ctx); metrics != nil {
		servers = append(servers, metrics)
	}
	return servers, nil
}

func (h *Host) serve(ctx context.Context, server *http.Server, listener net.Listener) {
	h.serving.Go(ctx, func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.serveErr <- eris.Wrapf(err, "serve on %s", listener.Addr())
		}
	})
}

// listenMetrics starts the server of the metrics and returns it. If the port is
// not available it returns nil, and the host runs without metrics.
func (h *Host) listenMetrics(ctx context.Context) *http.Server {
	address := net.JoinHostPort(h.settings.IP, strconv.Itoa(h.MetricsPort))
	limit := 0
	if h.limits.Connections > 0 {
		limit = maxMetricsConnections
	}
	listener, err := ingress.Listen(ctx, address, limit, &h.requests)
	if err != nil {
		h.log.Error().Err(err).Str("Address", address).Msg("cannot listen on the metrics address; running without metrics")
		return nil
	}
	h.listeners = append(h.listeners, listener)
	server := newServer(h.meter.handler())
	server.ReadTimeout = readHeaderTimeout
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	h.serve(ctx, server, listener)
	return server
}

// resolve returns the addresses of the hosts for callers and the time for which
// callers may cache them.
func (h *Host) resolve(platform.Lookup) ([]fleet.Address, time.Duration) {
	var addresses []fleet.Address
	for _, host := range h.control.View().Hosts {
		addresses = append(addresses, host.Callers)
	}
	ttl := addressTTL
	if limit := h.settings.Bounds.AddressTTL; limit > 0 {
		ttl = min(ttl, limit)
	}
	return addresses, ttl
}

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	v := h.control.View()
	return !h.departure.Leaving() && v.Table != nil && len(v.Targets) > 0
}

// sweep closes idle connections to targets at intervals, and logs whether clients meet the limits.
func (h *Host) sweep(ctx context.Context) {
	var limits limitWatch
	for task.Sleep(ctx, sweepInterval) {
		v := h.control.View()
		h.pool.Sweep(func(id fleet.TargetID) bool { return v.Target(id) != nil })
		limits.sample(h)
	}
}

// stop makes a planned stop: it directs callers to other hosts, releases the
// planner's duty, and lets running requests end within the grace period.
func (h *Host) stop(ctx context.Context, servers []*http.Server) {
	_, ttl := h.resolve(platform.Lookup{})
	schedule := h.departure.Begin(time.Now(), departure.Settings{Grace: h.settings.Bounds.Grace, AddressTTL: ttl})
	h.log.Info().Dur("Drain", time.Until(schedule.Drain)).Dur("Close", time.Until(schedule.Close)).Dur("Cut", time.Until(schedule.Cut)).
		Msg("stopping: callers are directed to other hosts")
	h.control.Leave(ctx)
	h.serving.Go(ctx, func(ctx context.Context) {
		if err := h.control.Unregister(ctx); err != nil {
			h.log.Warn().Err(err).Msg("cannot remove this host's entry from the object store; the planner will remove it")
		}
	})
	h.serving.Go(ctx, func(ctx context.Context) {
		if task.Sleep(ctx, time.Until(schedule.Cut)) {
			h.log.Warn().Msg("ending the requests that did not end in the grace period")
			h.cut(&departure.CutError{Since: schedule.Leave})
		}
	})
	task.Sleep(ctx, time.Until(schedule.Close))
	for wait := h.departure.QuietFor(time.Now()); wait > 0; wait = h.departure.QuietFor(time.Now()) {
		if !task.Sleep(ctx, wait) {
			return
		}
	}
	h.departure.CloseIdle()
	shutdownCtx, cancel := context.WithDeadline(ctx, schedule.End)
	defer cancel()
	for _, server := range servers[:sharedServers] {
		if err := server.Shutdown(shutdownCtx); err != nil {
			h.log.Error().Err(err).Msg("aborting requests that did not end in the grace period")
		}
	}
	if err := h.relays.Wait(shutdownCtx); err != nil {
		h.log.Error().Err(err).Msg("aborting requests of other hosts that did not end in the grace period")
	}
}

// sharedServers is the number of servers that callers and the platform use, the first ones of
// those that listen returns. That of the peers goes on until the process ends.
const sharedServers = 3

var _ peer.Handler = (*Host)(nil)

// Handle implements peer.Handler.
func (h *Host) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, send func(any) error) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		return peer.ServeUnary(body, func(beat wire.Heartbeat) (wire.HeartbeatReply, error) { return h.control.HandleHeartbeat(ctx, beat) })
	case wire.KindChanges:
		return peer.ServeUnary(body, func(req wire.ChangesRequest) (wire.ChangesReply, error) { return h.control.HandleChanges(ctx, req) })
	case wire.KindRenew:
		return peer.ServeUnary(body, func(req wire.RenewRequest) (wire.RenewReply, error) { return h.control.HandleRenew(ctx, req) })
	case wire.KindPlan:
		return peer.ServeUnary(body, func(req wire.PlanRequest) (wire.PlanReply, error) { return h.plan(ctx, &req) })
	case wire.KindReports:
		return peer.ServeUnary(body, func(r wire.Reports) (wire.ReportsReply, error) {
			planning := h.planner.Report(ctx, r.Reports)
			return wire.ReportsReply{Planning: planning && h.planner.RecordStarts(ctx, r.Starts)}, nil
		})
	case wire.KindRelay:
		return h.relays.Serve(ctx, body, send)
	case wire.KindRelayGo:
		return peer.ServeUnary(body, h.relays.Go)
	case wire.KindRelayCredit:
		return peer.ServeUnary(body, h.relays.Credit)
	default:
		return nil, fleet.Refuse(fleet.ReasonMalformed, fmt.Sprintf("kind of message is %d, want %d to %d", kind, wire.KindHeartbeat, wire.KindRelayGo))
	}
}

// plan decides on another host's request for a target.
func (h *Host) plan(ctx context.Context, req *wire.PlanRequest) (wire.PlanReply, error) {
	decision, err := h.planner.Plan(ctx, &req.Ask, req.Deputy)
	if err != nil {
		return wire.PlanReply{}, err
	}
	if decision.Refusal != nil {
		return wire.PlanReply{Reason: decision.Refusal.Reason, RetryAfter: decision.Refusal.RetryAfter}, nil
	}
	return wire.PlanReply{Grant: decision.Grant}, nil
}

var _ gateway.Chooser = (*chooser.Chooser)(nil)
var _ planner.Permissions = (*control.Control)(nil)
