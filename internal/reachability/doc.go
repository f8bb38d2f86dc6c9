// Package reachability records which links from this process to endpoints work, by what its own
// connections show: one that opens, gets no answer or is refused, and bytes that arrive. Where
// sent bytes stay unacknowledged, a new connection is tried to find out. An endpoint that is
// merely silent acknowledges what it is sent, so its link counts as working.
//
// All methods are safe for concurrent use. Locking: no other lock is acquired while Tracker.mu
// is held.
package reachability
