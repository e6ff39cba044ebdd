package departure

import (
	"net/http"
	"strconv"
	"time"
)

// Handler returns a handler whose answers tell clients how long they may keep the connection:
// idle, in whole seconds, or not at all once a planned stop has begun.
func (d *Departure) Handler(idle time.Duration, next http.Handler) http.Handler {
	keepAlive := "timeout=" + strconv.Itoa(int(idle/time.Second))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&writer{ResponseWriter: w, departure: d, keepAlive: keepAlive}, r)
	})
}

// CallersHandler is like Handler, and also records that requests come, for QuietFor.
func (d *Departure) CallersHandler(idle time.Duration, next http.Handler) http.Handler {
	handler := d.Handler(idle, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.recordRequest(time.Now())
		handler.ServeHTTP(w, r)
	})
}

// A writer sets the headers that concern the connection when the header of the answer is
// written, which may be long after the request has come.
type writer struct {
	http.ResponseWriter
	departure *Departure
	keepAlive string
	written   bool
}

// Unwrap makes http.ResponseController work.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *writer) WriteHeader(status int) {
	if !w.written && status >= http.StatusOK {
		w.written = true
		switch h := w.Header(); {
		case w.departure.Leaving():
			h.Set("Connection", "close")
		case h.Get("Connection") == "":
			h.Set("Keep-Alive", w.keepAlive)
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *writer) Write(data []byte) (int, error) {
	if !w.written {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}
