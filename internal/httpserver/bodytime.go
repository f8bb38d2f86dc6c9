package httpserver

import (
	"net/http"
	"time"
)

// LimitBodyTime returns a handler whose requests' bodies must arrive within a time. Before the
// server sends the response of a handler that did not read the body, it reads the rest, which may
// never arrive. A handler that reads the body may set a read deadline of its own; it must end the
// deadline if it goes on for longer than the time.
func LimitBodyTime(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout)) // only writers of tests know no deadlines
		}
		next.ServeHTTP(w, r)
	})
}
