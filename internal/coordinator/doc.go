// Package coordinator runs a control instance of a fleet whose configuration is one
// document. It forms the control group or joins it without an operator, accepts documents
// and endpoint heartbeats, and serves entries the configuration and endpoints in force.
// State that must survive is kept in the replicated log (package catalog). When each
// endpoint and entry was last seen is kept by the leader in memory only and rebuilt by
// the next leader.
//
// Locks: Coordinator.mu is a leaf; no call is made while it is held.
package coordinator
