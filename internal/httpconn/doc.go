// Package httpconn sends HTTP/1.1 requests to endpoints over kept connections, and
// knows for each whether a byte left and whether the answer is whole. net/http's
// client repeats some requests by itself after a kept connection turned out
// dead, takes whatever arrives first for the answer, and reuses connections
// with surplus bytes; each would run a request twice or mix up answers.
//
// Locks: Pool.mu is a leaf.
package httpconn
