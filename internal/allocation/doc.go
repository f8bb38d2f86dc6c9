// Package allocation assigns model requests to endpoints for the whole fleet of
// entries. One control instance, the home of a service, tracks which request
// reserves how much memory at which decode endpoint and how long each prefill
// endpoint is busy; entries ask it where to send a request.
//
// A reservation is only advice: the endpoint decides whether it has memory. A
// home that can't be reached is skipped, and an entry without a home asks
// endpoints by itself. Two homes at once, or one that has just started and knows
// no reservations, cause requests for memory to full endpoints, but never break
// a promise.
//
// UsageTracker is pure: it takes the time and the known endpoints as input, and
// Server and Client do the I/O. Locks: Server.mu is held while the Fleet, whose
// lock is a leaf, is asked for entries. The lock of a Client's backoff is a leaf.
package allocation
