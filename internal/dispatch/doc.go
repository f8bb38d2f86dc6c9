// Package dispatch decides which endpoint each request of one entry is sent to
// and when an endpoint is skipped. It does no I/O and reads no clock: each
// decision takes the time and the known state as input, and its comment names
// the load pattern that it handles.
//
// An entry decides alone. It knows its own attempts exactly, and those of other
// entries only from the load that endpoints report with their answers, which
// becomes outdated.
//
// Locks: EndpointStats.mu is a leaf.
package dispatch
