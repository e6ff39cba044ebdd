package modelengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/cache"
	"hibiscuslb/fleet/engine"
	"hibiscuslb/fleet/store"
	"hibiscuslb/fleet/task"
	"hibiscuslb/standin/internal/web"
	"hibiscuslb/standin/script"
)

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("POST /cancel", e.cancel)
	mux.HandleFunc("POST /import", e.importBlock)
	mux.HandleFunc("POST /export", e.exportBlock)
	mux.HandleFunc("POST /load", e.load)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("Since"), 10, 64)
		web.Reply(w, http.StatusOK, e.Report(since))
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		web.Reply(w, http.StatusOK, e.Counts())
	})
	mux.HandleFunc("POST /admin/cold", func(http.ResponseWriter, *http.Request) { e.BecomeCold() })
	return mux
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	if !web.Decode(w, r, &request) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if refused, err := e.begin(&request, cancel); err != nil {
		if refused {
			web.Refuse(w, http.StatusConflict, err.Error())
		} else {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
		return
	}
	complete := false
	defer func() { e.end(&request, complete) }()
	complete = e.stream(ctx, w, &request)
}

// stream computes and writes the answer, and reports whether it was written
// completely, including the final piece that marks its end.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, request *engine.Request) bool {
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush
	send := func(piece engine.Piece) bool {
		piece.Attempt = request.Attempt
		return out.Encode(piece) == nil && flush() == nil
	}
	start, ok := e.computePrompt(ctx, request)
	if !ok || !send(engine.Piece{Index: request.From, Start: start}) {
		return false
	}
	answer := script.New(request.Prompt)
	for i := request.From; i < request.MaxTokens; i++ {
		if i > request.From && !task.Sleep(ctx, e.config.PieceInterval) {
			return false
		}
		if !send(engine.Piece{Index: i, Text: answer.Piece(i)}) {
			return false
		}
	}
	return send(engine.Piece{End: true, Count: max(request.MaxTokens, request.From)})
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var command struct{ Attempt engine.Attempt }
	if !web.Decode(w, r, &command) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel, ok := e.cancels[command.Attempt]; ok {
		cancel()
	}
}

func (e *Engine) importBlock(w http.ResponseWriter, r *http.Request) {
	var command engine.Import
	if !web.Decode(w, r, &command) {
		return
	}
	if !e.checkFence(w, command.Fence) {
		return
	}
	origin, err := fetchBlock(r.Context(), command)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		var mismatch *cache.MismatchError
		if errors.As(err, &mismatch) {
			e.counts.BadImports++
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	if origin.Version != command.Version {
		e.counts.ForeignReads++
	}
	if command.Version != e.version || origin.Version != e.version {
		detail := fmt.Sprintf("block %s: import command names version %s, content has version %s, want the loaded version %s in both",
			command.Key, command.Version, origin.Version, e.version)
		http.Error(w, detail, http.StatusConflict)
		return
	}
	e.counts.Imports++
	e.put(command.Key, origin)
}

// checkFence reports whether a command's fencing token is valid, and refuses the
// command if it is not.
func (e *Engine) checkFence(w http.ResponseWriter, fence fleet.Epoch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recordFence(fence) {
		web.Refuse(w, http.StatusConflict, staleFenceError(fence, e.fence).Error())
		return false
	}
	return true
}

// fetchBlock reads a block from a store host, checks it against its seal, and
// returns its decoded content.
func fetchBlock(ctx context.Context, command engine.Import) (blockOrigin, error) {
	url := fmt.Sprintf("http://%s/blocks/%s/%d", command.Store, command.Key, command.Seal.Generation)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return blockOrigin{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return blockOrigin{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return blockOrigin{}, fmt.Errorf("block %s: store host %s answered with status %d, want 200",
			command.Key, command.Store, response.StatusCode)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return blockOrigin{}, fmt.Errorf("block %s: read the answer of store host %s: %w", command.Key, command.Store, err)
	}
	incarnation, _ := strconv.ParseUint(response.Header.Get("Incarnation"), 10, 64)
	received := command.Seal
	received.Incarnation = fleet.Incarnation(incarnation)
	received.Checksum = cache.Checksum(xxhash.Sum64(content))
	if err := command.Seal.Check(received); err != nil {
		return blockOrigin{}, err
	}
	var origin blockOrigin
	return origin, json.Unmarshal(content, &origin)
}

func (e *Engine) exportBlock(w http.ResponseWriter, r *http.Request) {
	var command engine.Export
	if !web.Decode(w, r, &command) {
		return
	}
	if !e.checkFence(w, command.Fence) {
		return
	}
	e.mu.Lock()
	b, ok := e.blocks[command.Key]
	var content []byte
	if ok {
		content, _ = json.Marshal(b.origin) // can't fail for this type
	}
	e.mu.Unlock()
	if !ok {
		web.Refuse(w, http.StatusNotFound, fmt.Sprintf("block %s is not in the cache", command.Key))
		return
	}
	host := store.Client{Address: command.Store}
	seal, err := host.Reserve(r.Context(), command.Key, e.config.BlockLength)
	if err == nil {
		seal.Checksum = cache.Checksum(xxhash.Sum64(content))
		err = host.Write(r.Context(), command.Key, seal, content)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	e.counts.Exports++
	e.mu.Unlock()
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var command engine.Load
	if !web.Decode(w, r, &command) {
		return
	}
	e.mu.Lock()
	stale := e.recordFence(command.Fence)
	highest := e.fence
	busy := e.loading
	current := e.version == command.Version
	e.loading = e.loading || (!stale && !current)
	e.mu.Unlock()
	switch {
	case stale:
		web.Refuse(w, http.StatusConflict, staleFenceError(command.Fence, highest).Error())
		return
	case busy:
		web.Refuse(w, http.StatusConflict, errLoading.Error())
		return
	case current:
		return
	}
	// The load continues if the client that sent the command disconnects.
	err := e.fetchWeights(context.WithoutCancel(r.Context()), command.Version)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading = false
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.version = command.Version
	e.clearCache()
}

// fetchWeights requests the weights from the weight store and waits for its answer.
func (e *Engine) fetchWeights(ctx context.Context, version fleet.WeightVersion) error {
	if e.config.WeightStore == "" {
		return nil
	}
	url := fmt.Sprintf("http://%s/weights/%s/%s", e.config.WeightStore, e.config.Model, version)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("weights of model %s, version %s: weight store %s answered with status %d, want 200",
			e.config.Model, version, e.config.WeightStore, response.StatusCode)
	}
	return nil
}
