// Package reachability records which links from this process to endpoints work, by what its own
// connections show: a connection that opens, bytes that arrive, a connection that gets no
// answer or is refused, and sent bytes that the endpoint's kernel doesn't acknowledge. An
// endpoint that is merely silent acknowledges what it is sent, so its link counts as working.
//
// All methods are safe for concurrent use. Locking: no other lock is acquired while Tracker.mu
// is held.
package reachability
