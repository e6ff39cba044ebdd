// Package host puts the parts of a front host together and runs them from its
// start to its planned stop.
package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/task"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/chooser"
	"hibiscuslb/hibiscusfront/internal/clock"
	"hibiscuslb/hibiscusfront/internal/control"
	"hibiscuslb/hibiscusfront/internal/gateway"
	"hibiscuslb/hibiscusfront/internal/planner"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
)

const (
	// addressTTL is how long callers may keep addresses: short, so that they
	// learn soon of a host that has gone.
	addressTTL = time.Second
	// headerTime and idleTime hold until a configuration says otherwise.
	headerTime = 3 * time.Second
	idleTime   = 15 * time.Second
	// headerLimit bounds the head of a request until a configuration is
	// known; the platform's own limit is no larger.
	headerLimit = 16 << 10
	// sweepTime is the time between two looks at idle connections.
	sweepTime = time.Second
	// openTime is how long a host that stops still takes new requests: callers
	// keep addresses for a while.
	openTime = 2800 * time.Millisecond
	// exitMargin is left of the grace time when the host exits.
	exitMargin = 500 * time.Millisecond
	// leastGrace is the grace time where the settings say none.
	leastGrace = 5 * time.Second
)

// A Host is the process of a front host.
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
	meter    *meters
	leaving  atomic.Bool
	draining atomic.Bool
	serving  task.Group
	failed   chan error

	// MetricsPort is where the metrics are served; zero picks a free port.
	MetricsPort int
	// DroppedLines tells how many log lines were dropped; nil if none can be.
	DroppedLines func() int64
	file         string // of the settings
	reload       <-chan os.Signal
}

// New returns a host that has not started.
func New(settings platform.Settings, log zerolog.Logger) *Host {
	h := &Host{settings: settings, log: log, clock: clock.BootTime(), failed: make(chan error, listeners)}
	h.control = &control.Control{
		Settings: settings, Store: &platform.Store{Address: settings.Store}, Peers: &h.peers, Clock: h.clock, Log: log,
		Self: wire.Host{
			ID: settings.Host, DataCentre: settings.DataCentre, Callers: settings.Callers, Peers: settings.Peers,
			Incarnation: fleet.Incarnation(time.Now().UnixNano()), Cores: settings.Cores, Link: settings.Link,
		},
	}
	h.planner = planner.New(settings.Host, settings.Bounds, platform.NewTargetClient(), h.control, h.clock, log)
	h.meter = newMeters(&h.planner.WeightOrders)
	h.meter.refresh = h.count
	h.chooser = chooser.New(settings.Host, settings.Peers, h.planner, &h.peers, h.clock, log)
	h.chooser.Local.WeightsBound = settings.Bounds.Weights
	h.gateway = &gateway.Gateway{
		Host: settings.Host, DataCentre: settings.DataCentre, View: h.control.View, Chooser: h.chooser, Pool: &h.pool,
		Meter: h.meter, Log: log, Draining: h.draining.Load,
	}
	return h
}

// Run serves until the context ends, and then stops as planned.
func (h *Host) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	h.log.Info().Str("Callers", string(h.settings.Callers)).Str("DataCentre", string(h.settings.DataCentre)).Msg("starting")
	h.control.OnTenureChange = func(epoch fleet.Epoch, planning bool) { h.planner.SetTenure(life, epoch, planning) }
	h.control.OnPublish = func(v *view.View) { h.planner.SetView(life, v) }
	h.control.OnHostLost = func(id fleet.HostID) { h.planner.HostLost(life, id) }
	h.control.WantsOrders = h.planner.WeightsOutdated
	var parts task.Group
	parts.Go(life, h.peers.Run)
	parts.Go(life, h.planner.Run)
	parts.Go(life, h.chooser.Run)
	parts.Go(life, h.control.Run)
	parts.Go(life, h.sweep)
	parts.Go(life, h.followSettings)
	servers, err := h.listen(life)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-h.failed:
	}
	if err == nil {
		h.stop(life, servers)
	}
	end()
	for _, server := range servers {
		_ = server.Close() // all requests have ended, or their time is over
	}
	h.serving.Wait()
	parts.Wait()
	h.log.Info().Msg("stopped")
	return err
}

// listeners is how many addresses a host listens at, with that of its metrics.
const listeners = 5

func (h *Host) listen(ctx context.Context) ([]*http.Server, error) {
	callers := &http.Server{
		Handler: h.gateway, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerLimit,
	}
	list := []struct {
		server  *http.Server
		address fleet.Address
	}{
		{callers, h.settings.Callers},
		{&http.Server{Handler: platform.DirectoryHandler(h.resolve), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}, h.settings.Directory},
		{&http.Server{Handler: platform.ReadinessHandler(h.ready), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}, h.settings.Readiness},
		{&http.Server{Handler: &peer.Server{Handler: h}, ReadHeaderTimeout: headerTime}, h.settings.Peers},
	}
	var servers []*http.Server
	for _, l := range list {
		listener, err := net.Listen("tcp", string(l.address))
		if err != nil {
			return nil, eris.Wrapf(err, "listen at %s", l.address)
		}
		l.server.BaseContext = func(net.Listener) context.Context { return ctx }
		servers = append(servers, l.server)
		h.serve(ctx, l.server, listener)
	}
	if metrics := h.listenMetrics(ctx); metrics != nil {
		servers = append(servers, metrics)
	}
	return servers, nil
}

