// Package operatorserver implements the HTTP interface for operators. Health and
// metrics need no authentication; the state of the host, the declaration and its
// changes need the operators' key.
package operatorserver

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"hibiscuslb/fleet"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/declstore"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/objectstore"
	"hibiscuslb/fleet/operatorapi"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/owner"
)

// A Server serves operators. Set the exported fields before calling Handler.
type Server struct {
	Control  *control.Control
	Owners   *owner.Set         // the targets that this host owns
	Platform objectstore.Client // holds the declaration
	Metrics  *meter.Metrics
	Key      string // of the operators
	Log      zerolog.Logger

	leaving atomic.Bool
}

// SetLeaving makes the readiness check fail, since the host is being stopped.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Handler returns the HTTP interface for operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { respond(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /ready", s.ready)
	mux.Handle("GET /debug/vars", s.Metrics)
	mux.HandleFunc("GET /status", s.requireKey(s.status))
	mux.HandleFunc("GET /declaration", s.requireKey(s.declaration))
	mux.HandleFunc("POST /apply", s.requireKey(s.apply))
	return mux
}

// requireKey returns a handler that calls next if the request has the operators'
// key.
func (s *Server) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.Key)) != 1 {
			respond(w, http.StatusUnauthorized, operatorapi.Failure{Detail: "key in the header Authorization is not the operators' key"})
			return
		}
		next(w, r)
	}
}

// respond writes a response with the JSON encoding of value.
func respond(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Writing fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		respond(w, http.StatusServiceUnavailable, "leaving")
	case s.Control.View() == nil || !s.Control.MayAct():
		respond(w, http.StatusServiceUnavailable, "host's lease has expired or was not granted yet")
	default:
		respond(w, http.StatusOK, "ready")
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	view := s.Control.View()
	if view == nil {
		respond(w, http.StatusServiceUnavailable, operatorapi.Failure{Detail: "host has not yet read the control state from the platform"})
		return
	}
	status := operatorapi.Status{
		Host: s.Control.Host.ID, Incarnation: view.Self.Incarnation, DataCentre: s.Control.Host.DataCentre,
		Number: view.Version, MayAct: s.Control.MayAct(), Leaving: view.Leaving,
	}
	for _, member := range view.Members {
		status.Members = append(status.Members, operatorapi.Member{
			Host: member.Host, Incarnation: member.Incarnation, DataCentre: member.DataCentre,
			State: string(member.State), CallerAddr: member.CallerAddr,
			Operators: member.OperateAddr, Witnesses: len(member.Panel),
		})
	}
	status.Targets = s.Owners.Statuses()
	respond(w, http.StatusOK, status)
}

func (s *Server) declaration(w http.ResponseWriter, r *http.Request) {
	current, err := declstore.Load(r.Context(), s.Platform, nil)
	if err != nil {
		respond(w, http.StatusServiceUnavailable, operatorapi.Failure{Detail: err.Error()})
		return
	}
	respond(w, http.StatusOK, operatorapi.Declaration{Number: current.Number, Text: current.Document.String()})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var request operatorapi.Apply
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(objectstore.ValueLimit)*8)).Decode(&request); err != nil {
		respond(w, http.StatusBadRequest, operatorapi.Failure{Detail: "request body cannot be decoded: " + err.Error()})
		return
	}
	number, err := s.applyChange(r.Context(), &request)
	var invalid *declaration.CheckError
	var conflict *declstore.ConflictError
	var unknown *declstore.UnknownOutcomeError
	switch {
	case err == nil:
		s.Log.Info().Str("Change", string(request.Change.ID)).Str("Author", request.Change.Author).
			Uint64("Version", uint64(number)).Msg("change of the declaration committed")
		respond(w, http.StatusOK, operatorapi.Applied{Number: number})
	case errors.As(err, &invalid):
		respond(w, http.StatusUnprocessableEntity, operatorapi.Failure{Detail: invalid.Error()})
	case errors.As(err, &conflict):
		respond(w, http.StatusConflict, operatorapi.Failure{Detail: conflict.Error()})
	case errors.As(err, &unknown):
		respond(w, http.StatusBadGateway, operatorapi.Failure{Detail: unknown.Error(), InDoubt: true})
	default:
		respond(w, http.StatusServiceUnavailable, operatorapi.Failure{Detail: err.Error()})
	}
}

// applyChange commits the change if the version that the operator read is still the
// latest one, and returns the new version. If an earlier attempt has already
// committed the change, it returns the latest version.
func (s *Server) applyChange(ctx context.Context, request *operatorapi.Apply) (fleet.Version, error) {
	current, err := declstore.Load(ctx, s.Platform, nil)
	if err != nil {
		return 0, err
	}
	if current.Contains(request.Change.ID) {
		return current.Number, nil
	}
	if current.Number != request.Read {
		return 0, declstore.NewConflictError(ctx, s.Platform, request.Read, current)
	}
	next, err := declstore.Commit(ctx, s.Platform, current, &request.Change, time.Now())
	if err != nil {
		return 0, err
	}
	return next.Number, nil
}
