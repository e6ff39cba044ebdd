package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/internal/call"
	"hibiscuslb/fleet/traffic"
)

// Client calls one engine.
type Client struct {
	Address fleet.Address
	// IdleLimit bounds the time without a piece of an answer; zero means ten
	// seconds (defaultIdleLimit). A stream that is idle for longer is incomplete.
	IdleLimit time.Duration
}

const (
	defaultIdleLimit = 10 * time.Second
	maxPieceBytes    = 1 << 20 // one line of the stream
)

var (
	errIdle      = errors.New("no piece received within the idle limit")
	errNoEndMark = errors.New("stream ended without its end mark")
)

// wrap converts the error of a call into a *NotRunError or an *IncompleteError.
func (c *Client) wrap(err error) error {
	if err == nil {
		return nil
	}
	if call.NotRun(err) {
		return &NotRunError{Address: c.Address, Status: call.Status(err), Detail: err.Error()}
	}
	return &IncompleteError{Address: c.Address, Cause: err}
}

// Generate sends the request and calls onPiece for every piece in order, including
// the end mark. It returns nil only after the end mark. If onPiece returns an error,
// Generate stops reading and returns that error unchanged.
func (c *Client) Generate(ctx context.Context, request Request, onPiece func(Piece) error) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &NotRunError{Address: c.Address, Detail: err.Error()}
	}
	idleLimit := c.IdleLimit
	if idleLimit == 0 {
		idleLimit = defaultIdleLimit
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(idleLimit, func() { cancel(errIdle) })
	defer watchdog.Stop()
	response, err := call.OpenOnce(ctx, http.MethodPost, c.Address, "/generate", nil, body)
	if err != nil {
		return c.wrap(idleCause(ctx, err, idleLimit))
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxPieceBytes)
	next := request.From
	for lines.Scan() {
		watchdog.Reset(idleLimit)
		var piece Piece
		if err := json.Unmarshal(lines.Bytes(), &piece); err != nil {
			return &IncompleteError{Address: c.Address, Cause: fmt.Errorf("malformed piece: %w", err)}
		}
		if err := checkPiece(&piece, request.Attempt, next); err != nil {
			return &IncompleteError{Address: c.Address, Cause: err}
		}
		if err := onPiece(piece); err != nil {
			return err
		}
		if piece.End {
			return nil
		}
		if piece.Start == nil {
			next++
		}
	}
	err = lines.Err()
	if err == nil {
		err = errNoEndMark
	}
	return &IncompleteError{Address: c.Address, Cause: idleCause(ctx, err, idleLimit)}
}

// checkPiece checks that the piece belongs to the attempt, is the next one, and does
// not report a failure.
func checkPiece(piece *Piece, attempt Attempt, next fleet.Tokens) error {
	switch {
	case piece.Attempt != attempt:
		return fmt.Errorf("piece of attempt %q, want attempt %q", piece.Attempt, attempt)
	case piece.Failed != "":
		return fmt.Errorf("engine aborted the answer: %s", piece.Failed)
	case piece.Start != nil:
		return nil
	case piece.End && piece.Count != next:
		return fmt.Errorf("end mark counts %d pieces, but %d arrived", piece.Count, next)
	case !piece.End && piece.Index != next:
		return fmt.Errorf("piece has index %d, want %d", piece.Index, next)
	}
	return nil
}

// idleCause returns an error that wraps errIdle if ctx was cancelled because the
// stream was idle for the limit, and err otherwise.
func idleCause(ctx context.Context, err error, limit time.Duration) error {
	if context.Cause(ctx) == errIdle {
		return fmt.Errorf("%w of %v", errIdle, limit)
	}
	return err
}

// Cancel aborts an attempt at the engine.
func (c *Client) Cancel(ctx context.Context, attempt Attempt) error {
	return c.wrap(call.JSON(ctx, http.MethodPost, c.Address, "/cancel", struct{ Attempt Attempt }{attempt}, nil))
}

// Import instructs the engine to read a block from a store. The engine rejects a
// block that does not match the seal.
func (c *Client) Import(ctx context.Context, command Import) error {
	return c.wrap(call.JSON(ctx, http.MethodPost, c.Address, "/import", command, nil))
}

// Export instructs the engine to write a block to a store.
func (c *Client) Export(ctx context.Context, command Export) error {
	return c.wrap(call.JSON(ctx, http.MethodPost, c.Address, "/export", command, nil))
}

// Load instructs the engine to load a weight version and returns when it is loaded.
func (c *Client) Load(ctx context.Context, command Load) error {
	return c.wrap(call.JSON(ctx, http.MethodPost, c.Address, "/load", command, nil))
}

// Report returns the engine's report, with the cache events after the sequence
// number since.
func (c *Client) Report(ctx context.Context, since uint64) (Report, error) {
	var report Report
	path := "/report?Since=" + strconv.FormatUint(since, 10)
	err := call.JSON(ctx, http.MethodGet, c.Address, path, nil, &report)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // an empty body is no report
	}
	return report, c.wrap(err)
}

// Traffic returns the counter of the bytes of all calls to back ends, including
// stores and services.
func Traffic() *traffic.Counter { return &call.Traffic }