func (h *Host) serve(ctx context.Context, server *http.Server, listener net.Listener) {
	h.serving.Go(ctx, func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.failed <- err
		}
	})
}

// listenMetrics serves the metrics. A host whose port is taken serves callers
// without them.
func (h *Host) listenMetrics(ctx context.Context) *http.Server {
	address := net.JoinHostPort(h.settings.IP, strconv.Itoa(h.MetricsPort))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		h.log.Error().Err(err).Str("Address", address).Msg("metrics are not served")
		return nil
	}
	server := &http.Server{
		Handler: h.meter.handler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	h.serve(ctx, server, listener)
	return server
}

// resolve answers a caller that asks for addresses.
func (h *Host) resolve(platform.Lookup) ([]fleet.Address, time.Duration) {
	var addresses []fleet.Address
	for _, host := range h.control.View().Hosts {
		addresses = append(addresses, host.Callers)
	}
	keep := addressTTL
	if most := h.settings.Bounds.AddressTTL; most > 0 {
		keep = min(keep, most)
	}
	return addresses, keep
}

// ready reports whether the host can serve callers.
func (h *Host) ready() bool {
	v := h.control.View()
	return !h.leaving.Load() && v.Table != nil && len(v.Targets) > 0
}

// sweep closes idle connections.
func (h *Host) sweep(ctx context.Context) {
	for task.Pause(ctx, sweepTime) {
		v := h.control.View()
		h.pool.Sweep(func(id fleet.TargetID) bool { return v.Target(id) != nil })
	}
}

// stop is a planned stop: callers are sent elsewhere, the duty is given up,
// requests end.
func (h *Host) stop(ctx context.Context, servers []*http.Server) {
	h.log.Info().Msg("stopping: callers are sent elsewhere")
	began := time.Now()
	grace := max(h.settings.Bounds.Grace, leastGrace) - exitMargin
	h.leaving.Store(true)
	servers[0].SetKeepAlivesEnabled(false)
	h.control.Leave(ctx)
	h.serving.Go(ctx, func(ctx context.Context) {
		if err := h.control.Unregister(ctx); err != nil {
			h.log.Warn().Err(err).Msg("own entry stays; the planner will remove it")
		}
	})
	task.Pause(ctx, min(openTime, grace/2))
	h.draining.Store(true)
	ending, cancel := context.WithTimeout(ctx, grace-time.Since(began))
	defer cancel()
	if err := servers[0].Shutdown(ending); err != nil {
		h.log.Error().Err(err).Msg("requests did not end in time")
	}
}

var _ peer.Handler = (*Host)(nil)

// Handle implements peer.Handler.
func (h *Host) Handle(ctx context.Context, kind peer.Kind, body cbor.RawMessage, _ func(any) error) (any, error) {
	switch kind {
	case wire.KindHeartbeat:
		return peer.Answer(body, func(beat wire.Heartbeat) (wire.HeartbeatReply, error) { return h.control.HandleHeartbeat(ctx, beat) })
	case wire.KindChanges:
		return peer.Answer(body, func(ask wire.ChangesRequest) (wire.ChangesReply, error) { return h.control.HandleChanges(ctx, ask) })
	case wire.KindRenew:
		return peer.Answer(body, func(ask wire.RenewRequest) (wire.RenewReply, error) { return h.control.HandleRenew(ctx, ask) })
	case wire.KindPlan:
		return peer.Answer(body, func(ask wire.PlanRequest) (wire.PlanReply, error) { return h.decide(ctx, &ask) })
	case wire.KindReports:
		return peer.Answer(body, func(r wire.Reports) (struct{}, error) {
			h.planner.Report(ctx, r.Reports)
			return struct{}{}, nil
		})
	default:
		return nil, fleet.Refuse(fleet.ReasonMalformed, "unknown kind of message")
	}
}

// decide answers another host's question for a target.
func (h *Host) decide(ctx context.Context, ask *wire.PlanRequest) (wire.PlanReply, error) {
	verdict, err := h.planner.Plan(ctx, &ask.Ask, ask.Deputy)
	if err != nil {
		return wire.PlanReply{}, err
	}
	if verdict.Refusal != nil {
		return wire.PlanReply{Reason: verdict.Refusal.Reason, RetryAfter: verdict.Refusal.RetryAfter}, nil
	}
	return wire.PlanReply{Grant: verdict.Grant}, nil
}

var _ gateway.Chooser = (*chooser.Chooser)(nil)
var _ planner.Tenure = (*control.Control)(nil)
