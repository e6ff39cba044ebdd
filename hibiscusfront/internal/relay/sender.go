package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/peer"
	"hibiscuslb/fleet/placement"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A Meter records metrics of relayed requests.
type Meter interface {
	// RecordRelay counts a request that another host was asked to send, or if served is set, that
	// this host was asked to send, by its result.
	RecordRelay(served bool, result string)
}

// A Sender sends requests to targets by the way that is open. Set the exported fields before use. It is
// safe for concurrent use.
type Sender struct {
	Host       fleet.HostID
	DataCentre fleet.DataCentreID // of this host
	View       func() *view.View
	Pool       *backend.Pool
	Peers      *peer.Pool
	Ways       *Ways
	Meter      Meter
	Requests   *holding.Budget // of what requests make this host keep
	Answers    *holding.Budget // of what answers do

	number  atomic.Uint64 // of the last relayed request
	running atomic.Int64  // relayed requests

	mu      sync.Mutex
	skipped map[fleet.Address]fleet.Instant // until when a host is not asked
}

// A PathError reports that an exchange ended by what lies between this host and the target, as far
// as can be told. It says nothing of the target.
type PathError struct {
	Target fleet.TargetID
	Cause  error
}

func (e *PathError) Error() string {
	return fmt.Sprintf("the way to target %s broke: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *PathError) Unwrap() error { return e.Cause }

// A RelayError reports how a relayed request ended without a complete answer.
type RelayError struct {
	By     fleet.HostID
	Result wire.RelayResult
	Detail string
}

func (e *RelayError) Error() string {
	return fmt.Sprintf("sent by way of host %s: %s: %s", e.By, e.Result, e.Detail)
}

// SentBy returns the host that has met this at the target.
func (e *RelayError) SentBy() fleet.HostID { return e.By }

// errAlone reports that no other host could be asked.
var errAlone = errors.New("no other host could be asked")

// errGone reports that other hosts have no way to the target either.
var errGone = errors.New("another host has no way to the target either")

// Send sends the request and returns when the header of the answer was received. The errors are those
// of backend.Pool, with a *PathError as the cause if the target may be sound.
func (s *Sender) Send(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	direct := s.Ways.Direct(r.Target)
	if !direct {
		if exchange, err := s.sendKept(ctx, r); !errors.As(err, new(*backend.DialError)) {
			return exchange, err
		}
		exchange, err := s.relay(ctx, r)
		if !errors.Is(err, errAlone) {
			return exchange, err
		}
	}
	if len(s.View().Hosts) > 1 {
		r.DialLimit = shortDial
	}
	exchange, err := s.Pool.Send(ctx, r)
	var notSent *backend.NotSentError
	var dial *backend.DialError
	if err == nil {
		return exchange, nil
	}
	if direct && errors.As(err, &notSent) && errors.As(err, &dial) {
		relayed, relayErr := s.relay(ctx, r)
		if relayErr == nil || !errors.Is(relayErr, errAlone) {
			return relayed, relayErr
		}
	}
	return nil, s.doubt(r.Target, err)
}

// sendKept sends the request on a connection that was open before the way was lost, if an answer has shown
// since that these live on. The error holds a *backend.DialError if there is none.
func (s *Sender) sendKept(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	if !s.Ways.kept(r.Target) {
		return nil, &backend.DialError{Cause: backend.ErrNoIdle}
	}
	kept := *r
	kept.IdleOnly = true
	exchange, err := s.Pool.Send(ctx, &kept)
	if err != nil {
		err = s.doubt(r.Target, err)
	}
	return exchange, err
}

// doubt adds a *PathError to an error if what this host meets at the target says nothing of it.
func (s *Sender) doubt(target fleet.TargetID, err error) error {
	var none *backend.NoResponseError
	if errors.As(err, &none) && s.Ways.Doubtful(target) {
		return &backend.NoResponseError{Target: target, Cause: &PathError{target, none.Cause}}
	}
	return err
}

// Blames reports whether an error of Send, or of reading the answer, tells something of the target, and
// not of the way to it.
func (s *Sender) Blames(target fleet.TargetID, err error) bool {
	switch {
	case errors.Is(err, errGone):
		return true
	case errors.As(err, new(*PathError)):
		return false
	}
	// The host that met a *RelayError has judged it.
	return errors.As(err, new(*RelayError)) || !s.Ways.Doubtful(target)
}

// relay asks other hosts to send the request, one after the other until one has. The error is a
// *backend.NotSentError or a *backend.NoResponseError.
func (s *Sender) relay(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	if s.Ways.isGone(r.Target) {
		return nil, &backend.NotSentError{Target: r.Target, Cause: errGone}
	}
	length := 0
	for _, segment := range r.Body {
		length += len(segment)
	}
	if length > maxBodyBytes {
		return nil, &backend.NotSentError{Target: r.Target, Cause: errAlone}
	}
	if s.running.Add(1) > maxRelayed {
		s.running.Add(-1)
		return nil, &backend.NotSentError{Target: r.Target, Cause: errAlone}
	}
	exchange, err := s.askHosts(ctx, r)
	if err != nil {
		s.running.Add(-1)
	}
	return exchange, err
}

func (s *Sender) askHosts(ctx context.Context, r *backend.Request) (*backend.Exchange, error) {
	for _, host := range s.hosts(r.ID) {
		exchange, err := s.ask(ctx, host, r)
		if err == nil {
			s.Ways.relayed(r.Target)
			return exchange, nil
		}
		var notSent *backend.NotSentError
		if !errors.As(err, &notSent) {
			return nil, err
		}
		if ctx.Err() != nil || errors.Is(err, errChecked) {
			return nil, err
		}
		var relayed *RelayError
		if errors.As(err, &relayed) && relayed.Result == wire.RelayNoWay {
			s.Ways.witnessed(r.Target)
			return nil, &backend.NotSentError{Target: r.Target, Cause: errors.Join(errGone, relayed)}
		}
	}
	return nil, &backend.NotSentError{Target: r.Target, Cause: errAlone}
}

// hosts returns the hosts to ask for a request, spread by its ID: some of this data centre first, which may
// all be cut off with this one, then any.
func (s *Sender) hosts(id fleet.RequestID) []wire.Host {
	now := s.Ways.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []wire.Host
	for _, h := range s.View().Hosts {
		if h.ID != s.Host && now >= s.skipped[h.Peers] {
			hosts = append(hosts, h)
		}
	}
	hosts = placement.Rank(xxhash.Sum64String(string(id)), hosts, func(h wire.Host) string { return string(h.ID) }, func(wire.Host) float64 { return 1 })
	near := 0
	for i, h := range hosts {
		if h.DataCentre == s.DataCentre && near < nearFirst {
			copy(hosts[near+1:i+1], hosts[near:i])
			hosts[near] = h
			near++
		}
	}
	return hosts[:min(len(hosts), maxAsked)]
}

// skip notes that a host is not asked for a while.
func (s *Sender) skip(host wire.Host) {
	now := s.Ways.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, until := range s.skipped {
		if now >= until {
			delete(s.skipped, address)
		}
	}
	if s.skipped == nil {
		s.skipped = make(map[fleet.Address]fleet.Instant)
	}
	s.skipped[host.Peers] = now.Add(askAgain)
}

// errChecked marks a request that its owner does not want to be sent any more.
var errChecked = errors.New("not sent any more")

// awaitReady waits for the first part of a host that was asked. An error means that the host is not ready; it
// sends nothing without a word.
func (s *Sender) awaitReady(ctx context.Context, host wire.Host, exchange *peer.Exchange) (head wire.RelayPart, err error) {
	readyCtx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err = exchange.Next(readyCtx, &head); err == nil || ctx.Err() != nil {
		return head, err
	}
	s.skip(host)
	result := "not ready"
	if errors.As(err, new(*fleet.RefusalError)) {
		result = wire.RelayRefused.String() // it does not relay
	}
	s.Meter.RecordRelay(false, result)
	return head, err
}

// ask asks a host to send the request.
func (s *Sender) ask(ctx context.Context, host wire.Host, r *backend.Request) (*backend.Exchange, error) {
	notSent := func(cause error) error { return &backend.NotSentError{Target: r.Target, Cause: cause} }
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	err := s.Peers.Connect(connectCtx, host.Peers)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			s.skip(host)
			s.Meter.RecordRelay(false, "no connection")
		}
		return nil, notSent(err)
	}
	number := s.number.Add(1)
	request := wire.RelayRequest{
		Number: number, Host: s.Host, ID: r.ID, Target: r.Target, Address: r.Address, Method: r.Method, URI: r.URI, HostName: r.Host,
		Header: r.Header, Length: r.BodyLen(), SendOnce: r.SendOnce, Left: time.Until(r.ExpiresAt),
	}
	exchange, err := s.Peers.Open(ctx, host.Peers, wire.KindRelay, request)
	if err != nil {
		s.skip(host)
		return nil, notSent(err)
	}
	head, err := s.awaitReady(ctx, host, exchange)
	if err == nil && head.Result == wire.RelayReady && r.Check != nil {
		if err = r.Check(); err != nil {
			err = errors.Join(errChecked, err)
		}
	}
	switch {
	case err != nil:
		exchange.Close() // before the word to send
		return nil, notSent(err)
	case head.Result != wire.RelayReady:
		return nil, s.failed(host, r, exchange, &head)
	}
	return s.sendReady(ctx, host, r, number, exchange)
}

