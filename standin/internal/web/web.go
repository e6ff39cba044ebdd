// Package web holds what the stand-ins' HTTP handlers share.
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"hibiscuslb/fleet"
)

// Reply writes the value as JSON.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// Refuse answers that the request has provably not run.
func Refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Outcome", "NotRun")
	http.Error(w, detail, status)
}

// Decode reads a JSON body, or answers that it is malformed.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		Refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Serve serves the handler until the context ends.
func Serve(ctx context.Context, address fleet.Address, handler http.Handler) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		closed := server.Close()
		<-ended
		return closed
	}
}
