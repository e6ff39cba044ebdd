// Package operate serves a fleet's operators: health and metrics for all, and
// for those who show the operators' key the declaration and the state of the
// host.
package operate

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
	"hibiscuslb/fleet/contract"
	"hibiscuslb/fleet/declaration"
	"hibiscuslb/fleet/edition"
	"hibiscuslb/fleet/meter"
	"hibiscuslb/fleet/record"
	"hibiscuslb/hibiscusd/internal/control"
	"hibiscuslb/hibiscusd/internal/keeper"
)

// A Server serves operators. Fill in the exported fields.
type Server struct {
	Control  *control.Control
	Keepers  *keeper.Set
	Platform record.Client
	Metrics  *meter.Metrics
	Key      string
	Log      zerolog.Logger

	leaving atomic.Bool
}

// SetLeaving makes the host not ready, since it is being stopped.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Handler returns the operators' interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, "alive") })
	mux.HandleFunc("GET /ready", s.ready)
	mux.Handle("GET /debug/vars", s.Metrics)
	mux.HandleFunc("GET /status", s.guard(s.status))
	mux.HandleFunc("GET /declaration", s.guard(s.declaration))
	mux.HandleFunc("POST /apply", s.guard(s.apply))
	return mux
}

func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(s.Key)) != 1 {
			reply(w, http.StatusUnauthorized, contract.Failure{Detail: "wrong operators' key"})
			return
		}
		next(w, r)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		reply(w, http.StatusServiceUnavailable, "leaving")
	case s.Control.View() == nil || !s.Control.MayAct():
		reply(w, http.StatusServiceUnavailable, "lease does not run")
	default:
		reply(w, http.StatusOK, "ready")
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	view := s.Control.View()
	if view == nil {
		reply(w, http.StatusServiceUnavailable, contract.Failure{Detail: "nothing is known yet"})
		return
	}
	status := contract.Status{
		Host: s.Control.Host.ID, Incarnation: view.Self.Incarnation, DataCentre: s.Control.Host.DataCentre,
		Number: view.Version, MayAct: s.Control.MayAct(), Leaving: view.Leaving,
	}
	for _, member := range view.Members {
		status.Members = append(status.Members, contract.Member{
			Host: member.Host, Incarnation: member.Incarnation, DataCentre: member.DataCentre,
			State: string(member.State), CallerAddr: member.CallerAddr,
			Operators: member.OperateAddr, Witnesses: len(member.Panel),
		})
	}
	status.Targets = s.Keepers.Statuses()
	reply(w, http.StatusOK, status)
}

func (s *Server) declaration(w http.ResponseWriter, r *http.Request) {
	current, err := edition.Load(r.Context(), s.Platform, nil)
	if err != nil {
		reply(w, http.StatusServiceUnavailable, contract.Failure{Detail: err.Error()})
		return
	}
	reply(w, http.StatusOK, contract.Declaration{Number: current.Number, Text: current.Document.String()})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var ask contract.Apply
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(record.ValueLimit)*8)).Decode(&ask); err != nil {
		reply(w, http.StatusBadRequest, contract.Failure{Detail: err.Error()})
		return
	}
	number, err := s.accept(r.Context(), &ask)
	var check *declaration.CheckError
	var race *edition.ConflictError
	var doubt *edition.UnknownOutcomeError
	switch {
	case err == nil:
		s.Log.Info().Str("Change", string(ask.Change.ID)).Str("Author", ask.Change.Author).
			Uint64("Version", uint64(number)).Msg("change accepted")
		reply(w, http.StatusOK, contract.Applied{Number: number})
	case errors.As(err, &check):
		reply(w, http.StatusUnprocessableEntity, contract.Failure{Detail: check.Error()})
	case errors.As(err, &race):
		reply(w, http.StatusConflict, contract.Failure{Detail: race.Error()})
	case errors.As(err, &doubt):
		reply(w, http.StatusBadGateway, contract.Failure{Detail: doubt.Error(), InDoubt: true})
	default:
		reply(w, http.StatusServiceUnavailable, contract.Failure{Detail: err.Error()})
	}
}

// accept stores the change if the version that the operator read is still the
// one in force. A change that is in force already was accepted by an earlier
// try.
func (s *Server) accept(ctx context.Context, ask *contract.Apply) (fleet.Version, error) {
	current, err := edition.Load(ctx, s.Platform, nil)
	if err != nil {
		return 0, err
	}
	if current.Contains(ask.Change.ID) {
		return current.Number, nil
	}
	if current.Number != ask.Read {
		return 0, edition.NewConflictError(ctx, s.Platform, ask.Read, current)
	}
	next, err := edition.Commit(ctx, s.Platform, current, &ask.Change, time.Now())
	if err != nil {
		return 0, err
	}
	return next.Number, nil
}