// sendReady gives a host that is ready the word to send the request.
func (s *Sender) sendReady(ctx context.Context, host wire.Host, r *backend.Request, number uint64, exchange *peer.Exchange) (*backend.Exchange, error) {
	body := &body{
		ctx: ctx, sender: s, host: host, number: number, exchange: exchange, target: r.Target, window: windowBytes,
		hold: holding.Hold{Budget: s.Answers, Free: minWindowBytes + freeHeadBytes},
	}
	if body.hold.Keep(windowBytes) != nil {
		body.window = minWindowBytes
	}
	word := wire.RelayGo{Number: number, Host: s.Host, Left: time.Until(r.ExpiresAt), Window: body.window}
	head, err := s.awaitHead(ctx, host, r, word, exchange)
	switch {
	case err == nil && head.Result != wire.RelayBegun:
		err = s.failed(host, r, exchange, head)
	case err == nil:
		s.Meter.RecordRelay(false, head.Result.String())
		if err = body.hold.Keep(body.window + headBytes(head.Header)); err == nil {
			return backend.RelayedExchange(r.Target, host.ID, head.Status, head.Header, backend.Framing(head.Framing), body), nil
		}
		err = &backend.NoResponseError{Target: r.Target, Cause: &PathError{r.Target, err}}
	case errors.As(err, new(*peer.DialError)), errors.As(err, new(*holding.SpentError)):
		err = &backend.NotSentError{Target: r.Target, Cause: err}
	default:
		if ctx.Err() != nil {
			err = ctx.Err()
		} else {
			s.skip(host)
			err = &PathError{r.Target, err}
		}
		s.Meter.RecordRelay(false, "connection lost")
		err = &backend.NoResponseError{Target: r.Target, Cause: err}
	}
	exchange.Close()
	body.hold.Release()
	return nil, err
}

