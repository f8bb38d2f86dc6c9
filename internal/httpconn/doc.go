// Package httpconn sends HTTP/1.1 requests to endpoints over persistent connections,
// and reports for each request whether any byte was sent and whether the response is
// complete. It replaces net/http's client, which retries some requests by itself when
// a persistent connection turns out to be closed, accepts whatever arrives first as the
// response, and reuses connections with surplus bytes. Each of these could run a
// request twice or mix up responses.
//
// Locking: no other lock is acquired while Pool.mu is held.
package httpconn
