// Package web implements the HTTP functions that all stand-ins use.
package web

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"hibiscuslb/fleet"
)

// Reply writes the status and the value as JSON.
func Reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// After an error the client has disconnected, so there is no way to report it.
	_ = json.NewEncoder(w).Encode(value)
}

// Refuse writes an error response with the header that marks the request as provably
// not run.
func Refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Outcome", "NotRun")
	http.Error(w, detail, status)
}

// Decode decodes a JSON body into value and reports whether it succeeded. If not,
// it refuses the request as malformed.
func Decode(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		Refuse(w, http.StatusBadRequest, "malformed JSON body: "+err.Error())
		return false
	}
	return true
}

// Serve listens at the address and serves the handler until the context is done.
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
