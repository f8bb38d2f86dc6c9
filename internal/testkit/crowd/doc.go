// Package crowd plays clients that don't behave, for tests: many connections that send, stall,
// or don't read, each within a bounded count and time. Beside them it plays ordinary requests and
// watches the memory of the processes that serve both.
//
// All of its traffic goes to loopback addresses.
package crowd
