package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/holding"
	"hibiscuslb/fleet/intake"
	"hibiscuslb/fleet/plan"
	"hibiscuslb/fleet/route"
	"hibiscuslb/hibiscusfront/internal/backend"
	"hibiscuslb/hibiscusfront/internal/view"
	"hibiscuslb/hibiscusfront/internal/wire"
	"hibiscuslb/platform"
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
	idle    chan struct{}          // is closed when none runs any more, if Wait waits for that
}

// A requestKey identifies a relayed request that runs.
type requestKey struct {
	host   fleet.HostID
	number uint64
}

// freeBodyBytes is what a request may occupy without drawing on the budget.
const freeBodyBytes = 16 << 10

// Serve sends a request for another host. It sends the answer in parts, of which it returns the last.
func (s *Server) Serve(ctx context.Context, encoded cbor.RawMessage, send func(any) error) (any, error) {
	hold := holding.Hold{Budget: s.Budget, Free: freeBodyBytes}
	defer hold.Release()
	if err := hold.Keep(bodyCopies * len(encoded)); err != nil {
		s.Meter.RecordRelay(true, wire.RelayRefused.String())
		return wire.RelayPart{Result: wire.RelayRefused, Detail: err.Error()}, nil
	}
	var request wire.RelayRequest
	if err := cbor.Unmarshal(encoded, &request); err != nil {
		return nil, fleet.Refuse(fleet.ReasonMalformed, err.Error())
	}
	key := requestKey{request.Host, request.Number}
	w, service, refused := s.admit(key, &request)
	if refused != nil {
		s.Meter.RecordRelay(true, refused.Result.String())
		return refused, nil
	}
	defer s.remove(key)
	w.hold, w.kept = &hold, len(encoded)
	last := s.send(ctx, &request, service, w, send)
	s.Meter.RecordRelay(true, last.Result.String())
	if s.Leaving() {
		return nil, send(*last) // before Wait returns
	}
	return last, nil
}

// Wait waits until no request of another host runs. The host must be leaving, so that none begins. The error
// is that of the context.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if len(s.windows) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit checks whether this host may send the request, and reserves a place for it.
func (s *Server) admit(key requestKey, request *wire.RelayRequest) (*window, route.ServiceID, *wire.RelayPart) {
	refuse := func(format string, args ...any) (*window, route.ServiceID, *wire.RelayPart) {
		return nil, "", &wire.RelayPart{Result: wire.RelayRefused, Detail: fmt.Sprintf(format, args...)}
	}
	service, err := s.permits(request)
	if err != nil {
		return refuse("%v", err)
	}
	if !s.Ways.Direct(request.Target) {
		return nil, "", &wire.RelayPart{Result: s.Ways.sees(request.Target, s.Ways.Clock()), Detail: "the way is lost"}
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
	return w, service, nil
}

// permits returns why this host may not send the request now, as far as it knows the target, whose service it
// returns.
func (s *Server) permits(request *wire.RelayRequest) (route.ServiceID, error) {
	v := s.View()
	t := v.Target(request.Target)
	switch {
	case s.Leaving():
		return "", errors.New("the host is leaving")
	case request.Left <= 0:
		return "", errors.New("its deadline has passed")
	case t == nil || t.Address != request.Address:
		return "", fmt.Errorf("no target %s at %s is known", request.Target, request.Address)
	case v.Excludes(t.ID) || slices.Contains(s.Chooser.Closed(v, t.Service), t.ID):
		return "", fmt.Errorf("target %s gets no new work from this host", t.ID)
	}
	return t.Service, nil
}

func (s *Server) remove(key requestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.windows, key)
	if len(s.windows) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
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

// Go lets a request that is ready be sent.
func (s *Server) Go(word wire.RelayGo) (struct{}, error) {
	s.mu.Lock()
	w := s.windows[requestKey{word.Host, word.Number}]
	s.mu.Unlock()
	if w != nil {
		select {
		case w.word <- word:
		default: // it was given before
		}
	}
	return struct{}{}, nil
}

// A WaitError reports that a host got no word to send a request in time.
type WaitError struct{ Waited time.Duration }

func (e *WaitError) Error() string { return fmt.Sprintf("no word to send it in %v", e.Waited) }

// awaitWord says that the request can be sent, and waits for the word to do so.
func (s *Server) awaitWord(ctx context.Context, request *wire.RelayRequest, w *window, send func(any) error) (*wire.RelayGo, error) {
	began := s.Ways.Clock()
	if err := send(wire.RelayPart{Result: wire.RelayReady}); err != nil {
		return nil, err
	}
	limit := goLimit + time.Duration(request.Length)*time.Second/bodyRate
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var word wire.RelayGo
	select {
	case word = <-w.word:
	case <-timer.C:
		return nil, &WaitError{limit}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	// This host may have stood still meanwhile.
	waited := s.Ways.Clock().Sub(began)
	if waited > limit {
		return nil, &WaitError{waited}
	}
	request.Left = word.Left - waited
	w.open(word.Window)
	if _, err := s.permits(request); err != nil {
		return nil, err
	}
	return &word, w.hold.Keep(bodyCopies * (w.kept + len(word.Body)))
}

// send sends the request to its target and the answer to the host that asked, but for its last part,
// which it returns.
func (s *Server) send(ctx context.Context, request *wire.RelayRequest, service route.ServiceID, w *window, send func(any) error) *wire.RelayPart {
	ctx, cancel := context.WithTimeout(ctx, request.Left)
	defer cancel()
	v, began := s.View(), s.Ways.Clock()
	targetRequest := &backend.Request{
		ID: request.ID, Target: request.Target, Address: request.Address, Method: request.Method, URI: request.URI, Host: request.HostName,
		Header: request.Header, SendOnce: request.SendOnce, DialLimit: shortDial,
	}
	var refused error
	targetRequest.Check = func() error {
		var word *wire.RelayGo
		if word, refused = s.awaitWord(ctx, request, w, send); refused == nil {
			targetRequest.Body = [][]byte{word.Body}
			targetRequest.Header = platform.WithDeadline(request.Header, request.Left)
		}
		return refused
	}
	exchange, err := s.Pool.Send(ctx, targetRequest)
	if refused != nil {
		return &wire.RelayPart{Result: wire.RelayRefused, Detail: refused.Error()}
	}
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
	buffer := make([]byte, w.pieceBytes())
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
		if !w.take(ctx, wire.RelayCost(n)) {
			return &wire.RelayPart{Result: wire.RelayBroken, Detail: "the host that asked gives no credit", Doubt: true}
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
	part.Result = s.Ways.sees(target, began)
	return part
}

// A window is what may still be sent to a host before it gives credit, and the word by which it lets the
// request be sent.
type window struct {
	mu    sync.Mutex
	size  int
	left  int
	word  chan wire.RelayGo
	hold  *holding.Hold // of the request
	kept  int           // of it, without the body
	given chan struct{} // has one element if credit was given since take last read it
}

func newWindow() *window {
	return &window{word: make(chan wire.RelayGo, 1), given: make(chan struct{}, 1)}
}

// open sets the size of the window.
func (w *window) open(size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.size = min(max(size, minWindowBytes), windowBytes)
	w.left = w.size
}

// pieceBytes returns the length of pieces of which one fits as soon as half of the window has been read.
func (w *window) pieceBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(pieceBytes, w.size/2-wire.RelayCost(0))
}

func (w *window) add(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = min(w.left+max(n, 0), w.size)
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
