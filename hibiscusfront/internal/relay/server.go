package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
)

// A Chooser knows what targets have said of the work that they take from this host.
type Chooser interface {
	// Closed returns the targets of the service to which this host must send nothing.
	Closed(v *view.View, service route.ServiceID) []fleet.TargetID
	ObserveNotice(v *view.View, grant *plan.Grant, notice intake.Notice)
}

// A Server sends requests for other hosts. Set the exported fields before use. It is safe for
// concurrent use.
type Server struct {
	View    func() *view.View
	Chooser Chooser
	Pool    *backend.Pool
	Ways    *Ways
	Meter   Meter
	Budget  *holding.Budget // of what the requests make this host keep
	Leaving func() bool     // whether this host makes a planned stop

	mu      sync.Mutex
	windows map[requestKey]*window // of requests that run
}

// A requestKey identifies a relayed request that runs.
type requestKey struct {
	host   fleet.HostID
	number uint64
}

// freeBodyBytes is the length of a request's body that draws on no budget.
const freeBodyBytes = 16 << 10

// Serve sends a request for another host. It sends the answer in parts, of which it returns the last.
func (s *Server) Serve(ctx context.Context, encoded cbor.RawMessage, send func(any) error) (any, error) {
	var request wire.RelayRequest
	if err := cbor.Unmarshal(encoded, &request); err != nil {
		return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
	}
	hold := holding.Hold{Budget: s.Budget, Free: freeBodyBytes}
	defer hold.Release()
	key := requestKey{request.Host, request.Number}
	w, service, refused := s.admit(key, &request, &hold)
	if refused != nil {
		s.Meter.RecordRelay(true, refused.Result.String())
		return refused, nil
	}
	defer s.remove(key)
	last := s.send(ctx, &request, service, w, send)
	s.Meter.RecordRelay(true, last.Result.String())
	return last, nil
}

// admit checks whether this host may send the request, and reserves a place for it.
func (s *Server) admit(key requestKey, request *wire.RelayRequest, hold *holding.Hold) (*window, route.ServiceID, *wire.RelayPart) {
	refuse := func(format string, args ...any) (*window, route.ServiceID, *wire.RelayPart) {
		return nil, "", &wire.RelayPart{Result: wire.RelayRefused, Detail: fmt.Sprintf(format, args...)}
	}
	if s.Leaving() {
		return refuse("the host is leaving")
	}
	v := s.View()
	t := v.Target(request.Target)
	switch {
	case request.Left <= 0:
		return refuse("its deadline has passed")
	case t == nil || t.Address != request.Address:
		return refuse("no target %s at %s is known", request.Target, request.Address)
	case s.excludes(v, t.ID, t.Service):
		return refuse("target %s gets no new work from this host", t.ID)
	case !s.Ways.Direct(t.ID):
		return nil, "", &wire.RelayPart{Result: s.Ways.sees(t.ID, s.Ways.Clock()), Detail: "the way is lost"}
	}
	if err := hold.Keep(len(request.Body)); err != nil {
		return refuse("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[requestKey]*window)
	}
	if s.windows[key] != nil || len(s.windows) >= maxRelayed {
		return refuse("%d requests are relayed", len(s.windows))
	}
	w := newWindow()
	s.windows[key] = w
	return w, t.Service, nil
}

// excludes reports whether this host must send nothing to the target.
func (s *Server) excludes(v *view.View, target fleet.TargetID, service route.ServiceID) bool {
	return v.Excludes(target) || slices.Contains(s.Chooser.Closed(v, service), target)
}

// errExcluded reports that this host must send nothing to the target by now: connecting may have taken long.
var errExcluded = errors.New("the target gets no new work from this host any more")

func (s *Server) remove(key requestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.windows, key)
}

// Credit lets a request that runs send more of its answer.
func (s *Server) Credit(credit wire.RelayCredit) (struct{}, error) {
	s.mu.Lock()
	w := s.windows[requestKey{credit.Host, credit.Number}]
	s.mu.Unlock()
	if w != nil {
		w.add(credit.Bytes)
	}
	return struct{}{}, nil
}

// send sends the request to its target and the answer to the host that asked, but for its last part,
// which it returns.
func (s *Server) send(ctx context.Context, request *wire.RelayRequest, service route.ServiceID, w *window, send func(any) error) *wire.RelayPart {
	ctx, cancel := context.WithTimeout(ctx, request.Left)
	defer cancel()
	v, began := s.View(), s.Ways.Clock()
	exchange, err := s.Pool.Send(ctx, &backend.Request{
		ID: request.ID, Target: request.Target, Address: request.Address, Method: request.Method, URI: request.URI, Host: request.HostName,
		Header: request.Header, Body: [][]byte{request.Body}, SendOnce: request.SendOnce, DialLimit: shortDial,
		Check: func() error {
			if s.excludes(s.View(), request.Target, service) {
				return errExcluded
			}
			return nil
		},
	})
	if err != nil {
		part := s.failure(request.Target, began, err)
		part.Doubt = part.Doubt || ctx.Err() != nil
		return part
	}
	defer exchange.Close()
	s.Chooser.ObserveNotice(v, &plan.Grant{Target: request.Target, Service: service}, exchange.Answer.Notice)
	head := wire.RelayPart{Result: wire.RelayBegun, Status: exchange.Status, Header: exchange.Header, Framing: uint8(exchange.Framing)}
	if err := send(head); err != nil {
		return &wire.RelayPart{Result: wire.RelayBroken, Detail: err.Error()}
	}
	buffer := make([]byte, pieceBytes)
	for {
		n, err := exchange.Read(buffer)
		switch {
		case errors.Is(err, io.EOF):
			return &wire.RelayPart{Result: wire.RelayComplete, Data: buffer[:n]}
		case err == nil:
		case n == 0:
			return &wire.RelayPart{Result: wire.RelayBroken, Detail: err.Error(), Doubt: ctx.Err() != nil || s.Ways.Doubtful(request.Target)}
		}
		if n == 0 {
			continue
		}
		if !w.take(ctx, n) {
			return &wire.RelayPart{Result: wire.RelayBroken, Detail: "the host that asked gives no credit"}
		}
		if err := send(wire.RelayPart{Result: wire.RelayMore, Data: buffer[:n]}); err != nil {
			return &wire.RelayPart{Result: wire.RelayBroken, Detail: err.Error()}
		}
	}
}

// failure returns the part for a request without an answer.
func (s *Server) failure(target fleet.TargetID, began fleet.Instant, err error) *wire.RelayPart {
	part := &wire.RelayPart{Result: wire.RelayNoAnswer, Detail: err.Error(), Doubt: s.Ways.Doubtful(target)}
	var notSent *backend.NotSentError
	if !errors.As(err, &notSent) {
		return part
	}
	if errors.Is(err, errExcluded) {
		part.Result = wire.RelayRefused
		return part
	}
	part.Result = s.Ways.sees(target, began)
	return part
}

// A window is what may still be sent to a host before it gives credit.
type window struct {
	mu    sync.Mutex
	left  int
	given chan struct{} // has one element if credit was given since take last read it
}

func newWindow() *window { return &window{left: windowBytes, given: make(chan struct{}, 1)} }

func (w *window) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = min(w.left+max(n, 0), windowBytes)
	select {
	case w.given <- struct{}{}:
	default:
	}
}

// take waits until n bytes may be sent. It reports false if the context ends before that.
func (w *window) take(ctx context.Context, n int) bool {
	for {
		w.mu.Lock()
		ok := w.left >= n
		if ok {
			w.left -= n
		}
		w.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-w.given:
		case <-ctx.Done():
			return false
		}
	}
}