// awaitHead gives the word, with the body, and waits for the first part of the answer. After a *peer.DialError or a
// *holding.SpentError the word was not given.
func (s *Sender) awaitHead(ctx context.Context, host wire.Host, r *backend.Request, word wire.RelayGo, exchange *peer.Exchange) (*wire.RelayPart, error) {
	copies := holding.Hold{Budget: s.Requests, Free: freeBodyBytes}
	if err := copies.Keep(bodyCopies * r.BodyLen()); err != nil {
		return nil, err
	}
	word.Body = bytes.Join(r.Body, nil)
	given, err := s.Peers.Open(ctx, host.Peers, wire.KindRelayGo, word)
	word.Body = nil
	copies.Release()
	if err != nil {
		return nil, err
	}
	defer given.Close()
	var head wire.RelayPart
	err = exchange.Next(ctx, &head)
	return &head, err
}

// headBytes returns what the head of an answer occupies: it is kept decoded and as received.
func headBytes(header http.Header) int {
	const perLine = 64
	n := 0
	for name, values := range header {
		for _, value := range values {
			n += perLine + 2*(len(name)+len(value))
		}
	}
	return n
}

// failed ends the exchange and returns the error for a request without an answer.
func (s *Sender) failed(host wire.Host, r *backend.Request, exchange *peer.Exchange, part *wire.RelayPart) error {
	exchange.Close()
	s.Meter.RecordRelay(false, part.Result.String())
	var err error = &RelayError{By: host.ID, Result: part.Result, Detail: part.Detail}
	switch part.Result {
	case wire.RelayCutOff:
		s.skip(host)
		return &backend.NotSentError{Target: r.Target, Cause: err}
	case wire.RelayNoWay, wire.RelayRefused:
		return &backend.NotSentError{Target: r.Target, Cause: err}
	}
	if part.Doubt {
		err = &PathError{r.Target, err}
	}
	return &backend.NoResponseError{Target: r.Target, Cause: err}
}
